use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt as _;
use tanager_core::{Clock, FlowId, Generation, ResultCode, ServiceId, TargetId, invariant};
use tanager_wire::{
    Close, DatagramBody, FlowKind, Keepalive, KeyRing, Open, Opened, Reset, Route, ToTarget, Token,
    TokenTarget, raw,
};

use crate::admission::Admission;
use crate::flow::{CallerSocket, OpenOutcome, PendingOpens};
use crate::membership::Membership;
use crate::routing::{Observation, Placement, Router};
use crate::target::{TargetLink, TargetPool};
use crate::telemetry::{Counters, Decision, DecisionKind, Log, Part};

/// Targets tried for one flow.
const ATTEMPT_LIMIT: usize = 3;
/// Longest wait for a target's answer to an attempt.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of keepalives that move their flow away from a leaving target. With two keepalives a
/// second this spreads the moves over some seconds.
const MOVE_SHARE: f64 = 0.25;
/// Unanswered keepalives after which a flow leaves an unreachable target.
const MOVE_AFTER_MISSED: u32 = 2;
/// Unanswered keepalives after which a flow on a reachable target counts as silent.
const SILENT_AFTER_MISSED: u32 = 8;

/// Opens, forwards and moves flows.
pub struct Flows {
    /// Signs and verifies tokens and routes.
    pub(crate) keys: KeyRing,
    /// The way to callers.
    pub(crate) callers: CallerSocket,
    /// Opens in progress.
    pub(crate) pending: Arc<PendingOpens>,
    /// Links to targets.
    pub(crate) targets: Arc<TargetPool>,
    /// Chooses targets.
    pub(crate) router: Arc<Router>,
    /// Limits.
    pub(crate) admission: Arc<Admission>,
    /// This instance and the fleet.
    pub(crate) membership: Arc<Membership>,
    /// Counters of the instance.
    pub(crate) counters: Arc<Counters>,
    /// This instance's clock.
    pub(crate) clock: Clock,
    /// Log and decisions.
    pub(crate) log: Log,
}

/// A flow to be placed on a target.
struct Placing {
    service: ServiceId,
    flow: FlowId,
    caller: SocketAddr,
    resume_from: u64,
    generation: Generation,
    kind: DecisionKind,
}

impl Flows {
    /// Opens a flow for a caller.
    pub async fn open(self: Arc<Self>, service: ServiceId, open: Open, caller: SocketAddr) {
        let generation = Generation::new(0);
        if open.kind == FlowKind::Session {
            self.confirm(service, open.flow, generation, None, caller);
            return;
        }
        if let Err(refused) = self.admission.admit_flow(service) {
            let kind = DecisionKind::ResetFlow;
            let decision = Decision::flow(Part::Admission, kind, service, open.flow);
            let code = refused.code;
            self.log
                .decide(decision.because(code, refused.inputs, refused.reason));
            self.reset(service, open.flow, code, caller);
            return;
        }
        let placing = Placing {
            service,
            flow: open.flow,
            caller,
            resume_from: open.resume_from,
            generation,
            kind: DecisionKind::PlaceFlow,
        };
        match self.place(&placing, &mut Vec::new()).await {
            Ok(target) => {
                self.counters.flows_opened.increment();
                self.confirm(service, open.flow, generation, Some(target), caller);
            }
            Err(code) => self.reset(service, open.flow, code, caller),
        }
    }

    /// Forwards a keepalive to the target named in its token, or moves or ends the flow.
    pub fn keepalive(
        self: &Arc<Self>,
        service: ServiceId,
        keepalive: &Keepalive,
        caller: SocketAddr,
    ) {
        let Some(token) = self.check(service, keepalive.flow, &keepalive.token) else {
            return;
        };
        let Some(target) = token.target else {
            return;
        };
        let link = self
            .targets
            .link(target.id)
            .filter(|l| l.target.incarnation == target.incarnation);
        match link {
            Some(link) if link.is_ready() => self.forward(&link, &token, keepalive, caller),
            _ if keepalive.missed >= MOVE_AFTER_MISSED => {
                self.start_move(token, keepalive, caller, "target is unreachable");
            }
            _ => self.counters.frames_dropped.increment(),
        }
    }

    /// Ends a flow at the caller's wish.
    pub fn close(&self, service: ServiceId, close: &Close) {
        if let Some(token) = self.check(service, close.flow, &close.token) {
            self.close_at_target(&token, ResultCode::FlowUnknown);
        }
    }

    fn forward(
        self: &Arc<Self>,
        link: &Arc<TargetLink>,
        token: &Token,
        keepalive: &Keepalive,
        caller: SocketAddr,
    ) {
        invariant!(
            link.service == token.service,
            "flow-stays-in-service",
            "token of service {} reached target {}",
            token.service,
            link.target.name
        );
        if keepalive.missed >= SILENT_AFTER_MISSED {
            self.close_at_target(token, ResultCode::FlowSilent);
            self.reset(token.service, token.flow, ResultCode::FlowSilent, caller);
            return;
        }
        let route = Route {
            caller,
            service: token.service,
            flow: token.flow,
        };
        let Ok(route) = route.seal(&self.keys) else {
            return;
        };
        let frame = ToTarget::FlowKeepalive(raw::target::FlowKeepalive {
            flow: Bytes::copy_from_slice(token.flow.as_bytes()),
            route: route.into(),
            number: keepalive.number,
            acked: keepalive.acked,
        });
        if link.send(frame).is_err() {
            self.counters.frames_dropped.increment();
        }
        if self.router.is_leaving(link) && rand::rng().random_bool(MOVE_SHARE) {
            self.start_move(*token, keepalive, caller, "target is leaving");
        }
    }

