//! Opens, forwards, moves and closes the flows of callers.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tanager_core::{Clock, FlowId, Generation, ResultCode, ServiceId};
use tanager_wire::{
    Binding, Close, DatagramBody, FlowKind, Keepalive, KeyRing, Open, Opened, Reset, Route,
    ToTarget, Token, TokenTarget, raw,
};

use crate::admission::Admission;
use crate::execution::PauseGuard;
use crate::flow::placement::FlowPlacement;
use crate::flow::{CallerSocket, PendingOpens};
use crate::membership::Membership;
use crate::routing::Router;
use crate::target::{TargetLink, TargetPool};
use crate::telemetry::{Counters, Decision, DecisionKind, Log, Part};

/// Number of keepalives over which the moves of flows away from a leaving target are distributed.
/// At two keepalives per second, that takes 3 s. A failed move is retried after the same number.
const MOVE_PERIOD: u64 = 6;
/// Unanswered keepalives after which a flow is moved away from a target whose other answers are
/// overdue too. The link may not have reached its own limit yet when it carries few flows.
const SUSPECT_AFTER_MISSED: u32 = 6;
/// Unanswered keepalives after which a flow is moved away from an unreachable target.
const MOVE_AFTER_MISSED: u32 = 2;
/// Unanswered keepalives after which a flow on a reachable target is treated as stalled.
const STALLED_AFTER_MISSED: u32 = 8;

/// Opens, forwards and moves flows.
pub struct Flows {
    /// Signs and verifies tokens and routes.
    pub(crate) keys: KeyRing,
    /// Sends datagrams to callers.
    pub(crate) callers: CallerSocket,
    /// Opens in progress.
    pub(crate) pending: Arc<PendingOpens>,
    /// Links to targets.
    pub(crate) targets: Arc<TargetPool>,
    /// Chooses targets.
    pub(crate) router: Arc<Router>,
    /// Enforces the limits on flows.
    pub(crate) admission: Arc<Admission>,
    /// This instance's identity and state, and the other instances.
    pub(crate) membership: Arc<Membership>,
    /// Counters of the instance.
    pub(crate) counters: Arc<Counters>,
    /// Delays new placements after a pause of the process until the view of the fleet is refreshed.
    pub(crate) pause_guard: Arc<PauseGuard>,
    /// This instance's clock.
    pub(crate) clock: Clock,
    /// Log and decisions.
    pub(crate) log: Log,
}

impl Flows {
    /// Opens a flow for a caller.
    pub async fn open(self: Arc<Self>, service: ServiceId, open: Open, caller: SocketAddr) {
        let generation = Generation::new(0);
        if self.membership.is_leaving() {
            let code = ResultCode::ExecutorLeaving;
            self.reset(service, open.flow, code, None, caller);
            return;
        }
        if open.kind == FlowKind::Session {
            self.confirm(service, open.flow, generation, None, caller);
            return;
        }
        // Another copy of the datagram may already be placing the flow.
        let Some(_guard) = self.pending.begin(open.flow) else {
            return;
        };
        if let Err(code) = self.admit(service, open.flow) {
            self.reset(service, open.flow, code, None, caller);
            return;
        }
        let placement = FlowPlacement {
            service,
            flow: open.flow,
            caller,
            resume_from: open.resume_from,
            generation,
            kind: DecisionKind::PlaceFlow,
            reason: "the caller opens the flow",
        };
        match self.place(&placement, Vec::new()).await {
            Ok(target) => {
                self.counters.flows_opened.increment();
                self.confirm(service, open.flow, generation, Some(target), caller);
            }
            Err(code) => self.reset(service, open.flow, code, None, caller),
        }
    }

    /// Applies the limits on flows and logs a refusal.
    fn admit(&self, service: ServiceId, flow: FlowId) -> Result<(), ResultCode> {
        self.admission.admit_flow(service).map_err(|error| {
            let decision = Decision::flow(Part::Admission, DecisionKind::ResetFlow, service, flow);
            self.log
                .record_decision(decision.with_outcome(error.code, error.inputs, error.reason));
            error.code
        })
    }

    /// Forwards a keepalive to the target named in its token, or moves or ends the flow.
    pub fn keepalive(
        self: &Arc<Self>,
        service: ServiceId,
        keepalive: &Keepalive,
        caller: SocketAddr,
    ) {
        let Some(token) = self.verify_token(service, keepalive.flow, &keepalive.token) else {
            return;
        };
        let stalled = keepalive.missed >= STALLED_AFTER_MISSED;
        match self.link_of(&token) {
            Some(link) if keepalive.missed >= SUSPECT_AFTER_MISSED && link.is_suspect() => {
                self.start_move(token, keepalive, caller, "target does not answer");
            }
            Some(link) if link.is_ready() && stalled => self.reset_stalled(&token, caller),
            Some(link) if link.is_ready() => {
                self.forward(&link, &token, keepalive, caller);
                if self.router.is_leaving(&link) && is_move_due(&token, keepalive) {
                    self.start_move(token, keepalive, caller, "target is leaving");
                }
            }
            _ if token.target.is_none() => {}
            _ if keepalive.missed >= MOVE_AFTER_MISSED => {
                self.start_move(token, keepalive, caller, "target is unreachable");
            }
            _ => self.counters.frames_dropped.increment(),
        }
    }

