//! Decides which requests are shed while their service is overloaded.

use std::time::Duration;

use tanager_core::{Millis, PublishedService};

use super::{Forwarder, route_of};
use crate::admission::{Class, Overload};
use crate::view::TargetEntry;
use crate::{Event, FlowKey, Liveness, TargetNumber, TargetState};

/// Requests in flight per slot from which requests wait at a target. Some of the requests in flight
/// are on the way, or their answers have not been acknowledged yet.
const QUEUE_LOAD: f64 = 2.0;

impl Forwarder {
    /// Updates how many requests of each service are shed.
    pub(super) fn update_admission(&mut self, now: Millis) {
        let mut admission = std::mem::take(&mut self.admission);
        let changed = admission.update(now, |service| self.find_overload(service, now));
        self.admission = admission;
        for change in changed {
            self.record_event(Event::Limit(change));
        }
    }

    /// Returns the overload of a service if requests wait at more than half of its responsive
    /// targets.
    fn find_overload(&self, service: &PublishedService, now: Millis) -> Option<Overload> {
        let usable = |e: &&TargetEntry| {
            let liveness = self.liveness.liveness(e.target.number, &self.health, now);
            e.target.service == *service
                && e.target.state == TargetState::Ready
                && liveness == Liveness::Sound
        };
        let (mut queued, mut free) = (0, 0);
        let (mut slots, mut own, mut all) = (0.0, 0.0, 0.0);
        for entry in self.view.published().filter(usable) {
            if self.is_queued(entry, now) {
                queued += 1;
            } else {
                free += 1;
            }
            let load = self.loads.get(entry.target.number, now);
            slots += f64::from(entry.target.slots);
            own += load.running;
            all += load.running + load.others;
        }
        (queued > free).then(|| Overload {
            slots: slots * own / all,
        })
    }

    /// Returns whether requests wait at a target. Requests to a removed or lost target are not shed,
    /// since a reset lets their clients come again.
    fn has_queue(&self, target: TargetNumber, now: Millis) -> bool {
        let lost = self.liveness.liveness(target, &self.health, now) == Liveness::Lost;
        let entry = self.view.get(target).filter(|e| e.removed.is_none());
        !lost && entry.is_some_and(|e| self.is_queued(e, now))
    }

    /// Returns whether a target has so many requests in flight that some of them wait.
    fn is_queued(&self, entry: &TargetEntry, now: Millis) -> bool {
        let load = self.loads.get(entry.target.number, now);
        load.running + load.others >= QUEUE_LOAD * f64::from(entry.target.slots)
    }

    /// Returns whether to shed a request that is about to be sent to a target. `waited` is the time
    /// since it was first shed, if it was.
    pub(super) fn sheds(
        &mut self,
        key: &FlowKey,
        target: TargetNumber,
        waited: Option<Duration>,
        now: Millis,
    ) -> bool {
        let sheds = self.would_shed(key, target, waited, now);
        if sheds && let Some((_, service)) = route_of(&self.view, key) {
            self.admission.record_shed(service, now);
        }
        sheds
    }

    /// Returns whether a request that is sent to a target now would be shed.
    pub(super) fn would_shed(
        &self,
        key: &FlowKey,
        target: TargetNumber,
        waited: Option<Duration>,
        now: Millis,
    ) -> bool {
        let Some((route, service)) = route_of(&self.view, key) else {
            return false;
        };
        let class = Class::of(route, waited);
        self.admission.is_exceeded(service, class) && self.has_queue(target, now)
    }

    /// Counts an admitted request of a flow, unless it was counted with the flow's opening.
    pub(super) fn start_counting(&mut self, key: &FlowKey, now: Millis) {
        let counted = self.flows.get(key).is_none_or(|f| f.admitted.is_some());
        if !counted && let Some((_, service)) = route_of(&self.view, key) {
            let load = self.admission.start(service);
            self.flows.admit(key, load, now);
        }
    }

    /// Records that a request of a flow was answered by an error.
    pub(super) fn record_failed_answer(&mut self, key: &FlowKey) {
        if let Some((_, service)) = route_of(&self.view, key) {
            self.admission.record_failure(service);
        }
    }

    /// Records the time that a request of a flow took.
    pub(super) fn record_answer_time(&mut self, key: &FlowKey, time: Duration) {
        if let Some((route, service)) = route_of(&self.view, key) {
            self.admission.record_answer(service, route, time);
        }
    }
}
