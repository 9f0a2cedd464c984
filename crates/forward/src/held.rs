//! Packets that are held until the view has the target or route that they need. After a start, and
//! when routers move a flow, packets arrive before the instance has read that entry.

use std::collections::VecDeque;
use std::time::Duration;

use tanager_core::Millis;

use crate::{DropReason, Segment};

/// Time for which a packet is held. Clients retransmit after 200 ms or more.
const HOLD_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of held packets, about 600 KB.
const MAX_HELD_PACKETS: usize = 512;

#[derive(Debug, Clone)]
pub struct HeldPacket {
    pub segment: Segment,
    /// The packet as the client sent it.
    pub packet: Vec<u8>,
    /// Why it cannot be forwarded yet, and the reason of the drop if it expires.
    pub reason: DropReason,
    /// When it was received.
    pub since: Millis,
}

/// The held packets, oldest first.
#[derive(Debug, Default)]
pub struct HeldPackets {
    /// Invariant: at most [`MAX_HELD_PACKETS`] packets.
    packets: VecDeque<HeldPacket>,
}

impl HeldPackets {
    /// Holds a packet unless the limit is reached. Returns whether it is held.
    pub fn push(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        reason: DropReason,
        now: Millis,
    ) -> bool {
        let added = self.packets.len() < MAX_HELD_PACKETS;
        if added {
            self.packets.push_back(HeldPacket {
                segment: *segment,
                packet: packet.to_vec(),
                reason,
                since: now,
            });
        }
        added
    }

    /// Removes and returns all packets.
    pub fn take(&mut self) -> Vec<HeldPacket> {
        self.packets.drain(..).collect()
    }

    /// Removes and returns the packets that have been held for [`HOLD_TIMEOUT`] or longer.
    pub fn take_expired(&mut self, now: Millis) -> Vec<HeldPacket> {
        let recent = |p: &HeldPacket| now.since(p.since) < HOLD_TIMEOUT;
        let expired = self.packets.iter().take_while(|p| !recent(p)).count();
        self.packets.drain(..expired).collect()
    }
}
