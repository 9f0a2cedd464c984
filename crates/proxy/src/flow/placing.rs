//! Chooses the target of a new flow and opens it there.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tanager_core::{FlowId, Generation, ResultCode, ServiceId, TargetId, invariant};
use tanager_wire::{Binding, Route, ToTarget, TokenTarget, raw};

use crate::flow::{Flows, OpenOutcome};
use crate::routing::{Observation, WorkKind};
use crate::target::TargetLink;
use crate::telemetry::{Decision, DecisionKind, Part};

/// Targets tried for one flow.
const ATTEMPT_LIMIT: usize = 3;
/// Longest wait for a target's answer to an attempt.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// A flow to be placed on a target.
pub(super) struct Placing {
    pub(super) service: ServiceId,
    pub(super) flow: FlowId,
    pub(super) caller: SocketAddr,
    /// First update wanted; 0 starts at the newest.
    pub(super) resume_from: u64,
    pub(super) generation: Generation,
    pub(super) kind: DecisionKind,
    /// Why the flow is placed, for the decision log.
    pub(super) reason: &'static str,
}

impl Flows {
    /// Finds a target that takes the flow, trying several. Each choice is logged as a decision.
    pub(super) async fn place(
        &self,
        placing: &Placing,
        mut excluded: Vec<TargetId>,
    ) -> Result<TokenTarget, ResultCode> {
        let mut code = ResultCode::FlowNoTarget;
        for _ in 0..ATTEMPT_LIMIT {
            self.pauses.settled().await;
            let choice = self
                .router
                .choose(placing.service, WorkKind::Flow, &excluded)?;
            let link = choice.link;
            let decision = Decision::flow(Part::Flow, placing.kind, placing.service, placing.flow);
            let reason = format!("{}; {}", placing.reason, choice.reason);
            self.log.record_decision(decision.with_outcome(
                &link.target.name,
                choice.inputs,
                reason,
            ));
            excluded.push(link.target.id);
            let tried = self.try_target(&link, placing).await;
            let observation = match tried {
                Ok(OpenOutcome::Opened) => Some(Observation::Accepted),
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
                    return Ok(TokenTarget {
                        id: link.target.id,
                        incarnation: link.target.incarnation,
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
        invariant!(
            link.service == placing.service,
            "placement-stays-in-service",
            "a flow of service {} was to be placed on {}",
            placing.service,
            link.target.name
        );
        let target = link.target.id;
        let route = Route {
            caller: placing.caller,
            service: placing.service,
            flow: placing.flow,
            binding: Binding::of(placing.generation, Some(target)),
        };
        let route = route.sign(&self.keys).map_err(|e| e.code())?;
        let frame = ToTarget::OpenFlow(raw::target::OpenFlow {
            flow: Bytes::copy_from_slice(placing.flow.as_bytes()),
            route: route.into(),
            resume_from: placing.resume_from,
            generation: placing.generation.get(),
        });
        let receiver = self.pending.register(placing.flow, target);
        link.send(frame).map_err(|e| {
            self.pending.forget(placing.flow, target);
            e.code()
        })?;
        // Counted before the answer, whose report includes the flow.
        link.count_opened();
        let outcome = tokio::time::timeout(OPEN_TIMEOUT, receiver).await;
        self.pending.forget(placing.flow, target);
        match outcome {
            Ok(Ok(outcome)) => Ok(outcome),
            _ => Err(ResultCode::TargetSilent),
        }
    }
}
