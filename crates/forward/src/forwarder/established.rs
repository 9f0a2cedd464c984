//! Packets of established flows.

use std::time::Duration;

use tanager_core::Millis;

use super::binding::Bound;
use super::{EVENT_LIMIT, Forwarder, is_after};
use crate::flows::{Flow, Request, Shed};
use crate::load::FlowLoad;
use crate::{Action, DropReason, FlowKey, Segment, SegmentKind, TargetNumber};

/// Age of a request from which repeated data counts as a retransmission rather than as reordered.
/// Clients retransmit after 200 ms.
const MIN_RETRANSMISSION_AGE: Duration = Duration::from_millis(150);

/// Time after which a shed request is forgotten. Longer than the time between two retransmissions.
const SHED_LIFETIME: Duration = Duration::from_secs(2);

impl Forwarder {
    /// Handles a packet of an established flow.
    pub(super) fn handle_established(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        now: Millis,
    ) -> Result<Action, DropReason> {
        let key = segment.flow;
        if self.bind(segment, packet, now)? == Bound::LookingUp {
            return Ok(Action::LookUp);
        }
        let Some(target) = self.flows.get(&key).map(|f| f.target) else {
            // The flow table is full, so only the cookie identifies the target.
            return match self.view.find_evidence(segment.cookie) {
                Some(evidence) => self.forward_to(evidence.target()).map(Action::Forward),
                None => Err(DropReason::UnknownTarget),
            };
        };
        self.observe_answer(segment, now);
        if self.is_new_request(segment) && self.sheds_request(&key, target, now) {
            return Err(DropReason::Overloaded);
        }
        self.observe_data(segment, now);
        if matches!(segment.kind, SegmentKind::Finish | SegmentKind::Abort) {
            self.classify_answer(&key, now);
        }
        if segment.kind == SegmentKind::Data
            && segment.length > 0
            && let Some(reason) = self.reset_reason(&key, target, now)
        {
            self.remove_flow(&key, now);
            return Ok(self.reset(key, Some(target), reason, segment.acknowledged));
        }
        match segment.kind {
            SegmentKind::Abort => self.remove_flow(&key, now),
            SegmentKind::Finish => self.finish_flow(&key, now),
            _ => {}
        }
        self.forward_to(target).map(Action::Forward)
    }

    /// Records that a flow's client sends no further requests.
    fn finish_flow(&mut self, key: &FlowKey, now: Millis) {
        let Some(flow) = self.flows.get_mut(key).filter(|f| !f.finished) else {
            return;
        };
        flow.finished = true;
        let ended = FlowLoad {
            unfinished: true,
            ..FlowLoad::default()
        };
        self.loads.remove(flow.target, ended, now);
    }

    /// Returns whether a packet begins a request: it has new data while no answer is outstanding.
    fn is_new_request(&self, segment: &Segment) -> bool {
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        let flow = self.flows.get(&segment.flow);
        segment.kind == SegmentKind::Data
            && segment.length > 0
            && flow.is_some_and(|f| f.request.is_none() && is_after(end, f.sent))
    }

    /// Returns whether to shed a new request on an open flow. The client retransmits it.
    fn sheds_request(&mut self, key: &FlowKey, target: TargetNumber, now: Millis) -> bool {
        let Some(flow) = self.flows.get_mut(key) else {
            return false;
        };
        if flow.admitted.is_some() {
            return false;
        }
        let shed = flow.shed.filter(|s| now.since(s.last) < SHED_LIFETIME);
        if shed.is_some_and(|s| now.since(s.last) < MIN_RETRANSMISSION_AGE) {
            // Another packet of the request, or a copy.
            return true;
        }
        let sheds = self.sheds(key, target, shed.map(|s| now.since(s.first)), now);
        if let Some(flow) = self.flows.get_mut(key) {
            let first = shed.map_or(now, |s| s.first);
            flow.shed = sheds.then_some(Shed { first, last: now });
        }
        sheds
    }

    /// Updates the flow, and the load and liveness of its target, from what a packet acknowledges.
    fn observe_answer(&mut self, segment: &Segment, now: Millis) {
        let key = segment.flow;
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        flow.last_seen = now;
        let target = flow.target;
        if is_after(segment.acknowledged, flow.acknowledged) {
            flow.acknowledged = segment.acknowledged;
            if let Some(pending) = &mut flow.pending_answer {
                pending.answered.get_or_insert(now);
            }
            self.liveness.record_response(target, now);
            if let Some(request) = flow.request.take() {
                self.end_request(&key, target, request, now);
            }
        }
    }

    /// Records that a request was answered.
    fn end_request(&mut self, key: &FlowKey, target: TargetNumber, request: Request, now: Millis) {
        let time = now.since(request.started);
        if request.counted {
            self.loads.end_request(target, now);
        }
        if let Some(load) = self.flows.end_admission(key) {
            self.admission.end(load);
        }
        self.record_answer_time(key, time);
        let length = self.flows.get(key).and_then(Flow::answer_length);
        let short = length.is_some_and(|l| self.health.is_short(key.service, l));
        // The answer to a repeated request may belong to either copy, and a request that failed at
        // once tells nothing about others.
        if !request.retransmitted && !short {
            self.load_times.record(key.service, time);
        }
        if self.answer_times.len() < EVENT_LIMIT {
            self.answer_times.push(time);
        }
    }

    /// Updates the flow, and the load and liveness of its target, from the data of a packet.
    fn observe_data(&mut self, segment: &Segment, now: Millis) {
        let key = segment.flow;
        let Some(flow) = self.flows.get_mut(&key).filter(|_| segment.length > 0) else {
            return;
        };
        let target = flow.target;
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        if is_after(end, flow.sent) {
            flow.sent = end;
            if let Some(request) = &mut flow.request {
                request.last_sent = now;
            } else {
                let load_time = self.load_times.load_time(key.service);
                self.flows.start_request(key, load_time, now);
                self.loads.start_request(target, now);
                self.start_counting(&key, now);
            }
            self.expect_answer(key, now);
        } else if let Some(request) = &mut flow.request
            && now.since(request.started) >= MIN_RETRANSMISSION_AGE
        {
            // A target that does not accept a request is a different fault than a missing answer.
            flow.pending_answer = None;
            let first = !std::mem::replace(&mut request.retransmitted, true);
            let missed = std::mem::replace(&mut request.last_sent, now);
            if self.last_backlog.is_some_and(|at| at >= missed) {
                // This instance may have dropped the acknowledgement, or has not read it yet.
                return;
            }
            // Reported to peers only if some target has responded since the request started.
            // Otherwise the fault may be in this instance's own path.
            let reachable = self
                .liveness
                .last_response_from_any()
                .is_some_and(|at| at > request.started);
            if first && reachable {
                self.health.record_miss(target, missed, now);
            }
            self.liveness.record_miss(target, key, missed, now);
        }
    }
}
