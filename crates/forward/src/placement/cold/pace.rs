//! How many instances may open flows to a cold target, and how often.

use std::time::Duration;

use crate::WarmupRate;

/// Period in which the openings of a bound are sent. Those sent within it may arrive within one
/// second, since transmission takes some milliseconds more or less.
pub(super) const WINDOW: Duration = Duration::from_millis(1_100);
/// Maximum number of instances that may open flows to a target. More of them receive more of the
/// openings of a service whose targets are all cold, and each of them opens fewer.
const MAX_SENDERS: f64 = 16.0;

/// Bounds on the openings that a cold target receives within one second: at most its rate times
/// `overage` plus `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupBounds {
    /// Factor applied to the rate. Invariant: finite and not negative.
    pub overage: f64,
    /// Openings beyond that. Invariant: finite and not negative.
    pub slack: f64,
}

impl Default for WarmupBounds {
    fn default() -> Self {
        Self {
            overage: 1.5,
            slack: 5.0,
        }
    }
}

/// How the openings to a cold target are divided among instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Pace {
    /// Number of openings that all instances together may send within [`WINDOW`].
    pub bound: u32,
    /// Number of instances that may send openings.
    pub senders: u32,
    /// Minimum time in milliseconds between two openings of one instance.
    pub interval_ms: u32,
    /// Number of openings that one instance can send within [`WINDOW`] at this interval. Invariant:
    /// times `senders` at most `bound`.
    pub weight: u32,
}

impl Pace {
    /// Divides a rate among the instances of a zone so that all together send it on average, and
    /// within [`WINDOW`] never more than the bound. A bound below one opening allows none.
    pub fn new(rate: WarmupRate, bounds: WarmupBounds, zone_size: u32) -> Self {
        let rate = rate.per_second();
        let bound = (rate * bounds.overage + bounds.slack).floor();
        let senders = bound.min(MAX_SENDERS).min(f64::from(zone_size));
        if senders < 1.0 {
            return Self::default();
        }
        let window = WINDOW.as_secs_f64();
        let each = (bound / senders).floor();
        let interval_ms = saturate(((senders / rate).max(window / each) * 1_000.0).ceil());
        Self {
            bound: saturate(bound),
            senders: saturate(senders),
            interval_ms,
            weight: saturate((window * 1_000.0 / f64::from(interval_ms)).ceil()),
        }
    }
}

/// Converts a whole number that is not negative to the nearest one of 32 bits.
fn saturate(number: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates"
    )]
    let number = number as u32;
    number
}
