//! Decides what happens to each packet. The submodules handle kinds of packets, updates of the
//! view, and reports.

mod admit;
mod answers;
mod binding;
mod established;
mod explain;
mod lookups;
mod open;
mod reports;
mod resets;
mod updates;
mod warmup;

use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tanager_core::{Millis, PublishedService, PublishedZone};

use crate::admission::Admission;
use crate::answer_times::AnswerTimes;
use crate::flows::{Flow, Flows};
use crate::health::Health;
use crate::held::HeldPackets;
use crate::liveness::LivenessTracker;
use crate::load::Loads;
use crate::lookup::{Lookups, UncertainPacket};
use crate::membership::RingPoint;
use crate::opening::Openings;
use crate::placement::{Choice, Observations, Placement};
use crate::view::View;
use crate::{
    Action, ColdTarget, Cookie, DropReason, DueAction, Event, FlowKey, FlowMessage, Forward,
    ResetReason, Route, Segment, SegmentKind, TargetNumber, WarmupLimiter,
};
pub use reports::Gauges;

/// Maximum number of events stored between two calls of [`Forwarder::take_events`].
const EVENT_LIMIT: usize = 1_000;
/// Idle time after which a flow is removed, if the configuration sets none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Decides what happens to each packet of one instance.
pub struct Forwarder {
    zone: PublishedZone,
    view: View,
    /// When the view was last verified to be complete.
    last_verified: Option<Millis>,
    flows: Flows,
    openings: Openings,
    held: HeldPackets,
    /// Generation of the view for which held packets were last retried.
    held_generation: u64,
    lookups: Lookups,
    /// Since when packets that are received now may have waited, if the instance was paused.
    paused_since: Option<Millis>,
    /// When received packets last waited for long, or were dropped, before they were handled.
    last_backlog: Option<Millis>,
    /// Packets of ended lookups, to be handled now.
    released: Vec<UncertainPacket>,
    /// Openings to be sent to targets that do not know where their flows are open.
    corrections: Vec<DueAction>,
    /// Messages for peers. Invariant: limited in number.
    messages: Vec<FlowMessage>,
    liveness: LivenessTracker,
    health: Health,
    /// Targets that have become lost and whose waiting requests have not been reset yet.
    newly_lost: Vec<TargetNumber>,
    loads: Loads,
    load_times: AnswerTimes,
    placement: Placement,
    admission: Admission,
    warmup: WarmupLimiter,
    /// The cold targets of the local zone with a rate, as of the last round of beacons. A hub uses
    /// them for the requests of its whole zone.
    cold: Vec<ColdTarget>,
    /// Whether this instance held grants for cold targets when they were last recorded.
    holds_grants: bool,
    rng: StdRng,
    events: Vec<Event>,
    answer_times: Vec<Duration>,
}

impl Forwarder {
    /// Creates a forwarder for an instance in a zone. The seed determines which targets are sampled
    /// for placement.
    #[must_use]
    pub fn new(zone: PublishedZone, seed: u64) -> Self {
        Self {
            zone,
            view: View::default(),
            last_verified: None,
            flows: Flows::default(),
            openings: Openings::default(),
            held: HeldPackets::default(),
            held_generation: 0,
            lookups: Lookups::default(),
            paused_since: None,
            last_backlog: None,
            released: Vec::new(),
            corrections: Vec::new(),
            messages: Vec::new(),
            liveness: LivenessTracker::default(),
            health: Health::default(),
            newly_lost: Vec::new(),
            loads: Loads::default(),
            load_times: AnswerTimes::default(),
            placement: Placement::default(),
            admission: Admission::default(),
            warmup: WarmupLimiter::default(),
            cold: Vec::new(),
            holds_grants: false,
            rng: StdRng::seed_from_u64(seed),
            events: Vec::new(),
            answer_times: Vec::new(),
        }
    }

    /// Returns the published targets and routes.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Records since when packets that are handled from now on may have waited to be received, because
    /// the instance was paused; `None` once they have all been handled.
    pub const fn set_paused_since(&mut self, since: Option<Millis>) {
        self.paused_since = since;
    }

