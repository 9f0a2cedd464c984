//! The published catalogue and instance list: reading from the platform, checking, deltas, and the
//! catalogue in force.

mod check;
mod delta;
mod document;
mod history;
mod poll_schedule;
mod reader;
mod store;

pub use check::check;
pub(crate) use check::check_revision;
pub use delta::{Delta, Region};
pub use document::{Catalogue, Limits, Owner, PriorityClass, ServiceEntry, Target, TargetState};
pub use document::{Digest, digest};
pub use history::{DocumentKind, DocumentReply, DocumentRequest, History, PublishedDocument};
pub use reader::PlatformReader;
pub use store::{CatalogueStore, Source, parse_revision};

/// Maximum size of an accepted document in bytes. The platform publishes values of up to 1 MB.
const DOCUMENT_LIMIT: usize = 1 << 20;

#[cfg(test)]
mod delta_tests;
#[cfg(test)]
mod poll_schedule_tests;
#[cfg(test)]
mod tests;
