//! Which targets fail requests although they take packets, and which are silent to all instances.
//! Published health may be wrong, and answers do not pass through an instance, but clients
//! acknowledge them: an answer that is much shorter than its route's usual ones is most likely an
//! error, one that never comes a hang, and a packet that the client repeats was not taken at all.

use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::TargetNumber;
use crate::load::REPORT_LIFETIME;
use crate::segment::Endpoint;

/// Time over which sound answers are remembered, each counting less as it grows older. Short, so
/// that a target which begins to fail does not live on its past.
const SOUND_MEMORY: Duration = Duration::from_secs(1);
/// Time over which failures are remembered. Longer, so that a target is not tried again at once.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);
/// Answers of a route that must be known before a short one is told from them.
const USUAL_ANSWERS: u32 = 12;
/// An answer shorter than this part of the route's usual ones, and than [`ERROR_LENGTH`], counts
/// as failed.
const SHORT_PART: f64 = 0.3;
/// The longest error in bytes: a status, a few header fields and a line of text. A longer answer
/// to a download is a small file.
const ERROR_LENGTH: f64 = 512.0;
/// How far one answer moves the usual length, as a part of it.
const USUAL_STEP: f64 = 0.05;
/// Sound answers that each target is credited with, so that a single failure without any answer
/// counts as half of the requests.
const CREDIT: f64 = 1.0;
/// Part of failed requests above which a target counts as failing. Less is taken as chance:
/// clients that leave early, and short answers.
pub const FAILING_RATE: f64 = 0.15;
/// Part of failed requests below which a failing target is logged as sound again.
const SOUND_RATE: f64 = 0.08;
/// Misses on all instances from which a target may count as silent. One may be a lost packet.
const SILENT_MISSES: f64 = 2.0;
/// Misses down to which a silent target counts as such. Counts fade between two reports.
const STAYS_SILENT_MISSES: f64 = 1.5;
/// Part of misses above which a target counts as silent. Lossy paths have a fraction of that.
const SILENT_RATE: f64 = 0.5;

/// How a request ended, as far as its client's packets show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// An answer of a usual length came.
    Answered,
    /// No answer came, or a very short one.
    Failed,
}

/// How requests to a target ended. All numbers shrink as they grow old.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Sound answers.
    pub sound: f64,
    /// Failed requests.
    pub failures: f64,
    /// Requests on open flows that the target did not even take. Openings are not counted: a
    /// target that is full does not answer them.
    pub misses: f64,
}

impl Tally {
    const ANSWERED: Self = Self {
        sound: 1.0,
        failures: 0.0,
        misses: 0.0,
    };
    const FAILED: Self = Self {
        sound: 0.0,
        failures: 1.0,
        misses: 0.0,
    };
    const MISSED: Self = Self {
        sound: 0.0,
        failures: 0.0,
        misses: 1.0,
    };

    /// Returns the part of requests that failed.
    fn rate(self) -> f64 {
        self.failures / (self.sound + self.failures + CREDIT)
    }

    /// Returns whether the target has most likely stopped taking packets.
    #[must_use]
    pub fn is_unresponsive(self) -> bool {
        self.misses >= SILENT_MISSES && self.misses > self.all() * SILENT_RATE
    }

    /// Returns whether a target that had stopped taking packets most likely still does not.
    #[must_use]
    pub fn remains_unresponsive(self) -> bool {
        self.misses >= STAYS_SILENT_MISSES && self.misses > self.all() * SILENT_RATE
    }

    fn all(self) -> f64 {
        self.sound + self.failures + self.misses + CREDIT
    }

    /// Returns the sum with a part of another tally, which may be negative.
    pub(crate) fn plus(self, other: Self, part: f64) -> Self {
        let sum = |a: f64, b: f64| (a + b * part).max(0.0);
        Self {
            sound: sum(self.sound, other.sound),
            failures: sum(self.failures, other.failures),
            misses: sum(self.misses, other.misses),
        }
    }

    /// Returns what is left of it after some time.
    fn aged(self, elapsed: Duration) -> Self {
        let left = |memory: Duration| (-elapsed.as_secs_f64() / memory.as_secs_f64()).exp();
        Self {
            sound: self.sound * left(SOUND_MEMORY),
            failures: self.failures * left(FAILURE_MEMORY),
            misses: self.misses * left(FAILURE_MEMORY),
        }
    }
}

/// A tally as of a time.
#[derive(Debug, Clone, Copy, Default)]
struct Dated {
    tally: Tally,
    at: Millis,
}

impl Dated {
    fn now(&self, now: Millis) -> Tally {
        self.tally.aged(now.since(self.at))
    }
}

/// The usual length of a route's answers.
#[derive(Debug, Clone, Copy, Default)]
struct Usual {
    length: f64,
    answers: u32,
}

