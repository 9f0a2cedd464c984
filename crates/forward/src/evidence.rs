//! What passing packets tell about a target's life. Answers do not pass through an instance, so
//! life shows in what clients acknowledge, and silence in what they repeat.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, Millis};

use crate::health::{Health, Tally};
use crate::{FlowKey, TargetNumber};

/// Time from the first miss in which nothing was heard, after which a target counts as lost.
/// Packets lost on the way to it come again within a client's first retransmission.
const LOST_SILENCE: Duration = Duration::from_millis(200);
/// Misses of one flow alone after which its target counts as lost.
const LOST_MISSES: u32 = 3;
/// Flows with misses after which their target counts as lost.
const LOST_FLOWS: u32 = 2;
/// A sign of life that is this young goes before what peers report, which may be older.
const HEARD_LATELY: Duration = Duration::from_millis(500);
/// How long a miss counts. A target that has answered nothing since then gets work again, to see
/// whether it is back.
const MISS_LIFETIME: Duration = Duration::from_secs(3);
/// Interval at which a lost target gets one packet, to notice that it is back.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// What is believed about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers, as far as is known.
    Sound,
    /// An expected answer has not come.
    Suspect,
    /// Several expected answers have not come, and no other has.
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

/// A target that is believed in another state than before.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LivenessChange {
    /// The target.
    pub target: TargetNumber,
    /// What is believed now.
    pub liveness: Liveness,
    /// Repeated packets of clients since the last sign of life.
    pub misses: u32,
    /// Time since the last sign of life; `None` if there was none.
    pub since_last_response: Option<Duration>,
    /// What all instances have seen.
    pub tally: Tally,
}

#[derive(Debug, Clone, Default)]
struct Record {
    /// The last sign of life.
    alive: Option<Millis>,
    /// When an opening went unanswered for a while since the last sign of life.
    doubt: Option<Millis>,
    /// Repeated packets of clients since the last sign of life.
    misses: u32,
    /// Changes of flow among these misses, plus one.
    flows: u32,
    last_flow: Option<FlowKey>,
    first_miss: Millis,
    last_miss: Millis,
    /// When it last got a packet that shows whether it is back.
    last_trial: Millis,
    /// The standing that was last reported.
    told: Option<Liveness>,
}

/// Signs of life and misses of each target.
#[derive(Debug, Default)]
pub struct Evidence {
    records: FastMap<TargetNumber, Record>,
    /// The last sign of life of any target.
    any_alive: Option<Millis>,
}

impl Evidence {
    /// Notes that a target answered.
    pub fn alive(&mut self, target: TargetNumber, now: Millis) {
        let record = self.records.entry(target).or_default();
        record.alive = Some(now);
        record.doubt = None;
        record.misses = 0;
        record.flows = 0;
        record.last_flow = None;
        self.any_alive = Some(now);
    }

    /// Notes that an opening has gone unanswered for a while. The client may also go on through
    /// another instance, so this alone never makes a target count as lost.
    pub fn doubt(&mut self, target: TargetNumber, now: Millis) {
        let record = self.records.entry(target).or_default();
        record.doubt = Some(now);
    }

    /// Takes a doubt back, as when other targets did not answer the same client either.
    pub fn trust(&mut self, target: TargetNumber) {
        if let Some(record) = self.records.get_mut(&target) {
            record.doubt = None;
        }
    }

    /// Notes that a client repeated a packet of a flow, because the target did not answer.
    pub fn miss(&mut self, target: TargetNumber, flow: FlowKey, now: Millis) {
        let record = self.records.entry(target).or_default();
        if record.misses == 0 {
            record.first_miss = now;
        }
        if record.standing(now) != Liveness::Lost {
            // Packets that still reach it tell enough for now, also the one that makes it lost.
            record.last_trial = now;
        }
        record.misses += 1;
        if record.last_flow != Some(flow) {
            record.flows += 1;
            record.last_flow = Some(flow);
        }
        record.last_miss = now;
    }

    /// Forgets what was seen of a target, as when it was started again.
    pub fn clear(&mut self, target: TargetNumber) {
        if let Some(record) = self.records.get_mut(&target) {
            *record = Record {
                told: record.told,
                ..Record::default()
            };
        }
    }

