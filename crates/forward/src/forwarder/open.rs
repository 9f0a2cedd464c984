//! Packets that open flows.

use std::time::Duration;

use tanager_core::Millis;

use super::Forwarder;
use crate::flows::Flow;
use crate::opening::{CLIENT_RETRANSMISSION_TIME, MAX_TARGETS};
use crate::{Action, DropReason, DueAction, FlowKey, Forward, ResetReason, Segment, TargetNumber};

/// Maximum age of the view at which a packet without a route is answered by a reset. An older view
/// may lack the route, so the packet is held and then dropped.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_500);

impl Forwarder {
    /// Handles a packet that opens a flow.
    pub(super) fn open(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        now: Millis,
    ) -> Result<Action, DropReason> {
        if !self.may_have_been_repeated(now) {
            return self.place(segment, packet, false, now);
        }
        if self.flows.get(&segment.flow).is_some_and(Flow::is_open) {
            return Err(DropReason::Moved);
        }
        if self.look_up(segment, packet, None, now) {
            return Ok(Action::LookUp);
        }
        self.place(segment, packet, true, now)
    }

    /// Returns whether a packet that is received now may have waited for so long that its client has
    /// sent a copy, perhaps through another instance.
    fn may_have_been_repeated(&self, now: Millis) -> bool {
        let waited = |since: Millis| now.since(since) >= CLIENT_RETRANSMISSION_TIME;
        self.paused_since.is_some_and(waited)
    }

    /// Sends an opening to a target. `repeated` tells whether the client has, or may have, sent
    /// another copy.
    pub(super) fn place(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        repeated: bool,
        now: Millis,
    ) -> Result<Action, DropReason> {
        if let Some(forward) = self.retransmitted_open(segment, now) {
            return forward.map(Action::Forward);
        }
        let key = segment.flow;
        let Some(service) = self.service_of(&key) else {
            return self.reject_unrouted(key, now);
        };
        let Some(choice) = self.choose(&service, &[], now) else {
            let reason = self.no_target_reason(&service, now);
            return Ok(self.reset(key, None, reason, 0));
        };
        if self.sheds(&key, choice.target, None, now) {
            return Ok(self.reset(key, None, ResetReason::Overloaded, 0));
        }
        self.remove_flow(&key, now);
        let flow = Flow::opening(choice.target, segment, now);
        if self.flows.insert(key, flow) {
            self.loads.open(choice.target, now);
            self.openings.insert(key, packet, choice.target, now);
            if repeated || segment.is_retransmission() {
                self.openings.record_retransmission(&key);
            }
            self.start_counting(&key, now);
        }
        self.record_placement(key, service, choice, 0);
        self.open_at(choice.target, now).map(Action::Forward)
    }

    /// Handles the retransmission of an opening packet, if its flow is in the table.
    fn retransmitted_open(
        &mut self,
        segment: &Segment,
        now: Millis,
    ) -> Option<Result<Forward, DropReason>> {
        let key = segment.flow;
        let flow = self.flows.get_mut(&key)?;
        if flow.first_sequence != segment.sequence || flow.finished {
            return None;
        }
        flow.last_seen = now;
        let target = flow.target;
        let is_open = flow.is_open();
        if self.is_evacuated(target) {
            return self.leave_evacuated(&key, is_open, now);
        }
        if is_open {
            return Some(self.send_opening(target, target.cookie(), now));
        }
        self.openings.record_retransmission(&key);
        let opening = self.openings.get(&key);
        if opening.is_some_and(|o| now < o.due) {
            return Some(self.open_at(target, now));
        }
        let sent = opening.map_or(now, |o| o.sent);
        self.liveness.record_miss(target, key, sent, now);
        let replaced = self.replace(&key, now);
        Some(replaced.map_or_else(|| self.open_at(target, now), Ok))
    }

    /// Handles the copy of an opening that was sent to a target of a zone that is now evacuated. A
    /// flow that has not opened is placed again. If that is not possible, the copy is dropped rather
    /// than answered by a reset, since the target may just have opened the flow. Returns `None` for
    /// a flow that is to be placed like a new one.
    fn leave_evacuated(
        &mut self,
        key: &FlowKey,
        is_open: bool,
        now: Millis,
    ) -> Option<Result<Forward, DropReason>> {
        if !is_open {
            self.openings.get(key)?;
            self.openings.record_retransmission(key);
            if let Some(forward) = self.replace(key, now) {
                return Some(Ok(forward));
            }
        }
        Some(Err(DropReason::Evacuated))
    }

    /// Returns whether the zone of a target is evacuated.
    fn is_evacuated(&self, target: TargetNumber) -> bool {
        let entry = self.view.get(target);
        entry.is_some_and(|e| self.view.evacuation(&e.target.zone).is_some())
    }

    /// Places a flow that is being opened on another target.
    fn replace(&mut self, key: &FlowKey, now: Millis) -> Option<Forward> {
        let service = self.service_of(key)?;
        let tried = self.openings.get(key)?.tried.clone();
        let choice = self.choose(&service, &tried, now)?;
        let flow = self.flows.get_mut(key)?;
        self.loads.remove(flow.target, flow.load(), now);
        flow.target = choice.target;
        self.loads.add(choice.target, flow.load(), now);
        self.openings.retry(*key, choice.target, now);
        let attempt = u8::try_from(tried.len()).unwrap_or(u8::MAX);
        self.record_placement(*key, service, choice, attempt);
        self.open_at(choice.target, now).ok()
    }

    /// Records that a flow's target did not answer the opening in time.
    fn record_opening_timeout(&mut self, key: &FlowKey, now: Millis) {
        let Some(opening) = self.openings.get(key) else {
            return;
        };
        if opening.tried.len() < MAX_TARGETS {
            let target = opening.tried[opening.tried.len() - 1];
            self.liveness.record_unanswered_opening(target, now);
            return;
        }
        // So many targets rarely fail at once. The client is assumed to have continued through
        // another instance, or to have left.
        for target in &opening.tried {
            self.liveness.clear_suspicion(*target);
        }
    }

    fn reject_unrouted(&mut self, key: FlowKey, now: Millis) -> Result<Action, DropReason> {
        let recent = self.view_age(now).is_some_and(|age| age <= MAX_VIEW_AGE);
        if recent && !self.view.routes().is_empty() {
            return Ok(self.reset(key, None, ResetReason::NoRoute, 0));
        }
        Err(DropReason::NoRoutes)
    }

    /// Sends opening packets that were not answered in time to other targets.
    pub(super) fn replace_unresponsive(&mut self, due: &mut Vec<DueAction>, now: Millis) {
        while let Some(key) = self.openings.take_due(now) {
            let Some(opening) = self.openings.get(&key).filter(|o| !o.is_outdated(now)) else {
                continue;
            };
            let (packet, tries) = (opening.packet.clone(), opening.tried.len());
            self.record_opening_timeout(&key, now);
            if tries >= MAX_TARGETS {
                continue;
            }
            if let Some(forward) = self.replace(&key, now) {
                due.push(DueAction {
                    flow: key,
                    action: Action::Forward(forward),
                    packet,
                });
            }
        }
    }
}
