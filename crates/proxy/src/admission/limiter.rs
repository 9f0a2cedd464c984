//! Adapts the concurrency limit of a service to the latency and the sheds of its targets.

use std::time::Duration;

use tanager_core::Millis;

/// Ratio of the median latency to its baseline above which the limit is reduced.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Factor of a reduction because of latency.
const LATENCY_REDUCTION: f64 = 0.95;
/// Factor of a reduction because of a shed.
const SHED_REDUCTION: f64 = 0.9;
/// Factor by which one run moves the estimated median towards its own time. With the mean instead
/// of the median, one cold target of seven reduced the limit of an instance to 1, and its callers
/// moved to other instances.
const MEDIAN_STEP: f64 = 1.05;
/// Window whose smallest median becomes the baseline.
const BASELINE_WINDOW: Duration = Duration::from_secs(30);
/// Maximum growth of the baseline from one window to the next, so that sustained overload is not
/// treated as normal.
const BASELINE_GROWTH: f64 = 1.1;

/// An adaptive limit on runs in flight.
#[derive(Debug)]
pub(super) struct Limiter {
    /// Invariant: between `minimum` and `maximum`.
    limit: f64,
    /// The instance's part of all slots, which cannot overload the targets. At least 1.
    minimum: f64,
    /// Invariant: not below `minimum`.
    maximum: f64,
    /// Estimated median time of a run in milliseconds; 0 before the first run.
    median: f64,
    /// Median time of a run without overload, in milliseconds.
    baseline: f64,
    /// Smallest median of the current window, in milliseconds.
    lowest: f64,
    window_start: Millis,
    reduced_at: Millis,
}

impl Limiter {
    pub(super) const fn new(initial: f64, (minimum, maximum): (f64, f64), now: Millis) -> Self {
        let minimum = minimum.max(1.0);
        let maximum = maximum.max(minimum);
        Self {
            limit: initial.clamp(minimum, maximum),
            minimum,
            maximum,
            median: 0.0,
            baseline: f64::INFINITY,
            lowest: f64::INFINITY,
            window_start: now,
            reduced_at: now,
        }
    }

    /// Returns whether one more run may start.
    pub(super) fn allows(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.limit
    }

    pub(super) const fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the estimated median time of a run.
    pub(super) fn median_time(&self) -> Duration {
        Duration::from_secs_f64(self.median / 1_000.0)
    }

    /// Sets the smallest and the largest value of the limit.
    pub(super) const fn set_bounds(&mut self, (minimum, maximum): (f64, f64)) {
        self.minimum = minimum.max(1.0);
        self.maximum = maximum.max(self.minimum);
        self.limit = self.limit.clamp(self.minimum, self.maximum);
    }

    /// Records a run that was completed while `running` runs were in flight.
    pub(super) fn record_completed(&mut self, time: Duration, running: u32, now: Millis) {
        let time = (time.as_secs_f64() * 1_000.0).max(0.5);
        if self.median > 0.0 {
            let step = if time > self.median {
                MEDIAN_STEP
            } else {
                1.0 / MEDIAN_STEP
            };
            self.median *= step;
        } else {
            self.median = time;
        }
        self.update_baseline(now);
        if self.median > self.baseline * LATENCY_TOLERANCE {
            self.reduce(LATENCY_REDUCTION, now);
        } else if !self.allows(running) {
            self.limit = (self.limit + 1.0 / self.limit).min(self.maximum);
        }
    }

    /// Records a run that a target shed.
    pub(super) fn record_shed(&mut self, now: Millis) {
        self.reduce(SHED_REDUCTION, now);
    }

    /// Reduces the limit, at most once per median time of a run: all runs in flight report the same
    /// overload.
    fn reduce(&mut self, factor: f64, now: Millis) {
        if now.since(self.reduced_at) >= self.median_time() {
            self.limit = (self.limit * factor).max(self.minimum);
            self.reduced_at = now;
        }
    }

    fn update_baseline(&mut self, now: Millis) {
        if now.since(self.window_start) > BASELINE_WINDOW {
            self.baseline = self.lowest.min(self.baseline * BASELINE_GROWTH);
            (self.lowest, self.window_start) = (f64::INFINITY, now);
        }
        self.lowest = self.lowest.min(self.median);
        self.baseline = self.baseline.min(self.median);
    }
}
