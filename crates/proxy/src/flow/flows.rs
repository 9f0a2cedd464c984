//! Opens, keeps, moves and closes the flows of callers.

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
use crate::flow::placing::Placing;
use crate::flow::{CallerSocket, PendingOpens};
use crate::membership::Membership;
use crate::routing::Router;
use crate::target::{TargetLink, TargetPool};
use crate::telemetry::{Counters, Decision, DecisionKind, Log, Part};

/// Keepalives over which the flows of a leaving target are moved. With two keepalives a second this
/// spreads the moves over 3 s. A flow whose move failed is tried again after as many.
const MOVE_SPREAD: u64 = 6;
/// Unanswered keepalives after which a flow leaves a target that is overdue with other answers too.
/// The link may not have reached its own limit yet when it carries few flows.
const SUSPECT_AFTER_MISSED: u32 = 6;
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
    /// Holds new placements back after a pause of the process.
    pub(crate) pauses: Arc<PauseGuard>,
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
        // A copy of the datagram may be at work on it.
        let Some(_mark) = self.pending.begin(open.flow) else {
            return;
        };
        if let Err(code) = self.admit(service, open.flow) {
            self.reset(service, open.flow, code, None, caller);
            return;
        }
        let placing = Placing {
            service,
            flow: open.flow,
            caller,
            resume_from: open.resume_from,
            generation,
            kind: DecisionKind::PlaceFlow,
            reason: "the caller opens the flow",
        };
        match self.place(&placing, Vec::new()).await {
            Ok(target) => {
                self.counters.flows_opened.increment();
                self.confirm(service, open.flow, generation, Some(target), caller);
            }
            Err(code) => self.reset(service, open.flow, code, None, caller),
        }
    }

    /// Applies the limits on flows and logs a refusal.
    fn admit(&self, service: ServiceId, flow: FlowId) -> Result<(), ResultCode> {
        self.admission.admit_flow(service).map_err(|refused| {
            let decision = Decision::flow(Part::Admission, DecisionKind::ResetFlow, service, flow);
            self.log.record_decision(decision.with_outcome(
                refused.code,
                refused.inputs,
                refused.reason,
            ));
            refused.code
        })
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
        let silent = keepalive.missed >= SILENT_AFTER_MISSED;
        match self.link_of(&token) {
            Some(link) if keepalive.missed >= SUSPECT_AFTER_MISSED && link.is_suspect() => {
                self.start_move(token, keepalive, caller, "target does not answer");
            }
            Some(link) if link.is_ready() && silent => self.end_silent(&token, caller),
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

    /// Ends a placement at the caller's wish.
    pub fn close(&self, service: ServiceId, close: &Close) {
        if let Some(token) = self.check(service, close.flow, &close.token) {
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

    /// Ends a flow that no longer gets answers from a target that answers others.
    fn end_silent(&self, token: &Token, caller: SocketAddr) {
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
        // The next keepalive probably reaches an instance that stays.
        if self.membership.is_leaving() {
            return;
        }
        let placing = Placing {
            service: token.service,
            flow: token.flow,
            caller,
            // Without any update there is nothing to continue.
            resume_from: match keepalive.acked {
                0 => 0,
                acked => acked + 1,
            },
            generation: token.generation.next(),
            kind: DecisionKind::MoveFlow,
            reason,
        };
        let dead = keepalive.missed >= SILENT_AFTER_MISSED;
        let flows = Arc::clone(self);
        tokio::spawn(async move { flows.move_flow(token, placing, dead).await });
    }

    /// Moves a flow. The old target keeps its placement until the caller, which has adopted the new
    /// token, closes it, or until it gets no more keepalives: when the new token is lost, the flow
    /// goes on at the old target.
    async fn move_flow(&self, token: Token, placing: Placing, dead: bool) {
        let (service, flow, caller) = (placing.service, placing.flow, placing.caller);
        // An earlier keepalive may have started the move.
        let Some(_mark) = self.pending.begin(flow) else {
            return;
        };
        let old = token.target.iter().map(|t| t.id).collect();
        match self.place(&placing, old).await {
            Ok(target) => {
                self.counters.flows_moved.increment();
                self.confirm(service, flow, placing.generation, Some(target), caller);
            }
            Err(code) if dead => {
                self.reset(service, flow, code, Some(token.binding()), caller);
            }
            // A later keepalive tries again.
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
        if let Ok(sealed) = token.sign(&self.keys) {
            let opened = Opened {
                flow,
                token: sealed.into(),
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
            // A lost frame is made up for by the target's limit on time without keepalives.
            let _ = link.send(ToTarget::CloseFlow(raw::target::CloseFlow {
                flow: Bytes::copy_from_slice(token.flow.as_bytes()),
                code: u32::from(code.number()),
                generation: token.generation.get(),
            }));
        }
    }

    /// Returns the link to the token's target, if that target still is what the token says: a number
    /// may come back with another incarnation or for another service.
    fn link_of(&self, token: &Token) -> Option<Arc<TargetLink>> {
        let target = token.target?;
        self.targets
            .link(target.id)
            .filter(|l| l.target.incarnation == target.incarnation && l.service == token.service)
    }

    /// Verifies a token and that it belongs to the datagram's service and flow.
    fn check(&self, service: ServiceId, flow: FlowId, sealed: &Bytes) -> Option<Token> {
        match Token::verify(sealed, &self.keys) {
            Ok(token) if token.service == service && token.flow == flow => Some(token),
            _ => {
                self.counters.tokens_refused.increment();
                None
            }
        }
    }
}

/// Returns whether this keepalive is the one in [`MOVE_SPREAD`] that moves its flow.
fn is_move_due(token: &Token, keepalive: &Keepalive) -> bool {
    let phase = u64::from(token.flow.as_bytes()[0]);
    (phase + keepalive.number).is_multiple_of(MOVE_SPREAD)
}
