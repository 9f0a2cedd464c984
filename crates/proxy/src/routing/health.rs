//! Ejects targets that fail or shed work. Repeated ejections last longer.

use std::time::Duration;

use tanager_core::{FastMap, Millis, TargetId};

/// Consecutive failures after which a target is ejected.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 5;
/// Window over which the shares of failures and sheds are measured.
const WINDOW: Duration = Duration::from_secs(10);
/// Observations that a window needs before its shares are evaluated.
const MIN_SAMPLES: u32 = 20;
/// Share of failures above which a target is ejected.
const FAILURE_SHARE: f64 = 0.5;
/// A target is ejected if its share of sheds exceeds that of the service's other targets by more
/// than this. When all targets shed, the service is overloaded, and an ejection would make it
/// worse. A value of 0.3 over 10 observations ejected targets of a small service at 70% load by
/// chance, and so increased its sheds.
const SHED_EXCESS: f64 = 0.5;
/// Duration of a first ejection. Each further one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_mins(1);
/// Time after the end of an ejection after which the next one counts as a first one again.
const EJECTION_RESET: Duration = Duration::from_mins(2);
/// Maximum share of a service's targets that may be ejected.
const MAX_EJECTED_SHARE: f64 = 0.3;
/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Outcome of work at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It was completed in the given time.
    Completed(Duration),
    /// It was accepted and continues, as a feed does.
    Accepted,
    /// It was shed before it started.
    Shed,
    /// It failed or was lost.
    Failed,
}

#[derive(Debug, Clone, Default)]
struct Record {
    window_start: Millis,
    samples: u32,
    failed: u32,
    shed: u32,
    consecutive_failures: u32,
    ejected_until: Millis,
    ejections: u32,
    /// Moving average of the time of a run in milliseconds; 0 before the first run.
    latency: f64,
}

/// Health of one service's targets, derived only from the work that this instance sends them.
/// Health endpoints are not trusted.
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

    /// Returns the average time of a run in milliseconds, if a run was observed.
    pub(super) fn latency(&self, target: TargetId) -> Option<f64> {
        self.records
            .get(&target)
            .map(|r| r.latency)
            .filter(|l| *l > 0.0)
    }

    /// Removes targets that are no longer listed.
    pub(super) fn retain(&mut self, listed: impl Fn(TargetId) -> bool) {
        self.records.retain(|id, _| listed(*id));
    }

    /// Records an observation and ejects the target if it has become unhealthy. `target_count` is
    /// the number of the service's targets.
    pub(super) fn observe(
        &mut self,
        target: TargetId,
        observation: Observation,
        target_count: usize,
        now: Millis,
    ) {
        let record = self.records.entry(target).or_default();
        record.add(observation, now);
        let shed_of_others = self.shed_share_of_others(target);
        let ejected = self.records.values().filter(|r| r.ejected_until > now);
        #[expect(clippy::cast_precision_loss)]
        let limit_reached = (ejected.count() + 1) as f64 > target_count as f64 * MAX_EJECTED_SHARE;
        if let Some(record) = self.records.get_mut(&target)
            && !limit_reached
            && record.is_unhealthy(shed_of_others)
        {
            record.eject(now);
        }
    }

    fn shed_share_of_others(&self, target: TargetId) -> f64 {
        let others = self.records.iter().filter(|(id, _)| **id != target);
        let (samples, shed) = others.fold((0, 0), |(n, s), (_, r)| (n + r.samples, s + r.shed));
        f64::from(shed) / f64::from(samples.max(1))
    }
}

impl Record {
    fn add(&mut self, observation: Observation, now: Millis) {
        if now.since(self.window_start) > WINDOW {
            (self.window_start, self.samples, self.failed, self.shed) = (now, 0, 0, 0);
        }
        self.samples += 1;
        match observation {
            Observation::Completed(time) => {
                let time = time.as_secs_f64() * 1_000.0;
                let has_latency = self.latency > 0.0;
                let weight = if has_latency { LATENCY_WEIGHT } else { 1.0 };
                self.latency += (time.max(0.1) - self.latency) * weight;
                self.consecutive_failures = 0;
            }
            Observation::Accepted => self.consecutive_failures = 0,
            Observation::Shed => self.shed += 1,
            Observation::Failed => {
                self.failed += 1;
                self.consecutive_failures += 1;
            }
        }
    }

    fn is_unhealthy(&self, shed_of_others: f64) -> bool {
        let share = |n: u32| f64::from(n) / f64::from(self.samples.max(1));
        let has_enough_samples = self.samples >= MIN_SAMPLES;
        self.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT
            || (has_enough_samples && share(self.failed) > FAILURE_SHARE)
            || (has_enough_samples && share(self.shed) > shed_of_others + SHED_EXCESS)
    }

    fn eject(&mut self, now: Millis) {
        if now.since(self.ejected_until) > EJECTION_RESET {
            self.ejections = 0;
        }
        let time = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(10));
        self.ejected_until = now + time.min(MAX_EJECTION);
        self.ejections += 1;
        // Observations from before the ejection do not count after it.
        (
            self.samples,
            self.failed,
            self.shed,
            self.consecutive_failures,
        ) = (0, 0, 0, 0);
    }
}
