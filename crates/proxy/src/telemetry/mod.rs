//! Logging, the record of recent decisions, and metrics.

mod control;
mod decision;
mod exporter;
mod log;
mod metrics;

pub use control::ControlRate;
pub use decision::{Decision, DecisionKind, DecisionRing};
pub use exporter::{Exporter, Gauge, ReadValue};
pub use log::{Log, Part};
pub use metrics::{Counter, CounterField, Counters};
