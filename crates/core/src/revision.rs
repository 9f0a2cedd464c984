//! The revision of a published document.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Bits of the number. The epoch has the bits above.
const NUMBER_BITS: u32 = 40;

/// The revision of a published document; a higher one is newer.
///
/// It consists of an epoch and a number, and those of a later epoch are newer whatever their number.
/// The epoch rises when numbers are given out again, as after the configuration service was restored
/// from a copy. Its text is `EPOCH:NUMBER`, or the number alone in epoch 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// Largest number.
    pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

    /// Largest epoch.
    pub const MAX_EPOCH: u64 = (1 << (u64::BITS - NUMBER_BITS)) - 1;

    /// Creates a revision of epoch 0.
    ///
    /// # Panics
    ///
    /// Panics if the number is above [`Self::MAX_NUMBER`].
    #[must_use]
    pub const fn new(number: u64) -> Self {
        assert!(number <= Self::MAX_NUMBER, "the number has over 40 bits");
        Self(number)
    }

    /// Creates a revision of an epoch.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OutOfRange`] if the epoch or the number is too large.
    pub fn try_new(epoch: u64, number: u64) -> Result<Self> {
        if epoch > Self::MAX_EPOCH {
            return Err(Error::out_of_range(
                "Epoch",
                &epoch.to_string(),
                "0 to 2^24 - 1",
            ));
        }
        if number > Self::MAX_NUMBER {
            return Err(Error::out_of_range(
                "Revision",
                &number.to_string(),
                "0 to 2^40 - 1",
            ));
        }
        Ok(Self((epoch << NUMBER_BITS) | number))
    }

    /// Returns the epoch.
    #[must_use]
    pub const fn epoch(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the number, which is only comparable within an epoch.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 & Self::MAX_NUMBER
    }

    /// Returns whether nothing was read.
    #[must_use]
    pub const fn is_none(self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.epoch() {
            0 => self.number().fmt(f),
            epoch => write!(f, "{epoch}:{}", self.number()),
        }
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let malformed = |_| Error::malformed("Revision", s, "expected NUMBER or EPOCH:NUMBER");
        let (epoch, number) = s.split_once(':').unwrap_or(("0", s));
        let epoch = epoch.parse().map_err(malformed)?;
        Self::try_new(epoch, number.parse().map_err(malformed)?)
    }
}
