//! Token buckets and meters for an instance's part of a rate limit.

use std::collections::VecDeque;
use std::time::Duration;

use tanager_core::Millis;

/// Burst that a bucket holds, as time at its rate. It is short so that the bursts of all instances
/// together stay small compared with the limit.
const BURST: Duration = Duration::from_millis(100);
/// Maximum debt that guaranteed work may cause in a bucket, as time at its rate.
const DEBT: Duration = Duration::from_secs(1);
/// Window over which demand is measured.
const METER_WINDOW: Duration = Duration::from_secs(1);
/// Time for which the largest number of instances determines the parts.
const FLEET_SIZE_WINDOW: Duration = Duration::from_secs(30);

/// A token bucket whose rate may change at any time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    level: f64,
    /// Tokens per second. Invariant: not negative.
    rate: f64,
    refilled_at: Millis,
}

impl Bucket {
    /// Creates a full bucket.
    pub(super) fn new(rate: f64, now: Millis) -> Self {
        let level = capacity(rate);
        let refilled_at = now;
        Self {
            level,
            rate,
            refilled_at,
        }
    }

    /// Adds the tokens since the last call at the old rate, and changes the rate.
    pub(super) fn refill(&mut self, rate: f64, now: Millis) {
        let added = self.rate * now.since(self.refilled_at).as_secs_f64();
        (self.rate, self.refilled_at) = (rate.max(0.0), now);
        self.level = (self.level + added).min(capacity(self.rate));
    }

    /// Returns whether a token is available beyond `reserve`, the share of the burst that is left
    /// to others.
    pub(super) fn has_token(&self, reserve: f64) -> bool {
        let capacity = capacity(self.rate);
        self.level >= 1.0 + reserve * (capacity - 1.0).max(0.0)
    }

    /// Consumes a token. The level may become negative, down to a bounded debt.
    pub(super) fn consume(&mut self) {
        let floor = -(self.rate * DEBT.as_secs_f64()).max(1.0);
        self.level = (self.level - 1.0).max(floor);
    }

    /// Returns the tokens left.
    pub(super) const fn level(&self) -> f64 {
        self.level
    }
}

/// Returns the capacity of a bucket in tokens: at least one full token for any rate above zero, so
/// that a small rate can be used at all.
fn capacity(rate: f64) -> f64 {
    if rate > 0.0 {
        (rate * BURST.as_secs_f64()).max(1.0)
    } else {
        0.0
    }
}

/// Measures events per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Meter {
    start: Millis,
    count: f64,
    rate: f64,
}

impl Meter {
    pub(super) fn count(&mut self, now: Millis) {
        self.advance(now);
        self.count += 1.0;
    }

    /// Returns the rate of the last complete window, or of the current one if that is higher.
    pub(super) fn rate(&mut self, now: Millis) -> f64 {
        self.advance(now);
        self.rate.max(self.count / METER_WINDOW.as_secs_f64())
    }

    fn advance(&mut self, now: Millis) {
        let elapsed = now.since(self.start);
        if elapsed >= METER_WINDOW {
            self.rate = self.count / elapsed.as_secs_f64();
            (self.start, self.count) = (now, 0.0);
        }
    }
}

/// The largest number of instances observed in the last 30 s. Instances observe a smaller fleet at
/// different times; the delay keeps the sum of their parts within a limit.
#[derive(Debug, Default)]
pub(super) struct FleetSize {
    /// Invariant: times ascend and counts descend.
    counts: VecDeque<(Millis, usize)>,
}

impl FleetSize {
    /// Records the current number of instances and returns the number to divide limits by.
    pub(super) fn update(&mut self, count: usize, now: Millis) -> f64 {
        while self.counts.back().is_some_and(|(_, n)| *n <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
        while self
            .counts
            .front()
            .is_some_and(|(at, _)| now.since(*at) > FLEET_SIZE_WINDOW)
        {
            self.counts.pop_front();
        }
        let largest = self.counts.front().map_or(count, |(_, n)| *n);
        f64::from(u32::try_from(largest.max(1)).unwrap_or(u32::MAX))
    }
}
