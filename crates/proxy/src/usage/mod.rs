//! Usage accounting by owner: requests, slot time, connection time and bytes. Every instance counts
//! the work that it handles and exchanges usage rows with its peers, so that any instance can
//! report the usage of the fleet.

mod counters;
mod rows;
mod table;

pub use counters::{ServiceUsage, UsageEvent};
pub use rows::{RETENTION, RowKey, UsageRow, UsageRows};
pub use table::{FleetUsage, UsageTable};

#[cfg(test)]
mod tests;
