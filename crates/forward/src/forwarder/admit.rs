//! Decides which requests are forwarded at once, held or refused while their service is beyond its
//! capacity.

use std::time::Duration;

use tanager_admission::{LatePolicy, Refusal};
use tanager_core::{Millis, PublishedService};

use super::{Forwarder, Pass, route_of};
use crate::admission::{
    AdmissionStep, Attempt, Capacity, HeldKind, HeldRequest, Hold, Joined, LoadId,
    OPENING_LIFETIME, OfferedLoad, Outcome, PeerDemands, QueueState,
};
use crate::flows::{Admitted, Shed};
use crate::view::TargetEntry;
use crate::{
    Action, DropReason, DueAction, Event, FlowKey, Kind, Liveness, ResetReason, Segment,
    SegmentKind, TargetNumber, TargetState,
};

/// Weight of the reported load of other instances, which is about a second old.
const OTHERS_WEIGHT: f64 = 0.5;
/// Load per slot, as weighted, from which a target gets no held request, since it would only wait there.
const FULL_DEPTH: f64 = 2.5;
/// Load per slot that an opening is taken to find at its target.
const OPENING_LOAD: f64 = 1.0;
/// Time after which another copy of a request that was dropped is decided anew. Clients retransmit
/// after 200 ms; until then its other packets are dropped as well.
const DROP_TIME: Duration = Duration::from_millis(150);
/// Time after which a dropped request is forgotten. Longer than the time between two retransmissions.
const DROP_LIFETIME: Duration = Duration::from_secs(2);

/// What becomes of a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is forwarded now.
    Admit,
    /// It waits, or is refused if it cannot be in time.
    Wait(LoadId),
}

impl Forwarder {
    /// Returns the rates of requests that this instance was offered and has admitted, by service, for
    /// its peers.
    pub fn demand_report(&mut self, now: Millis) -> Vec<(PublishedService, OfferedLoad)> {
        self.admission.report(now)
    }

    /// Applies the rates of requests that other instances were offered and have admitted.
    pub fn apply_peer_demands(&mut self, demands: PeerDemands, now: Millis) {
        self.admission.set_peer_demands(demands, now);
    }

    /// Updates the limits of services.
    pub(super) fn update_admission(&mut self, now: Millis) {
        if !self.admission.is_update_due(now) {
            return;
        }
        let mut admission = std::mem::take(&mut self.admission);
        let changed = admission.update(now, |service| self.find_capacity(service, now));
        self.admission = admission;
        for change in changed {
            self.record_event(Event::Limit(change));
        }
    }

    /// Returns the slots and reported load of the usable targets of a service.
    fn find_capacity(&self, service: &PublishedService, now: Millis) -> Capacity {
        let usable = |e: &&TargetEntry| {
            e.target.service == *service
                && e.target.state == TargetState::Ready
                && self.view.evacuation(&e.target.zone).is_none()
                && self.liveness(e.target.number, now) != Liveness::Lost
        };
        let mut capacity = Capacity::default();
        for entry in self.view.published().filter(usable) {
            capacity.slots += f64::from(entry.target.slots);
            capacity.others += self.loads.get(entry.target.number, now).others;
        }
        capacity
    }

    fn liveness(&self, target: TargetNumber, now: Millis) -> Liveness {
        self.liveness.liveness(target, &self.health, now)
    }

    /// Returns whether a target has a slot free for another request, as far as known.
    fn has_free_slot(&self, target: TargetNumber, now: Millis) -> bool {
        let load = self.loads.get(target, now);
        let entry = self.view.get(target);
        entry.is_some_and(|e| load.running + load.others + 1.0 <= f64::from(e.target.slots))
    }

    /// Returns whether requests to a target are not held: a removed or lost one, since a reset lets
    /// their clients come again.
    fn is_gone(&self, target: TargetNumber, now: Millis) -> bool {
        let entry = self.view.get(target);
        entry.is_none_or(|e| e.removed.is_some()) || self.liveness(target, now) == Liveness::Lost
    }

