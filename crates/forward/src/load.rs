//! How many requests each target works on, seen from the packets of clients: a request begins
//! with new data and ends when the client acknowledges the first bytes of its answer.

use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::{Tally, TargetNumber};

/// Time over which the mean number of running requests is taken.
const AVERAGE_TIME: Duration = Duration::from_secs(1);
/// Reports of peers older than this are not used.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Default)]
struct Own {
    /// Requests without an answer so far.
    waiting: u32,
    /// New flows that the target has not answered yet.
    opening: u32,
    /// Flows, also idle ones.
    flows: u32,
    /// Mean of `waiting` over [`AVERAGE_TIME`], as of `averaged`.
    busy: f64,
    averaged: Millis,
}

impl Own {
    fn settle(&mut self, now: Millis) {
        let elapsed = now.since(self.averaged).as_secs_f64();
        let weight = 1.0 - (-elapsed / AVERAGE_TIME.as_secs_f64()).exp();
        self.busy += (f64::from(self.waiting) - self.busy) * weight;
        self.averaged = now;
    }
}

/// What other instances together have at a target.
#[derive(Debug, Clone, Copy)]
struct Others {
    busy: f64,
    flows: f64,
    received: Millis,
}

/// What one or several instances have at a target, and have seen of it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetLoad {
    /// Mean number of running requests.
    pub busy: f64,
    /// Flows, also idle ones.
    pub flows: f64,
    /// How requests ended.
    pub tally: Tally,
}

impl TargetLoad {
    /// Adds a part of another load, which may be negative.
    pub(crate) fn add(&mut self, other: &Self, part: f64) {
        let sum = |a: f64, b: f64| (a + b * part).max(0.0);
        self.busy = sum(self.busy, other.busy);
        self.flows = sum(self.flows, other.flows);
        self.tally = self.tally.plus(other.tally, part);
    }
}

/// The load of one target as it is compared.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Own requests without an answer, and own flows that are being opened.
    pub running: f64,
    /// Mean number of requests that run for other instances.
    pub others: f64,
    /// Flows of all instances, also idle ones.
    pub flows: f64,
}

/// The load of all targets.
#[derive(Debug, Default)]
pub struct Loads {
    own: FastMap<TargetNumber, Own>,
    others: FastMap<TargetNumber, Others>,
}

impl Loads {
    fn change(&mut self, target: TargetNumber, now: Millis, change: impl FnOnce(&mut Own)) {
        let own = self.own.entry(target).or_default();
        own.settle(now);
        change(own);
    }

    /// Counts a flow that a target was chosen for.
    pub fn open(&mut self, target: TargetNumber, now: Millis) {
        self.change(target, now, |own| {
            own.flows += 1;
            own.opening += 1;
        });
    }

    /// Counts an open flow that was first seen in the middle.
    pub fn adopt(&mut self, target: TargetNumber, now: Millis) {
        self.change(target, now, |own| own.flows += 1);
    }

    /// Counts that a flow's target answered the opening.
    pub fn opened(&mut self, target: TargetNumber, now: Millis) {
        self.change(target, now, |own| {
            own.opening = own.opening.saturating_sub(1);
        });
    }

    /// Counts the end of a flow, which may still be opening or wait for an answer.
    pub fn close(&mut self, target: TargetNumber, opening: bool, waiting: bool, now: Millis) {
        self.change(target, now, |own| {
            own.flows = own.flows.saturating_sub(1);
            own.opening = own.opening.saturating_sub(u32::from(opening));
            own.waiting = own.waiting.saturating_sub(u32::from(waiting));
        });
    }

    /// Counts the begin of a request.
    pub fn begin(&mut self, target: TargetNumber, now: Millis) {
        self.change(target, now, |own| own.waiting += 1);
    }

    /// Counts the end of a request.
    pub fn end(&mut self, target: TargetNumber, now: Millis) {
        self.change(target, now, |own| {
            own.waiting = own.waiting.saturating_sub(1);
        });
    }

    /// Returns the load of a target.
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

    /// Returns the own load of each target, without a tally.
    pub fn own(&mut self, now: Millis) -> impl Iterator<Item = (TargetNumber, TargetLoad)> {
        self.own.iter_mut().map(move |(target, own)| {
            own.settle(now);
            let load = TargetLoad {
                busy: own.busy,
                flows: f64::from(own.flows),
                ..TargetLoad::default()
            };
            (*target, load)
        })
    }

    /// Takes over what all other instances have at a target.
    pub fn hear(&mut self, target: TargetNumber, busy: f64, flows: f64, now: Millis) {
        let others = Others {
            busy,
            flows,
            received: now,
        };
        self.others.insert(target, others);
    }

    /// Returns the own requests without an answer.
    pub fn waiting(&self) -> u32 {
        self.own.values().map(|o| o.waiting).sum()
    }

    /// Forgets targets that are not known any more.
    pub fn retain(&mut self, known: impl Fn(TargetNumber) -> bool) {
        self.own.retain(|target, _| known(*target));
        self.others.retain(|target, _| known(*target));
    }
}
