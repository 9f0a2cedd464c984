//! Published targets and the cookies by which packets are forwarded to them.

use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{Error, Incarnation, PublishedService, PublishedZone};

/// The bits in which the cookie of an opening differs from that of an open flow.
const OPENING_BITS: u32 = 0x9e37_79b9;

/// The number that identifies a target to all instances and to the target itself.
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

    /// Returns the cookie that the packets of this target's open flows carry.
    ///
    /// Numbers of up to 32 bits are their own cookie. Larger ones are folded by XOR.
    #[must_use]
    pub const fn cookie(self) -> Cookie {
        let (low, high) = (self.0 & 0xffff_ffff, self.0 >> 32);
        #[expect(clippy::cast_possible_truncation, reason = "both halves have 32 bits")]
        Cookie((low ^ high) as u32)
    }

    /// Returns the cookie that opening packets to this target carry. A client that repeats it has
    /// received an answer to an opening last, perhaps not that of its flow's target.
    #[must_use]
    pub const fn opening_cookie(self) -> Cookie {
        Cookie(self.cookie().0 ^ OPENING_BITS)
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

/// Names a target of a flow; both ends repeat the last one that they received on it. Zero means that
/// the flow has no target yet.
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

    /// Returns the cookie of open flows at the target that this cookie of an opening names.
    #[must_use]
    pub(crate) const fn of_opening(self) -> Self {
        Self(self.0 ^ OPENING_BITS)
    }
}

impl fmt::Display for Cookie {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Whether a target accepts new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetState {
    /// It accepts new flows.
    Ready,
    /// It only finishes its existing flows.
    Draining,
}

/// A published target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its number.
    pub number: TargetNumber,
    /// The service that it runs.
    pub service: PublishedService,
    /// Address at which it receives packets. Another target may have used it before.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: PublishedZone,
    /// Maximum number of concurrent requests. Invariant: at least 1.
    pub slots: u32,
    /// Whether it accepts new flows.
    pub state: TargetState,
    /// Remaining warm-up time at the time of publication; the target is slow until then.
    pub warmup: Duration,
    /// Its incarnation, which increases when the target restarts.
    pub incarnation: Incarnation,
    /// Counts what this incarnation has published; higher is newer.
    pub sequence: u64,
}
