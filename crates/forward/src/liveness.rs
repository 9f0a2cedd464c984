//! Liveness of targets, inferred from the packets of their clients.
//!
//! Answers do not pass through an instance. An acknowledgement by the client shows that the
//! target responded, and a retransmission that it did not.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, Millis};

use crate::health::{Health, Tally};
use crate::{FlowKey, TargetNumber};

/// Time without a response since the first retransmission after which a target may count as lost.
/// A packet that was only lost on the way is delivered by the client's first retransmission.
const LOST_AFTER: Duration = Duration::from_millis(200);
/// Retransmissions after which a target counts as lost even if all belong to one flow.
const LOST_RETRANSMISSIONS: u32 = 3;
/// Flows with retransmissions after which their target counts as lost.
const LOST_FLOWS: u32 = 2;
/// A response observed within this time takes precedence over the reports of peers, which may be
/// older.
const RECENT_RESPONSE: Duration = Duration::from_millis(500);
/// Time for which a missed packet, from when it was sent, or an unanswered opening counts against a
/// target. Afterwards the target gets work again, which shows whether it has recovered.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(3);
/// Interval at which one packet is forwarded to a lost target to detect its recovery.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Liveness of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// Nothing indicates a failure.
    Sound,
    /// An expected answer is outstanding.
    Suspect,
    /// Several expected answers are outstanding, and the target has not responded since.
    Lost,
}

impl fmt::Display for Liveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Sound => "sound",
            Self::Suspect => "suspect",
            Self::Lost => "lost",
        })
    }
}

/// A change of a target's liveness.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LivenessChange {
    /// The target.
    pub target: TargetNumber,
    /// Its present liveness.
    pub liveness: Liveness,
    /// Packets that clients have retransmitted since its last response.
    pub misses: u32,
    /// Time since its last response; `None` if there was none.
    pub since_last_response: Option<Duration>,
    /// Time since the newest packet was sent here that it has missed; `None` if it has missed none since
    /// its last response.
    pub since_last_missed: Option<Duration>,
    /// Outcomes of its requests on all instances.
    pub tally: Tally,
}

#[derive(Debug, Clone, Default)]
struct Record {
    last_response: Option<Millis>,
    /// When an opening packet timed out since the last response.
    unanswered_opening: Option<Millis>,
    /// Packets that clients have retransmitted since the last response.
    misses: u32,
    /// Runs of consecutive retransmissions from the same flow.
    flows: u32,
    last_flow: Option<FlowKey>,
    first_retransmission: Millis,
    /// When the newest packet was sent that the target has missed.
    last_missed: Millis,
    last_probe: Millis,
    last_reported: Option<Liveness>,
}

/// Responses and retransmissions of each target.
#[derive(Debug, Default)]
pub struct LivenessTracker {
    records: FastMap<TargetNumber, Record>,
    last_response_from_any: Option<Millis>,
}

impl LivenessTracker {
    pub fn record_response(&mut self, target: TargetNumber, now: Millis) {
        let record = self.records.entry(target).or_default();
        record.last_response = Some(now);
        record.unanswered_opening = None;
        record.misses = 0;
        record.flows = 0;
        record.last_flow = None;
        self.last_response_from_any = Some(now);
    }

    /// Records that an opening packet timed out. The client may have continued through another
    /// instance, so this alone makes a target suspect, never lost.
    pub fn record_unanswered_opening(&mut self, target: TargetNumber, now: Millis) {
        let record = self.records.entry(target).or_default();
        record.unanswered_opening = Some(now);
    }

    /// Withdraws the suspicion that an unanswered opening raised, for example because other
    /// targets did not answer the same client either.
    pub fn clear_suspicion(&mut self, target: TargetNumber) {
        if let Some(record) = self.records.get_mut(&target) {
            record.unanswered_opening = None;
        }
    }

    /// Records that a client retransmitted a packet of a flow. The target has missed the packet that
    /// was sent before, at `missed`.
    pub fn record_miss(
        &mut self,
        target: TargetNumber,
        flow: FlowKey,
        missed: Millis,
        now: Millis,
    ) {
        let record = self.records.entry(target).or_default();
        if record.misses == 0 {
            record.first_retransmission = now;
            record.last_missed = missed;
        }
        if record.own_liveness(now) != Liveness::Lost {
            // Until it is lost it gets packets anyway, so the first probe is due one interval after
            // the packet that makes it lost.
            record.last_probe = now;
        }
        record.misses += 1;
        if record.last_flow != Some(flow) {
            record.flows += 1;
            record.last_flow = Some(flow);
        }
        record.last_missed = record.last_missed.max(missed);
    }

