//! Settings of an instance, read from YAML, validated completely, and immutable afterwards. The
//! YAML reader, which reports all problems with their lines, also reads the published documents.

mod balancer;
mod forwarder;
mod problem;
mod section;
mod tree;

pub use balancer::{LogFormat, LogOutput, LogSettings, PlatformSettings, Settings, check};
pub use forwarder::{ForwarderSettings, WarmupSettings};
pub use problem::Problem;
pub(crate) use problem::{document_error, problems_of};
pub(crate) use section::{Checker, Section};
pub use tree::Span;

#[cfg(test)]
mod tests;
