//! Estimates the number of running requests on each target from the packets of clients. A request
//! starts with new data and ends when the client acknowledges the first bytes of its answer.

use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::{Tally, TargetNumber};

/// Time constant of the moving average of running requests.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Age from which reports of peers are ignored.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Default)]
struct OwnLoad {
    /// Requests without an answer so far.
    waiting: u32,
    /// Flows whose opening the target has not answered yet.
    opening: u32,
    /// Flows, including idle ones.
    flows: u32,
    /// Moving average of `waiting` over [`AVERAGING_TIME`], as of `updated`.
    busy: f64,
    updated: Millis,
}

impl OwnLoad {
    /// Returns the moving average of `waiting`.
    fn average(&self, now: Millis) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        let weight = 1.0 - (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        self.busy + (f64::from(self.waiting) - self.busy) * weight
    }

    fn update_average(&mut self, now: Millis) {
        self.busy = self.average(now);
        self.updated = now;
    }
}

/// Total load that all other instances place on a target.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    busy: f64,
    flows: f64,
    received: Millis,
}

/// Load that one or several instances place on a target, and the outcomes of their requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetLoad {
    /// Mean number of running requests.
    pub busy: f64,
    /// Flows, including idle ones.
    pub flows: f64,
    /// Outcomes of requests.
    pub tally: Tally,
}

impl TargetLoad {
    /// Adds another load times `factor`, which may be negative.
    pub(crate) fn add(&mut self, other: &Self, factor: f64) {
        let sum = |a: f64, b: f64| (a + b * factor).max(0.0);
        self.busy = sum(self.busy, other.busy);
        self.flows = sum(self.flows, other.flows);
        self.tally = self.tally.add_scaled(other.tally, factor);
    }
}

/// What a flow contributes to the load of its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowLoad {
    /// Whether its client may send further requests.
    pub unfinished: bool,
    /// Whether the target has not answered the opening.
    pub opening: bool,
    /// Whether a request has no answer so far.
    pub waiting: bool,
}

/// The load of one target, as used for placement.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Unanswered requests and opening flows of this instance.
    pub running: f64,
    /// Mean number of running requests from other instances.
    pub others: f64,
    /// Flows of all instances, including idle ones.
    pub flows: f64,
}

/// The load of all targets.
#[derive(Debug, Default)]
pub struct Loads {
    own: FastMap<TargetNumber, OwnLoad>,
    others: FastMap<TargetNumber, PeerLoad>,
}

impl Loads {
    fn change(&mut self, target: TargetNumber, now: Millis, change: impl FnOnce(&mut OwnLoad)) {
        let own = self.own.entry(target).or_default();
        own.update_average(now);
        change(own);
    }

    /// Counts a flow that was placed on a target.
    pub fn open(&mut self, target: TargetNumber, now: Millis) {
        self.change(target, now, |own| {
            own.flows += 1;
            own.opening += 1;
        });
    }

    /// Counts an open flow of which this instance did not receive the opening.
    pub fn adopt(&mut self, target: TargetNumber, now: Millis) {
        self.change(target, now, |own| own.flows += 1);
    }

    /// Records that a flow's target answered the opening.
    pub fn opened(&mut self, target: TargetNumber, now: Millis) {
        self.change(target, now, |own| {
            own.opening = own.opening.saturating_sub(1);
        });
    }

    /// Counts a flow that has moved from another target.
    pub fn add(&mut self, target: TargetNumber, load: FlowLoad, now: Millis) {
        self.change(target, now, |own| {
            own.flows += u32::from(load.unfinished);
            own.opening += u32::from(load.opening);
            own.waiting += u32::from(load.waiting);
        });
    }

    /// Stops counting a flow, or parts of its load.
    pub fn remove(&mut self, target: TargetNumber, load: FlowLoad, now: Millis) {
        self.change(target, now, |own| {
            own.flows = own.flows.saturating_sub(u32::from(load.unfinished));
            own.opening = own.opening.saturating_sub(u32::from(load.opening));
            own.waiting = own.waiting.saturating_sub(u32::from(load.waiting));
        });
    }

    /// Counts the start of a request.
    pub fn start_request(&mut self, target: TargetNumber, now: Millis) {
        self.change(target, now, |own| own.waiting += 1);
    }

    /// Counts the end of a request.
    pub fn end_request(&mut self, target: TargetNumber, now: Millis) {
        self.change(target, now, |own| {
            own.waiting = own.waiting.saturating_sub(1);
        });
    }

    pub fn get(&self, target: TargetNumber, now: Millis) -> Load {
        let own = self.own.get(&target);
        let others = self.others.get(&target);
        let others = others.filter(|o| now.since(o.received) < REPORT_LIFETIME);
        let own_flows = own.map_or(0.0, |o| f64::from(o.flows));
        Load {
            running: own.map_or(0.0, |o| f64::from(o.waiting + o.opening)),
            others: others.map_or(0.0, |o| o.busy),
            flows: own_flows + others.map_or(0.0, |o| o.flows),
        }
    }

    /// Returns the mean number of running requests of all instances in the last second.
    pub fn mean_running(&self, target: TargetNumber, now: Millis) -> f64 {
        let own = self.own.get(&target).map_or(0.0, |o| o.average(now));
        own + self.get(target, now).others
    }

    /// Returns the load that this instance places on each target, without a tally.
    pub fn own(&mut self, now: Millis) -> impl Iterator<Item = (TargetNumber, TargetLoad)> {
        self.own.iter_mut().map(move |(target, own)| {
            own.update_average(now);
            let load = TargetLoad {
                busy: own.busy,
                flows: f64::from(own.flows),
                ..TargetLoad::default()
            };
            (*target, load)
        })
    }

    /// Replaces the load that all other instances place on a target.
    pub fn set_peer_load(&mut self, target: TargetNumber, busy: f64, flows: f64, now: Millis) {
        let others = PeerLoad {
            busy,
            flows,
            received: now,
        };
        self.others.insert(target, others);
    }

    /// Returns the number of unanswered requests of this instance.
    pub fn waiting(&self) -> u32 {
        self.own.values().map(|o| o.waiting).sum()
    }

    /// Removes all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(TargetNumber) -> bool) {
        self.own.retain(|target, _| keep(*target));
        self.others.retain(|target, _| keep(*target));
    }
}
