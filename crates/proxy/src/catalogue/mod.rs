//! The published catalogue and instance list: reading, checking, and what is in force.

mod document;
mod pace;
mod raw;
mod reader;
mod store;

pub use document::{Catalogue, Class, Entry, Limits, Owner, Target, TargetState};
pub use document::{Digest, digest};
pub use raw::{RawCatalogue, RawEntry, RawLimits, RawOwner, RawOwnerLimits, RawTarget};
pub use reader::Reader;
pub use store::{CatalogueStore, Source};

#[cfg(test)]
mod pace_tests;
#[cfg(test)]
mod tests;
