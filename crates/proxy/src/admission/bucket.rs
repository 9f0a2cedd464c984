//! Token buckets and meters for an instance's part of a rate limit.

use std::collections::VecDeque;
use std::time::Duration;

use tanager_core::Millis;

/// Time of the rate that a bucket holds. Short, so that bursts of all instances together stay
/// small against the limit.
const BURST: Duration = Duration::from_millis(100);
/// Time of the rate that a bucket may be in debt for guaranteed work.
const DEBT: Duration = Duration::from_secs(1);
/// Time over which demand is measured.
const METER_WINDOW: Duration = Duration::from_secs(1);
/// Time for which the largest number of instances counts.
const COUNT_WINDOW: Duration = Duration::from_secs(30);

/// A token bucket whose rate may change at any time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    level: f64,
    /// Tokens a second. Invariant: not negative.
    rate: f64,
    at: Millis,
}

impl Bucket {
    /// Creates a full bucket.
    pub(super) fn new(rate: f64, now: Millis) -> Self {
        let level = capacity(rate);
        let at = now;
        Self { level, rate, at }
    }

    /// Adds the tokens since the last call at the old rate, and changes the rate.
    pub(super) fn refill(&mut self, rate: f64, now: Millis) {
        let earned = self.rate * now.since(self.at).as_secs_f64();
        (self.rate, self.at) = (rate.max(0.0), now);
        self.level = (self.level + earned).min(capacity(self.rate));
    }

    /// Returns whether a token can be taken that leaves `reserve` of the burst for others.
    pub(super) fn has(&self, reserve: f64) -> bool {
        let capacity = capacity(self.rate);
        self.level >= 1.0 + reserve * (capacity - 1.0).max(0.0)
    }

    /// Takes a token, down to a bounded debt.
    pub(super) fn take(&mut self) {
        let floor = -(self.rate * DEBT.as_secs_f64()).max(1.0);
        self.level = (self.level - 1.0).max(floor);
    }

    /// Returns the tokens left.
    pub(super) const fn level(&self) -> f64 {
        self.level
    }
}

/// A small rate still needs room for one whole token; a rate of zero gives none.
fn capacity(rate: f64) -> f64 {
    if rate > 0.0 {
        (rate * BURST.as_secs_f64()).max(1.0)
    } else {
        0.0
    }
}

/// Measures events a second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Meter {
    start: Millis,
    count: f64,
    rate: f64,
}

impl Meter {
    pub(super) fn count(&mut self, now: Millis) {
        self.roll(now);
        self.count += 1.0;
    }

    /// Returns the rate of the last whole window, or of the current one if that is higher.
    pub(super) fn rate(&mut self, now: Millis) -> f64 {
        self.roll(now);
        self.rate.max(self.count / METER_WINDOW.as_secs_f64())
    }

    fn roll(&mut self, now: Millis) {
        let elapsed = now.since(self.start);
        if elapsed >= METER_WINDOW {
            self.rate = self.count / elapsed.as_secs_f64();
            (self.start, self.count) = (now, 0.0);
        }
    }
}

/// The largest number of instances seen in the last 30 s. Instances learn of a smaller fleet at
/// different times; the delay keeps the sum of their parts within a limit.
#[derive(Debug, Default)]
pub(super) struct FleetSize {
    /// Invariant: times ascend and numbers descend.
    seen: VecDeque<(Millis, usize)>,
}

impl FleetSize {
    /// Takes over the number of instances known now and returns the one to divide limits by.
    pub(super) fn update(&mut self, count: usize, now: Millis) -> f64 {
        while self.seen.back().is_some_and(|(_, n)| *n <= count) {
            self.seen.pop_back();
        }
        self.seen.push_back((now, count));
        while self
            .seen
            .front()
            .is_some_and(|(at, _)| now.since(*at) > COUNT_WINDOW)
        {
            self.seen.pop_front();
        }
        let largest = self.seen.front().map_or(count, |(_, n)| *n);
        f64::from(u32::try_from(largest.max(1)).unwrap_or(u32::MAX))
    }
}
