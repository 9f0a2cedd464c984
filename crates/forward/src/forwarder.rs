//! Decides what happens to each packet. The parts below this module treat kinds of packets, news
//! and reports.

mod answers;
mod carry;
mod news;
mod open;
mod reports;
mod resets;

use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tanager_core::{Millis, ServiceName, ZoneName};

use crate::evidence::Evidence;
use crate::flows::{Flow, Flows};
use crate::health::Health;
use crate::held::Held;
use crate::load::Loads;
use crate::opening::Openings;
use crate::place::{Choice, Placement};
use crate::view::View;
use crate::{
    Action, DropReason, DueAction, Event, FlowKey, Forward, ResetReason, Segment, SegmentKind,
    TargetNumber,
};
pub use reports::Gauges;

/// Events kept for the log at most between two calls of [`Forwarder::take_events`].
const EVENT_LIMIT: usize = 1_000;
/// Idle time after which a flow is forgotten when no configuration says it.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Decides what happens to each packet of one instance.
pub struct Forwarder {
    zone: ZoneName,
    view: View,
    /// When the view was last known to be complete.
    verified: Option<Millis>,
    flows: Flows,
    openings: Openings,
    held: Held,
    /// Generation of the view with which held packets were tried.
    held_at: u64,
    evidence: Evidence,
    health: Health,
    /// Targets that became lost and whose waiting requests have not been looked at.
    newly_lost: Vec<TargetNumber>,
    loads: Loads,
    rng: StdRng,
    events: Vec<Event>,
    answer_times: Vec<Duration>,
}

impl Forwarder {
    /// Creates a forwarder for an instance in a zone. The seed decides ties.
    #[must_use]
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            view: View::default(),
            verified: None,
            flows: Flows::default(),
            openings: Openings::default(),
            held: Held::default(),
            held_at: 0,
            evidence: Evidence::default(),
            health: Health::default(),
            newly_lost: Vec::new(),
            loads: Loads::default(),
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

    /// Decides about a client's packet.
    pub fn handle_packet(&mut self, segment: &Segment, packet: &[u8], now: Millis) -> Action {
        self.end_overdue(now);
        let decided = match segment.kind {
            SegmentKind::Forged => Err(DropReason::Forged),
            SegmentKind::Open { .. } => self.open(segment, packet, now),
            _ => self.carry(segment, now),
        };
        decided.unwrap_or_else(|reason| match reason {
            DropReason::UnknownTarget | DropReason::NoRoutes
                if self.held.push(segment, packet, reason, now) =>
            {
                Action::Wait
            }
            _ => self.drop_packet(segment, reason),
        })
    }

    /// Returns when [`Self::take_due`] has something to do.
    pub fn next_due(&mut self) -> Option<Millis> {
        self.openings.next_due()
    }

    /// Returns what is due now: packets that waited for a newer view, opening packets whose
    /// target is silent, and resets of flows that wait for a lost target.
    pub fn take_due(&mut self, now: Millis) -> Vec<DueAction> {
        let mut due = self.release_held(now);
        self.replace_silent(&mut due, now);
        self.reset_waiting(&mut due, now);
        self.judge_overdue(now);
        due
    }

    fn release_held(&mut self, now: Millis) -> Vec<DueAction> {
        for expired in self.held.take_expired(now) {
            self.drop_packet(&expired.segment, expired.reason);
        }
        let seen = self.view.generation();
        if seen == self.held_at {
            return Vec::new();
        }
        self.held_at = seen;
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

    /// Ends what is over: idle flows, unanswered requests, targets that left long ago.
    pub fn sweep(&mut self, now: Millis) {
        let idle = self.view.routes().idle_timeout;
        let idle = if idle.is_zero() { DEFAULT_IDLE } else { idle };
        for (key, flow) in self.flows.expire(idle, now) {
            self.release(&key, &flow, now);
        }
        self.end_overdue(now);
        self.view.expire(now);
        let view = &self.view;
        self.evidence.retain(|n| view.get(n).is_some());
        self.loads.retain(|n| view.get(n).is_some());
        self.health.retain(|n| view.get(n).is_some());
        self.health
            .retain_routes(|address| view.routes().find(address).is_some());
        for change in self.health.changes(now) {
            self.note(Event::Health(change));
        }
    }

    /// Ends the load of requests that have most likely been answered.
    fn end_overdue(&mut self, now: Millis) {
        while let Some(target) = self.flows.take_overdue(now) {
            self.loads.end(target, now);
        }
    }

    fn service(&self, key: &FlowKey) -> Option<ServiceName> {
        let route = self.view.routes().find(key.service)?;
        route.service(key).cloned()
    }

    fn choose(
        &mut self,
        service: &ServiceName,
        tried: &[TargetNumber],
        now: Millis,
    ) -> Option<Choice> {
        let placement = Placement {
            zone: &self.zone,
            view: &self.view,
            evidence: &self.evidence,
            health: &self.health,
            loads: &self.loads,
            now,
        };
        placement.choose(service, tried, &mut self.rng)
    }

    fn forward(&self, target: TargetNumber) -> Result<Forward, DropReason> {
        let known = self.view.get(target).ok_or(DropReason::UnknownTarget)?;
        Ok(Forward {
            address: known.target.address,
            target,
            cookie: target.cookie(),
        })
    }

    fn reset(
        &mut self,
        flow: FlowKey,
        target: Option<TargetNumber>,
        reason: ResetReason,
        sequence: u32,
    ) -> Action {
        self.note(Event::Reset {
            flow,
            target,
            reason,
        });
        Action::Reset { sequence }
    }

    fn drop_packet(&mut self, segment: &Segment, reason: DropReason) -> Action {
        self.note(Event::Dropped {
            flow: segment.flow,
            cookie: segment.cookie,
            reason,
        });
        Action::Drop(reason)
    }

    fn forget(&mut self, key: &FlowKey, now: Millis) {
        if let Some(flow) = self.flows.remove(key) {
            self.release(key, &flow, now);
        }
    }

    /// Ends what a flow that is no longer remembered stood for.
    fn release(&mut self, key: &FlowKey, flow: &Flow, now: Millis) {
        self.openings.finish(key);
        self.loads
            .close(flow.target, !flow.open, flow.is_running(), now);
    }

    fn note_placed(&mut self, flow: FlowKey, service: ServiceName, choice: Choice, attempt: u8) {
        self.note(Event::Placed {
            flow,
            service,
            target: choice.target,
            load: choice.load,
            candidates: choice.candidates,
            attempt,
        });
    }

    fn note(&mut self, event: Event) {
        if self.events.len() < EVENT_LIMIT {
            self.events.push(event);
        }
    }
}
