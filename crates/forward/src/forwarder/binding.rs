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
use crate::view::{Evidence, TargetEntry};
use crate::{
    Action, Cookie, DropReason, DueAction, Event, FlowKey, FlowMessage, Liveness, Segment,
    SegmentKind, TargetNumber,
};

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
    pub(super) fn bind_to(
        &mut self,
        segment: &Segment,
        target: TargetNumber,
        confirmed: bool,
        now: Millis,
    ) {
        let key = segment.flow;
        if let Some(lookup) = self.lookups.take(&key) {
            self.release(lookup);
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
    pub(super) fn rebind(&mut self, key: &FlowKey, target: TargetNumber, now: Millis) {
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
    pub(super) fn correct_half_open(&mut self, key: &FlowKey, now: Millis) {
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
}
