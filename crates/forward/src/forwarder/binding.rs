//! Binds flows to their targets.
//!
//! An opening may be answered by several targets, if the first one seemed not to answer. The flow is
//! open at the one whose answer the client accepted, but both ends repeat the last cookie that they
//! received, and the other targets repeat their answers for seconds. So a cookie decides only if a
//! target can have written it for an open flow, and the targets that were tried in vain are told
//! where the flow is open.

use std::time::Duration;

use tanager_core::Millis;

use super::Forwarder;
use crate::flows::{Binding, Flow, HalfOpen};
use crate::lookup::{Admission, Lookup};
use crate::view::{Evidence, TargetEntry};
use crate::{
    Action, Cookie, DropReason, DueAction, Event, FlowKey, FlowMessage, Liveness, LookupSource,
    Segment, SegmentKind, TargetNumber,
};

/// Maximum number of messages to peers between two calls of [`Forwarder::take_messages`].
const MESSAGE_LIMIT: usize = 256;

/// Time for which targets of a zone that is being evacuated still get corrections.
const EVACUATION_GRACE: Duration = Duration::from_secs(1);

/// Whether a packet of a flow can be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Bound {
    /// The flow is bound to a target.
    Yes,
    /// The packet is held until a peer has told the flow's target.
    LookingUp,
}

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
            FlowMessage::Query { flow, cookie } if cookie == Cookie::NONE => {
                self.answer_opening_query(flow)
            }
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

    /// Drops the openings of a flow whose client continues through a peer.
    fn drop_openings(&mut self, key: &FlowKey) {
        let lookup = self.lookups.take_openings(key);
        for opening in lookup.into_iter().flat_map(|l| l.packets) {
            self.drop_packet(&opening.segment, DropReason::Moved);
        }
    }

    /// Binds the flow of a lookup to its target, and releases the packets. Openings are dropped, since
    /// the client has received an answer to one.
    fn finish_lookup(
        &mut self,
        lookup: Lookup,
        target: TargetNumber,
        source: LookupSource,
        now: Millis,
    ) {
        let packets = lookup.without_openings();
        if let Some(first) = packets.first() {
            let confirmed = source == LookupSource::Confirmed;
            self.bind_to(&first.segment, target, confirmed, now);
            self.record_event(Event::LookedUp {
                flow: first.segment.flow,
                target,
                source,
            });
        }
        self.released.extend(packets);
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

    /// Binds the flow of a packet to its target unless it is bound.
    pub(super) fn bind(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        now: Millis,
    ) -> Result<Bound, DropReason> {
        let key = segment.flow;
        let flow = self.flows.get(&key);
        if flow.is_some_and(Flow::is_open) {
            self.check_evidence(segment, now);
            return Ok(Bound::Yes);
        }
        let Some(evidence) = self.view.find_evidence(segment.cookie) else {
            let Some(flow) = flow else {
                return Err(match segment.cookie {
                    Cookie::NONE => DropReason::NoCookie,
                    _ => DropReason::UnknownTarget,
                });
            };
            let target = flow.target;
            self.bind_to(segment, target, false, now);
            return Ok(Bound::Yes);
        };
        let certain = match (evidence, flow) {
            (Evidence::Open(_), _) => true,
            // The client has just accepted an answer to the opening that this instance received.
            (Evidence::Opening(_), Some(f)) => segment.sequence == f.first_sequence.wrapping_add(1),
            // The result of a lookup could not be stored.
            (Evidence::Opening(_), None) => self.flows.is_full(),
        };
        if !certain {
            let assumed = self.likely_target(&key, evidence.target(), now);
            if self.look_up(segment, packet, Some(assumed), now) {
                return Ok(Bound::LookingUp);
            }
        }
        let confirmed = matches!(evidence, Evidence::Open(_));
        self.bind_to(segment, evidence.target(), confirmed, now);
        Ok(Bound::Yes)
    }

    /// Returns the target at which a flow is most likely open that has made progress through other
    /// instances, if its packet names a target that only answered an opening. Of the targets that this
    /// instance tried, that is the first one: the others were tried since the client had moved on.
    fn likely_target(&self, key: &FlowKey, named: TargetNumber, now: Millis) -> TargetNumber {
        let opening = self.openings.get(key);
        let Some(opening) = opening.filter(|o| o.tried.contains(&named)) else {
            return named;
        };
        let lost = |n: TargetNumber| self.liveness.liveness(n, &self.health, now) == Liveness::Lost;
        let mut tried = opening.tried.iter().copied();
        tried.find(|n| !lost(*n)).unwrap_or(named)
    }

    /// Binds a flow to a target on a packet that follows the opening. This ends a lookup of the flow:
    /// its packets are released, except openings, which are obsolete.
    fn bind_to(&mut self, segment: &Segment, target: TargetNumber, confirmed: bool, now: Millis) {
        let key = segment.flow;
        if let Some(lookup) = self.lookups.take(&key) {
            self.released.extend(lookup.without_openings());
        }
        if self.flows.get(&key).is_none() {
            let mut flow = Flow::adopted(target, segment, now);
            if confirmed {
                flow.binding = Binding::Confirmed;
            }
            flow.opened_elsewhere = !confirmed;
            if self.flows.insert(key, flow) {
                self.loads.adopt(target, now);
            }
            return;
        }
        self.rebind(&key, target, now);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.acknowledged = segment.acknowledged;
        }
        if confirmed {
            self.confirm(&key, now);
        }
        if segment.kind != SegmentKind::Abort {
            self.liveness.record_response(target, now);
        }
    }

    /// Changes the target of a flow in the table, and treats the flow as open.
    fn rebind(&mut self, key: &FlowKey, target: TargetNumber, now: Millis) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        if target != flow.target {
            self.loads.remove(flow.target, flow.load(), now);
            self.loads.add(target, flow.load(), now);
            flow.target = target;
        }
        if flow.is_open() {
            return;
        }
        flow.binding = Binding::Assumed;
        self.loads.opened(target, now);
        if let Some(opening) = self.openings.record_answer(key, target, now) {
            flow.opened_elsewhere = !opening.tried.contains(&target);
            let several = flow.opened_elsewhere || opening.tried.len() > 1;
            flow.half_open = several.then(|| {
                Box::new(HalfOpen {
                    packet: opening.packet,
                    tried: opening.tried,
                })
            });
        }
    }

    /// Compares the cookie of a packet with the target that its open flow is bound to.
    fn check_evidence(&mut self, segment: &Segment, now: Millis) {
        let key = segment.flow;
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        if segment.cookie == flow.target.cookie() {
            if !flow.is_confirmed() && super::is_after(segment.acknowledged, flow.acknowledged) {
                self.confirm(&key, now);
            }
            return;
        }
        let Some(evidence) = self.view.find_evidence(segment.cookie) else {
            return;
        };
        let (target, confirmed) = (flow.target, flow.is_confirmed());
        match evidence {
            Evidence::Open(named) if !confirmed => {
                self.rebind(&key, named, now);
                self.confirm(&key, now);
            }
            // The client has received the answer of a target that does not know where the flow is
            // open.
            Evidence::Opening(named) if confirmed && named != target => self.correct(&key, now),
            Evidence::Open(_) | Evidence::Opening(_) => {}
        }
    }

    /// Records that the target of an open flow has sent data of the flow.
    fn confirm(&mut self, key: &FlowKey, now: Millis) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        flow.binding = Binding::Confirmed;
        if flow.opened_elsewhere || flow.half_open.is_some() {
            self.correct(key, now);
        }
    }

    /// Tells the targets that were tried in vain for a flow where it is open, or lets the instance do
    /// so that tried them.
    fn correct(&mut self, key: &FlowKey, now: Millis) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let target = flow.target;
        if flow.opened_elsewhere || flow.half_open.is_none() {
            self.send_message(FlowMessage::Binding {
                flow: *key,
                target,
                confirmed: true,
            });
        }
        self.correct_half_open(key, now);
    }

    /// Sends the opening of a flow, with the cookie of its target, to the other targets that were
    /// tried: they repeat the last cookie that they received. Targets that are leaving or whose zone
    /// has been evacuated for a while are left out, since they must not receive an opening late.
    fn correct_half_open(&mut self, key: &FlowKey, now: Millis) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let Some(half_open) = &flow.half_open else {
            return;
        };
        let target = flow.target;
        let others = half_open.tried.iter().filter(|n| **n != target);
        let entries = others.filter_map(|n| self.view.get(*n));
        let takes_openings = |e: &&TargetEntry| {
            let evacuation = self.view.evacuation(&e.target.zone);
            evacuation.is_none_or(|e| now.since(e.since) < EVACUATION_GRACE)
        };
        let usable = entries.filter(|e| e.accepts_flows()).filter(takes_openings);
        let usable: Vec<_> = usable.map(|e| e.target.number).collect();
        let packet = half_open.packet.clone();
        let before = self.corrections.len();
        for number in usable {
            // A cold target whose rate does not permit the opening now is corrected later, when the
            // client repeats its cookie.
            if let Ok(forward) = self.send_opening(number, target.cookie(), now) {
                self.corrections.push(DueAction {
                    flow: *key,
                    action: Action::Forward(forward),
                    packet: packet.clone(),
                });
            }
        }
        let others = self.corrections.len() - before;
        if others > 0 {
            self.record_event(Event::HalfOpenCorrected {
                flow: *key,
                target,
                others,
            });
        }
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

    fn send_message(&mut self, message: FlowMessage) {
        if self.messages.len() < MESSAGE_LIMIT {
            self.messages.push(message);
        }
    }
}
