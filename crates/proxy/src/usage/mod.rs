//! What each owner uses: requests, slot time, connection time and bytes. Every instance counts
//! what passes through it and exchanges rows with its peers, so that any instance can answer for
//! the fleet.

mod counters;
mod ledger;
mod rows;

pub use counters::{ServiceUsage, UsageEvent};
pub use ledger::{FleetUsage, UsageTable};
pub use rows::{RETENTION, RowKey, Rows, UsageRow};

#[cfg(test)]
mod tests;
