//! Reports for the log, the metrics and the peers, and the load that peers report.

use std::time::Duration;

use tanager_core::Millis;

use super::Forwarder;
use crate::{Cookie, Event, LoadReport, TargetLoad};

/// Values of the gauges that the metrics export.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Gauges {
    /// Flows in the table.
    pub flows: usize,
    /// Unanswered requests.
    pub waiting: usize,
    /// Published targets.
    pub targets: usize,
    /// Suspect targets: an expected answer is outstanding.
    pub suspect: usize,
    /// Lost targets, which no longer respond.
    pub lost: usize,
    /// Targets that fail requests.
    pub failing: usize,
    /// Evacuated zones.
    pub evacuated: usize,
    /// Held requests.
    pub held: usize,
    /// Size of their packets in bytes.
    pub held_bytes: usize,
}

impl Forwarder {
    /// Returns the events since the last call.
    pub fn take_events(&mut self, now: Millis) -> Vec<Event> {
        self.record_liveness_changes(now);
        for evacuation in self.view.take_evacuation_events() {
            self.record_event(Event::Evacuation(evacuation));
        }
        std::mem::take(&mut self.events)
    }

    /// Returns the answer times measured since the last call.
    pub fn take_answer_times(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.answer_times)
    }

    /// Returns the load that this instance places on each target and the outcomes it observed, for
    /// its peers.
    pub fn load_report(&mut self, now: Millis) -> Vec<LoadReport> {
        let mut reports = Vec::new();
        for (target, mut load) in self.loads.own(now) {
            load.tally = self.health.own(target, now);
            reports.extend(LoadReport::new(target.cookie(), &load));
        }
        reports
    }

    /// Applies the load that all other instances place on a target and the outcomes they observed.
    pub fn apply_peer_load(&mut self, cookie: Cookie, load: &TargetLoad, now: Millis) {
        if let Some(entry) = self.view.find_by_cookie(cookie) {
            let number = entry.target.number;
            self.loads.set_peer_load(number, load.busy, load.flows, now);
            self.health.set_peer_tally(number, load.tally, now);
            self.liveness.track(number);
        }
    }

    /// Returns the present values of the gauges.
    #[must_use]
    pub fn gauges(&self, now: Millis) -> Gauges {
        let (suspect, lost) = self.liveness.count(&self.health, now);
        let (held, held_bytes) = self.admission.held_count();
        Gauges {
            flows: self.flows.len(),
            waiting: self.loads.waiting() as usize,
            targets: self.view.published().count(),
            suspect,
            lost,
            failing: self.health.failing_count(),
            evacuated: self.view.evacuations().count(),
            held,
            held_bytes,
        }
    }
}
