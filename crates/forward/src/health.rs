//! Detects targets that fail requests although they accept packets, and targets that are
//! unresponsive to all instances.
//!
//! Published health may be wrong, and answers do not pass through an instance, but clients
//! acknowledge them. An answer that is much shorter than the typical ones of its route is treated
//! as an error, a missing answer as a hang, and a retransmitted request as one that the target did
//! not accept.

use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::TargetNumber;
use crate::load::REPORT_LIFETIME;
use crate::segment::Endpoint;

/// Time constant of the exponential decay of successful answers. Short, so that earlier successes
/// do not hide that a target has begun to fail.
const SUCCESS_DECAY_TIME: Duration = Duration::from_secs(1);
/// Time constant of the exponential decay of failures. Longer, so that a target is not tried again
/// at once.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(3);
/// Answers of a route that must have been observed before any is classified as short.
const MIN_ANSWERS: u32 = 12;
/// An answer shorter than this fraction of the route's typical length and than
/// [`MAX_ERROR_LENGTH`] counts as failed.
const SHORT_RATIO: f64 = 0.3;
/// Longest error in bytes: a status, a few header fields and a line of text. A longer answer to a
/// download may be a small file.
const MAX_ERROR_LENGTH: f64 = 512.0;
/// Fraction by which one answer changes the estimated typical length.
const LENGTH_STEP: f64 = 0.05;
/// The same for a short answer. It lets the estimate follow a route whose answers have become
/// shorter.
const SHORT_STEP: f64 = 0.002;
/// Successful answers that are added to each tally, so that a single failure without any answer
/// counts as half of the requests.
const PRIOR_SUCCESSES: f64 = 1.0;
/// Fraction of failed requests above which a target counts as failing. Lower fractions occur by
/// chance, from clients that leave early and from short answers.
pub const FAILING_RATE: f64 = 0.15;
/// Fraction of failed requests at or below which a failing target is logged as recovered.
const RECOVERED_RATE: f64 = 0.08;
/// Misses on all instances from which a target may count as unresponsive. A single miss may be a
/// lost packet.
const UNRESPONSIVE_MISSES: f64 = 2.0;
/// Misses down to which an unresponsive target remains so. Lower than [`UNRESPONSIVE_MISSES`],
/// because counts decay between two reports.
const REMAINS_UNRESPONSIVE_MISSES: f64 = 1.5;
/// Time for which a missed packet counts against a target, from when it was sent. Without a newer one
/// the target gets packets again, which show whether it has recovered.
const MISS_LIFETIME: Duration = Duration::from_secs(2);
/// Fraction of misses above which a target counts as unresponsive. Lossy paths cause much lower
/// fractions.
const UNRESPONSIVE_RATE: f64 = 0.5;

/// Outcome of a request, inferred from its client's packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    /// The answer is missing or very short.
    Failed,
    /// The answer is very short, and the queue of its target may have been full. The request has not
    /// run.
    Refused,
}

/// An answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The address to which the request was sent.
    pub route: Endpoint,
    /// Bytes that the client has acknowledged.
    pub length: u32,
    /// Whether it is short and its target may have been full, so that it tells of a full queue.
    pub suits_refusal: bool,
}

/// Outcomes of requests to a target. All counts decay with time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Successful answers.
    pub sound: f64,
    /// Failed requests.
    pub failures: f64,
    /// Requests on open flows that clients retransmitted because the target did not accept them.
    /// Openings are not counted, since a target at capacity does not answer them.
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

    /// Returns the fraction of failed requests.
    fn failure_rate(self) -> f64 {
        self.failures / (self.sound + self.failures + PRIOR_SUCCESSES)
    }

    /// Returns whether the counts indicate that the target has stopped accepting packets.
    #[must_use]
    pub fn is_unresponsive(self) -> bool {
        self.misses >= UNRESPONSIVE_MISSES && self.misses > self.total() * UNRESPONSIVE_RATE
    }

    /// Returns whether the counts indicate that an unresponsive target has not recovered yet.
    #[must_use]
    pub fn remains_unresponsive(self) -> bool {
        self.misses >= REMAINS_UNRESPONSIVE_MISSES && self.misses > self.total() * UNRESPONSIVE_RATE
    }

    /// Returns the number of successful answers per second.
    pub(crate) fn sound_rate(self) -> f64 {
        self.sound / SUCCESS_DECAY_TIME.as_secs_f64()
    }

    /// Returns the number of answered and failed requests per second.
    pub(crate) fn rate(self) -> f64 {
        self.sound_rate() + self.failures / FAILURE_DECAY_TIME.as_secs_f64()
    }

    fn total(self) -> f64 {
        self.sound + self.failures + self.misses + PRIOR_SUCCESSES
    }

    /// Returns the sum with another tally times `factor`, which may be negative.
    pub(crate) fn add_scaled(self, other: Self, factor: f64) -> Self {
        let sum = |a: f64, b: f64| (a + b * factor).max(0.0);
        Self {
            sound: sum(self.sound, other.sound),
            failures: sum(self.failures, other.failures),
            misses: sum(self.misses, other.misses),
        }
    }

    fn decayed(self, elapsed: Duration) -> Self {
        let remaining =
            |decay_time: Duration| (-elapsed.as_secs_f64() / decay_time.as_secs_f64()).exp();
        Self {
            sound: self.sound * remaining(SUCCESS_DECAY_TIME),
            failures: self.failures * remaining(FAILURE_DECAY_TIME),
            misses: self.misses * remaining(FAILURE_DECAY_TIME),
        }
    }
}

