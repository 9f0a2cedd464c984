use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use tanager_core::Incarnation;

use crate::Cookie;

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

/// The load that one or several instances place on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The target.
    pub cookie: Cookie,
    /// Mean number of running requests in units of [`Self::BUSY_UNIT`].
    busy: u16,
    /// Flows, also idle ones.
    flows: u16,
}

impl LoadReport {
    /// The smallest load that is told apart, in running requests.
    pub const BUSY_UNIT: f64 = 0.01;

    /// Creates a report; loads beyond the range count as its end.
    #[must_use]
    pub fn new(cookie: Cookie, busy: f64, flows: u32) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped"
        )]
        let busy = (busy / Self::BUSY_UNIT).clamp(0.0, f64::from(u16::MAX)) as u16;
        Self {
            cookie,
            busy,
            flows: u16::try_from(flows).unwrap_or(u16::MAX),
        }
    }

    /// Returns the mean number of running requests.
    #[must_use]
    pub fn busy(&self) -> f64 {
        f64::from(self.busy) * Self::BUSY_UNIT
    }

    /// Returns the number of flows.
    #[must_use]
    pub const fn flows(&self) -> u16 {
        self.flows
    }
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