    fn start_move(
        self: &Arc<Self>,
        token: Token,
        keepalive: &Keepalive,
        caller: SocketAddr,
        reason: &'static str,
    ) {
        let placing = Placing {
            service: token.service,
            flow: token.flow,
            caller,
            resume_from: keepalive.acked + 1,
            generation: token.generation.next(),
            kind: DecisionKind::MoveFlow,
        };
        let flows = Arc::clone(self);
        tokio::spawn(async move { flows.move_flow(token, placing, reason).await });
    }

    async fn move_flow(&self, token: Token, placing: Placing, reason: &'static str) {
        let mut excluded: Vec<TargetId> = token.target.iter().map(|t| t.id).collect();
        if let Ok(target) = self.place(&placing, &mut excluded).await {
            self.counters.flows_moved.increment();
            self.log.info(
                Part::Flow,
                format_args!("flow {} is moved: {reason}", token.flow),
            );
            let caller = placing.caller;
            self.confirm(
                token.service,
                token.flow,
                placing.generation,
                Some(target),
                caller,
            );
            self.close_at_target(&token, ResultCode::TargetLeaving);
        }
    }

    /// Finds a target that takes the flow, trying several.
    async fn place(
        &self,
        placing: &Placing,
        excluded: &mut Vec<TargetId>,
    ) -> Result<TokenTarget, ResultCode> {
        let mut code = ResultCode::FlowNoTarget;
        for _ in 0..ATTEMPT_LIMIT {
            let choice = self
                .router
                .choose(placing.service, Placement::Flow, excluded)?;
            let link = choice.link;
            let decision = Decision::flow(Part::Flow, placing.kind, placing.service, placing.flow);
            self.log
                .decide(decision.because(&link.target.name, choice.inputs, choice.reason));
            excluded.push(link.target.id);
            let tried = self.try_target(&link, placing).await;
            let observation = match tried {
                Ok(OpenOutcome::Opened) => Some(Observation::Taken),
                Ok(OpenOutcome::Refused(_)) => Some(Observation::Shed),
                Err(ResultCode::TargetSilent) => Some(Observation::Failed),
                // Nothing was sent.
                Err(_) => None,
            };
            if let Some(observation) = observation {
                self.router.observe(&link, observation);
            }
            match tried {
                Ok(OpenOutcome::Opened) => {
                    link.count_opened();
                    let incarnation = link.target.incarnation;
                    return Ok(TokenTarget {
                        id: link.target.id,
                        incarnation,
                    });
                }
                Ok(OpenOutcome::Refused(refused)) | Err(refused) => code = refused,
            }
        }
        Err(code)
    }

    async fn try_target(
        &self,
        link: &TargetLink,
        placing: &Placing,
    ) -> Result<OpenOutcome, ResultCode> {
        let target = link.target.id;
        let receiver = self
            .pending
            .register(placing.flow, target)
            .ok_or(ResultCode::FlowLimit)?;
        let route = Route {
            caller: placing.caller,
            service: placing.service,
            flow: placing.flow,
        };
        let route = route.seal(&self.keys).map_err(|e| e.code())?;
        let frame = ToTarget::OpenFlow(raw::target::OpenFlow {
            flow: Bytes::copy_from_slice(placing.flow.as_bytes()),
            route: route.into(),
            resume_from: placing.resume_from,
            generation: placing.generation.get(),
        });
        let sent = link.send(frame);
        if let Err(error) = sent {
            self.pending.forget(placing.flow, target);
            return Err(error.code());
        }
        let outcome = tokio::time::timeout(OPEN_TIMEOUT, receiver).await;
        self.pending.forget(placing.flow, target);
        match outcome {
            Ok(Ok(outcome)) => Ok(outcome),
            _ => Err(ResultCode::TargetSilent),
        }
    }

    /// Sends the caller its token.
    fn confirm(
        &self,
        service: ServiceId,
        flow: FlowId,
        generation: Generation,
        target: Option<TokenTarget>,
        caller: SocketAddr,
    ) {
        let executor = self.membership.identity().executor();
        let token = Token {
            service,
            flow,
            generation,
            target,
            executor,
        };
        if let Ok(token) = token.seal(&self.keys) {
            let issued = self.clock.now();
            let opened = Opened {
                flow,
                token: token.into(),
                issued,
                generation,
            };
            self.callers
                .send(caller, service, DatagramBody::Opened(opened));
        }
    }

    fn reset(&self, service: ServiceId, flow: FlowId, code: ResultCode, caller: SocketAddr) {
        self.counters.flows_reset.increment();
        let decision = Decision::flow(Part::Flow, DecisionKind::ResetFlow, service, flow);
        self.log
            .decide(decision.because(code, caller, code.description().trim()));
        self.callers
            .send(caller, service, DatagramBody::Reset(Reset { flow, code }));
    }

    fn close_at_target(&self, token: &Token, code: ResultCode) {
        let link = token.target.and_then(|t| self.targets.link(t.id));
        if let Some(link) = link {
            let _ = link.send(ToTarget::CloseFlow(raw::target::CloseFlow {
                flow: Bytes::copy_from_slice(token.flow.as_bytes()),
                code: u32::from(code.number()),
            }));
        }
    }

    /// Verifies a token and that it belongs to the datagram's service and flow.
    fn check(&self, service: ServiceId, flow: FlowId, sealed: &Bytes) -> Option<Token> {
        match Token::open(sealed, &self.keys) {
            Ok(token) if token.service == service && token.flow == flow => Some(token),
            _ => {
                self.counters.tokens_refused.increment();
                None
            }
        }
    }
}