/// A tally with the time of its last update.
#[derive(Debug, Clone, Copy, Default)]
struct TimedTally {
    tally: Tally,
    at: Millis,
}

impl TimedTally {
    fn decayed_at(&self, now: Millis) -> Tally {
        self.tally.decayed(now.since(self.at))
    }
}

/// Estimate of the typical length of a route's answers.
#[derive(Debug, Clone, Copy, Default)]
struct TypicalLength {
    length: f64,
    answers: u32,
}

impl TypicalLength {
    fn is_short(&self, length: u32) -> bool {
        let established = self.answers >= MIN_ANSWERS;
        established && f64::from(length) < MAX_ERROR_LENGTH.min(self.length * SHORT_RATIO)
    }

    /// Updates the estimate with an answer. It tracks the median of the answers that are not
    /// `short`, since most answers of overloaded targets are errors.
    fn observe(&mut self, length: f64, short: bool) {
        if self.answers == 0 {
            self.length = length;
        } else if short {
            self.length *= 1.0 - SHORT_STEP;
        } else if length > self.length {
            self.length *= 1.0 + LENGTH_STEP;
        } else {
            self.length *= 1.0 - LENGTH_STEP;
        }
        self.answers = self.answers.saturating_add(1);
    }
}

/// A target that started or stopped failing requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthChange {
    /// The target.
    pub target: TargetNumber,
    /// Whether it now fails requests.
    pub failing: bool,
    /// Fraction of its requests that failed.
    pub rate: f64,
    /// The outcomes from which this was computed.
    pub tally: Tally,
}

/// Request outcomes of all targets.
#[derive(Debug, Default)]
pub struct Health {
    typical_lengths: FastMap<Endpoint, TypicalLength>,
    own: FastMap<TargetNumber, TimedTally>,
    /// When the newest packet was sent that each target has missed.
    last_missed: FastMap<TargetNumber, Millis>,
    others: FastMap<TargetNumber, TimedTally>,
    /// Refused requests of this instance, which decay as successful answers do.
    refused: FastMap<TargetNumber, TimedTally>,
    /// Until when targets that have refused a request count as full.
    refusing: FastMap<TargetNumber, Millis>,
    /// Targets last logged as failing. Invariant: contains no duplicates.
    failing: Vec<TargetNumber>,
}

impl Health {
    /// Classifies the answer to a request, and counts it unless the request was refused.
    pub fn record_answer(&mut self, target: TargetNumber, answer: Answer, now: Millis) -> Outcome {
        let outcome = match self.classify(answer.route, answer.length) {
            Outcome::Failed if answer.suits_refusal && answer.length > 0 => Outcome::Refused,
            outcome => outcome,
        };
        match outcome {
            Outcome::Answered => self.add(target, Tally::ANSWERED, now),
            Outcome::Failed => self.add(target, Tally::FAILED, now),
            Outcome::Refused => self.count_refusal(target, now),
        }
        outcome
    }

    fn count_refusal(&mut self, target: TargetNumber, now: Millis) {
        let refused = self.refused.entry(target).or_default();
        *refused = TimedTally {
            tally: refused.decayed_at(now).add_scaled(Tally::ANSWERED, 1.0),
            at: now,
        };
    }

    /// Returns the share of a target's recent answers to this instance that were refusals.
    pub fn refused_share(&self, target: TargetNumber, now: Millis) -> f64 {
        let refused = self.refused.get(&target);
        let refused = refused.map_or(0.0, |r| r.decayed_at(now).sound);
        refused / (refused + self.own(target, now).sound + PRIOR_SUCCESSES)
    }

