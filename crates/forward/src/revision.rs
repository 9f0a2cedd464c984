//! Revisions of the store, which are only comparable within one history.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use tanager_core::Error;

/// Counts how often the store was restored from an older copy. Revisions go back at a restore and
/// are given out again.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(u64);

impl Epoch {
    /// Wraps a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Epoch {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        s.parse()
            .map(Self)
            .map_err(|_| Error::malformed("Epoch", s, "expected a decimal number"))
    }
}

/// A revision of the store. Those of a later epoch are newer, whatever their number. Its text is
/// `EPOCH:NUMBER`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// The history to which the number belongs.
    pub epoch: Epoch,
    /// The store's counter; 0 before the first reading.
    pub number: u64,
}

impl StoreRevision {
    /// The revision of a view that has not been read.
    pub const NONE: Self = Self::new(Epoch::new(0), 0);

    /// Creates a revision.
    #[must_use]
    pub const fn new(epoch: Epoch, number: u64) -> Self {
        Self { epoch, number }
    }

    /// Returns whether nothing has been read.
    #[must_use]
    pub const fn is_none(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.epoch, self.number)
    }
}

impl FromStr for StoreRevision {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let malformed = || Error::malformed("StoreRevision", s, "expected EPOCH:NUMBER");
        let (epoch, number) = s.split_once(':').ok_or_else(malformed)?;
        Ok(Self {
            epoch: epoch.parse()?,
            number: number.parse().map_err(|_| malformed())?,
        })
    }
}

/// The state of a view, by which instances find out whose view is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ViewVersion {
    /// The revision up to which the view is complete.
    pub revision: StoreRevision,
    /// The version of the routes in force. It does not depend on the store's revision, which goes
    /// back when the store is restored.
    pub routes: u64,
}

impl ViewVersion {
    /// Returns whether a view of this version has something that one of the other version lacks.
    #[must_use]
    pub fn is_newer_than(self, other: Self) -> bool {
        self.revision > other.revision || self.routes > other.routes
    }
}
