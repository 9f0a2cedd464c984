//! Packets that open flows.

use std::time::Duration;

use tanager_core::Millis;

use super::Forwarder;
use crate::flows::Flow;
use crate::opening::TRIES;
use crate::{Action, DropReason, DueAction, FlowKey, Forward, ResetReason, Segment};

/// A view that is this old may lack a route, so packets without one are dropped, not reset.
const VIEW_FRESH: Duration = Duration::from_millis(2_500);

impl Forwarder {
    /// Handles a packet that opens a flow.
    pub(super) fn open(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        now: Millis,
    ) -> Result<Action, DropReason> {
        if let Some(forward) = self.copy_of_open(segment, now) {
            return forward.map(Action::Forward);
        }
        let key = segment.flow;
        let Some(service) = self.service(&key) else {
            return self.refuse_unrouted(key, now);
        };
        let Some(choice) = self.choose(&service, &[], now) else {
            return Ok(self.reset(key, None, ResetReason::NoTarget, 0));
        };
        self.forget(&key, now);
        let flow = Flow::opening(choice.target, segment, now);
        if self.flows.insert(key, flow) {
            self.loads.open(choice.target, now);
            self.openings.start(key, packet, choice.target, now);
        }
        self.note_placed(key, service, choice, 0);
        self.forward(choice.target).map(Action::Forward)
    }

    /// Handles a packet that repeats the opening of a flow that is known here.
    fn copy_of_open(
        &mut self,
        segment: &Segment,
        now: Millis,
    ) -> Option<Result<Forward, DropReason>> {
        let key = segment.flow;
        let flow = self.flows.get_mut(&key)?;
        if flow.first_sequence != segment.sequence || flow.finished {
            return None;
        }
        flow.seen = now;
        let target = flow.target;
        if flow.open {
            return Some(self.forward(target));
        }
        self.openings.repeat(&key);
        if self.openings.get(&key).is_some_and(|o| now < o.due) {
            return Some(self.forward(target));
        }
        self.evidence.miss(target, key, now);
        let replaced = self.replace(&key, now);
        Some(replaced.map_or_else(|| self.forward(target), Ok))
    }

    /// Sends a flow that is being opened to another target.
    fn replace(&mut self, key: &FlowKey, now: Millis) -> Option<Forward> {
        let service = self.service(key)?;
        let tried = self.openings.get(key)?.tried.clone();
        let choice = self.choose(&service, &tried, now)?;
        let flow = self.flows.get_mut(key)?;
        self.loads.close(flow.target, true, false, now);
        flow.target = choice.target;
        self.loads.open(choice.target, now);
        self.openings.retry(*key, choice.target, now);
        let attempt = u8::try_from(tried.len()).unwrap_or(u8::MAX);
        self.note_placed(*key, service, choice, attempt);
        self.forward(choice.target).ok()
    }

    /// Notes that a flow's target has not answered the opening for a while.
    fn doubt_opening(&mut self, key: &FlowKey, now: Millis) {
        let Some(opening) = self.openings.get(key) else {
            return;
        };
        if opening.tried.len() < TRIES {
            let target = opening.tried[opening.tried.len() - 1];
            self.evidence.doubt(target, now);
            return;
        }
        // So many targets are not silent at once: the client goes on elsewhere, or has left.
        for target in &opening.tried {
            self.evidence.trust(*target);
        }
    }

    fn refuse_unrouted(&mut self, key: FlowKey, now: Millis) -> Result<Action, DropReason> {
        let fresh = self.view_age(now).is_some_and(|age| age <= VIEW_FRESH);
        if fresh && !self.view.routes().is_empty() {
            return Ok(self.reset(key, None, ResetReason::NoRoute, 0));
        }
        Err(DropReason::NoRoutes)
    }

    /// Sends the opening packets of silent targets to others.
    pub(super) fn replace_silent(&mut self, due: &mut Vec<DueAction>, now: Millis) {
        while let Some(key) = self.openings.take_due(now) {
            let Some(opening) = self.openings.get(&key) else {
                continue;
            };
            let (packet, tries) = (opening.packet.clone(), opening.tried.len());
            self.doubt_opening(&key, now);
            if tries >= TRIES {
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
