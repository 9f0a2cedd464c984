//! Ejects targets that fail or refuse, for a time that grows.

use std::time::Duration;

use tanager_core::{FastMap, Millis, TargetId};

/// Failures in a row after which a target is ejected.
const FAILURE_LIMIT: u32 = 5;
/// Length of the window in which the shares of failures and sheds are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Observations in a window below which shares mean nothing.
const SAMPLE_MINIMUM: u32 = 20;
/// Share of failures above which a target is ejected.
const FAILURE_SHARE: f64 = 0.5;
/// Excess of a target's share of sheds over its service's share above which it is ejected. Sheds
/// of all targets mean overload, which ejection would make worse. At 0.3 over 10 observations,
/// chance alone ejected targets of a small service at 70% load and raised its sheds.
const SHED_EXCESS: f64 = 0.5;
/// First time of ejection.
const EJECTION_START: Duration = Duration::from_secs(2);
/// Longest time of ejection.
const EJECTION_LIMIT: Duration = Duration::from_mins(1);
/// Time without an ejection after which its growth starts anew.
const FORGIVE_AFTER: Duration = Duration::from_mins(2);
/// Largest share of a service's targets that may be ejected.
const EJECTED_SHARE: f64 = 0.3;
/// Weight of a new latency in the average.
const LATENCY_WEIGHT: f64 = 0.1;

/// What happened to work at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It was done in the given time.
    Completed(Duration),
    /// It was taken and goes on, as a feed does.
    Accepted,
    /// It was shed before it started.
    Shed,
    /// It failed or was lost.
    Failed,
}

#[derive(Debug, Clone, Default)]
struct Record {
    window: Millis,
    seen: u32,
    failed: u32,
    shed: u32,
    failed_in_row: u32,
    ejected_until: Millis,
    ejections: u32,
    /// Average time of a run in milliseconds; 0 before the first.
    latency: f64,
}

/// What this instance observed of one service's targets. Health endpoints are not trusted.
#[derive(Debug, Default)]
pub(super) struct Health {
    records: FastMap<TargetId, Record>,
}

impl Health {
    /// Returns whether the target is ejected now.
    pub(super) fn is_ejected(&self, target: TargetId, now: Millis) -> bool {
        self.records
            .get(&target)
            .is_some_and(|r| r.ejected_until > now)
    }

    /// Returns the average time of a run in milliseconds, once one was observed.
    pub(super) fn latency(&self, target: TargetId) -> Option<f64> {
        self.records
            .get(&target)
            .map(|r| r.latency)
            .filter(|l| *l > 0.0)
    }

    /// Forgets targets that are no longer listed.
    pub(super) fn retain(&mut self, listed: impl Fn(TargetId) -> bool) {
        self.records.retain(|id, _| listed(*id));
    }

    /// Counts an observation and ejects the target if it is due. `listed` is the number of the
    /// service's targets.
    pub(super) fn observe(
        &mut self,
        target: TargetId,
        observation: Observation,
        listed: usize,
        now: Millis,
    ) {
        let record = self.records.entry(target).or_default();
        record.count(observation, now);
        let shed = self.shed_share_of_others(target);
        let ejected = self.records.values().filter(|r| r.ejected_until > now);
        #[expect(clippy::cast_precision_loss)]
        let full = (ejected.count() + 1) as f64 > listed as f64 * EJECTED_SHARE;
        if let Some(record) = self.records.get_mut(&target)
            && !full
            && record.is_bad(shed)
        {
            record.eject(now);
        }
    }

    fn shed_share_of_others(&self, target: TargetId) -> f64 {
        let others = self.records.iter().filter(|(id, _)| **id != target);
        let (seen, shed) = others.fold((0, 0), |(n, s), (_, r)| (n + r.seen, s + r.shed));
        f64::from(shed) / f64::from(seen.max(1))
    }
}

impl Record {
    fn count(&mut self, observation: Observation, now: Millis) {
        if now.since(self.window) > WINDOW {
            (self.window, self.seen, self.failed, self.shed) = (now, 0, 0, 0);
        }
        self.seen += 1;
        match observation {
            Observation::Completed(time) => {
                let time = time.as_secs_f64() * 1_000.0;
                let known = self.latency > 0.0;
                let weight = if known { LATENCY_WEIGHT } else { 1.0 };
                self.latency += (time.max(0.1) - self.latency) * weight;
                self.failed_in_row = 0;
            }
            Observation::Accepted => self.failed_in_row = 0,
            Observation::Shed => self.shed += 1,
            Observation::Failed => {
                self.failed += 1;
                self.failed_in_row += 1;
            }
        }
    }

    fn is_bad(&self, shed_of_others: f64) -> bool {
        let share = |n: u32| f64::from(n) / f64::from(self.seen.max(1));
        let enough = self.seen >= SAMPLE_MINIMUM;
        self.failed_in_row >= FAILURE_LIMIT
            || (enough && share(self.failed) > FAILURE_SHARE)
            || (enough && share(self.shed) > shed_of_others + SHED_EXCESS)
    }

    fn eject(&mut self, now: Millis) {
        if now.since(self.ejected_until) > FORGIVE_AFTER {
            self.ejections = 0;
        }
        let time = EJECTION_START * 2u32.saturating_pow(self.ejections.min(10));
        self.ejected_until = now + time.min(EJECTION_LIMIT);
        self.ejections += 1;
        // The target is judged anew when it returns.
        (self.seen, self.failed, self.shed, self.failed_in_row) = (0, 0, 0, 0);
    }
}
