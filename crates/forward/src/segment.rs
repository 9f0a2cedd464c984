//! The parts of a client's packet that decisions depend on.

use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use tanager_core::Error;

use crate::Cookie;
use crate::hash::stable_hash;

/// Address and port of one end of a flow.
pub type Endpoint = SocketAddrV4;

/// Identifies a flow by the addresses and ports of both ends, as the client uses them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FlowKey {
    /// The client's end.
    pub client: Endpoint,
    /// The published end.
    pub service: Endpoint,
}

impl FlowKey {
    /// Returns a hash that distributes flows evenly and is the same on every instance.
    #[must_use]
    pub fn distribution_hash(&self) -> u32 {
        stable_hash(self)
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.service)
    }
}

impl FromStr for FlowKey {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let reason = "expected CLIENT:PORT>SERVICE:PORT with IPv4 addresses";
        let malformed = || Error::malformed("FlowKey", s, reason);
        let (client, service) = s.split_once('>').ok_or_else(malformed)?;
        Ok(Self {
            client: client.parse().map_err(|_| malformed())?,
            service: service.parse().map_err(|_| malformed())?,
        })
    }
}

/// The role of a packet in its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentKind {
    /// Opens the flow.
    Open {
        /// Number of earlier transmissions of this packet.
        retransmission: u32,
    },
    /// Belongs to an established flow.
    Data,
    /// The client has finished sending.
    Finish,
    /// The client aborts the flow.
    Abort,
    /// A packet that only targets send, never clients.
    Forged,
}

/// The parts of a client's packet that decisions depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Its flow.
    pub flow: FlowKey,
    /// Its role in the flow.
    pub kind: SegmentKind,
    /// The cookie that the client repeats.
    pub cookie: Cookie,
    /// Position of its first byte in the client's data.
    pub sequence: u32,
    /// Position up to which the client has received the target's data.
    pub acknowledged: u32,
    /// Length of its data in bytes.
    pub length: u16,
}

impl Segment {
    /// Returns whether it is a later copy of an opening packet.
    #[must_use]
    pub const fn is_retransmission(&self) -> bool {
        matches!(self.kind, SegmentKind::Open { retransmission } if retransmission > 0)
    }
}
