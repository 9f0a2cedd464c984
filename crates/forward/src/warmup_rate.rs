//! Published rates at which cold targets may receive openings.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize};
use tanager_core::{Error, PublishedService, Result};

/// Number of openings per second that a cold target takes, in thousandths.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WarmupRate(u32);

impl WarmupRate {
    /// No rate is published: openings to cold targets are not limited.
    pub const NONE: Self = Self(0);
    /// Resolution of a rate, in openings per second.
    const UNIT: f64 = 0.001;

    /// Returns whether no rate is published.
    #[must_use]
    pub const fn is_none(self) -> bool {
        self.0 == 0
    }

    /// Returns the number of openings per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) * Self::UNIT
    }
}

impl TryFrom<f64> for WarmupRate {
    type Error = Error;

    /// A positive rate below the resolution counts as the lowest one, since zero means no limit.
    fn try_from(per_second: f64) -> Result<Self> {
        if !per_second.is_finite() || per_second < 0.0 {
            let text = per_second.to_string();
            let reason = "expected a finite number that is not negative";
            return Err(Error::out_of_range("WarmupRate", &text, reason));
        }
        if per_second == 0.0 {
            return Ok(Self::NONE);
        }
        let units = (per_second / Self::UNIT).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped"
        )]
        Ok(Self(units.clamp(1.0, f64::from(u32::MAX)) as u32))
    }
}

impl fmt::Display for WarmupRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

impl FromStr for WarmupRate {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let number = s.strip_suffix("/s").and_then(|n| n.parse::<f64>().ok());
        let reason = "expected a number and /s";
        let number = number.ok_or_else(|| Error::malformed("WarmupRate", s, reason))?;
        Self::try_from(number)
    }
}

/// The published rate of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRate {
    /// The service.
    pub service: PublishedService,
    /// Its rate; [`WarmupRate::NONE`] if it publishes none.
    pub rate: WarmupRate,
}

/// The published rates of all services.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WarmupRates {
    /// The services whose rates could be read.
    rates: Vec<ServiceRate>,
    /// Whether some rates could not be read.
    incomplete: bool,
}

impl WarmupRates {
    /// Creates the rates of all services. `incomplete` tells that others could not be read, which
    /// keep the rates in force.
    #[must_use]
    pub const fn new(rates: Vec<ServiceRate>, incomplete: bool) -> Self {
        Self { rates, incomplete }
    }

    /// Returns the rate of a service.
    #[must_use]
    pub fn get(&self, service: &PublishedService) -> WarmupRate {
        let found = self.rates.iter().find(|r| r.service == *service);
        found.map_or(WarmupRate::NONE, |r| r.rate)
    }

    /// Returns whether no service publishes a rate.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rates.iter().all(|r| r.rate.is_none())
    }

    /// Adds the earlier rates of services whose present ones could not be read.
    pub(crate) fn retain_unread(&mut self, earlier: &Self) {
        if !self.incomplete {
            return;
        }
        for rate in &earlier.rates {
            if !self.rates.iter().any(|r| r.service == rate.service) {
                self.rates.push(rate.clone());
            }
        }
    }
}

/// Reads rates, or `None` if the message ends before them: earlier builds do not send them. Postcard
/// reports the end of a message as an error, which generic code cannot tell from others.
#[expect(clippy::unnecessary_wraps, reason = "the form that serde calls")]
pub(crate) fn read_rates<'de, D>(
    deserializer: D,
) -> std::result::Result<Option<WarmupRates>, D::Error>
where
    D: Deserializer<'de>,
{
    Ok(Option::deserialize(deserializer).unwrap_or_default())
}
