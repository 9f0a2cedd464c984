//! The message that instances send each other now and then.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use tanager_core::Incarnation;

use crate::{Cookie, Tally, TargetLoad};

/// What one instance tells about another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Where it receives beacons.
    pub address: SocketAddrV4,
    /// Position of its availability zone among the sorted zones of the fleet.
    pub zone: u8,
    /// Its processor share in thousandths of a core.
    pub capacity: u16,
    /// Whether it reads the store, or could.
    pub reads: bool,
    /// Time since it was heard from, in tenths of a second.
    pub age: u8,
}

/// What one or several instances have at a target, and have seen of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The target.
    pub cookie: Cookie,
    /// Mean number of running requests in units of [`Self::BUSY_UNIT`].
    busy: u16,
    /// Flows, also idle ones.
    flows: u16,
    /// Sound answers in units of [`Self::ANSWER_UNIT`]; older ones count less.
    sound: u16,
    /// Failed requests in the same unit.
    failures: u16,
    /// Requests that the target did not take, in the same unit.
    misses: u16,
}

impl LoadReport {
    /// The smallest load that is told apart, in running requests.
    pub const BUSY_UNIT: f64 = 0.01;

    /// The smallest part of a request that is told apart in counts of ended ones.
    pub const ANSWER_UNIT: f64 = 0.25;

    /// Creates a report, unless there is nothing to tell. Loads beyond the range count as its
    /// end.
    #[must_use]
    pub fn new(cookie: Cookie, load: &TargetLoad) -> Option<Self> {
        let report = Self {
            cookie,
            busy: units(load.busy, Self::BUSY_UNIT),
            flows: units(load.flows, 1.0),
            sound: units(load.tally.sound, Self::ANSWER_UNIT),
            failures: units(load.tally.failures, Self::ANSWER_UNIT),
            misses: units(load.tally.misses, Self::ANSWER_UNIT),
        };
        let numbers = [
            report.busy,
            report.flows,
            report.sound,
            report.failures,
            report.misses,
        ];
        numbers.iter().any(|n| *n != 0).then_some(report)
    }

    /// Returns what is reported.
    #[must_use]
    pub fn load(&self) -> TargetLoad {
        TargetLoad {
            busy: f64::from(self.busy) * Self::BUSY_UNIT,
            flows: f64::from(self.flows),
            tally: Tally {
                sound: f64::from(self.sound) * Self::ANSWER_UNIT,
                failures: f64::from(self.failures) * Self::ANSWER_UNIT,
                misses: f64::from(self.misses) * Self::ANSWER_UNIT,
            },
        }
    }

    /// Orders reports by what a receiver misses most: failures of any kind, then load.
    #[must_use]
    pub fn priority(&self) -> (u16, u16) {
        (self.failures.saturating_add(self.misses), self.busy)
    }
}

/// Returns a value in a unit, within the range of a report.
fn units(value: f64, unit: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let units = (value / unit).round().clamp(0.0, f64::from(u16::MAX)) as u16;
    units
}

/// What an instance tells another one now and then.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub from: SocketAddrV4,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// Position of its availability zone among the sorted zones of the fleet.
    pub zone: u8,
    /// Its processor share in thousandths of a core.
    pub capacity: u16,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it can read the store.
    pub reads: bool,
    /// Whether it acts as its zone's hub.
    pub hub: bool,
    /// The revision up to which its view is complete.
    pub revision: u64,
    /// Time in milliseconds since its view was known to be complete.
    pub age_ms: u32,
    /// Instances that the receiver may not know.
    pub members: Vec<MemberReport>,
    /// Load of the sender, or of its zone if it is the hub.
    pub loads: Vec<LoadReport>,
}
