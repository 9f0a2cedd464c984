use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, ServiceId};

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

/// The use of one service, as far as this instance counted it.
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

/// Counts usage by service.
#[derive(Debug, Default)]
pub struct Usage {
    services: Mutex<FastMap<ServiceId, ServiceUsage>>,
}

impl Usage {
    /// Counts an event.
    pub fn record(&self, service: ServiceId, event: UsageEvent) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let usage = services.entry(service).or_default();
        match event {
            UsageEvent::Run(time) => {
                usage.requests += 1;
                usage.slot_ms += millis(time);
            }
            UsageEvent::Held(time) => usage.held_ms += millis(time),
            UsageEvent::Bytes(bytes) => usage.bytes += bytes,
        }
    }

    /// Returns what this instance counted so far.
    #[must_use]
    pub fn services(&self) -> Vec<(ServiceId, ServiceUsage)> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rows: Vec<_> = services.iter().map(|(s, u)| (*s, *u)).collect();
        rows.sort_by_key(|(service, _)| *service);
        rows
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