    /// Ends the placement that the caller's token names.
    pub fn close(&self, service: ServiceId, close: &Close) {
        if let Some(token) = self.verify_token(service, close.flow, &close.token) {
            self.close_at_target(&token, ResultCode::FlowUnknown);
        }
    }

    fn forward(&self, link: &TargetLink, token: &Token, keepalive: &Keepalive, caller: SocketAddr) {
        let route = Route {
            caller,
            service: token.service,
            flow: token.flow,
            binding: token.binding(),
        };
        let Ok(route) = route.sign(&self.keys) else {
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
    }

    /// Resets a flow that gets no answers from a target that still answers others.
    fn reset_stalled(&self, token: &Token, caller: SocketAddr) {
        let code = ResultCode::FlowSilent;
        self.close_at_target(token, code);
        self.reset(
            token.service,
            token.flow,
            code,
            Some(token.binding()),
            caller,
        );
    }

    fn start_move(
        self: &Arc<Self>,
        token: Token,
        keepalive: &Keepalive,
        caller: SocketAddr,
        reason: &'static str,
    ) {
        // The next keepalive is likely to reach an instance that is not leaving.
        if self.membership.is_leaving() {
            return;
        }
        let placement = FlowPlacement {
            service: token.service,
            flow: token.flow,
            caller,
            // If no update was acknowledged, the feed starts at the newest one.
            resume_from: match keepalive.acked {
                0 => 0,
                acked => acked + 1,
            },
            generation: token.generation.next(),
            kind: DecisionKind::MoveFlow,
            reason,
        };
        let stalled = keepalive.missed >= STALLED_AFTER_MISSED;
        let flows = Arc::clone(self);
        tokio::spawn(async move { flows.move_flow(token, placement, stalled).await });
    }

    /// Moves a flow to another target. The old target keeps its placement until the caller has
    /// adopted the new token and closes the old placement, or until its keepalives stop. If the new
    /// token is lost, the flow continues at the old target.
    async fn move_flow(&self, token: Token, placement: FlowPlacement, stalled: bool) {
        let (service, flow, caller) = (placement.service, placement.flow, placement.caller);
        // An earlier keepalive may already have started the move.
        let Some(_guard) = self.pending.begin(flow) else {
            return;
        };
        let old = token.target.iter().map(|t| t.id).collect();
        match self.place(&placement, old).await {
            Ok(target) => {
                self.counters.flows_moved.increment();
                self.confirm(service, flow, placement.generation, Some(target), caller);
            }
            Err(code) if stalled => {
                self.reset(service, flow, code, Some(token.binding()), caller);
            }
            // A later keepalive retries the move.
            Err(_) => {}
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
        if let Ok(token_bytes) = token.sign(&self.keys) {
            let opened = Opened {
                flow,
                token: token_bytes.into(),
                issued: self.clock.now(),
                generation,
                binding: token.binding(),
            };
            self.callers
                .send(caller, service, DatagramBody::Opened(opened));
        }
    }

    fn reset(
        &self,
        service: ServiceId,
        flow: FlowId,
        code: ResultCode,
        binding: Option<Binding>,
        caller: SocketAddr,
    ) {
        self.counters.flows_reset.increment();
        if code == ResultCode::ServiceUnknown {
            self.counters.services_unknown.increment();
        }
        let decision = Decision::flow(Part::Flow, DecisionKind::ResetFlow, service, flow);
        self.log
            .record_decision(decision.with_outcome(code, caller, code.description().trim()));
        let reset = Reset {
            flow,
            code,
            binding,
        };
        self.callers
            .send(caller, service, DatagramBody::Reset(reset));
    }

    fn close_at_target(&self, token: &Token, code: ResultCode) {
        if let Some(link) = self.link_of(token) {
            // If the frame is lost, the target closes the flow when its keepalives time out.
            let _ = link.send(ToTarget::CloseFlow(raw::target::CloseFlow {
                flow: Bytes::copy_from_slice(token.flow.as_bytes()),
                code: u32::from(code.number()),
                generation: token.generation.get(),
            }));
        }
    }

    /// Returns the link to the token's target if its incarnation and service still match: the
    /// number may have been reused for another incarnation or service.
    fn link_of(&self, token: &Token) -> Option<Arc<TargetLink>> {
        let target = token.target?;
        self.targets
            .link(target.id)
            .filter(|l| l.target.incarnation == target.incarnation && l.service == token.service)
    }

    /// Verifies a token and that it belongs to the datagram's service and flow.
    fn verify_token(&self, service: ServiceId, flow: FlowId, token_bytes: &Bytes) -> Option<Token> {
        match Token::verify(token_bytes, &self.keys) {
            Ok(token) if token.service == service && token.flow == flow => Some(token),
            _ => {
                self.counters.tokens_refused.increment();
                None
            }
        }
    }
}

/// Returns whether this keepalive is the one of every [`MOVE_PERIOD`] that moves its flow.
fn is_move_due(token: &Token, keepalive: &Keepalive) -> bool {
    let phase = u64::from(token.flow.as_bytes()[0]);
    (phase + keepalive.number).is_multiple_of(MOVE_PERIOD)
}
