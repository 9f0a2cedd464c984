//! Identifiers, sizes, rates, result codes and the monotonic clock that every
//! other crate of the workspace shares.

mod clock;
mod code;
mod error;
mod ids;
mod invariant;
mod quantity;
mod revision;

pub use clock::{Clock, Millis};
pub use code::{ResultCode, RunState};
pub use error::{Error, Result};
pub use ids::{
    FlowId, Generation, Incarnation, InstanceName, OwnerName, PublishedInstance, PublishedService,
    PublishedZone, RegionName, RequestId, ServiceId, ServiceName, TargetId, TargetName, ZoneName,
};
pub use invariant::{record_violation, violations};
pub use quantity::{ByteSize, Rate, parse_duration};
pub use revision::Revision;

/// A hash map with a fast, randomly seeded hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with a fast, randomly seeded hasher.
pub type FastSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;

#[cfg(test)]
mod docs_tests;
#[cfg(test)]
mod tests;
