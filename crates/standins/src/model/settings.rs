//! Settings of a simulation.

use std::time::Duration;

use rand::RngExt as _;
use rand::rngs::StdRng;
use tanager_forward::Kind;

use super::deployments::two_routes;
use super::targets::SLOTS;

/// How instances choose the targets of new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// The forwarder.
    #[default]
    Forwarder,
    /// A random target of the service.
    Random,
    /// The target of the service with the fewest requests of the instance itself.
    LeastLoaded,
}

/// A route and its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSettings {
    /// Its name, for tables.
    pub name: &'static str,
    /// Its priority; 0 is the highest.
    pub priority: u64,
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Time within which clients want their answers, from the first attempt.
    pub objective: Duration,
    /// Time after which a request without an answer has failed.
    pub deadline: Duration,
    /// Its share of the arrivals.
    pub share: f64,
    /// Mean time for which a request without a tail runs at a target of speed 1.
    pub work: Duration,
    /// Whether clients keep its flows open, rather than opening one for each request.
    pub long_flows: bool,
    /// Its service, 0 or 1.
    pub service: u8,
}

/// A time in which more requests arrive.
#[derive(Debug, Clone, PartialEq)]
pub struct Burst {
    /// Time from the first request to its start.
    pub start: Duration,
    /// Its length.
    pub length: Duration,
    /// The factor by which it multiplies the rate.
    pub factor: f64,
    /// The route to which it is limited.
    pub route: Option<usize>,
    /// The zone of clients to which it is limited.
    pub zone: Option<u8>,
}

impl Burst {
    /// Creates a burst of all routes in all zones.
    #[must_use]
    pub const fn new(start: Duration, length: Duration, factor: f64) -> Self {
        Self {
            start,
            length,
            factor,
            route: None,
            zone: None,
        }
    }

    fn factor(&self, route: usize, zone: u8, at: Duration) -> f64 {
        let applies = at >= self.start
            && at < self.start + self.length
            && self.route.is_none_or(|r| r == route)
            && self.zone.is_none_or(|z| z == zone);
        if applies { self.factor } else { 1.0 }
    }
}

/// A time in which some of the targets take longer.
#[derive(Debug, Clone, PartialEq)]
pub struct Slowdown {
    /// Time from the first request to its start.
    pub start: Duration,
    /// Its length.
    pub length: Duration,
    /// Share of the targets, 0 to 1.
    pub share: f64,
    /// The factor by which their requests take longer.
    pub factor: f64,
}

/// A time in which a zone is evacuated.
#[derive(Debug, Clone, PartialEq)]
pub struct Evacuation {
    /// Time from the first request to its publication.
    pub start: Duration,
    /// Time from its publication to its removal.
    pub length: Duration,
    /// The zone.
    pub zone: u8,
}

/// Distribution of the work of requests about the mean of their route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Spread {
    /// Exponential.
    Exponential,
    /// Log-normal, with the standard deviation of the logarithm.
    LogNormal(f64),
}

/// Settings of a simulation.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How instances choose targets.
    pub policy: Policy,
    /// Availability zones. Clients are distributed over them as the instances and targets are.
    pub zones: u8,
    /// Instances, distributed over the zones.
    pub instances: u16,
    /// Targets, distributed over the zones.
    pub targets: u16,
    /// The last targets, which belong to the second service.
    pub second: u16,
    /// Speeds of targets, repeated within each zone. Invariant: not empty, all above 0.
    pub speeds: Vec<f64>,
    /// Requests per second.
    pub rate: f64,
    /// The routes. Invariant: the shares add up to 1.
    pub routes: Vec<RouteSettings>,
    /// Distribution of work.
    pub spread: Spread,
    /// Share of requests that take longer, 0 to 1, and the factor by which they do.
    pub tail: (f64, f64),
    /// Simulated time during which requests arrive.
    pub length: Duration,
    /// Times in which more requests arrive.
    pub bursts: Vec<Burst>,
    /// When targets become unreachable, and the share of targets that do, 0 to 1.
    pub vanish: Option<(Duration, f64)>,
    /// When targets take longer.
    pub slowdown: Option<Slowdown>,
    /// When a zone is evacuated.
    pub evacuation: Option<Evacuation>,
    /// Share of packets that each network path loses, 0 to 1.
    pub loss: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::Forwarder,
            zones: 3,
            instances: 8,
            targets: 18,
            second: 0,
            speeds: vec![1.0],
            rate: 300.0,
            routes: two_routes(Duration::from_millis(400)),
            spread: Spread::Exponential,
            tail: (0.0, 1.0),
            length: Duration::from_secs(6),
            bursts: Vec::new(),
            vanish: None,
            slowdown: None,
            evacuation: None,
            loss: 0.0,
        }
    }
}

impl Settings {
    /// Returns the rate at which the first service that reaches its capacity does so.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let limits = [0, 1].map(|service| {
            let slots = (0..self.targets).filter(|t| self.service(*t) == service);
            let slots: f64 = slots.map(|t| self.speed(t) * f64::from(SLOTS)).sum();
            let routes = self.routes.iter().filter(|r| r.service == service);
            let work: f64 = routes.map(|r| r.share * r.work.as_secs_f64()).sum();
            slots / (work * (1.0 + self.tail.0 * (self.tail.1 - 1.0)))
        });
        limits
            .into_iter()
            .filter(|l| !l.is_nan())
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the zone of an instance or a target.
    #[must_use]
    pub fn zone(&self, index: usize) -> u8 {
        u8::try_from(index % usize::from(self.zones)).unwrap_or(0)
    }

    pub(super) const fn service(&self, target: u16) -> u8 {
        (target >= self.targets - self.second) as u8
    }

    pub(super) fn speed(&self, target: u16) -> f64 {
        let position = usize::from(target / u16::from(self.zones));
        self.speeds[position % self.speeds.len()]
    }

    /// Returns the requests per second of each route in each zone.
    pub(super) fn rates(&self, at: Duration) -> Vec<(usize, u8, f64)> {
        let mut rates = Vec::new();
        for (index, route) in self.routes.iter().enumerate() {
            for zone in 0..self.zones {
                let factors = self.bursts.iter().map(|b| b.factor(index, zone, at));
                let rate = self.rate * route.share / f64::from(self.zones);
                rates.push((index, zone, rate * factors.product::<f64>()));
            }
        }
        rates
    }

    /// Draws the time for which a request runs at a target of speed 1.
    pub(super) fn draw_work(&self, route: usize, rng: &mut StdRng) -> Duration {
        let (share, factor) = self.tail;
        let tail = if rng.random_bool(share) { factor } else { 1.0 };
        let spread = match self.spread {
            Spread::Exponential => -random_log(rng),
            Spread::LogNormal(sigma) => {
                // The method of Box and Muller gives a normally distributed number.
                let angle = rng.random_range(0.0..std::f64::consts::TAU);
                let normal = (-2.0 * random_log(rng)).sqrt() * angle.cos();
                (sigma * normal - sigma * sigma / 2.0).exp()
            }
        };
        self.routes[route].work.mul_f64(spread * tail)
    }
}

/// Returns the logarithm of a random number from 0 to 1.
pub(super) fn random_log(rng: &mut StdRng) -> f64 {
    let uniform: f64 = rng.random_range(0.0..1.0);
    (1.0 - uniform).ln()
}
