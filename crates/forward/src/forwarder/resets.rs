//! Resets of open flows whose target was removed or no longer responds.

use std::time::Duration;

use tanager_core::Millis;

use super::Forwarder;
use crate::{DueAction, Event, FlowKey, Kind, Liveness, ResetReason, TargetNumber};

/// Time after the removal of a draining target before its flows are reset.
const REMOVAL_GRACE: Duration = Duration::from_millis(500);
/// Time after a backlog in which clients repeat acknowledgements that were dropped.
const BACKLOG_GRACE: Duration = Duration::from_secs(1);
/// Time without a response from any target after which this instance may count as isolated.
const ISOLATION_TIME: Duration = Duration::from_secs(1);

impl Forwarder {
    /// Records changes of liveness as events, and queues newly lost targets for resets.
    pub(super) fn record_liveness_changes(&mut self, now: Millis) {
        for change in self.liveness.changes(&self.health, now) {
            if change.liveness == Liveness::Lost {
                self.newly_lost.push(change.target);
            }
            self.record_event(Event::Liveness(change));
        }
    }

    /// Resets flows whose idempotent requests wait for targets that have just become lost. If the
    /// target had accepted a request, the client sends no further packet that could trigger the
    /// reset.
    pub(super) fn reset_waiting(&mut self, due: &mut Vec<DueAction>, now: Millis) {
        self.record_liveness_changes(now);
        let lost = std::mem::take(&mut self.newly_lost);
        if lost.is_empty() || !self.can_tell_lost(now) {
            return;
        }
        for (key, target) in self.flows.waiting_at(&lost, now) {
            if !self.is_idempotent(&key) {
                continue;
            }
            let Some(flow) = self.flows.get(&key) else {
                continue;
            };
            let sequence = flow.acknowledged;
            self.remove_flow(&key, now);
            due.push(DueAction {
                flow: key,
                action: self.reset(key, Some(target), ResetReason::TargetLost, sequence),
                packet: Vec::new(),
            });
        }
    }

    fn is_idempotent(&self, key: &FlowKey) -> bool {
        let route = self.view.routes().find(key.service);
        route.is_some_and(|r| r.kind == Kind::Idempotent)
    }

    /// Returns the reason to reset a flow with a request in progress, if there is one.
    pub(super) fn reset_reason(
        &mut self,
        key: &FlowKey,
        target: TargetNumber,
        now: Millis,
    ) -> Option<ResetReason> {
        let entry = self.view.get(target)?;
        let removed = entry.removed;
        let unresponsive_since =
            |at: Millis| self.liveness.last_response(target).is_none_or(|l| l < at);
        if entry.has_left()
            && removed.is_some_and(|at| now.since(at) >= REMOVAL_GRACE && unresponsive_since(at))
        {
            return Some(ResetReason::TargetGone);
        }
        let liveness = self.liveness.liveness(target, &self.health, now);
        if liveness != Liveness::Lost || !self.can_tell_lost(now) {
            return None;
        }
        // A request that must not run twice may still be answered as long as its target is listed.
        if !self.is_idempotent(key) && removed.is_none() {
            return None;
        }
        let probe = self.liveness.try_probe(target, &self.health, now);
        (!probe).then_some(ResetReason::TargetLost)
    }

    /// Returns whether missing acknowledgements tell of targets, rather than of this instance: it is not
    /// cut off, and has kept up with the packets of its clients.
    fn can_tell_lost(&self, now: Millis) -> bool {
        let behind = |at: Millis| now.since(at) < BACKLOG_GRACE;
        !self.is_isolated(now) && !self.last_backlog.is_some_and(behind)
    }

    /// Returns whether several targets have answers outstanding and no target has responded for a
    /// while. This indicates that the instance itself is cut off from the network.
    #[must_use]
    pub fn is_isolated(&self, now: Millis) -> bool {
        let (suspect, lost) = self.liveness.count_own(now);
        let last_response = self.liveness.last_response_from_any();
        lost >= 2
            && suspect + lost >= 3
            && last_response.is_none_or(|at| now.since(at) > ISOLATION_TIME)
    }
}
