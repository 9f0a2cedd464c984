//! HTTP pages for operators: status, usage, explain, metrics and readiness.

mod page;
mod server;

pub use page::{StatusPage, TargetStatus};
pub use server::serve;
