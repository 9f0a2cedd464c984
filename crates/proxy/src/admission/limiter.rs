use std::time::Duration;

use tanager_core::Millis;

/// Ratio of latency to its base above which the limit shrinks.
const LATENCY_BAND: f64 = 2.0;
/// Factor of one cut for latency, and for a shed.
const LATENCY_CUT: f64 = 0.95;
const SHED_CUT: f64 = 0.9;
/// Weight of a new latency in the average.
const LATENCY_WEIGHT: f64 = 0.1;
/// Time over which the smallest average latency is the base.
const BASE_WINDOW: Duration = Duration::from_secs(30);
/// Largest growth of the base from one window to the next, so that steady overload is not taken
/// for the normal state.
const BASE_GROWTH: f64 = 1.1;

/// An adaptive limit on runs in flight.
#[derive(Debug)]
pub(super) struct Limiter {
    /// Invariant: within 1 and `most`.
    limit: f64,
    most: f64,
    /// Average time of a run in milliseconds; 0 before the first.
    average: f64,
    base: f64,
    lowest: f64,
    window: Millis,
    cut_at: Millis,
}

impl Limiter {
    pub(super) fn new(start: f64, most: f64, now: Millis) -> Self {
        Self {
            limit: start.clamp(1.0, most.max(1.0)),
            most: most.max(1.0),
            average: 0.0,
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

    /// Returns the average time of a run.
    pub(super) fn average(&self) -> Duration {
        Duration::from_secs_f64(self.average / 1_000.0)
    }

    /// Sets the largest limit that can be of use.
    pub(super) const fn bound(&mut self, most: f64) {
        self.most = most.max(1.0);
        self.limit = self.limit.min(self.most);
    }

    /// Learns from a run that was done while `running` runs were in flight.
    pub(super) fn done(&mut self, time: Duration, running: u32, now: Millis) {
        let time = (time.as_secs_f64() * 1_000.0).max(0.5);
        let weight = if self.average > 0.0 {
            LATENCY_WEIGHT
        } else {
            1.0
        };
        self.average += (time - self.average) * weight;
        self.update_base(now);
        if self.average > self.base * LATENCY_BAND {
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
        if now.since(self.cut_at) >= self.average() {
            self.limit = (self.limit * factor).max(1.0);
            self.cut_at = now;
        }
    }

    fn update_base(&mut self, now: Millis) {
        if now.since(self.window) > BASE_WINDOW {
            self.base = self.lowest.min(self.base * BASE_GROWTH);
            (self.lowest, self.window) = (f64::INFINITY, now);
        }
        self.lowest = self.lowest.min(self.average);
        self.base = self.base.min(self.average);
    }
}
