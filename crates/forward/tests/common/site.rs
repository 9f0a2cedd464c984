//! A small site in simulated time: instances and targets of three zones, and clients that open a flow
//! for each request. Choices are drawn from a seed.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tanager_core::Incarnation;
use tanager_forward::{
    Action, Event, Forwarder, Kind, Membership, Outcome, OwnInstance, Role, Route, RouteTable,
    TargetNumber,
};

use super::{Client, FEED_PORT, ORDER_PORT, REVISION, at, published, route, target, zone};

pub const ZONES: usize = 3;
/// Instances of each zone.
const INSTANCES: usize = 3;
/// Targets of each zone, with two slots each.
const TARGETS: usize = 4;
/// Requests that a target queues behind its slots.
const QUEUE: usize = 6;
/// Time that a request runs, in milliseconds.
const WORK: u64 = 30;
/// Delay of a packet between any two parts, in milliseconds.
const PATH: u64 = 2;
/// Objective of both routes, in milliseconds.
const OBJECTIVE: u64 = 400;
/// Attempts after the first one.
const RETRIES: u8 = 2;
/// Requests a second that all targets complete.
#[expect(clippy::cast_precision_loss, reason = "small numbers")]
pub const CAPACITY: f64 = (ZONES * TARGETS * 2) as f64 * 1_000.0 / WORK as f64;

#[derive(Debug, Clone, Copy)]
struct Request {
    zone: usize,
    port: u16,
    started: u64,
    attempts: u8,
}

#[derive(Debug, Clone, Copy)]
enum Happening {
    Open(usize),
    Opened(usize, TargetNumber),
    Submit(usize, TargetNumber),
    Done(usize, TargetNumber),
    Answered(usize, bool),
}

struct Attempt {
    request: Request,
    instance: usize,
    client: Client,
}

#[derive(Default)]
struct TargetModel {
    running: usize,
    queue: VecDeque<usize>,
}

/// Outcomes of the requests of one zone and route that started in one second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Share {
    pub asked: u32,
    pub in_time: u32,
}

impl Share {
    pub fn ratio(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

pub struct Site {
    now: u64,
    instances: Vec<(Forwarder, Membership)>,
    targets: Vec<TargetModel>,
    attempts: Vec<Attempt>,
    events: BTreeMap<(u64, u64), Happening>,
    scheduled: u64,
    rng: StdRng,
    /// Requests a second of each zone to each route.
    pub rates: [[f64; 2]; ZONES],
    due: [[f64; 2]; ZONES],
    pub beacons_lost: bool,
    /// By second, zone and route.
    pub shares: BTreeMap<(u64, usize, u16), Share>,
    /// Requests that were held, displaced, refused or reset, by second.
    pub delayed: BTreeMap<u64, u32>,
}

fn site_route(port: u16, kind: Kind, priority: u64) -> Route {
    Route {
        objective: Duration::from_millis(OBJECTIVE),
        timeout: Duration::from_secs(2),
        priority,
        ..route(port, kind, "feeds")
    }
}

fn address(index: usize) -> SocketAddrV4 {
    let host = u8::try_from(index).expect("a small number");
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, host), 7_000)
}

fn instance(index: usize, seed: u64) -> (Forwarder, Membership) {
    let own_zone = index / INSTANCES;
    let name = ["a", "b", "c"][own_zone];
    let mut forwarder = Forwarder::new(zone(name), seed + index as u64);
    for number in 0..ZONES * TARGETS {
        let name = ["a", "b", "c"][number / TARGETS];
        let target = target(number as u64 + 1, "feeds", name);
        forwarder.apply(published(target, REVISION), at(0));
    }
    let routes = vec![
        site_route(FEED_PORT, Kind::Idempotent, 2),
        site_route(ORDER_PORT, Kind::NonIdempotent, 1),
    ];
    forwarder.apply_routes(RouteTable::new(1, REVISION, Duration::ZERO, routes));
    forwarder.advance(REVISION);
    let own = OwnInstance {
        address: address(index),
        incarnation: Incarnation::new(1),
        zone: u8::try_from(own_zone).expect("a small number"),
        capacity: 100,
    };
    // The first instance of each zone.
    let seeds = (0..ZONES).map(|z| address(z * INSTANCES));
    (forwarder, Membership::new(own, seeds.collect()))
}

