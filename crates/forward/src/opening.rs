//! Opening packets that no target has answered yet. If the target does not answer in time, another
//! one is tried before the client retransmits the packet.

use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::deadline::Deadlines;
use crate::typical_time::TypicalTime;
use crate::{FlowKey, TargetNumber};

/// Minimum time that a target has to answer an opening packet before another one is tried. Several
/// round trips between nearby zones.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(70);
/// Maximum time, just below the 200 ms after which clients retransmit an opening packet.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(190);
/// Time after which clients retransmit an opening packet, perhaps through another instance.
pub const CLIENT_RETRANSMISSION_TIME: Duration = Duration::from_millis(200);
/// Maximum number of targets tried for one flow, apart from those tried for the client's
/// retransmissions.
pub const MAX_TARGETS: usize = 3;
/// Maximum number of stored openings; further ones rely on the client's retransmissions.
const OPENING_LIMIT: usize = 20_000;

/// An opening packet with the targets that it was sent to.
#[derive(Debug, Clone)]
pub struct Opening {
    /// The packet as the client sent it.
    pub packet: Vec<u8>,
    /// The targets that it was sent to, in order. Invariant: not empty.
    pub tried: Vec<TargetNumber>,
    /// When it was sent to the first target.
    started: Millis,
    /// When it was sent to the last target.
    pub sent: Millis,
    /// When the answer of the last target times out.
    pub due: Millis,
    /// Whether the client has retransmitted the packet, or may have.
    retransmitted: bool,
    /// Whether the client continues through another instance, so that no further target is tried.
    continued_elsewhere: bool,
}

impl Opening {
    /// Returns whether it should have been sent to another target so long ago that the client has
    /// retransmitted the packet or left. This happens if the process was paused.
    pub fn is_outdated(&self, now: Millis) -> bool {
        now.since(self.due) >= CLIENT_RETRANSMISSION_TIME
    }

    /// Returns the target if no other one, of any instance, can have received the packet.
    pub fn only_target(&self, now: Millis) -> Option<TargetNumber> {
        let only_copy = !self.retransmitted && now.since(self.started) < CLIENT_RETRANSMISSION_TIME;
        match self.tried[..] {
            [target] if only_copy => Some(target),
            _ => None,
        }
    }
}

/// The unanswered openings of an instance.
#[derive(Debug, Default)]
pub struct Openings {
    /// Invariant: at most [`OPENING_LIMIT`] openings.
    pending: FastMap<FlowKey, Opening>,
    deadlines: Deadlines,
    /// Duration of openings, from the client's first packet to its next one.
    opening_time: Option<TypicalTime>,
}

impl Openings {
    fn answer_timeout(&self) -> Duration {
        let usual = self.opening_time;
        let bound = usual.map_or(MIN_ANSWER_TIMEOUT, TypicalTime::upper_bound);
        bound.clamp(MIN_ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT)
    }

    /// Returns the mean duration of openings, if any was observed.
    pub fn mean_time(&self) -> Option<Duration> {
        self.opening_time.map(TypicalTime::mean)
    }

    /// Stores an opening packet that was sent to a target, unless the limit is reached.
    pub fn insert(&mut self, flow: FlowKey, packet: &[u8], target: TargetNumber, now: Millis) {
        if self.pending.len() >= OPENING_LIMIT {
            return;
        }
        let due = now + self.answer_timeout();
        let opening = Opening {
            packet: packet.to_vec(),
            tried: vec![target],
            started: now,
            sent: now,
            due,
            retransmitted: false,
            continued_elsewhere: false,
        };
        self.pending.insert(flow, opening);
        self.deadlines.push(due, flow);
    }

    /// Records that the packet was sent to another target.
    pub fn retry(&mut self, flow: FlowKey, target: TargetNumber, now: Millis) {
        let due = now + self.answer_timeout();
        if let Some(opening) = self.pending.get_mut(&flow) {
            opening.tried.push(target);
            opening.sent = now;
            opening.due = due;
            self.deadlines.push(due, flow);
        }
    }

    /// Records that the client has retransmitted the packet, or may have.
    pub fn record_retransmission(&mut self, flow: &FlowKey) {
        if let Some(opening) = self.pending.get_mut(flow) {
            opening.retransmitted = true;
        }
    }

    /// Removes and returns an opening that a target has answered, and updates the duration estimate.
    /// An opening that was retransmitted or answered by a later target is left out of the estimate,
    /// because the answer may belong to another copy of the packet.
    pub fn record_answer(
        &mut self,
        flow: &FlowKey,
        target: TargetNumber,
        now: Millis,
    ) -> Option<Opening> {
        let opening = self.pending.remove(flow)?;
        if opening.tried.first() == Some(&target) && !opening.retransmitted {
            self.opening_time = Some(TypicalTime::observe(
                self.opening_time,
                now.since(opening.started),
            ));
        }
        Some(opening)
    }

    /// Stops trying further targets for an opening whose client continues through another instance.
    pub fn stop_trying(&mut self, flow: &FlowKey) {
        if let Some(opening) = self.pending.get_mut(flow) {
            opening.continued_elsewhere = true;
        }
    }

    pub fn get(&self, flow: &FlowKey) -> Option<&Opening> {
        self.pending.get(flow)
    }

    pub fn remove(&mut self, flow: &FlowKey) {
        self.pending.remove(flow);
    }

    /// Returns when the next unanswered opening is due.
    pub fn next_due(&mut self) -> Option<Millis> {
        self.deadlines
            .next_due(|flow| self.pending.contains_key(flow))
    }

    /// Returns the next flow whose target has not answered in time.
    pub fn take_due(&mut self, now: Millis) -> Option<FlowKey> {
        let waits = |flow: &FlowKey| self.pending.contains_key(flow);
        while let Some(flow) = self.deadlines.take_due(waits, now) {
            // A retransmission may have been sent to another target in the meantime, which moves
            // the deadline.
            let opening = self.pending.get(&flow)?;
            if opening.due <= now && !opening.continued_elsewhere {
                return Some(flow);
            }
        }
        None
    }
}