    /// Notes that a target is known to peers, so that what they tell of it is reported.
    pub fn know(&mut self, target: TargetNumber) {
        self.records.entry(target).or_default();
    }

    /// Returns what is believed about a target, also from what peers have seen.
    pub fn standing(&self, target: TargetNumber, health: &Health, now: Millis) -> Liveness {
        let record = self.records.get(&target);
        record.map_or(Liveness::Sound, |record| {
            record.with_peers(health.tally(target, now), now)
        })
    }

    /// Returns whether a lost target is due for a packet that shows whether it is back, and
    /// notes that it gets one. One that is silent to all instances gets none, since each would
    /// send one; it gets packets again when its misses have faded.
    pub fn take_trial(&mut self, target: TargetNumber, health: &Health, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(&target) else {
            return true;
        };
        if record.is_silent(health.tally(target, now), now) {
            return false;
        }
        let due = now.since(record.last_trial) >= TRIAL_INTERVAL;
        if due {
            record.last_trial = now;
        }
        due
    }

    /// Returns when a target last showed life.
    pub fn last_alive(&self, target: TargetNumber) -> Option<Millis> {
        self.records.get(&target).and_then(|r| r.alive)
    }

    /// Returns when any target last showed life. If none has for long, the fault is likely on
    /// this instance's side.
    pub const fn any_alive(&self) -> Option<Millis> {
        self.any_alive
    }

    /// Returns the targets whose standing has changed since the last call.
    pub fn changes(&mut self, health: &Health, now: Millis) -> Vec<LivenessChange> {
        let mut changed = Vec::new();
        for (target, record) in &mut self.records {
            let tally = health.tally(*target, now);
            let liveness = record.with_peers(tally, now);
            if record.told.unwrap_or(Liveness::Sound) != liveness {
                record.told = Some(liveness);
                let since_last_response = record.alive.map(|at| now.since(at));
                changed.push(LivenessChange {
                    target: *target,
                    liveness,
                    misses: record.misses,
                    since_last_response,
                    tally,
                });
            }
        }
        changed
    }

    /// Returns the number of targets that are believed suspect and lost.
    pub fn count(&self, health: &Health, now: Millis) -> (usize, usize) {
        let standings = self.records.iter();
        count(standings.map(|(target, r)| r.with_peers(health.tally(*target, now), now)))
    }

    /// Returns the number of targets that this instance alone would believe suspect and lost.
    pub fn count_own(&self, now: Millis) -> (usize, usize) {
        count(self.records.values().map(|r| r.standing(now)))
    }

    /// Forgets targets that are not known any more.
    pub fn retain(&mut self, known: impl Fn(TargetNumber) -> bool) {
        self.records.retain(|target, _| known(*target));
    }
}

/// Returns the numbers of suspect and lost ones.
fn count(standings: impl Iterator<Item = Liveness>) -> (usize, usize) {
    standings.fold((0, 0), |(suspect, lost), standing| match standing {
        Liveness::Sound => (suspect, lost),
        Liveness::Suspect => (suspect + 1, lost),
        Liveness::Lost => (suspect, lost + 1),
    })
}

impl Record {
    /// Returns what is believed of a target, with what all instances have seen of it.
    fn with_peers(&self, tally: Tally, now: Millis) -> Liveness {
        if self.is_silent(tally, now) {
            Liveness::Lost
        } else {
            self.standing(now)
        }
    }

    /// Returns whether all instances together take the target for lost.
    fn is_silent(&self, tally: Tally, now: Millis) -> bool {
        let silent = if self.told == Some(Liveness::Lost) {
            tally.remains_unresponsive()
        } else {
            tally.is_unresponsive()
        };
        let heard = |at: Millis| now.since(at) < HEARD_LATELY;
        silent && !self.alive.is_some_and(heard)
    }

    /// Returns what this instance alone would believe.
    fn standing(&self, now: Millis) -> Liveness {
        let recent = |at: Millis| now.since(at) < MISS_LIFETIME;
        let missed = self.misses > 0 && recent(self.last_miss);
        let silent = now.since(self.first_miss);
        let many = self.flows >= LOST_FLOWS || self.misses >= LOST_MISSES;
        if missed && many && silent >= LOST_SILENCE {
            Liveness::Lost
        } else if missed || self.doubt.is_some_and(recent) {
            Liveness::Suspect
        } else {
            Liveness::Sound
        }
    }
}
