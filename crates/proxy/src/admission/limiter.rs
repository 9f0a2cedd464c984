//! Adapts the number of runs in flight to the latency of the targets.

use std::time::Duration;

use tanager_core::Millis;

/// Ratio of latency to its base above which the limit shrinks.
const LATENCY_BAND: f64 = 2.0;
/// Factor of one cut for latency, and for a shed.
const LATENCY_CUT: f64 = 0.95;
const SHED_CUT: f64 = 0.9;
/// Factor by which one run moves the typical time towards its own time. The typical time thus
/// follows the median. With the mean, one cold target of seven shrank the limit of an instance
/// to 1 and its callers went elsewhere.
const MEDIAN_STEP: f64 = 1.05;
/// Time over which the smallest typical time is the base.
const BASE_WINDOW: Duration = Duration::from_secs(30);
/// Largest growth of the base from one window to the next, so that steady overload is not taken
/// for the normal state.
const BASE_GROWTH: f64 = 1.1;

/// An adaptive limit on runs in flight.
#[derive(Debug)]
pub(super) struct Limiter {
    /// Invariant: within `least` and `most`.
    limit: f64,
    /// The instance's part of all slots, which cannot overload the targets. At least 1.
    least: f64,
    /// Invariant: not below `least`.
    most: f64,
    /// Typical time of a run in milliseconds; 0 before the first.
    typical: f64,
    base: f64,
    lowest: f64,
    window: Millis,
    cut_at: Millis,
}

impl Limiter {
    pub(super) const fn new(start: f64, (least, most): (f64, f64), now: Millis) -> Self {
        let least = least.max(1.0);
        let most = most.max(least);
        Self {
            limit: start.clamp(least, most),
            least,
            most,
            typical: 0.0,
            base: f64::INFINITY,
            lowest: f64::INFINITY,
            window: now,
            cut_at: now,
        }
    }

    /// Returns whether one more run may start.
    pub(super) fn allows(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.limit
    }

    pub(super) const fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the typical time of a run.
    pub(super) fn typical(&self) -> Duration {
        Duration::from_secs_f64(self.typical / 1_000.0)
    }

    /// Sets the smallest and the largest limit that can be of use.
    pub(super) const fn bound(&mut self, (least, most): (f64, f64)) {
        self.least = least.max(1.0);
        self.most = most.max(self.least);
        self.limit = self.limit.clamp(self.least, self.most);
    }

    /// Learns from a run that was done while `running` runs were in flight.
    pub(super) fn done(&mut self, time: Duration, running: u32, now: Millis) {
        let time = (time.as_secs_f64() * 1_000.0).max(0.5);
        if self.typical > 0.0 {
            let step = if time > self.typical {
                MEDIAN_STEP
            } else {
                1.0 / MEDIAN_STEP
            };
            self.typical *= step;
        } else {
            self.typical = time;
        }
        self.update_base(now);
        if self.typical > self.base * LATENCY_BAND {
            self.cut(LATENCY_CUT, now);
        } else if !self.allows(running) {
            self.limit = (self.limit + 1.0 / self.limit).min(self.most);
        }
    }

    /// Learns from a run that a target shed.
    pub(super) fn shed(&mut self, now: Millis) {
        self.cut(SHED_CUT, now);
    }

    /// One cut for each time of a run: all runs in flight report the same overload.
    fn cut(&mut self, factor: f64, now: Millis) {
        if now.since(self.cut_at) >= self.typical() {
            self.limit = (self.limit * factor).max(self.least);
            self.cut_at = now;
        }
    }

    fn update_base(&mut self, now: Millis) {
        if now.since(self.window) > BASE_WINDOW {
            self.base = self.lowest.min(self.base * BASE_GROWTH);
            (self.lowest, self.window) = (f64::INFINITY, now);
        }
        self.lowest = self.lowest.min(self.typical);
        self.base = self.base.min(self.typical);
    }
}
