//! The published catalogue and instance list: reading, checking, and what is in force.

mod check;
mod delta;
mod document;
mod history;
mod pace;
mod reader;
mod store;

pub use check::check;
pub use delta::{Delta, Region};
pub use document::{Catalogue, Limits, Owner, PriorityClass, ServiceEntry, Target, TargetState};
pub use document::{Digest, digest};
pub use history::{DocumentKind, DocumentReply, DocumentRequest, History, Published};
pub use reader::PlatformReader;
pub use store::{CatalogueStore, Source};

/// Largest document accepted, in bytes. The platform publishes values of up to 1 MB.
const DOCUMENT_LIMIT: usize = 1 << 20;

#[cfg(test)]
mod delta_tests;
#[cfg(test)]
mod pace_tests;
#[cfg(test)]
mod tests;