    /// Records that packets now wait for long before they are handled, or are dropped: the instance does
    /// not keep up. Until then, a missing acknowledgement says nothing about a target.
    pub const fn record_backlog(&mut self, now: Millis) {
        self.last_backlog = Some(now);
    }

    /// Decides what to do with a client's packet.
    pub fn handle_packet(&mut self, segment: &Segment, packet: &[u8], now: Millis) -> Action {
        self.end_overdue_requests(now);
        self.update_admission(now);
        let decision = match segment.kind {
            SegmentKind::Forged => Err(DropReason::Forged),
            SegmentKind::Open { .. } => self.open(segment, packet, now),
            _ => self.handle_established(segment, packet, now),
        };
        self.hold_or_drop(decision, segment, packet, now)
    }

    /// Holds a packet that a newer view may let through, and drops it for any other reason.
    fn hold_or_drop(
        &mut self,
        decision: Result<Action, DropReason>,
        segment: &Segment,
        packet: &[u8],
        now: Millis,
    ) -> Action {
        decision.unwrap_or_else(|reason| match reason {
            DropReason::UnknownTarget | DropReason::NoRoutes
                if self.held.push(segment, packet, reason, now) =>
            {
                Action::Wait
            }
            _ => self.drop_packet(segment, reason),
        })
    }

    /// Returns when [`Self::take_due`] should be called next for an opening packet or a lookup.
    pub fn next_due(&mut self) -> Option<Millis> {
        let dues = [self.openings.next_due(), self.lookups.next_due()];
        dues.into_iter().flatten().min()
    }

    /// Returns the actions that are due now: for packets held until a newer view arrived or their
    /// flow's target was looked up, for opening packets whose target did not answer in time, for
    /// targets that do not know where a flow is open, and for flows that wait for a lost target.
    pub fn take_due(&mut self, now: Millis) -> Vec<DueAction> {
        let mut due = self.release_held(now);
        self.release_looked_up(&mut due, now);
        self.replace_unresponsive(&mut due, now);
        due.append(&mut self.corrections);
        self.reset_waiting(&mut due, now);
        self.classify_overdue_answers(now);
        due
    }

    fn release_held(&mut self, now: Millis) -> Vec<DueAction> {
        for expired in self.held.take_expired(now) {
            self.drop_packet(&expired.segment, expired.reason);
        }
        let generation = self.view.generation();
        if generation == self.held_generation {
            return Vec::new();
        }
        self.held_generation = generation;
        let mut due = Vec::new();
        for held in self.held.take() {
            let action = self.handle_packet(&held.segment, &held.packet, now);
            due.push(DueAction {
                flow: held.segment.flow,
                action,
                packet: held.packet,
            });
        }
        due
    }

    /// Removes expired state: idle flows, the load of overdue requests, and targets removed longer
    /// ago than the view retains them.
    pub fn sweep(&mut self, now: Millis) {
        let idle = self.view.routes().idle_timeout;
        let idle = if idle.is_zero() {
            DEFAULT_IDLE_TIMEOUT
        } else {
            idle
        };
        for (key, flow) in self.flows.expire(idle, now) {
            self.release_flow(&key, &flow, now);
        }
        self.end_overdue_requests(now);
        self.view.expire(now);
        let view = &self.view;
        self.liveness.retain(|n| view.get(n).is_some());
        self.loads.retain(|n| view.get(n).is_some());
        self.health.retain(|n| view.get(n).is_some());
        self.warmup.retain(|n| view.get(n).is_some());
        self.placement.retain(|n| view.get(n).is_some());
        self.health
            .retain_routes(|address| view.routes().find(address).is_some());
        self.load_times
            .retain(|address| view.routes().find(address).is_some());
        self.update_speeds(now);
        for change in self.health.changes(now) {
            self.record_event(Event::Health(change));
        }
    }

    /// Stops counting overdue requests as load; they are treated as answered.
    fn end_overdue_requests(&mut self, now: Millis) {
        while let Some(target) = self.flows.take_overdue_request(now) {
            self.loads.end_request(target, now);
        }
        while let Some(load) = self.flows.take_overdue_admission(now) {
            self.admission.end(load);
        }
    }

    fn service_of(&self, key: &FlowKey) -> Option<PublishedService> {
        route_of(&self.view, key).map(|(_, service)| service.clone())
    }

