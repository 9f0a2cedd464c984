//! What an instance tells its log, its metrics and its peers, and what it hears of their load.

use std::time::Duration;

use tanager_core::Millis;

use super::Forwarder;
use crate::{Cookie, Event, LoadReport, TargetLoad};

/// Numbers that metrics show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Gauges {
    /// Flows that are remembered.
    pub flows: usize,
    /// Requests without an answer so far.
    pub waiting: usize,
    /// Published targets.
    pub targets: usize,
    /// Targets that owe an answer.
    pub suspect: usize,
    /// Targets that have stopped answering.
    pub lost: usize,
    /// Targets that fail requests.
    pub failing: usize,
}

impl Forwarder {
    /// Returns decisions and changed beliefs since the last call.
    pub fn take_events(&mut self, now: Millis) -> Vec<Event> {
        self.note_standings(now);
        std::mem::take(&mut self.events)
    }

    /// Returns the times from requests to answers since the last call.
    pub fn take_answer_times(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.answer_times)
    }

    /// Returns what this instance itself has at each target and has seen of it, for peers.
    pub fn load_report(&mut self, now: Millis) -> Vec<LoadReport> {
        let mut reports = Vec::new();
        for (target, mut load) in self.loads.own(now) {
            load.tally = self.health.own(target, now);
            reports.extend(LoadReport::new(target.cookie(), &load));
        }
        reports
    }

    /// Takes over what all other instances have at a target and have seen of it.
    pub fn apply_peer_load(&mut self, cookie: Cookie, load: &TargetLoad, now: Millis) {
        if let Some(known) = self.view.find_by_cookie(cookie) {
            let number = known.target.number;
            self.loads.hear(number, load.busy, load.flows, now);
            self.health.hear(number, load.tally, now);
            self.evidence.know(number);
        }
    }

    /// Returns numbers for metrics.
    #[must_use]
    pub fn gauges(&self, now: Millis) -> Gauges {
        let (suspect, lost) = self.evidence.count(&self.health, now);
        Gauges {
            flows: self.flows.len(),
            waiting: self.loads.waiting() as usize,
            targets: self.view.published().count(),
            suspect,
            lost,
            failing: self.health.failing(),
        }
    }
}
