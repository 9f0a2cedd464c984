//! Packets of flows that their clients hold open.

use std::time::Duration;

use tanager_core::Millis;

use super::{EVENT_LIMIT, Forwarder};
use crate::flows::Flow;
use crate::{Action, Cookie, DropReason, Segment, SegmentKind};

/// Time after which data that comes again was repeated, and not overtaken on its way. Clients wait
/// 200 ms.
const RESEND_TIME: Duration = Duration::from_millis(150);

impl Forwarder {
    /// Handles a packet of a flow that the client holds open.
    pub(super) fn carry(&mut self, segment: &Segment, now: Millis) -> Result<Action, DropReason> {
        let key = segment.flow;
        if !self.flows.get(&key).is_some_and(|f| f.open) {
            self.bind(segment, now)?;
        }
        let Some(target) = self.flows.get(&key).map(|f| f.target) else {
            // The table is full: the cookie alone leads the packet.
            return match self.view.find_by_cookie(segment.cookie) {
                Some(known) => self.forward(known.target.number).map(Action::Forward),
                None => Err(DropReason::UnknownTarget),
            };
        };
        self.observe(segment, now);
        if matches!(segment.kind, SegmentKind::Finish | SegmentKind::Abort) {
            self.judge_answer(&key, now);
        }
        if segment.kind == SegmentKind::Data
            && segment.length > 0
            && let Some(reason) = self.reset_reason(&key, target, now)
        {
            self.forget(&key, now);
            return Ok(self.reset(key, Some(target), reason, segment.acknowledged));
        }
        match segment.kind {
            SegmentKind::Abort => self.forget(&key, now),
            SegmentKind::Finish => {
                if let Some(flow) = self.flows.get_mut(&key) {
                    flow.finished = true;
                }
            }
            _ => {}
        }
        self.forward(target).map(Action::Forward)
    }

    /// Finds the target of a flow whose first packet after the opening has come.
    fn bind(&mut self, segment: &Segment, now: Millis) -> Result<(), DropReason> {
        let key = segment.flow;
        let named = self
            .view
            .find_by_cookie(segment.cookie)
            .map(|k| k.target.number);
        let Some(flow) = self.flows.get_mut(&key) else {
            let target = match (segment.cookie, named) {
                (Cookie::NONE, _) => return Err(DropReason::NoCookie),
                (_, None) => return Err(DropReason::UnknownTarget),
                (_, Some(target)) => target,
            };
            if self.flows.insert(key, Flow::adopted(target, segment, now)) {
                self.loads.adopt(target, now);
            }
            return Ok(());
        };
        // The client knows whose answer it has taken; it may be an earlier choice.
        let target = named.unwrap_or(flow.target);
        if target != flow.target {
            self.loads.close(flow.target, true, false, now);
            self.loads.open(target, now);
            flow.target = target;
        }
        flow.open = true;
        flow.acknowledged = segment.acknowledged;
        self.loads.opened(target, now);
        self.openings.answer(&key, target, now);
        if segment.kind != SegmentKind::Abort {
            self.evidence.alive(target, now);
        }
        Ok(())
    }

    /// Learns from a packet how its flow's target does.
    fn observe(&mut self, segment: &Segment, now: Millis) {
        let key = segment.flow;
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        flow.seen = now;
        let target = flow.target;
        if is_after(segment.acknowledged, flow.acknowledged) {
            flow.acknowledged = segment.acknowledged;
            self.evidence.alive(target, now);
            if let Some(request) = flow.request.take()
                && request.counted
            {
                let time = now.since(request.begun);
                self.loads.end(target, now);
                if self.answer_times.len() < EVENT_LIMIT {
                    self.answer_times.push(time);
                }
            }
        }
        if segment.length == 0 {
            return;
        }
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        if is_after(end, flow.sent) {
            flow.sent = end;
            if flow.request.is_none() {
                self.flows.begin(key, now);
                self.loads.begin(target, now);
            }
            self.watch_answer(key, now);
        } else if let Some(request) = &mut flow.request
            && now.since(request.begun) >= RESEND_TIME
        {
            // The target is silent, which is another fault than a missing answer.
            flow.watched = None;
            let first = !std::mem::replace(&mut request.repeated, true);
            // Peers are told only of what is not this instance's own silence.
            let hears = self
                .evidence
                .any_alive()
                .is_some_and(|at| at > request.begun);
            if first && hears {
                self.health.miss(target, now);
            }
            self.evidence.miss(target, key, now);
        }
    }
}

/// Returns whether a position in a wrapping stream is after another one.
const fn is_after(position: u32, other: u32) -> bool {
    let distance = position.wrapping_sub(other);
    distance != 0 && distance < 1 << 31
}
