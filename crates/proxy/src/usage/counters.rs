//! Counters of usage.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Usage of an owner that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsageEvent {
    /// A request occupied a slot for a time.
    Run(Duration),
    /// A feed stayed open for a further period.
    Held(Duration),
    /// Bytes passed in either direction.
    Bytes(u64),
}

/// Values of the usage counters. They never decrease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// Requests run.
    pub requests: u64,
    /// Slot time in milliseconds.
    pub slot_ms: u64,
    /// Connection time in milliseconds.
    pub held_ms: u64,
    /// Bytes forwarded.
    pub bytes: u64,
}

/// Usage counters that several threads update. Each is updated on its own, so a reader may see an
/// event in one counter before it sees it in another.
#[derive(Debug, Default)]
pub(super) struct SharedUsage {
    requests: AtomicU64,
    slot_ms: AtomicU64,
    held_ms: AtomicU64,
    bytes: AtomicU64,
}

impl SharedUsage {
    /// Counts an event.
    pub(super) fn count(&self, event: UsageEvent) {
        match event {
            UsageEvent::Run(time) => {
                self.requests.fetch_add(1, Relaxed);
                self.slot_ms.fetch_add(millis(time), Relaxed);
            }
            UsageEvent::Held(time) => {
                self.held_ms.fetch_add(millis(time), Relaxed);
            }
            UsageEvent::Bytes(bytes) => {
                self.bytes.fetch_add(bytes, Relaxed);
            }
        }
    }

    /// Returns the current values.
    pub(super) fn get(&self) -> ServiceUsage {
        ServiceUsage {
            requests: self.requests.load(Relaxed),
            slot_ms: self.slot_ms.load(Relaxed),
            held_ms: self.held_ms.load(Relaxed),
            bytes: self.bytes.load(Relaxed),
        }
    }
}

impl ServiceUsage {
    /// Returns the larger value of each counter.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.combine(other, u64::max)
    }

    /// Returns the sum of each counter.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// Returns what was counted since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        self.combine(earlier, u64::saturating_sub)
    }

    fn combine(self, other: Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: f(self.requests, other.requests),
            slot_ms: f(self.slot_ms, other.slot_ms),
            held_ms: f(self.held_ms, other.held_ms),
            bytes: f(self.bytes, other.bytes),
        }
    }
}

pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
