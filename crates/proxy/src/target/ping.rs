//! Limits the rate of pings on idle links so that control traffic stays bounded.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tanager_core::Millis;

/// Bytes per second for the pings and pongs of all links of an instance: a quarter of its control
/// budget of 8 KB/s.
const BUDGET: u64 = 2_048;
/// Bytes of a ping and its pong with their length prefixes, rounded up.
const PING_SIZE: u64 = 48;
/// Share of the budget, in percent, for the regular pings of idle links. The rest is for links on
/// which a run awaits its answer.
const IDLE_SHARE: u64 = 75;
/// Minimum time between two pings on one link.
pub(super) const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the pings of all links of an instance to a fixed rate.
#[derive(Debug)]
pub(super) struct PingBudget {
    /// Number of links without other traffic.
    idle: AtomicU64,
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Bytes available now. Invariant: at most [`BUDGET`], one second's worth.
    bytes: u64,
    /// Time up to which bytes have been added.
    refilled: Millis,
}

impl PingBudget {
    pub(super) fn new(now: Millis) -> Self {
        let bucket = Mutex::new(Bucket {
            bytes: BUDGET,
            refilled: now,
        });
        Self {
            idle: AtomicU64::new(0),
            bucket,
        }
    }

    /// Returns the time between two pings on an idle link.
    pub(super) fn interval(&self) -> Duration {
        let bytes = self.idle.load(Ordering::Relaxed) * PING_SIZE;
        let millis = bytes * 1_000 * 100 / (BUDGET * IDLE_SHARE);
        MIN_INTERVAL.max(Duration::from_millis(millis))
    }

    /// Consumes the bytes of one ping. Returns `false` if too few are available.
    pub(super) fn try_consume(&self, now: Millis) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = u64::try_from(now.since(bucket.refilled).as_millis()).unwrap_or(u64::MAX);
        let added = elapsed.min(1_000) * BUDGET / 1_000;
        if added > 0 {
            bucket.bytes = BUDGET.min(bucket.bytes + added);
            bucket.refilled = now;
        }
        let granted = bucket.bytes >= PING_SIZE;
        if granted {
            bucket.bytes -= PING_SIZE;
        }
        granted
    }
}

/// Counts a link as idle while it is, at most until this guard is dropped.
pub(super) struct IdleGuard<'a> {
    budget: &'a PingBudget,
    idle: bool,
}

impl<'a> IdleGuard<'a> {
    pub(super) const fn new(budget: &'a PingBudget) -> Self {
        Self {
            budget,
            idle: false,
        }
    }

    pub(super) fn set(&mut self, idle: bool) {
        if idle && !self.idle {
            self.budget.idle.fetch_add(1, Ordering::Relaxed);
        } else if !idle && self.idle {
            self.budget.idle.fetch_sub(1, Ordering::Relaxed);
        }
        self.idle = idle;
    }
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.set(false);
    }
}
