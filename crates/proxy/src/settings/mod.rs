//! Settings of an instance: read from YAML, checked as a whole, then immutable. The reading of
//! YAML with all problems and their lines is shared with the published documents.

mod checked;
mod forwarder;
mod problem;
mod section;
mod tree;

pub use checked::{LogFormat, LogOutput, LogSettings, PlatformSettings, Settings, check};
pub use forwarder::ForwarderSettings;
pub use problem::Problem;
pub(crate) use problem::{document_error, problems_of};
pub(crate) use section::{Checker, Section};
pub use tree::Span;

#[cfg(test)]
mod tests;
