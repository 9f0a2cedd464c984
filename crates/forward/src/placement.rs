//! Placement of new flows. Services with many targets: the target of the instance's subset with the
//! shortest expected wait, and further ones while those are full. Services with few targets: the
//! least loaded responsive target of a sample, preferably in the local availability zone unless its
//! targets are too busy.

mod candidates;
mod choose;
pub mod cold;
mod explain;
mod sample;
mod speed;
mod subset;
mod turns;

use std::time::Duration;

use rand::rngs::StdRng;
use tanager_core::{Millis, PublishedService, PublishedZone};

use crate::health::{FAILING_RATE, Health};
use crate::liveness::LivenessTracker;
use crate::load::Loads;
use crate::membership::RingPoint;
use crate::view::{TargetEntry, View};
use crate::{Liveness, TargetNumber, WarmupLimiter};
use candidates::{Candidates, is_cold};
use choose::SubsetChoice;
use cold::is_limited;
use speed::{Observation, Speeds};
use subset::Subset;
use turns::Turns;

/// Expected number of running requests per open flow, averaged over its idle times.
const FLOW_DEMAND: f64 = 0.035;
/// Load added to a target that is still warming up.
const WARMUP_PENALTY: f64 = 0.2;
/// Factor by which requests take longer on a target that is still warming up.
const WARMUP_FACTOR: f64 = 1.6;
/// Shortest and longest time that a full queue is taken to need until it is empty.
const QUEUE_TIME: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    pub target: TargetNumber,
    /// Its load divided by its slots: in a subset divided by its speed, too, otherwise with penalties.
    pub load: f64,
    /// Number of ready targets of the service.
    pub candidates: usize,
    /// Number of further ones that are cold and whose rate permits no opening now.
    pub withheld: usize,
    /// Number of targets that were examined.
    pub examined: usize,
}

/// The target for a flow.
#[derive(Debug, Clone, Copy)]
struct Pick {
    target: TargetNumber,
    /// As [`Choice::load`].
    load: f64,
    /// By how much the flow moves the target's next turn, if the target was chosen by turns.
    cost: Option<f64>,
}

/// The targets that a decision examines.
#[derive(Debug, Default)]
struct Examined {
    /// Their number.
    count: usize,
    /// Those whose loads were compared, if a caller wants to know them.
    compared: Option<Vec<TargetNumber>>,
}

impl Examined {
    fn record_comparison(&mut self, target: TargetNumber) {
        if let Some(compared) = &mut self.compared {
            compared.push(target);
        }
    }
}

/// What a forwarder knows of the targets.
pub struct Observations<'a> {
    /// The local availability zone.
    pub zone: &'a PublishedZone,
    pub view: &'a View,
    pub liveness: &'a LivenessTracker,
    pub health: &'a Health,
    pub loads: &'a Loads,
    pub warmup: &'a WarmupLimiter,
    pub now: Millis,
}

impl Observations<'_> {
    fn liveness_of(&self, entry: &TargetEntry) -> Liveness {
        self.liveness
            .liveness(entry.target.number, self.health, self.now)
    }

    fn is_failing(&self, target: TargetNumber) -> bool {
        self.health.failure_rate(target, self.now) > FAILING_RATE
    }

    fn is_refusing(&self, target: TargetNumber) -> bool {
        self.health.is_refusing(target, self.now)
    }

    /// Returns the cold targets of a service with a rate to which a flow may be opened now.
    fn granted(&self, service: &PublishedService) -> Vec<TargetNumber> {
        let is_usable = |entry: &TargetEntry| {
            entry.target.service == *service
                && self.view.takes_flows(entry)
                && is_limited(entry, self.view, self.now)
        };
        let allowed = self.warmup.allowed(self.now);
        let mut granted: Vec<_> = allowed
            .filter(|n| self.view.get(*n).is_some_and(is_usable))
            .collect();
        // The order decides which ones a sample contains.
        granted.sort_unstable();
        granted
    }

    /// Returns what all instances have seen of a target, unless it is cold or failing.
    fn observe(&self, target: TargetNumber) -> Option<Observation> {
        let entry = self.view.get(target).filter(|e| e.accepts_flows())?;
        if self.is_failing(target) || is_cold(entry, self) {
            return None;
        }
        Some(Observation {
            slots: f64::from(entry.target.slots),
            running: self.loads.mean_running(target, self.now),
            rate: self.health.tally(target, self.now).sound_rate(),
        })
    }
}

/// How busy a target is.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Requests in flight per slot, without those on the way.
    pub running: f64,
    /// Part of the slots that successful answers of the last second kept busy.
    pub busy: f64,
}