    /// Discards what was observed of a target, as after its restart.
    pub fn clear(&mut self, target: TargetNumber) {
        if let Some(record) = self.records.get_mut(&target) {
            *record = Record {
                last_reported: record.last_reported,
                ..Record::default()
            };
        }
    }

    /// Tracks a target that peers have reported, so that changes of its liveness are reported.
    pub fn track(&mut self, target: TargetNumber) {
        self.records.entry(target).or_default();
    }

    /// Returns a target's liveness with the reports of peers taken into account.
    pub fn liveness(&self, target: TargetNumber, health: &Health, now: Millis) -> Liveness {
        let record = self.records.get(&target);
        record.map_or(Liveness::Sound, |record| {
            record.combined_liveness(health.tally(target, now), now)
        })
    }

    /// Returns whether a lost target is due for a probe, and records the probe if it is. A target
    /// that is unresponsive to all instances is not probed, since each instance would send a probe;
    /// it gets packets again when the tally of its misses has decayed.
    pub fn try_probe(&mut self, target: TargetNumber, health: &Health, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(&target) else {
            return true;
        };
        if record.is_unresponsive(health.tally(target, now), now) {
            return false;
        }
        let due = now.since(record.last_probe) >= PROBE_INTERVAL;
        if due {
            record.last_probe = now;
        }
        due
    }

    pub fn last_response(&self, target: TargetNumber) -> Option<Millis> {
        self.records.get(&target).and_then(|r| r.last_response)
    }

    /// Returns when any target last responded. A long time without any response indicates a fault
    /// of this instance or its network path.
    pub const fn last_response_from_any(&self) -> Option<Millis> {
        self.last_response_from_any
    }

    /// Returns the changes of liveness since the last call.
    pub fn changes(&mut self, health: &Health, now: Millis) -> Vec<LivenessChange> {
        let mut changed = Vec::new();
        for (target, record) in &mut self.records {
            let tally = health.tally(*target, now);
            let liveness = record.combined_liveness(tally, now);
            if record.last_reported.unwrap_or(Liveness::Sound) != liveness {
                record.last_reported = Some(liveness);
                let since_last_response = record.last_response.map(|at| now.since(at));
                let missed = record.misses > 0;
                changed.push(LivenessChange {
                    target: *target,
                    liveness,
                    misses: record.misses,
                    since_last_response,
                    since_last_missed: missed.then(|| now.since(record.last_missed)),
                    tally,
                });
            }
        }
        changed
    }

    /// Returns the numbers of suspect and of lost targets.
    pub fn count(&self, health: &Health, now: Millis) -> (usize, usize) {
        let states = self.records.iter();
        count(states.map(|(target, r)| r.combined_liveness(health.tally(*target, now), now)))
    }

    /// Returns the numbers of suspect and of lost targets by the observations of this instance
    /// alone.
    pub fn count_own(&self, now: Millis) -> (usize, usize) {
        count(self.records.values().map(|r| r.own_liveness(now)))
    }

    /// Removes all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(TargetNumber) -> bool) {
        self.records.retain(|target, _| keep(*target));
    }
}

fn count(states: impl Iterator<Item = Liveness>) -> (usize, usize) {
    states.fold((0, 0), |(suspect, lost), liveness| match liveness {
        Liveness::Sound => (suspect, lost),
        Liveness::Suspect => (suspect + 1, lost),
        Liveness::Lost => (suspect, lost + 1),
    })
}

impl Record {
    /// Returns the liveness by the observations of this instance and the tally of all instances.
    fn combined_liveness(&self, tally: Tally, now: Millis) -> Liveness {
        if self.is_unresponsive(tally, now) {
            Liveness::Lost
        } else {
            self.own_liveness(now)
        }
    }

    /// Returns whether the tally of all instances shows the target as lost.
    fn is_unresponsive(&self, tally: Tally, now: Millis) -> bool {
        let unresponsive = if self.last_reported == Some(Liveness::Lost) {
            tally.remains_unresponsive()
        } else {
            tally.is_unresponsive()
        };
        let recent = |at: Millis| now.since(at) < RECENT_RESPONSE;
        unresponsive && !self.last_response.is_some_and(recent)
    }

    /// Returns the liveness by the observations of this instance alone.
    fn own_liveness(&self, now: Millis) -> Liveness {
        let recent = |at: Millis| now.since(at) < SUSPICION_LIFETIME;
        let retransmitted = self.misses > 0 && recent(self.last_missed);
        let elapsed = now.since(self.first_retransmission);
        let enough = self.flows >= LOST_FLOWS || self.misses >= LOST_RETRANSMISSIONS;
        if retransmitted && enough && elapsed >= LOST_AFTER {
            Liveness::Lost
        } else if retransmitted || self.unanswered_opening.is_some_and(recent) {
            Liveness::Suspect
        } else {
            Liveness::Sound
        }
    }
}
