//! Packets that wait for the entry of their target. After a start, and when routers move a flow,
//! packets come before the instance has read what it needs to forward them.

use std::collections::VecDeque;
use std::time::Duration;

use tanager_core::Millis;

use crate::{DropReason, Segment};

/// Time for which a packet waits. Its sender repeats it after 200 ms and longer.
const HOLD_LIMIT: Duration = Duration::from_millis(400);
/// Packets that wait at most, about 600 KB.
const HOLD_COUNT: usize = 512;

/// A packet that waits.
#[derive(Debug, Clone)]
pub struct HeldPacket {
    /// What it does.
    pub segment: Segment,
    /// The packet as the client sent it.
    pub packet: Vec<u8>,
    /// What is missing to forward it.
    pub reason: DropReason,
    /// When it came.
    pub since: Millis,
}

/// The packets that wait, the oldest first.
#[derive(Debug, Default)]
pub struct Held {
    /// Invariant: at most [`HOLD_COUNT`] packets.
    packets: VecDeque<HeldPacket>,
}

impl Held {
    /// Keeps a packet. Returns whether there was room.
    pub fn push(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        reason: DropReason,
        now: Millis,
    ) -> bool {
        let room = self.packets.len() < HOLD_COUNT;
        if room {
            self.packets.push_back(HeldPacket {
                segment: *segment,
                packet: packet.to_vec(),
                reason,
                since: now,
            });
        }
        room
    }

    /// Takes out all packets.
    pub fn take(&mut self) -> Vec<HeldPacket> {
        self.packets.drain(..).collect()
    }

    /// Takes out the packets that have waited too long.
    pub fn take_expired(&mut self, now: Millis) -> Vec<HeldPacket> {
        let fresh = |p: &HeldPacket| now.since(p.since) < HOLD_LIMIT;
        let old = self.packets.iter().take_while(|p| !fresh(p)).count();
        self.packets.drain(..old).collect()
    }
}