    /// Decides about a new request or opening that would be sent to a target, and counts it as
    /// offered.
    pub(super) fn judge(
        &mut self,
        key: &FlowKey,
        target: TargetNumber,
        attempt: Attempt,
        now: Millis,
    ) -> Verdict {
        let Some((route, service)) = route_of(&self.view, key) else {
            return Verdict::Admit;
        };
        let id = self.admission.id(service);
        self.admission.record_offered(id, now);
        if route.objective.is_zero() {
            return Verdict::Admit;
        }
        let work = self.admission.work().mean(route.address);
        let demand = attempt.demand(route, work, now);
        let limited = self.admission.is_limited(id);
        let admitted = self.admission.has_room(id)
            || (!self.admission.has_waiting(id) && self.has_free_slot(target, now));
        if limited && !admitted {
            return Verdict::Wait(id);
        }
        self.admission.record_served(id, &demand, now);
        if limited {
            self.record_step(key, Outcome::Admitted, Duration::ZERO);
        }
        Verdict::Admit
    }

    /// Holds an opening until there is room for it, or resets its flow.
    pub(super) fn hold_opening(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        (id, attempt): (LoadId, Attempt),
        now: Millis,
    ) -> Action {
        if self.hold(segment, packet, (id, attempt), LatePolicy::Refuse, now) {
            return Action::Hold;
        }
        let state = self.admission.state(id);
        self.record_reset(segment.flow, None, ResetReason::Overloaded, Some(state));
        Action::Reset { sequence: 0 }
    }

    /// Holds a request on an open flow until there is room for it. If the queue is full, it is dropped,
    /// and its client retransmits it.
    pub(super) fn hold_request(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        (id, attempt): (LoadId, Attempt),
        now: Millis,
    ) -> Action {
        if self.hold(segment, packet, (id, attempt), LatePolicy::Keep, now) {
            return Action::Hold;
        }
        self.record_dropped_request(&segment.flow, attempt.first(now), now);
        let state = self.admission.state(id);
        self.drop_held(segment, Some(state))
    }

    /// Returns whether a request is held. Otherwise it was refused.
    fn hold(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        (id, attempt): (LoadId, Attempt),
        policy: LatePolicy,
        now: Millis,
    ) -> bool {
        let key = segment.flow;
        let Some((route, _)) = route_of(&self.view, &key) else {
            return false;
        };
        let work = self.admission.work().mean(route.address);
        let demand = attempt.demand(route, work, now);
        let request = HeldRequest::new(segment, packet, attempt.first(now), now);
        match self.admission.hold(id, demand, policy, request, now) {
            Hold::Held(displaced) => {
                self.record_step(&key, Outcome::Held, Duration::ZERO);
                let state = self.admission.state(id);
                self.record_event(Event::Held { flow: key, state });
                if let Some(displaced) = displaced {
                    self.turn_away(&displaced, Outcome::Displaced, state, now);
                }
                true
            }
            Hold::Refused(reason) => {
                let outcome = match reason {
                    Refusal::Late => Outcome::Refused,
                    Refusal::Full => Outcome::QueueFull,
                };
                self.record_step(&key, outcome, Duration::ZERO);
                false
            }
        }
    }

    /// Ends the wait of a request that is not forwarded. The flow of an opening is reset, since nothing
    /// has run, unless its client has left; a request on an open flow is dropped.
    fn turn_away(
        &mut self,
        request: &HeldRequest,
        outcome: Outcome,
        state: QueueState,
        now: Millis,
    ) {
        self.record_step(&request.flow, outcome, request.wait(now));
        let segment = &request.packets[0].segment;
        if request.kind == HeldKind::Request {
            self.record_dropped_request(&request.flow, request.first, now);
            self.drop_held(segment, Some(state));
        } else if now.since(request.first) >= OPENING_LIFETIME {
            self.drop_held(segment, Some(state));
        } else {
            self.record_reset(request.flow, None, ResetReason::Overloaded, Some(state));
            self.turned_away.push(DueAction {
                flow: request.flow,
                action: Action::Reset { sequence: 0 },
                packet: Vec::new(),
            });
        }
    }

    fn drop_held(&mut self, segment: &Segment, state: Option<QueueState>) -> Action {
        self.record_event(Event::Dropped {
            flow: segment.flow,
            cookie: segment.cookie,
            reason: DropReason::Overloaded,
            state,
        });
        Action::Drop(DropReason::Overloaded)
    }

