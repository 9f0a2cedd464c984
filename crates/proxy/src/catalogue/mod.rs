//! The published catalogue and instance list: reading, checking, and what is in force.

mod check;
mod document;
mod pace;
mod reader;
mod store;

pub use check::check;
pub use document::{Catalogue, Class, Entry, Limits, Owner, Target, TargetState};
pub use document::{Digest, digest};
pub use reader::Reader;
pub use store::{CatalogueStore, Source};

#[cfg(test)]
mod pace_tests;
#[cfg(test)]
mod tests;
