//! HTTP pages for operators: status, usage, explain, metrics and readiness.

mod explain;
mod metrics;
mod page;
mod server;

pub use page::{StatusPage, TargetStatus, UsagePage};
pub use server::serve;

#[cfg(test)]
mod tests;