    /// Remembers that a request on an open flow was dropped.
    fn record_dropped_request(&mut self, key: &FlowKey, first: Millis, now: Millis) {
        if let Some(flow) = self.flows.get_mut(key) {
            flow.shed = Some(Shed { first, last: now });
        }
    }

    /// Returns when the first packet of a request on an open flow arrived: now, unless it was dropped
    /// before. `None` if this is another packet or a copy of a request that has just been dropped.
    pub(super) fn first_arrival(&self, key: &FlowKey, now: Millis) -> Option<Millis> {
        let shed = self.flows.get(key).and_then(|f| f.shed);
        match shed {
            Some(shed) if now.since(shed.last) < DROP_TIME => None,
            Some(shed) if now.since(shed.last) < DROP_LIFETIME => Some(shed.first),
            _ => Some(now),
        }
    }

    /// Handles a packet of a flow whose request is held. Returns `None` if it is to be handled as if
    /// nothing were held.
    pub(super) fn join_held(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        now: Millis,
    ) -> Option<Action> {
        let held = self.admission.held(&segment.flow)?;
        let keeps = match (held.kind, segment.kind) {
            (HeldKind::Opening, SegmentKind::Open { .. }) if held.is_copy(segment) => {
                return Some(Action::Hold);
            }
            // Acknowledges an earlier answer.
            (HeldKind::Request, SegmentKind::Data) if segment.length == 0 => true,
            (HeldKind::Request, SegmentKind::Data) => {
                return Some(match self.admission.join(segment, packet)? {
                    Joined::Added | Joined::Copy => Action::Hold,
                    Joined::Full => self.drop_held(segment, None),
                });
            }
            // A client that ends its flow or opens another one has given up what is held. One that
            // sends data has opened its flow through another instance.
            _ => false,
        };
        if !keeps && let Some(held) = self.admission.withdraw(&segment.flow) {
            self.record_step(&segment.flow, Outcome::Withdrawn, held.wait(now));
        }
        None
    }

    /// Forwards the held requests that there is room for, and turns away those whose time is over.
    pub(super) fn release_waiting(&mut self, due: &mut Vec<DueAction>, now: Millis) {
        self.end_overdue_requests(now);
        self.update_admission(now);
        while let Some((id, expired)) = self.admission.take_expired(now) {
            let state = self.admission.state(id);
            self.turn_away(&expired, Outcome::Expired, state, now);
        }
        while let Some(request) = self.release_next(now) {
            self.forward_held(request, Outcome::Released, due, now);
        }
        for (id, key) in self.admission.due_for_recheck(now) {
            if self.has_free_target(&key, now)
                && let Some(request) = self.admission.release_first(id, now)
            {
                self.forward_held(request, Outcome::Released, due, now);
            }
        }
        due.append(&mut self.turned_away);
    }

    /// Removes and returns the held request that is forwarded next, if there is room for one.
    fn release_next(&mut self, now: Millis) -> Option<HeldRequest> {
        let (flows, loads, view) = (&self.flows, &self.loads, &self.view);
        let load_of = |request: &HeldRequest| {
            let target = flows.get(&request.flow).map(|f| f.target);
            let Some(target) = target.filter(|_| request.kind == HeldKind::Request) else {
                // Placement will find a target that is not busier than most.
                return Some(OPENING_LOAD);
            };
            let slots = view.get(target).map_or(1, |e| e.target.slots);
            let load = loads.get(target, now);
            let load = (load.running + load.others * OTHERS_WEIGHT) / f64::from(slots);
            (load < FULL_DEPTH).then_some(load)
        };
        self.admission.release(now, load_of)
    }

    /// Returns whether the target of a held request, or one that its opening would be sent to, has a
    /// free slot.
    fn has_free_target(&mut self, key: &FlowKey, now: Millis) -> bool {
        let kind = self.admission.held(key).map(|h| h.kind);
        let target = match kind {
            Some(HeldKind::Opening) => self
                .service_of(key)
                .and_then(|service| self.choose(&service, &[], now))
                .map(|choice| choice.target),
            Some(HeldKind::Request) => self.flows.get(key).map(|f| f.target),
            None => None,
        };
        target.is_some_and(|t| self.has_free_slot(t, now))
    }

