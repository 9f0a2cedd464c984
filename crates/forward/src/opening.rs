//! Opening packets that no target has answered yet. A silent target is replaced after a short
//! time, well before the client repeats its packet.

use std::collections::VecDeque;
use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::{FlowKey, TargetNumber};

/// Time that a target has to answer an opening packet before another one is tried. Several round
/// trips between zones, and a fraction of the client's own 200 ms.
pub const ANSWER_TIME: Duration = Duration::from_millis(70);
/// Targets that are tried for one flow at most, without the client's own copies.
pub const TRIES: usize = 3;
/// Openings that are kept at most; later ones rely on the client's copies.
const OPENING_LIMIT: usize = 20_000;

/// An opening packet with the targets that got it.
#[derive(Debug, Clone)]
pub struct Opening {
    /// The packet as the client sent it.
    pub packet: Vec<u8>,
    /// The targets that got it, the last one last. Invariant: not empty.
    pub tried: Vec<TargetNumber>,
    /// When the last one got it.
    pub sent: Millis,
}

/// The openings of one instance.
#[derive(Debug, Default)]
pub struct Openings {
    /// Invariant: at most [`OPENING_LIMIT`] openings.
    openings: FastMap<FlowKey, Opening>,
    /// When to look at a flow again, in order of time.
    queue: VecDeque<(Millis, FlowKey)>,
}

impl Openings {
    /// Keeps an opening packet that was sent to a target.
    pub fn start(&mut self, flow: FlowKey, packet: &[u8], target: TargetNumber, now: Millis) {
        if self.openings.len() >= OPENING_LIMIT {
            return;
        }
        let opening = Opening {
            packet: packet.to_vec(),
            tried: vec![target],
            sent: now,
        };
        self.openings.insert(flow, opening);
        self.queue.push_back((now + ANSWER_TIME, flow));
    }

    /// Notes that another target got the packet.
    pub fn retry(&mut self, flow: FlowKey, target: TargetNumber, now: Millis) {
        if let Some(opening) = self.openings.get_mut(&flow) {
            opening.tried.push(target);
            opening.sent = now;
            self.queue.push_back((now + ANSWER_TIME, flow));
        }
    }

    /// Returns an opening.
    pub fn get(&self, flow: &FlowKey) -> Option<&Opening> {
        self.openings.get(flow)
    }

    /// Forgets an opening that was answered or given up.
    pub fn finish(&mut self, flow: &FlowKey) {
        self.openings.remove(flow);
    }

    /// Returns when the next opening is due, leaving out those that were answered.
    pub fn next_due(&mut self) -> Option<Millis> {
        while let Some((due, flow)) = self.queue.front() {
            if self.openings.contains_key(flow) {
                return Some(*due);
            }
            self.queue.pop_front();
        }
        None
    }

    /// Returns the next flow whose target had its time.
    pub fn take_due(&mut self, now: Millis) -> Option<FlowKey> {
        while self.next_due()? <= now {
            let (_, flow) = self.queue.pop_front()?;
            let opening = self.openings.get(&flow)?;
            // A client's copy may have reached another target in the meantime.
            if now.since(opening.sent) >= ANSWER_TIME {
                return Some(flow);
            }
        }
        None
    }
}
