use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tanager_core::{Millis, ServiceName, ZoneName};

use crate::evidence::Evidence;
use crate::flows::{Flow, Flows};
use crate::held::Held;
use crate::load::Loads;
use crate::opening::{ANSWER_TIME, Openings, TRIES};
use crate::place::{Choice, Placement};
use crate::view::View;
use crate::{
    Action, Change, Cookie, Delta, DropReason, Due, Event, FlowKey, Forward, Kind, LoadReport,
    ResetReason, RouteTable, Segment, SegmentKind, Standing, TargetNumber,
};

/// A view that is this old may lack a route, so packets without one are dropped, not reset.
const VIEW_FRESH: Duration = Duration::from_millis(2_500);
/// Time after a draining target's removal from which its flows are reset.
const GONE_AFTER: Duration = Duration::from_millis(500);
/// Time without a sign of life of any target after which the fault is likely on this side.
const DEAF_AFTER: Duration = Duration::from_secs(1);
/// Time after which data that comes again was repeated, and not overtaken on its way. Clients wait
/// 200 ms.
const RESEND_TIME: Duration = Duration::from_millis(150);
/// Events kept for the log at most between two calls of [`Forwarder::take_events`].
const EVENT_LIMIT: usize = 1_000;
/// Idle time after which a flow is forgotten when no configuration says it.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Numbers that metrics show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Gauges {
    /// Flows that are remembered.
    pub flows: usize,
    /// Requests without an answer so far.
    pub waiting: usize,
    /// Published targets.
    pub targets: usize,
    /// Targets that owe an answer.
    pub suspect: usize,
    /// Targets that have stopped answering.
    pub lost: usize,
}

/// Decides what happens to each packet of one instance.
pub struct Forwarder {
    zone: ZoneName,
    view: View,
    /// When the view was last known to be complete.
    verified: Option<Millis>,
    flows: Flows,
    openings: Openings,
    held: Held,
    /// Revision and configuration up to which held packets were tried.
    held_at: (u64, u64),
    evidence: Evidence,
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
            held_at: (0, 0),
            evidence: Evidence::default(),
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

    /// Notes that the view was complete at a time.
    pub fn verify(&mut self, at: Millis) {
        self.verified = Some(self.verified.map_or(at, |v| v.max(at)));
    }

    /// Returns the time since the view was known to be complete.
    #[must_use]
    pub fn view_age(&self, now: Millis) -> Option<Duration> {
        self.verified.map(|at| now.since(at))
    }

    /// Takes over a published change of one target. Returns whether it was news.
    pub fn apply(&mut self, change: Change, now: Millis) -> bool {
        let number = change.number;
        let life = |view: &View| view.get(number).map(|k| k.target.incarnation);
        let before = life(&self.view);
        let news = self.view.apply(change, now);
        if news && life(&self.view) != before {
            self.evidence.clear(number);
        }
        news
    }

    /// Takes over published routes. Returns whether they were news.
    pub fn apply_routes(&mut self, routes: RouteTable) -> bool {
        self.view.apply_routes(routes)
    }

    /// Marks targets as removed that a complete reading at `revision` did not list.
    pub fn retain(
        &mut self,
        listed: impl Fn(TargetNumber) -> bool,
        revision: u64,
        now: Millis,
    ) -> Vec<TargetNumber> {
        self.view.retain(listed, revision, now)
    }

    /// Notes that all changes up to a revision have been applied.
    pub fn advance(&mut self, revision: u64) {
        self.view.advance(revision);
    }

    /// Takes over a peer's newer view. Returns the changed targets.
    pub fn merge(&mut self, delta: Delta, now: Millis) -> Vec<TargetNumber> {
        self.view.merge(delta, now)
    }