    /// Returns whether an answer of this length is so short that it is probably an error.
    pub fn is_short(&self, route: Endpoint, length: u32) -> bool {
        let typical = self.typical_lengths.get(&route);
        typical.is_some_and(|t| t.is_short(length))
    }

    /// Records that a target has refused a request because its queue is full. It counts as refusing
    /// until `end`.
    pub fn record_refusal(&mut self, target: TargetNumber, end: Millis) {
        self.refusing.insert(target, end);
    }

    /// Returns whether a target's queue is still full, as far as refused requests tell.
    pub fn is_refusing(&self, target: TargetNumber, now: Millis) -> bool {
        self.refusing.get(&target).is_some_and(|end| now < *end)
    }

    /// Counts a request that a client retransmitted because the target did not accept the packet that
    /// was sent at `missed`.
    pub fn record_miss(&mut self, target: TargetNumber, missed: Millis, now: Millis) {
        self.add(target, Tally::MISSED, now);
        let last = self.last_missed.entry(target).or_insert(missed);
        *last = missed.max(*last);
    }

    fn add(&mut self, target: TargetNumber, tally: Tally, now: Millis) {
        let tally = self.own(target, now).add_scaled(tally, 1.0);
        self.own.insert(target, TimedTally { tally, at: now });
    }

    fn classify(&mut self, route: Endpoint, length: u32) -> Outcome {
        if length == 0 {
            return Outcome::Failed;
        }
        let typical = self.typical_lengths.entry(route).or_default();
        let short = typical.is_short(length);
        typical.observe(f64::from(length), short);
        if short {
            Outcome::Failed
        } else {
            Outcome::Answered
        }
    }

    /// Returns the fraction of a target's recent requests that failed on all instances.
    pub fn failure_rate(&self, target: TargetNumber, now: Millis) -> f64 {
        self.tally(target, now).failure_rate()
    }

    /// Returns the outcomes observed by all instances.
    pub fn tally(&self, target: TargetNumber, now: Millis) -> Tally {
        let others = self.others.get(&target);
        let others = others.filter(|o| now.since(o.at) < REPORT_LIFETIME);
        let others = others.map_or_else(Tally::default, |o| o.decayed_at(now));
        self.own(target, now).add_scaled(others, 1.0)
    }

    /// Returns the outcomes observed by this instance, to be reported to peers. Misses lapse all at once:
    /// a target that is not used, because it is taken for unresponsive, misses no further packets and
    /// cannot answer any.
    pub fn own(&self, target: TargetNumber, now: Millis) -> Tally {
        let own = self.own.get(&target);
        let mut tally = own.map_or_else(Tally::default, |o| o.decayed_at(now));
        let recent = |at: &Millis| now.since(*at) < MISS_LIFETIME;
        if !self.last_missed.get(&target).is_some_and(recent) {
            tally.misses = 0.0;
        }
        tally
    }

    /// Replaces the outcomes reported by all other instances.
    pub fn set_peer_tally(&mut self, target: TargetNumber, tally: Tally, now: Millis) {
        self.others.insert(target, TimedTally { tally, at: now });
    }

    /// Returns the targets that started or stopped failing since the last call.
    pub fn changes(&mut self, now: Millis) -> Vec<HealthChange> {
        let mut changed = Vec::new();
        let targets = self.own.keys().chain(self.others.keys());
        for target in targets.copied() {
            let tally = self.tally(target, now);
            let was = self.failing.contains(&target);
            let limit = if was { RECOVERED_RATE } else { FAILING_RATE };
            let failing = tally.failure_rate() > limit;
            let change = HealthChange {
                target,
                failing,
                rate: tally.failure_rate(),
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

    /// Returns the number of targets last logged as failing.
    pub fn failing_count(&self) -> usize {
        self.failing.len()
    }

    /// Discards the outcomes of a target, as after its restart.
    pub fn clear(&mut self, target: TargetNumber) {
        self.own.remove(&target);
        self.last_missed.remove(&target);
        self.others.remove(&target);
        self.refused.remove(&target);
        self.refusing.remove(&target);
    }

    /// Removes all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(TargetNumber) -> bool) {
        self.own.retain(|target, _| keep(*target));
        self.last_missed.retain(|target, _| keep(*target));
        self.others.retain(|target, _| keep(*target));
        self.refused.retain(|target, _| keep(*target));
        self.refusing.retain(|target, _| keep(*target));
        self.failing.retain(|target| keep(*target));
    }

    /// Removes all addresses for which `keep` returns false.
    pub fn retain_routes(&mut self, keep: impl Fn(Endpoint) -> bool) {
        self.typical_lengths.retain(|address, _| keep(*address));
    }
}
