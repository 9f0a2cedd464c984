//! The history of the store to which a revision belongs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use tanager_core::Error;

/// Counts how often the store was restored from an older copy. Revisions go back at a restore and
/// are given out again, so they can only be compared within one epoch.
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

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
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
