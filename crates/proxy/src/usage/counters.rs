use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Something that an owner uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsageEvent {
    /// A request occupied a slot for a time.
    Run(Duration),
    /// A feed stayed open for a further time.
    Held(Duration),
    /// Bytes passed in either direction.
    Bytes(u64),
}

/// Counters of what was used. They only grow.
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

impl ServiceUsage {
    /// Counts an event.
    pub fn count(&mut self, event: UsageEvent) {
        match event {
            UsageEvent::Run(time) => {
                self.requests += 1;
                self.slot_ms += millis(time);
            }
            UsageEvent::Held(time) => self.held_ms += millis(time),
            UsageEvent::Bytes(bytes) => self.bytes += bytes,
        }
    }

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

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
