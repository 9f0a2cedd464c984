//! Held requests with their packets.

use std::time::Duration;

use tanager_core::Millis;

use crate::{FlowKey, Segment, SegmentKind};

/// Maximum number of packets of one held request: the window of a client.
const MAX_PACKETS: usize = 16;

/// A packet as the client sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldPacket {
    /// What decisions depend on.
    pub segment: Segment,
    /// The whole packet.
    pub packet: Vec<u8>,
}

/// What is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldKind {
    /// The opening of a flow.
    Opening,
    /// A request on an open flow.
    Request,
}

/// What happened to a packet of a flow whose request is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Joined {
    /// It is held, too.
    Added,
    /// It is a copy of a held packet.
    Copy,
    /// There is no room for it.
    Full,
}

/// A request that is held until there is room for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRequest {
    /// Its flow.
    pub flow: FlowKey,
    /// What is held.
    pub kind: HeldKind,
    /// When its first packet arrived, or for an opening when the client sent the first copy.
    pub first: Millis,
    /// When it began to wait.
    pub since: Millis,
    /// Its packets in the order of their arrival. Invariant: one to [`MAX_PACKETS`].
    pub packets: Vec<HeldPacket>,
}

impl HeldRequest {
    /// Creates a held request with its first packet.
    pub fn new(segment: &Segment, packet: &[u8], first: Millis, now: Millis) -> Self {
        let kind = match segment.kind {
            SegmentKind::Open { .. } => HeldKind::Opening,
            _ => HeldKind::Request,
        };
        Self {
            flow: segment.flow,
            kind,
            first,
            since: now,
            packets: vec![HeldPacket {
                segment: *segment,
                packet: packet.to_vec(),
            }],
        }
    }

    /// Returns the size of all packets in bytes.
    pub fn size(&self) -> usize {
        self.packets.iter().map(|p| p.packet.len()).sum()
    }

    /// Returns how long it has waited.
    pub fn wait(&self, now: Millis) -> Duration {
        now.since(self.since)
    }

    /// Returns whether an opening packet is a copy of the held one.
    pub fn is_copy(&self, segment: &Segment) -> bool {
        let first = &self.packets[0].segment;
        self.kind == HeldKind::Opening && first.sequence == segment.sequence
    }

    /// Adds a packet of the request unless it is a copy or does not fit.
    pub fn join(&mut self, segment: &Segment, packet: &[u8], fits: bool) -> Joined {
        let held = |p: &HeldPacket| {
            let of_held = &p.segment;
            of_held.sequence == segment.sequence && of_held.length >= segment.length
        };
        if self.packets.iter().any(held) {
            return Joined::Copy;
        }
        if !fits || self.packets.len() >= MAX_PACKETS {
            return Joined::Full;
        }
        self.packets.push(HeldPacket {
            segment: *segment,
            packet: packet.to_vec(),
        });
        Joined::Added
    }
}