impl Site {
    pub fn new(seed: u64) -> Self {
        Self {
            now: 0,
            instances: (0..ZONES * INSTANCES).map(|i| instance(i, seed)).collect(),
            targets: (0..ZONES * TARGETS)
                .map(|_| TargetModel::default())
                .collect(),
            attempts: Vec::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            rng: StdRng::seed_from_u64(seed),
            rates: [[0.0; 2]; ZONES],
            due: [[0.0; 2]; ZONES],
            beacons_lost: false,
            shares: BTreeMap::new(),
            delayed: BTreeMap::new(),
        }
    }

    /// Lets so many seconds pass.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 {
            self.now += 1;
            self.start_requests();
            while let Some(((time, _), _)) = self.events.first_key_value()
                && *time <= self.now
                && let Some((_, event)) = self.events.pop_first()
            {
                self.handle(event);
            }
            for index in 0..self.instances.len() {
                self.take_due(index);
                if (self.now + index as u64 * 37).is_multiple_of(400) {
                    self.send_beacons(index);
                }
            }
        }
    }

    /// Returns the outcomes of requests that started in some seconds.
    pub fn share(&self, seconds: std::ops::Range<u64>, of: impl Fn(usize, u16) -> bool) -> Share {
        let mut sum = Share::default();
        for ((second, zone, port), share) in &self.shares {
            if seconds.contains(second) && of(*zone, *port) {
                sum.asked += share.asked;
                sum.in_time += share.in_time;
            }
        }
        sum
    }

    fn schedule(&mut self, after: u64, event: Happening) {
        self.scheduled += 1;
        self.events
            .insert((self.now + after, self.scheduled), event);
    }

    fn start_requests(&mut self) {
        for zone in 0..ZONES {
            for (route, port) in [FEED_PORT, ORDER_PORT].into_iter().enumerate() {
                self.due[zone][route] -= self.rates[zone][route] / 1_000.0;
                while self.due[zone][route] < 0.0 {
                    // Exponential gaps between requests.
                    let uniform: f64 = self.rng.random_range(0.0..1.0);
                    self.due[zone][route] -= (1.0 - uniform).ln();
                    let request = Request {
                        zone,
                        port,
                        started: self.now,
                        attempts: 0,
                    };
                    self.share_of(request).asked += 1;
                    self.open(request);
                }
            }
        }
    }

    fn share_of(&mut self, request: Request) -> &mut Share {
        let key = (request.started / 1_000, request.zone, request.port);
        self.shares.entry(key).or_default()
    }

    fn open(&mut self, request: Request) {
        let instance = request.zone * INSTANCES + self.rng.random_range(0..INSTANCES);
        let id = self.attempts.len();
        let mut client = Client::new(1, request.port);
        let [.., a, b, c] = id.to_be_bytes();
        client.flow.client.set_ip([100, a, b, c].into());
        self.attempts.push(Attempt {
            request,
            instance,
            client,
        });
        self.schedule(PATH, Happening::Open(id));
    }

    fn retry(&mut self, id: usize) {
        let mut request = self.attempts[id].request;
        request.attempts += 1;
        if request.attempts <= RETRIES {
            self.open(request);
        }
    }

    fn handle(&mut self, event: Happening) {
        let now = at(self.now);
        match event {
            Happening::Open(id) => {
                let attempt = &self.attempts[id];
                let forwarder = &mut self.instances[attempt.instance].0;
                let action = attempt.client.opening(forwarder, 0, now);
                self.apply_to_opening(id, action);
            }
            Happening::Opened(id, target) => {
                let attempt = &mut self.attempts[id];
                let forwarder = &mut self.instances[attempt.instance].0;
                attempt.client.accept_opening(target);
                if let Action::Forward(forward) = attempt.client.send(forwarder, 500, now) {
                    self.schedule(PATH, Happening::Submit(id, forward.target));
                }
            }
            Happening::Submit(id, number) => {
                let target = &mut self.targets[index_of(number)];
                if target.running < 2 {
                    target.running += 1;
                    self.schedule(WORK, Happening::Done(id, number));
                } else if target.queue.len() < QUEUE {
                    target.queue.push_back(id);
                } else {
                    self.schedule(PATH, Happening::Answered(id, false));
                }
            }
            Happening::Done(id, number) => {
                self.schedule(PATH, Happening::Answered(id, true));
                let target = &mut self.targets[index_of(number)];
                match target.queue.pop_front() {
                    Some(next) => self.schedule(WORK, Happening::Done(next, number)),
                    None => target.running -= 1,
                }
            }
            Happening::Answered(id, served) => {
                let attempt = &mut self.attempts[id];
                let request = attempt.request;
                let forwarder = &mut self.instances[attempt.instance].0;
                let length = if served { 2_000 } else { 100 };
                attempt.client.acknowledge(forwarder, length, now);
                attempt.client.finish(forwarder, now);
                if !served {
                    self.retry(id);
                } else if self.now - request.started <= OBJECTIVE {
                    self.share_of(request).in_time += 1;
                }
            }
        }
    }

    fn apply_to_opening(&mut self, id: usize, action: Action) {
        match action {
            Action::Forward(forward) => {
                self.schedule(2 * PATH, Happening::Opened(id, forward.target));
            }
            Action::Reset { .. } => {
                *self.delayed.entry(self.now / 1_000).or_default() += 1;
                self.retry(id);
            }
            _ => {}
        }
    }

    fn take_due(&mut self, index: usize) {
        let forwarder = &mut self.instances[index].0;
        let due = forwarder.take_due(at(self.now));
        let events = forwarder.take_events(at(self.now));
        let held = |e: &&Event| matches!(e, Event::Admission(s) if s.outcome == Outcome::Held);
        let held = u32::try_from(events.iter().filter(held).count()).expect("a small number");
        *self.delayed.entry(self.now / 1_000).or_default() += held;
        for due in due {
            let [_, a, b, c] = due.flow.client.ip().octets();
            let id = u32::from_be_bytes([0, a, b, c]) as usize;
            if due.packet == b"opening" || due.packet.is_empty() {
                self.apply_to_opening(id, due.action);
            }
        }
    }

    fn send_beacons(&mut self, index: usize) {
        let now = at(self.now);
        let (forwarder, membership) = &mut self.instances[index];
        forwarder.record_verified(now);
        let role = membership.role(Some(Duration::ZERO), now);
        let view = (forwarder.view().version(), Some(Duration::ZERO));
        let loads = forwarder.load_report(now);
        membership.set_demands(forwarder.demand_report(now));
        if role == Role::Hub {
            apply_peers(forwarder, membership, role, now);
        }
        let ring = membership.ring_point(role, now);
        forwarder.set_ring_point(ring);
        let positions = membership.zone_positions(now);
        let mut beacons = Vec::new();
        for to in membership.recipients(role, false, now) {
            for mut beacon in membership.beacons(to, role, view, &loads, now) {
                beacon.position = positions.get(to).filter(|_| beacon.hub);
                beacons.push((to, beacon));
            }
        }
        forwarder.sweep(now);
        membership.expire(now);
        for (to, beacon) in beacons.into_iter().filter(|_| !self.beacons_lost) {
            let (forwarder, membership) = &mut self.instances[usize::from(to.ip().octets()[3])];
            membership.apply_beacon(&beacon, now);
            let role = membership.role(Some(Duration::ZERO), now);
            if beacon.hub {
                apply_peers(forwarder, membership, role, now);
            }
        }
    }
}

fn apply_peers(
    forwarder: &mut Forwarder,
    membership: &Membership,
    role: Role,
    now: tanager_core::Millis,
) {
    forwarder.apply_peer_demands(membership.peer_demands(role, now), now);
    for (cookie, load) in membership.peer_loads(role, now) {
        forwarder.apply_peer_load(cookie, &load, now);
    }
}

fn index_of(number: TargetNumber) -> usize {
    usize::try_from(number.get() - 1).expect("a small number")
}