impl Usual {
    /// Takes an answer into account. The usual length follows the median, which a few errors or
    /// very long answers do not move.
    fn learn(&mut self, length: f64) {
        if self.answers == 0 {
            self.length = length;
        } else if length > self.length {
            self.length *= 1.0 + USUAL_STEP;
        } else {
            self.length *= 1.0 - USUAL_STEP;
        }
        self.answers = self.answers.saturating_add(1);
    }
}

/// A target that began or ceased to fail requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthChange {
    /// The target.
    pub target: TargetNumber,
    /// Whether it fails requests now.
    pub failing: bool,
    /// Part of its requests that failed.
    pub rate: f64,
    /// What this rests on.
    pub tally: Tally,
}

/// Failures of all targets.
#[derive(Debug, Default)]
pub struct Health {
    usual: FastMap<Endpoint, Usual>,
    own: FastMap<TargetNumber, Dated>,
    others: FastMap<TargetNumber, Dated>,
    /// Targets that were last logged as failing. Invariant: no target twice.
    failing: Vec<TargetNumber>,
}

impl Health {
    /// Judges an answer to a request that came to a route's address, and counts it.
    pub fn count(&mut self, target: TargetNumber, route: Endpoint, length: u32, now: Millis) {
        let one = match self.judge(route, length) {
            Outcome::Answered => Tally::ANSWERED,
            Outcome::Failed => Tally::FAILED,
        };
        self.add(target, one, now);
    }

    /// Counts a request that a target did not take.
    pub fn miss(&mut self, target: TargetNumber, now: Millis) {
        self.add(target, Tally::MISSED, now);
    }

    fn add(&mut self, target: TargetNumber, tally: Tally, now: Millis) {
        let own = self.own.entry(target).or_default();
        *own = Dated {
            tally: own.now(now).plus(tally, 1.0),
            at: now,
        };
    }

    fn judge(&mut self, route: Endpoint, length: u32) -> Outcome {
        if length == 0 {
            return Outcome::Failed;
        }
        let length = f64::from(length);
        let usual = self.usual.entry(route).or_default();
        let known = usual.answers >= USUAL_ANSWERS;
        let short = known && length < ERROR_LENGTH.min(usual.length * SHORT_PART);
        usual.learn(length);
        if short {
            Outcome::Failed
        } else {
            Outcome::Answered
        }
    }

    /// Returns the part of a target's recent requests that failed, on all instances.
    pub fn failure_rate(&self, target: TargetNumber, now: Millis) -> f64 {
        self.tally(target, now).rate()
    }

    /// Returns what all instances have seen of a target.
    pub fn tally(&self, target: TargetNumber, now: Millis) -> Tally {
        let others = self.others.get(&target);
        let others = others.filter(|o| now.since(o.at) < REPORT_LIFETIME);
        let others = others.map_or_else(Tally::default, |o| o.now(now));
        self.own(target, now).plus(others, 1.0)
    }

    /// Returns what this instance has seen of a target itself, for peers.
    pub fn own(&self, target: TargetNumber, now: Millis) -> Tally {
        self.own
            .get(&target)
            .map_or_else(Tally::default, |o| o.now(now))
    }

    /// Takes over what all other instances have seen of a target.
    pub fn hear(&mut self, target: TargetNumber, tally: Tally, now: Millis) {
        self.others.insert(target, Dated { tally, at: now });
    }

    /// Returns the targets that began or ceased to fail since the last call.
    pub fn changes(&mut self, now: Millis) -> Vec<HealthChange> {
        let mut changed = Vec::new();
        let known = self.own.keys().chain(self.others.keys());
        for target in known.copied() {
            let tally = self.tally(target, now);
            let was = self.failing.contains(&target);
            let limit = if was { SOUND_RATE } else { FAILING_RATE };
            let failing = tally.rate() > limit;
            let change = HealthChange {
                target,
                failing,
                rate: tally.rate(),
                tally,
            };
            if failing != was && !changed.contains(&change) {
                changed.push(change);
            }
        }
        for change in &changed {
            if change.failing {
                self.failing.push(change.target);
            } else {
                self.failing.retain(|t| *t != change.target);
            }
        }
        changed
    }

    /// Returns the number of targets that were last logged as failing.
    pub fn failing(&self) -> usize {
        self.failing.len()
    }

    /// Forgets what was seen of a target, as when it was started again.
    pub fn clear(&mut self, target: TargetNumber) {
        self.own.remove(&target);
        self.others.remove(&target);
    }

    /// Forgets targets that are not known any more.
    pub fn retain(&mut self, known: impl Fn(TargetNumber) -> bool) {
        self.own.retain(|target, _| known(*target));
        self.others.retain(|target, _| known(*target));
        self.failing.retain(|target| known(*target));
    }

    /// Forgets addresses that are in no route any more.
    pub fn retain_routes(&mut self, known: impl Fn(Endpoint) -> bool) {
        self.usual.retain(|address, _| known(*address));
    }
}
