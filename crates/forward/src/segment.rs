//! A client's packet as far as decisions need it.

use std::fmt;
use std::hash::{BuildHasher as _, BuildHasherDefault, DefaultHasher};
use std::net::SocketAddrV4;

use crate::Cookie;

/// An address and a port of one end of a flow.
pub type Endpoint = SocketAddrV4;

/// What identifies a flow: the addresses and ports of both ends, as the client uses them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// The client's end.
    pub client: Endpoint,
    /// The published end.
    pub service: Endpoint,
}

impl FlowKey {
    /// Returns a number that spreads flows evenly and is the same on every instance.
    #[must_use]
    pub fn distribution_hash(&self) -> u32 {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(self);
        u32::try_from(hash >> 32).unwrap_or(0)
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.service)
    }
}

/// What a packet does in its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentKind {
    /// Opens the flow. `retransmission` counts the earlier copies of this packet.
    Open {
        /// 0 for the first one.
        retransmission: u32,
    },
    /// Belongs to a flow that the client holds open.
    Data,
    /// The client has sent all that it will send.
    Finish,
    /// The client gives the flow up.
    Abort,
    /// Only targets send such packets; no client does.
    Forged,
}

/// A client's packet as far as decisions need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Its flow.
    pub flow: FlowKey,
    /// What it does.
    pub kind: SegmentKind,
    /// The cookie that the client repeats.
    pub cookie: Cookie,
    /// Position of its first byte in what the client sends.
    pub sequence: u32,
    /// Position up to which the client has received the target's bytes.
    pub acknowledged: u32,
    /// Bytes of data in it.
    pub length: u16,
}
