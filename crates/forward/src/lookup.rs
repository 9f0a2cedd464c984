//! Packets of flows whose target is uncertain, held while peers are asked for it. Openings are held if
//! another instance may have placed the flow while this one was paused.

use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::deadline::Deadlines;
use crate::{FlowKey, Segment, SegmentKind, TargetNumber};

/// Time for which packets are held. Several round trips between nearby zones, and well below the
/// 200 ms after which clients retransmit.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of lookups in progress.
const MAX_LOOKUPS: usize = 512;
/// Maximum number of packets held for one flow: the window of a client.
const MAX_PACKETS: usize = 16;

/// A packet held for a lookup.
#[derive(Debug, Clone)]
pub struct UncertainPacket {
    pub segment: Segment,
    /// The packet as the client sent it.
    pub packet: Vec<u8>,
}

impl UncertainPacket {
    /// Returns whether it opens its flow.
    pub const fn is_opening(&self) -> bool {
        matches!(self.segment.kind, SegmentKind::Open { .. })
    }
}

/// A flow whose target is looked up.
#[derive(Debug, Clone)]
pub struct Lookup {
    /// The target to which the flow is bound if no peer knows better; `None` as long as only openings
    /// are held.
    pub assumed: Option<TargetNumber>,
    /// Invariant: one to [`MAX_PACKETS`] packets.
    pub packets: Vec<UncertainPacket>,
}

/// What happened to a packet of a flow whose target is uncertain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is held, and peers have to be asked. A packet that follows held openings needs a question of
    /// its own, with its cookie.
    Started,
    /// It is held or, as one too many, dropped; peers have been asked before.
    Joined,
    /// Too many lookups are in progress.
    Refused,
}

/// The lookups in progress.
#[derive(Debug, Default)]
pub struct Lookups {
    /// Invariant: at most [`MAX_LOOKUPS`] lookups.
    pending: FastMap<FlowKey, Lookup>,
    /// When the lookups time out.
    deadlines: Deadlines,
}

impl Lookups {
    /// Holds a packet of a flow. `assumed` is the target that the packet most likely belongs to; `None`
    /// for an opening.
    pub fn push(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        assumed: Option<TargetNumber>,
        now: Millis,
    ) -> Admission {
        let held = UncertainPacket {
            segment: *segment,
            packet: packet.to_vec(),
        };
        if let Some(lookup) = self.pending.get_mut(&segment.flow) {
            let follows_openings = lookup.assumed.is_none() && assumed.is_some();
            lookup.assumed = lookup.assumed.or(assumed);
            if lookup.packets.len() < MAX_PACKETS {
                lookup.packets.push(held);
            }
            return if follows_openings {
                Admission::Started
            } else {
                Admission::Joined
            };
        }
        if self.pending.len() >= MAX_LOOKUPS {
            return Admission::Refused;
        }
        let packets = vec![held];
        self.pending
            .insert(segment.flow, Lookup { assumed, packets });
        self.deadlines.push(now + LOOKUP_TIMEOUT, segment.flow);
        Admission::Started
    }

    /// Ends the lookup of a flow of which only openings are held, if one is in progress.
    pub fn take_openings(&mut self, flow: &FlowKey) -> Option<Lookup> {
        self.pending.get(flow).filter(|l| l.assumed.is_none())?;
        self.pending.remove(flow)
    }

    /// Ends the lookup of a flow, if one is in progress.
    pub fn take(&mut self, flow: &FlowKey) -> Option<Lookup> {
        self.pending.remove(flow)
    }

    /// Returns when the next lookup times out.
    pub fn next_due(&mut self) -> Option<Millis> {
        self.deadlines
            .next_due(|flow| self.pending.contains_key(flow))
    }

    /// Ends the next lookup that has timed out.
    pub fn take_due(&mut self, now: Millis) -> Option<Lookup> {
        let waits = |flow: &FlowKey| self.pending.contains_key(flow);
        let flow = self.deadlines.take_due(waits, now)?;
        self.pending.remove(&flow)
    }
}
