//! What each owner uses: requests, slot time, connection time and bytes.

mod counters;

pub use counters::{ServiceUsage, Usage, UsageEvent};
