//! Counters, and structs of counters that can be exported.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// A counter that only increases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds a number.
    pub fn add(&self, number: u64) {
        self.0.fetch_add(number, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Serialize for Counter {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.get())
    }
}

/// Declares a struct of counters and lists its fields in `ALL`, so that all are exported.
#[macro_export]
macro_rules! counters {
    ($(#[$type_meta:meta])+ pub struct $type:ident {
        $($(#[doc = $doc:literal])+ pub $name:ident: Counter,)+
    }) => {
        $(#[$type_meta])+
        pub struct $type {
            $($(#[doc = $doc])+ pub $name: $crate::telemetry::Counter,)+
        }

        impl $type {
            /// Name, description and accessor of each counter.
            pub const ALL: &'static [$crate::telemetry::CounterField<Self>] = &[
                $((stringify!($name), concat!($($doc,)+), |c| &c.$name),)+
            ];
        }
    };
}

/// Name, description and accessor of one counter of a struct.
pub type CounterField<T> = (&'static str, &'static str, fn(&T) -> &Counter);

counters! {
/// Counters of the whole instance, shown by status and metrics.
#[derive(Debug, Default, Serialize)]
pub struct Counters {
    /// Datagrams received from callers.
    pub datagrams_received: Counter,
    /// Datagrams from callers refused as malformed, too large or of another version.
    pub datagrams_malformed: Counter,
    /// Datagrams dropped because their service was above its share of the saturated receive loop
    /// (`IngressLimit`).
    pub ingress_dropped: Counter,
    /// Tokens and routes refused as forged or as belonging to another service or flow.
    pub tokens_refused: Counter,
    /// Opens of feeds and requests refused because the catalogue does not have their service.
    pub services_unknown: Counter,
    /// Datagrams sent to callers.
    pub datagrams_sent: Counter,
    /// Datagrams to callers dropped because the socket's buffer was full.
    pub datagrams_dropped: Counter,
    /// Flow frames dropped because a target link was down or its queue was full.
    pub frames_dropped: Counter,
    /// Feeds opened by this instance.
    pub flows_opened: Counter,
    /// Feeds moved to another target by this instance.
    pub flows_moved: Counter,
    /// Feeds reset by this instance.
    pub flows_reset: Counter,
    /// Requests dispatched to targets.
    pub requests_dispatched: Counter,
    /// Requests answered.
    pub requests_answered: Counter,
    /// Requests refused as not run.
    pub requests_not_run: Counter,
    /// Requests ended with an unknown outcome.
    pub requests_unknown: Counter,
    /// Requests relayed to another instance.
    pub requests_relayed: Counter,
    /// Bytes sent for control: heartbeats, catalogue and platform reads.
    pub control_sent_bytes: Counter,
    /// Bytes received for control.
    pub control_received_bytes: Counter,
    /// Exchanges with peers that failed.
    pub exchanges_failed: Counter,
    /// Calls on the platform.
    pub platform_calls: Counter,
    /// Documents of the platform that were read as a whole.
    pub platform_documents: Counter,
    /// Documents that peers sent as a whole.
    pub documents_whole: Counter,
    /// Documents that peers sent as a delta.
    pub documents_delta: Counter,
    /// Deltas refused because they did not rebuild the peer's document.
    pub deltas_refused: Counter,
    /// Documents of the platform that were stale or invalid.
    pub platform_unusable: Counter,
}
}
