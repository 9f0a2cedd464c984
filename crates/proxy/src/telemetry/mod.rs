//! Logs, the record of recent decisions, and metrics.

mod decision;
mod log;
mod metrics;

pub use decision::{Decision, DecisionKind, DecisionRing};
pub use log::{Log, Part};
pub use metrics::{Counter, Counters};