/// State of placement.
#[derive(Debug, Default)]
pub struct Placement {
    candidates: Candidates,
    speeds: Speeds,
    turns: Turns,
    ring: RingPoint,
}

impl Placement {
    /// Sets where the instance's subsets begin.
    pub const fn set_ring_point(&mut self, ring: RingPoint) {
        self.ring = ring;
    }

    /// Chooses a target of a service, preferably one that is not in `tried`.
    pub fn choose(
        &mut self,
        seen: &Observations<'_>,
        service: &PublishedService,
        tried: &[TargetNumber],
        rng: &mut StdRng,
    ) -> Option<Choice> {
        self.candidates.refresh(seen.view, seen.now);
        let mut examined = Examined::default();
        let (choice, cost) =
            self.decide(&self.candidates, seen, service, tried, rng, &mut examined)?;
        if let Some(cost) = cost {
            self.turns.take(service, choice.target, cost);
        }
        Some(choice)
    }

    /// Decides without changing anything. `candidates` must be up to date. Returns the choice, and
    /// [`Pick::cost`].
    fn decide(
        &self,
        candidates: &Candidates,
        seen: &Observations<'_>,
        service: &PublishedService,
        tried: &[TargetNumber],
        rng: &mut StdRng,
        examined: &mut Examined,
    ) -> Option<(Choice, Option<f64>)> {
        let targets = candidates.get(service)?;
        let granted = if targets.limited == 0 {
            Vec::new()
        } else {
            seen.granted(service)
        };
        let zone_size = targets.zone(seen.zone).len();
        let subset = Subset::new(service, zone_size, self.ring);
        let pick = subset.and_then(|subset| {
            let mut choice = SubsetChoice {
                seen,
                speeds: &self.speeds,
                turns: &self.turns,
                service,
                targets,
                granted: &granted,
                tried,
                rng: &mut *rng,
                examined: &mut *examined,
            };
            choice.choose(subset)
        });
        let pick =
            pick.or_else(|| sample::choose(seen, targets, &granted, tried, rng, examined))?;
        let choice = Choice {
            target: pick.target,
            load: pick.load,
            candidates: targets.all.len() + granted.len(),
            withheld: targets.limited - granted.len(),
            examined: examined.count,
        };
        Some((choice, pick.cost))
    }

    /// Updates the speeds of all targets. `opening_time` is the usual duration of openings.
    pub fn update_speeds(&mut self, seen: &Observations<'_>, opening_time: Duration) {
        self.candidates.refresh(seen.view, seen.now);
        let observe = |n| seen.observe(n);
        self.speeds
            .update(&self.candidates, opening_time, observe, seen.now);
    }

    /// Returns the time that the queue of a target takes to empty, which has just refused a request.
    pub fn queue_time(&self, seen: &Observations<'_>, target: TargetNumber) -> Duration {
        let Some(entry) = seen.view.get(target) else {
            return QUEUE_TIME.0;
        };
        let slots = f64::from(entry.target.slots);
        let load = seen.loads.get(target, seen.now);
        let waiting = (load.running + load.others - slots).max(slots);
        let request_time = self.speeds.request_time(&entry.target.service, target);
        let time = Duration::try_from_secs_f64(waiting * request_time / slots);
        time.unwrap_or(QUEUE_TIME.1)
            .clamp(QUEUE_TIME.0, QUEUE_TIME.1)
    }

    /// Returns how busy all instances together keep a target.
    pub fn usage(&self, seen: &Observations<'_>, target: TargetNumber) -> Usage {
        let Some(entry) = seen.view.get(target) else {
            return Usage::default();
        };
        let slots = f64::from(entry.target.slots);
        let service = &entry.target.service;
        let load = seen.loads.get(target, seen.now);
        let tally = seen.health.tally(target, seen.now);
        let on_the_way = tally.rate() * self.speeds.transit(service);
        let request_time = self.speeds.request_time(service, target);
        Usage {
            running: (load.running + load.others - on_the_way).max(0.0) / slots,
            busy: tally.sound_rate() * request_time / slots,
        }
    }

    /// Returns the learned speed of a target.
    pub fn speed(&self, target: TargetNumber) -> f64 {
        self.speeds.get(target)
    }

    /// Forgets what was learned of a target, as after its restart.
    pub fn clear(&mut self, target: TargetNumber) {
        self.speeds.clear(target);
    }

    /// Removes all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(TargetNumber) -> bool) {
        self.turns.retain(keep);
    }
}
