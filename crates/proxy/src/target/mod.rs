//! Connections to targets: one task for each, with identity check, liveness and load reports.

mod connection;
mod link;
mod pool;

pub use link::{LinkError, LoadView, RunOrder, RunOutcome, TargetLink};
pub use pool::TargetPool;

#[cfg(test)]
mod link_tests;