    /// Decides anew about the held requests on flows of targets that are lost or removed: they are
    /// handled as if they arrived now.
    pub(super) fn reconsider_held(&mut self, due: &mut Vec<DueAction>, now: Millis) {
        let requests = self
            .admission
            .all_held()
            .filter(|r| r.kind == HeldKind::Request);
        let target = |key: &FlowKey| self.flows.get(key).map(|f| f.target);
        let gone = requests.filter(|r| target(&r.flow).is_none_or(|t| self.is_gone(t, now)));
        let gone: Vec<_> = gone.map(|r| r.flow).collect();
        for key in gone {
            if let Some(request) = self.admission.withdraw(&key) {
                self.forward_held(request, Outcome::Withdrawn, due, now);
            }
        }
    }

    /// Handles the packets of a held request as admitted ones.
    fn forward_held(
        &mut self,
        request: HeldRequest,
        outcome: Outcome,
        due: &mut Vec<DueAction>,
        now: Millis,
    ) {
        self.record_step(&request.flow, outcome, request.wait(now));
        for held in request.packets {
            let action = self.decide(&held.segment, &held.packet, Pass::Granted, now);
            due.push(DueAction {
                flow: request.flow,
                action,
                packet: held.packet,
            });
        }
    }

    /// Decides about an opening that would be sent to a target. Returns `None` if it is sent now.
    pub(super) fn admit_opening(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        target: TargetNumber,
        now: Millis,
    ) -> Option<Action> {
        let SegmentKind::Open { retransmission } = segment.kind else {
            return None;
        };
        let attempt = Attempt::Opening { retransmission };
        match self.judge(&segment.flow, target, attempt, now) {
            Verdict::Admit => None,
            Verdict::Wait(id) => Some(self.hold_opening(segment, packet, (id, attempt), now)),
        }
    }

    /// Decides about a new request on an open flow. Returns `None` if it is forwarded now.
    pub(super) fn admit_request(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        target: TargetNumber,
        now: Millis,
    ) -> Option<Action> {
        let key = segment.flow;
        let counted = self.flows.get(&key).is_some_and(|f| f.admitted.is_some());
        if counted || self.is_gone(target, now) {
            return None;
        }
        let Some(first) = self.first_arrival(&key, now) else {
            return Some(self.drop_held(segment, None));
        };
        let attempt = Attempt::Request { first };
        match self.judge(&key, target, attempt, now) {
            Verdict::Admit => None,
            Verdict::Wait(id) => Some(self.hold_request(segment, packet, (id, attempt), now)),
        }
    }

    /// Counts an admitted request of a flow, unless it was counted with the flow's opening.
    pub(super) fn start_counting(&mut self, key: &FlowKey, now: Millis) {
        let counted = self.flows.get(key).is_none_or(|f| f.admitted.is_some());
        if counted {
            return;
        }
        let Some((route, service)) = route_of(&self.view, key) else {
            return;
        };
        let id = self.admission.id(service);
        self.admission.start(id, now);
        let timeout = self.admission.work().timeout(route.address);
        let unqueued = self.flows.get(key).is_some_and(|f| {
            let load = self.loads.get(f.target, now);
            let entry = self.view.get(f.target);
            entry.is_some_and(|e| load.running + load.others <= f64::from(e.target.slots))
        });
        let admitted = Admitted {
            due: now + timeout,
            load: id,
            unqueued,
        };
        self.flows.admit(key, admitted);
    }

    /// Counts a step in the admission of a request.
    fn record_step(&mut self, key: &FlowKey, outcome: Outcome, wait: Duration) {
        let Some((route, _)) = route_of(&self.view, key) else {
            return;
        };
        let step = AdmissionStep {
            route: route.name.clone(),
            zone: self.zone.clone(),
            priority: route.priority,
            repeatable: route.kind == Kind::Idempotent,
            outcome,
            wait,
        };
        self.record_event(Event::Admission(step));
    }
}
