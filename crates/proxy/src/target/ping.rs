//! Spaces the pings of quiet links so that control traffic stays bounded.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tanager_core::Millis;

/// Bytes a second for the pings and pongs of all links of an instance: a quarter of its control
/// budget of 8 KB/s.
const BUDGET: u64 = 2_048;
/// Bytes of a ping and its pong with their length prefixes, rounded up.
const PING_COST: u64 = 48;
/// Part of the budget, in percent, that the regular pings of quiet links use. The rest is for
/// links on which a run waits for its answer.
const QUIET_SHARE: u64 = 75;
/// Shortest time between two pings of one link.
pub(super) const SHORTEST_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the pings of all links of an instance within a fixed rate.
#[derive(Debug)]
pub(super) struct PingBudget {
    /// Links without other traffic.
    quiet: AtomicU64,
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Bytes that may be used now. Invariant: at most [`BUDGET`], one second's worth.
    bytes: u64,
    /// Up to when bytes have been added.
    filled: Millis,
}

impl PingBudget {
    pub(super) fn new(now: Millis) -> Self {
        let bucket = Mutex::new(Bucket {
            bytes: BUDGET,
            filled: now,
        });
        Self {
            quiet: AtomicU64::new(0),
            bucket,
        }
    }

    /// Returns the time between two pings of a quiet link.
    pub(super) fn interval(&self) -> Duration {
        let bytes = self.quiet.load(Ordering::Relaxed) * PING_COST;
        let millis = bytes * 1_000 * 100 / (BUDGET * QUIET_SHARE);
        SHORTEST_INTERVAL.max(Duration::from_millis(millis))
    }

    /// Takes the bytes of one ping. Returns `false` if the budget is used up for now.
    pub(super) fn take(&self, now: Millis) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = u64::try_from(now.since(bucket.filled).as_millis()).unwrap_or(u64::MAX);
        let earned = elapsed.min(1_000) * BUDGET / 1_000;
        if earned > 0 {
            bucket.bytes = BUDGET.min(bucket.bytes + earned);
            bucket.filled = now;
        }
        let granted = bucket.bytes >= PING_COST;
        if granted {
            bucket.bytes -= PING_COST;
        }
        granted
    }
}

/// Counts a link among the quiet ones while it is quiet, at most until it is dropped.
pub(super) struct QuietMark<'a> {
    budget: &'a PingBudget,
    quiet: bool,
}

impl<'a> QuietMark<'a> {
    pub(super) const fn new(budget: &'a PingBudget) -> Self {
        Self {
            budget,
            quiet: false,
        }
    }

    pub(super) fn set(&mut self, quiet: bool) {
        if quiet && !self.quiet {
            self.budget.quiet.fetch_add(1, Ordering::Relaxed);
        } else if !quiet && self.quiet {
            self.budget.quiet.fetch_sub(1, Ordering::Relaxed);
        }
        self.quiet = quiet;
    }
}

impl Drop for QuietMark<'_> {
    fn drop(&mut self) {
        self.set(false);
    }
}