    /// Decides about a client's packet.
    pub fn packet(&mut self, segment: &Segment, packet: &[u8], now: Millis) -> Action {
        self.end_overdue(now);
        let decided = match segment.kind {
            SegmentKind::Forged => Err(DropReason::Forged),
            SegmentKind::Open { .. } => self.open(segment, packet, now),
            _ => self.carry(segment, now),
        };
        decided.unwrap_or_else(|reason| match reason {
            DropReason::UnknownTarget | DropReason::NoRoutes
                if self.held.push(segment, packet, now) =>
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

    /// Returns packets that were kept and are to be handled now: those that waited for a newer
    /// view, and opening packets whose target is silent.
    pub fn take_due(&mut self, now: Millis) -> Vec<Due> {
        let mut due = self.release_held(now);
        self.replace_silent(&mut due, now);
        due
    }

    fn release_held(&mut self, now: Millis) -> Vec<Due> {
        for expired in self.held.take_expired(now) {
            self.drop_packet(&expired.segment, DropReason::UnknownTarget);
        }
        let seen = (self.view.revision(), self.view.routes().version);
        if seen == self.held_at {
            return Vec::new();
        }
        self.held_at = seen;
        let mut due = Vec::new();
        for held in self.held.take() {
            let action = self.packet(&held.segment, &held.packet, now);
            due.push(Due {
                flow: held.segment.flow,
                action,
                packet: held.packet,
            });
        }
        due
    }

    fn replace_silent(&mut self, due: &mut Vec<Due>, now: Millis) {
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
                due.push(Due {
                    flow: key,
                    action: Action::Forward(forward),
                    packet,
                });
            }
        }
    }

    /// Ends what is over: idle flows, unanswered requests, targets that left long ago.
    pub fn sweep(&mut self, now: Millis) {
        let idle = self.view.routes().idle_timeout;
        let idle = if idle.is_zero() { DEFAULT_IDLE } else { idle };
        for flow in self.flows.expire(idle, now) {
            self.loads
                .close(flow.target, !flow.open, flow.is_running(), now);
        }
        self.end_overdue(now);
        self.view.expire(now);
        let view = &self.view;
        self.evidence.retain(|n| view.get(n).is_some());
        self.loads.retain(|n| view.get(n).is_some());
    }

    /// Ends the load of requests that have most likely been answered.
    fn end_overdue(&mut self, now: Millis) {
        while let Some(target) = self.flows.take_overdue(now) {
            self.loads.end(target, None, now);
        }
    }

    /// Returns decisions and changed beliefs since the last call.
    pub fn take_events(&mut self, now: Millis) -> Vec<Event> {
        for change in self.evidence.changes(now) {
            self.note(Event::Standing(change));
        }
        std::mem::take(&mut self.events)
    }

    /// Returns the times from requests to answers since the last call.
    pub fn take_answer_times(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.answer_times)
    }

    /// Returns the own load of each target, for peers.
    pub fn load_report(&mut self, now: Millis) -> Vec<LoadReport> {
        self.loads.report(now)
    }

    /// Takes over what all other instances have at a target.
    pub fn hear_load(&mut self, cookie: Cookie, busy: f64, flows: f64, now: Millis) {
        if let Some(known) = self.view.find(cookie) {
            self.loads.hear(known.target.number, busy, flows, now);
        }
    }

    /// Returns whether targets owe answers and none has answered any request for a while, so
    /// that this instance is likely cut off.
    #[must_use]
    pub fn is_deaf(&self, now: Millis) -> bool {
        let (suspect, lost) = self.evidence.count(now);
        let silent = self.evidence.any_alive();
        lost >= 2 && suspect + lost >= 3 && silent.is_none_or(|at| now.since(at) > DEAF_AFTER)
    }

    /// Returns numbers for metrics.
    #[must_use]
    pub fn gauges(&self, now: Millis) -> Gauges {
        let (suspect, lost) = self.evidence.count(now);
        Gauges {
            flows: self.flows.len(),
            waiting: self.loads.totals().0 as usize,
            targets: self.view.present().count(),
            suspect,
            lost,
        }
    }

