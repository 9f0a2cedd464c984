//! Published targets and the cookie that leads packets to them.

use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{Error, Incarnation, ServiceName, ZoneName};

/// The number that names one target to the fleet and to the target itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetNumber(u64);

impl TargetNumber {
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

    /// Returns the cookie that the packets of this target's flows carry.
    ///
    /// Numbers of up to 32 bits are their own cookie. Of larger ones both halves take part.
    #[must_use]
    pub const fn cookie(self) -> Cookie {
        let (low, high) = (self.0 & 0xffff_ffff, self.0 >> 32);
        #[expect(clippy::cast_possible_truncation, reason = "both halves have 32 bits")]
        Cookie((low ^ high) as u32)
    }
}

impl fmt::Display for TargetNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for TargetNumber {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        u64::from_str_radix(s, 16)
            .map(Self)
            .map_err(|_| Error::malformed("TargetNumber", s, "expected up to 16 hex digits"))
    }
}

/// What both ends of a flow repeat in each packet. Zero stands for a flow without a target.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cookie(u32);

impl Cookie {
    /// The cookie of a packet whose flow has no target yet.
    pub const NONE: Self = Self(0);

    /// Wraps the 32 bits of a packet.
    #[must_use]
    pub const fn new(bits: u32) -> Self {
        Self(bits)
    }

    /// Returns the 32 bits.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Cookie {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Whether a target takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes new flows.
    Ready,
    /// It finishes the flows that it has.
    Draining,
}

/// A published target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its number.
    pub number: TargetNumber,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it receives packets. May have been another target's address before.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time. Invariant: at least 1.
    pub slots: u16,
    /// Whether it takes new flows.
    pub state: TargetState,
    /// How much longer it is slow after its start, when this was published.
    pub warmup: Duration,
    /// Tells its lives apart: a restarted target has another one.
    pub incarnation: Incarnation,
}