    fn choose(
        &mut self,
        service: &PublishedService,
        tried: &[TargetNumber],
        now: Millis,
    ) -> Option<Choice> {
        let seen = Observations {
            zone: &self.zone,
            view: &self.view,
            liveness: &self.liveness,
            health: &self.health,
            loads: &self.loads,
            warmup: &self.warmup,
            now,
        };
        self.placement.choose(&seen, service, tried, &mut self.rng)
    }

    /// Returns the learned speed of a target relative to the mean of its service.
    #[must_use]
    pub fn target_speed(&self, target: TargetNumber) -> f64 {
        self.placement.speed(target)
    }

    /// Sets where the instance's subsets of the targets begin.
    pub const fn set_ring_point(&mut self, ring: RingPoint) {
        self.placement.set_ring_point(ring);
    }

    /// Returns what is known of the targets.
    fn observations(&self, now: Millis) -> Observations<'_> {
        Observations {
            zone: &self.zone,
            view: &self.view,
            liveness: &self.liveness,
            health: &self.health,
            loads: &self.loads,
            warmup: &self.warmup,
            now,
        }
    }

    fn update_speeds(&mut self, now: Millis) {
        let mut placement = std::mem::take(&mut self.placement);
        let opening_time = self.openings.mean_time().unwrap_or_default();
        placement.update_speeds(&self.observations(now), opening_time);
        self.placement = placement;
    }

    /// Forwards a packet of an open flow.
    fn forward_to(&self, target: TargetNumber) -> Result<Forward, DropReason> {
        self.forward_with(target, target.cookie())
    }

    /// Forwards a packet that opens a flow.
    fn open_at(&mut self, target: TargetNumber, now: Millis) -> Result<Forward, DropReason> {
        self.send_opening(target, target.opening_cookie(), now)
    }

    fn forward_with(&self, target: TargetNumber, cookie: Cookie) -> Result<Forward, DropReason> {
        let entry = self.view.get(target).ok_or(DropReason::UnknownTarget)?;
        Ok(Forward {
            address: entry.target.address,
            target,
            cookie,
        })
    }

    fn reset(
        &mut self,
        flow: FlowKey,
        target: Option<TargetNumber>,
        reason: ResetReason,
        sequence: u32,
    ) -> Action {
        self.record_event(Event::Reset {
            flow,
            target,
            reason,
        });
        Action::Reset { sequence }
    }

    fn drop_packet(&mut self, segment: &Segment, reason: DropReason) -> Action {
        self.record_event(Event::Dropped {
            flow: segment.flow,
            cookie: segment.cookie,
            reason,
        });
        Action::Drop(reason)
    }

    fn remove_flow(&mut self, key: &FlowKey, now: Millis) {
        if let Some(flow) = self.flows.remove(key) {
            self.release_flow(key, &flow, now);
        }
    }

    /// Releases the opening and the load of a removed flow.
    fn release_flow(&mut self, key: &FlowKey, flow: &Flow, now: Millis) {
        self.openings.remove(key);
        if let Some(admitted) = flow.admitted {
            self.admission.end(admitted.load);
        }
        self.loads.remove(flow.target, flow.load(), now);
    }

    fn record_placement(
        &mut self,
        flow: FlowKey,
        service: PublishedService,
        choice: Choice,
        attempt: u8,
    ) {
        self.record_event(Event::Placed {
            flow,
            service,
            target: choice.target,
            load: choice.load,
            candidates: choice.candidates,
            withheld: choice.withheld,
            examined: choice.examined,
            attempt,
        });
    }

    fn record_event(&mut self, event: Event) {
        if self.events.len() < EVENT_LIMIT {
            self.events.push(event);
        }
    }
}

/// Returns the route of a flow and its service. Borrows only the view, so that a caller can update
/// the other parts of the forwarder.
fn route_of<'v>(view: &'v View, key: &FlowKey) -> Option<(&'v Route, &'v PublishedService)> {
    let route = view.routes().find(key.service)?;
    Some((route, route.service(key)?))
}

/// Returns whether a position in a wrapping stream is after another one.
const fn is_after(position: u32, other: u32) -> bool {
    let distance = position.wrapping_sub(other);
    distance != 0 && distance < 1 << 31
}