    fn open(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        now: Millis,
    ) -> Result<Action, DropReason> {
        if let Some(action) = self.copy_of_open(segment, now) {
            return action;
        }
        let key = segment.flow;
        let Some(service) = self.service(&key) else {
            return self.refuse_unrouted(key, now);
        };
        let Some(choice) = self.choose(&service, &[], now) else {
            return Ok(self.reset(key, None, ResetReason::NoTarget, 0));
        };
        if let Some(old) = self.flows.remove(&key) {
            self.loads
                .close(old.target, !old.open, old.is_running(), now);
        }
        let flow = Flow::opening(choice.target, segment, now);
        if self.flows.insert(key, flow) {
            self.loads.open(choice.target, now);
            self.openings.start(key, packet, choice.target, now);
        }
        self.note_placed(key, service, choice, 0);
        self.forward(choice.target)
    }

    /// Handles a packet that repeats the opening of a flow that is known here.
    fn copy_of_open(
        &mut self,
        segment: &Segment,
        now: Millis,
    ) -> Option<Result<Action, DropReason>> {
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
        let waited = self.openings.get(&key).map(|o| now.since(o.sent));
        if waited.is_some_and(|time| time < ANSWER_TIME) {
            return Some(self.forward(target));
        }
        self.evidence.miss(target, key, now);
        match self.replace(&key, now) {
            Some(forward) => Some(Ok(Action::Forward(forward))),
            None => Some(self.forward(target)),
        }
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
        match self.forward(choice.target) {
            Ok(Action::Forward(forward)) => Some(forward),
            _ => None,
        }
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

    /// Handles a packet of a flow that the client holds open.
    fn carry(&mut self, segment: &Segment, now: Millis) -> Result<Action, DropReason> {
        let key = segment.flow;
        if !self.flows.get(&key).is_some_and(|f| f.open) {
            self.bind(segment, now)?;
        }
        let Some(target) = self.flows.get(&key).map(|f| f.target) else {
            // The table is full: the cookie alone leads the packet.
            return match self.view.find(segment.cookie) {
                Some(known) => self.forward(known.target.number),
                None => Err(DropReason::UnknownTarget),
            };
        };
        self.observe(segment, now);
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
        self.forward(target)
    }

    /// Finds the target of a flow whose first packet after the opening has come.
    fn bind(&mut self, segment: &Segment, now: Millis) -> Result<(), DropReason> {
        let key = segment.flow;
        let named = self.view.find(segment.cookie).map(|k| k.target.number);
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
        self.openings.finish(&key);
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
                self.loads.end(target, Some(time), now);
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
        } else if let Some(request) = flow.request
            && now.since(request.begun) >= RESEND_TIME
        {
            self.evidence.miss(target, key, now);
        }
    }

    /// Returns why a flow with a request under way should end now, if it should.
    fn reset_reason(
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
        if self.evidence.standing(target, now) != Standing::Lost || self.is_deaf(now) {
            return None;
        }
        // A request that must not run twice may still be answered while its target is listed.
        let kind = self.view.routes().find(key.service).map(|r| r.kind);
        if kind != Some(Kind::Idempotent) && removed.is_none() {
            return None;
        }
        let trial = self.evidence.take_trial(target, now);
        (!trial).then_some(ResetReason::TargetLost)
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
            loads: &self.loads,
            now,
        };
        placement.choose(service, tried, &mut self.rng)
    }

    fn refuse_unrouted(&mut self, key: FlowKey, now: Millis) -> Result<Action, DropReason> {
        let fresh = self.view_age(now).is_some_and(|age| age <= VIEW_FRESH);
        if fresh && !self.view.routes().is_empty() {
            return Ok(self.reset(key, None, ResetReason::NoRoute, 0));
        }
        Err(DropReason::NoRoutes)
    }

    fn forward(&self, target: TargetNumber) -> Result<Action, DropReason> {
        let known = self.view.get(target).ok_or(DropReason::UnknownTarget)?;
        Ok(Action::Forward(Forward {
            address: known.target.address,
            target,
            cookie: target.cookie(),
        }))
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
        self.openings.finish(key);
        if let Some(flow) = self.flows.remove(key) {
            self.loads
                .close(flow.target, !flow.open, flow.is_running(), now);
        }
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

/// Returns whether a position in a wrapping stream is after another one.
const fn is_after(position: u32, other: u32) -> bool {
    let distance = position.wrapping_sub(other);
    distance != 0 && distance < 1 << 31
}
