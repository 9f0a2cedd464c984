//! Sizes, rates and durations with their text forms.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// A number of bytes. Text form: `128MB`, `8KB`, `200B` (decimal multiples).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(u64);

const SIZE_UNITS: [(&str, u64); 4] = [
    ("GB", 1_000_000_000),
    ("MB", 1_000_000),
    ("KB", 1_000),
    ("B", 1),
];

impl ByteSize {
    /// Wraps a number of bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let exact =
            |&&(_, factor): &&(&str, u64)| self.0 >= factor && self.0.is_multiple_of(factor);
        let (unit, factor) = SIZE_UNITS.iter().find(exact).unwrap_or(&SIZE_UNITS[3]);
        write!(f, "{}{unit}", self.0 / factor)
    }
}

impl FromStr for ByteSize {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let malformed = || Error::malformed("ByteSize", s, "expected a number and B, KB, MB or GB");
        let (unit, factor) = SIZE_UNITS
            .iter()
            .find(|(unit, _)| s.ends_with(unit))
            .ok_or_else(malformed)?;
        let number: u64 = s[..s.len() - unit.len()]
            .trim()
            .parse()
            .map_err(|_| malformed())?;
        let bytes = number.checked_mul(*factor);
        bytes
            .map(Self)
            .ok_or_else(|| Error::out_of_range("ByteSize", s, "less than 2^64 bytes"))
    }
}

impl TryFrom<String> for ByteSize {
    type Error = Error;

    fn try_from(s: String) -> Result<Self> {
        s.parse()
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> Self {
        size.to_string()
    }
}

/// A number of events per second. Text form: `4000/s`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(f64);

impl Rate {
    /// A rate of no events.
    pub const ZERO: Self = Self(0.0);

    /// Checks and wraps a number of events per second.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OutOfRange`] if the number is negative or not finite.
    pub fn try_new(per_second: f64) -> Result<Self> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(Error::out_of_range(
                "Rate",
                &per_second.to_string(),
                "finite and not negative",
            ))
        }
    }

    /// Returns the number of events per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let malformed = || Error::malformed("Rate", s, "expected a number followed by /s");
        let number = s.strip_suffix("/s").ok_or_else(malformed)?;
        Self::try_new(number.trim().parse().map_err(|_| malformed())?)
    }
}

impl TryFrom<String> for Rate {
    type Error = Error;

    fn try_from(s: String) -> Result<Self> {
        s.parse()
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> Self {
        rate.to_string()
    }
}

/// Parses a duration such as `500ms`, `20s` or `5m`.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the unit is missing or unknown, or if the number is invalid or
/// too large.
pub fn parse_duration(s: &str) -> Result<Duration> {
    const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
    let malformed = || Error::malformed("Duration", s, "expected a number and ms, s, m or h");
    let (unit, factor) = UNITS
        .iter()
        .find(|(unit, _)| s.ends_with(unit))
        .ok_or_else(malformed)?;
    let number: u64 = s[..s.len() - unit.len()]
        .trim()
        .parse()
        .map_err(|_| malformed())?;
    let millis = number.checked_mul(*factor);
    millis.map(Duration::from_millis).ok_or_else(malformed)
}
