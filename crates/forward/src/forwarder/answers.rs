//! Classification of the answers to a flow's requests.

use tanager_core::Millis;

use super::{Forwarder, route_of};
use crate::flows::{Flow, PendingAnswer};
use crate::health::{Answer, Outcome};
use crate::{FlowKey, TargetNumber};

/// Part of the usual answer time of a route within which a short answer may be a refusal.
const REFUSAL_TIME_RATIO: f64 = 0.75;
/// Requests in flight per slot, those on the way left out, from which the queue of a target may have
/// been full. A full queue has more, but reports of other instances are means of an earlier second.
/// A target that fails all requests at once has less, since its answers take no time.
const REFUSAL_LOAD: f64 = 1.0;
/// Part of a target's slots that its successful answers keep busy from which its queue may have been
/// full for a moment.
const REFUSAL_USE: f64 = 0.6;
/// The same while this instance has seen few refusals of the target.
const MIN_REFUSAL_USE: f64 = 0.2;
/// Share of a target's short answers below which they are few. A target that fails a part of its
/// requests has more.
const RARE_REFUSALS: f64 = 0.2;

impl Forwarder {
    /// Expects an answer to a request whose data has arrived. Data after the start of an answer
    /// belongs to the next request.
    pub(super) fn expect_answer(&mut self, key: FlowKey, now: Millis) {
        let length = self.flows.get(&key).and_then(Flow::answer_length);
        if length.is_some_and(|l| l > 0) {
            self.classify_answer(&key, now);
        }
        if length != Some(0) {
            self.flows.expect_answer(key, now);
        }
    }

    /// Classifies the acknowledged part of the pending answer of a flow, if there is one.
    pub(super) fn classify_answer(&mut self, key: &FlowKey, now: Millis) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        let length = flow.answer_length();
        let target = flow.target;
        let (Some(length), Some(pending)) = (length, flow.pending_answer.take()) else {
            return;
        };
        if self.view.routes().find(key.service).is_none() {
            return;
        }
        let answer = Answer {
            route: key.service,
            length,
            suits_refusal: self.health.is_short(key.service, length)
                && self.suits_refusal(key, target, &pending, now),
        };
        let outcome = self.health.record_answer(target, answer, now);
        if outcome == Outcome::Refused {
            self.record_refusal(key, target, now);
        }
        if outcome != Outcome::Answered && length > 0 {
            self.record_failed_answer(key);
        }
    }

    /// Returns whether a short answer may be the refusal of a full target: its service is limited, or it
    /// came well before the usual time from a target so busy that its queue may have been full.
    fn suits_refusal(
        &self,
        key: &FlowKey,
        target: TargetNumber,
        pending: &PendingAnswer,
        now: Millis,
    ) -> bool {
        if self.is_limited(key) {
            return true;
        }
        let time = pending.answered.map(|at| at.since(pending.started));
        let usual = self.load_times.usual(key.service);
        let soon = time
            .zip(usual)
            .is_some_and(|(time, usual)| time < usual.mul_f64(REFUSAL_TIME_RATIO));
        if !soon {
            return false;
        }
        let usage = self.placement.usage(&self.observations(now), target);
        let rare = self.health.refused_share(target, now) < RARE_REFUSALS;
        usage.running >= REFUSAL_LOAD
            || usage.busy >= REFUSAL_USE
            || (rare && usage.busy >= MIN_REFUSAL_USE)
    }

    /// Returns whether the service of a flow is limited. Its targets then refuse requests because they
    /// are full, often only after these have waited, so that the time does not tell a refusal.
    fn is_limited(&self, key: &FlowKey) -> bool {
        let route = route_of(&self.view, key);
        route.is_some_and(|(_, service)| self.admission.is_limited(service))
    }

    /// Avoids a target that has refused a request for the time that its queue takes to empty. Beyond
    /// the capacity of a service it is not avoided: with all others full, it would idle.
    fn record_refusal(&mut self, key: &FlowKey, target: TargetNumber, now: Millis) {
        if self.is_limited(key) {
            return;
        }
        let time = self.placement.queue_time(&self.observations(now), target);
        self.health.record_refusal(target, now + time);
    }

    /// Classifies the answers that are overdue.
    pub(super) fn classify_overdue_answers(&mut self, now: Millis) {
        while let Some(key) = self.flows.take_overdue_answer(now) {
            self.classify_answer(&key, now);
        }
    }
}
