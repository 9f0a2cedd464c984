//! Which open flows end because their target has left or has stopped answering.

use std::time::Duration;

use tanager_core::Millis;

use super::Forwarder;
use crate::{DueAction, Event, FlowKey, Kind, Liveness, ResetReason, TargetNumber};

/// Time after a draining target's removal from which its flows are reset.
const GONE_AFTER: Duration = Duration::from_millis(500);
/// Time without a sign of life of any target after which the fault is likely on this side.
const DEAF_AFTER: Duration = Duration::from_secs(1);

impl Forwarder {
    /// Reports targets that are believed in another state than before.
    pub(super) fn note_standings(&mut self, now: Millis) {
        for change in self.evidence.changes(&self.health, now) {
            if change.liveness == Liveness::Lost {
                self.newly_lost.push(change.target);
            }
            self.note(Event::Liveness(change));
        }
    }

    /// Ends requests that may run again and that wait for targets which have just become lost.
    /// Requests that were taken before come with no further packet of their clients.
    pub(super) fn reset_waiting(&mut self, due: &mut Vec<DueAction>, now: Millis) {
        self.note_standings(now);
        let lost = std::mem::take(&mut self.newly_lost);
        if lost.is_empty() || self.is_isolated(now) {
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
            self.forget(&key, now);
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

    /// Returns why a flow with a request under way should end now, if it should.
    pub(super) fn reset_reason(
        &mut self,
        key: &FlowKey,
        target: TargetNumber,
        now: Millis,
    ) -> Option<ResetReason> {
        let known = self.view.get(target)?;
        let removed = known.removed;
        let quiet_since = |at: Millis| self.evidence.last_alive(target).is_none_or(|l| l < at);
        if known.has_left()
            && removed.is_some_and(|at| now.since(at) >= GONE_AFTER && quiet_since(at))
        {
            return Some(ResetReason::TargetGone);
        }
        let standing = self.evidence.standing(target, &self.health, now);
        if standing != Liveness::Lost || self.is_isolated(now) {
            return None;
        }
        // A request that must not run twice may still be answered while its target is listed.
        if !self.is_idempotent(key) && removed.is_none() {
            return None;
        }
        let trial = self.evidence.take_trial(target, &self.health, now);
        (!trial).then_some(ResetReason::TargetLost)
    }

    /// Returns whether targets owe answers and none has answered any request for a while, so
    /// that this instance is likely cut off.
    #[must_use]
    pub fn is_isolated(&self, now: Millis) -> bool {
        let (suspect, lost) = self.evidence.count_own(now);
        let silent = self.evidence.any_alive();
        lost >= 2 && suspect + lost >= 3 && silent.is_none_or(|at| now.since(at) > DEAF_AFTER)
    }
}
