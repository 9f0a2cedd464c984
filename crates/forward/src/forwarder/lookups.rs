//! Questions to peers and their answers: where a flow is open, and whether another instance has placed
//! it.

use tanager_core::Millis;

use super::Forwarder;
use crate::flows::Binding;
use crate::lookup::{Admission, Lookup};
use crate::{
    Cookie, DropReason, DueAction, Event, FlowKey, FlowMessage, LookupSource, Segment, TargetNumber,
};

/// Maximum number of messages to peers between two calls of [`Forwarder::take_messages`].
const MESSAGE_LIMIT: usize = 256;

impl Forwarder {
    /// Returns the messages for peers since the last call.
    pub fn take_messages(&mut self) -> Vec<FlowMessage> {
        std::mem::take(&mut self.messages)
    }

    /// Returns whether there are messages for peers.
    #[must_use]
    pub const fn has_messages(&self) -> bool {
        !self.messages.is_empty()
    }

    /// Handles a message of a peer. Returns the answer, if there is one. Packets that it releases are
    /// returned by the next call of [`Forwarder::take_due`].
    pub fn handle_message(&mut self, message: FlowMessage, now: Millis) -> Option<FlowMessage> {
        match message {
            FlowMessage::Query {
                flow,
                cookie: Cookie::NONE,
            } => self.answer_opening_query(flow),
            FlowMessage::Query { flow, cookie } => self.answer_query(flow, cookie, now),
            FlowMessage::Binding {
                flow,
                target,
                confirmed,
            } => {
                self.apply_binding(&flow, target, confirmed, now);
                None
            }
            FlowMessage::Known { flow } => {
                self.drop_openings(&flow);
                None
            }
        }
    }

    /// Answers an instance that has an opening which may be old, if the flow is known here.
    fn answer_opening_query(&mut self, key: FlowKey) -> Option<FlowMessage> {
        let flow = self.flows.get(&key)?;
        self.record_event(Event::LookupAnswered {
            flow: key,
            target: flow.target,
            confirmed: flow.is_confirmed(),
        });
        Some(FlowMessage::Known { flow: key })
    }

    /// Returns what this instance knows of a flow's target. The client of a flow that is still being
    /// opened here continues through the instance that asks. Its cookie tells whose answer it has
    /// received: if that target got the opening from another instance, the flow may be open there.
    fn answer_query(&mut self, key: FlowKey, cookie: Cookie, now: Millis) -> Option<FlowMessage> {
        let flow = self.flows.get(&key).filter(|f| !f.finished)?;
        let (target, confirmed) = match flow.binding {
            Binding::Opening => {
                self.openings.stop_trying(&key);
                let only = self.openings.get(&key)?.only_target(now)?;
                let answered = self.view.find_evidence(cookie)?.target();
                ((only == answered).then_some(only)?, false)
            }
            Binding::Assumed => (flow.target, false),
            Binding::Confirmed => (flow.target, true),
        };
        self.record_event(Event::LookupAnswered {
            flow: key,
            target,
            confirmed,
        });
        Some(FlowMessage::Binding {
            flow: key,
            target,
            confirmed,
        })
    }

    /// Applies what a peer tells about a flow's target. What is not certain only binds a flow that
    /// waits for it: a packet may have bound the flow since the peer was asked, and a peer that was
    /// paused may know less than this instance.
    fn apply_binding(&mut self, key: &FlowKey, target: TargetNumber, confirmed: bool, now: Millis) {
        if self.view.get(target).is_none() {
            return;
        }
        self.drop_openings(key);
        if let Some(lookup) = self.lookups.take(key) {
            let source = if confirmed {
                LookupSource::Confirmed
            } else {
                LookupSource::Unconfirmed
            };
            self.finish_lookup(lookup, target, source, now);
        } else if confirmed {
            self.apply_confirmation(key, target, now);
        }
    }

    /// Ends the lookup of a flow of which only openings are held: its client continues through a peer.
    fn drop_openings(&mut self, key: &FlowKey) {
        if let Some(lookup) = self.lookups.take_openings(key) {
            self.release(lookup);
        }
    }

    /// Binds the flow of a lookup to its target, and releases the packets.
    fn finish_lookup(
        &mut self,
        lookup: Lookup,
        target: TargetNumber,
        source: LookupSource,
        now: Millis,
    ) {
        let first = lookup.packets.iter().find(|p| !p.is_opening());
        if let Some(segment) = first.map(|p| p.segment) {
            let confirmed = source == LookupSource::Confirmed;
            self.bind_to(&segment, target, confirmed, now);
            self.record_event(Event::LookedUp {
                flow: segment.flow,
                target,
                source,
            });
        }
        self.release(lookup);
    }

    /// Releases the packets of a lookup. Openings are dropped: the client has moved on.
    pub(super) fn release(&mut self, lookup: Lookup) {
        for held in lookup.packets {
            if held.is_opening() {
                self.drop_packet(&held.segment, DropReason::Moved);
            } else {
                self.released.push(held);
            }
        }
    }

    /// Binds a known flow to the target that has sent data of it, according to a peer, unless this
    /// instance has seen data of another one.
    fn apply_confirmation(&mut self, key: &FlowKey, target: TargetNumber, now: Millis) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        if flow.is_confirmed() && flow.target != target {
            return;
        }
        self.rebind(key, target, now);
        if let Some(flow) = self.flows.get_mut(key) {
            flow.binding = Binding::Confirmed;
        }
        self.correct_half_open(key, now);
    }

    /// Holds a packet and asks peers for the target of its flow. Returns `false` if too many packets
    /// are held.
    pub(super) fn look_up(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        assumed: Option<TargetNumber>,
        now: Millis,
    ) -> bool {
        let admission = self.lookups.push(segment, packet, assumed, now);
        if admission == Admission::Started {
            self.send_message(FlowMessage::Query {
                flow: segment.flow,
                cookie: segment.cookie,
            });
        }
        admission != Admission::Refused
    }

    /// Handles the packets of ended lookups.
    pub(super) fn release_looked_up(&mut self, due: &mut Vec<DueAction>, now: Millis) {
        while let Some(lookup) = self.lookups.take_due(now) {
            match lookup.assumed {
                Some(target) => self.finish_lookup(lookup, target, LookupSource::Assumed, now),
                None => self.place_unknown(lookup, due, now),
            }
        }
        for held in std::mem::take(&mut self.released) {
            let action = self.handle_packet(&held.segment, &held.packet, now);
            due.push(DueAction {
                flow: held.segment.flow,
                action,
                packet: held.packet,
            });
        }
    }

    /// Places old openings of a flow that no peer knows.
    fn place_unknown(&mut self, lookup: Lookup, due: &mut Vec<DueAction>, now: Millis) {
        for held in lookup.packets {
            let placed = self.place(&held.segment, &held.packet, true, now);
            let action = self.hold_or_drop(placed, &held.segment, &held.packet, now);
            due.push(DueAction {
                flow: held.segment.flow,
                action,
                packet: held.packet,
            });
        }
    }

    pub(super) fn send_message(&mut self, message: FlowMessage) {
        if self.messages.len() < MESSAGE_LIMIT {
            self.messages.push(message);
        }
    }
}
