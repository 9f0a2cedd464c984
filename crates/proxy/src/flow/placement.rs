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

/// Maximum number of targets tried for one flow.
const ATTEMPT_LIMIT: usize = 3;
/// Maximum wait for a target's answer to an attempt.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// A flow to be placed on a target.
pub(super) struct FlowPlacement {
    pub(super) service: ServiceId,
    pub(super) flow: FlowId,
    pub(super) caller: SocketAddr,
    /// First update to send; 0 starts at the newest.
    pub(super) resume_from: u64,
    pub(super) generation: Generation,
    pub(super) kind: DecisionKind,
    /// Why the flow is placed, for the decision log.
    pub(super) reason: &'static str,
}

impl Flows {
    /// Opens the flow at a target, trying several until one accepts it. Logs each choice as a
    /// decision.
    pub(super) async fn place(
        &self,
        placement: &FlowPlacement,
        mut excluded: Vec<TargetId>,
    ) -> Result<TokenTarget, ResultCode> {
        let mut code = ResultCode::FlowNoTarget;
        for _ in 0..ATTEMPT_LIMIT {
            self.pause_guard.wait_for_refresh().await;
            let choice = self
                .router
                .choose(placement.service, WorkKind::Flow, &excluded)?;
            let link = choice.link;
            let decision = Decision::flow(
                Part::Flow,
                placement.kind,
                placement.service,
                placement.flow,
            );
            let reason = format!("{}; {}", placement.reason, choice.reason);
            self.log.record_decision(decision.with_outcome(
                &link.target.name,
                choice.inputs,
                reason,
            ));
            excluded.push(link.target.id);
            let result = self.try_target(&link, placement).await;
            let observation = match result {
                Ok(OpenOutcome::Opened) => Some(Observation::Accepted),
                Ok(OpenOutcome::Refused(_)) => Some(Observation::Shed),
                Err(ResultCode::TargetSilent) => Some(Observation::Failed),
                // Nothing was sent.
                Err(_) => None,
            };
            if let Some(observation) = observation {
                self.router.observe(&link, observation);
            }
            match result {
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
        placement: &FlowPlacement,
    ) -> Result<OpenOutcome, ResultCode> {
        invariant!(
            link.service == placement.service,
            "placement-stays-in-service",
            "a flow of service {} was to be placed on {}",
            placement.service,
            link.target.name
        );
        let target = link.target.id;
        let route = Route {
            caller: placement.caller,
            service: placement.service,
            flow: placement.flow,
            binding: Binding::of(placement.generation, Some(target)),
        };
        let route = route.sign(&self.keys).map_err(|e| e.code())?;
        let frame = ToTarget::OpenFlow(raw::target::OpenFlow {
            flow: Bytes::copy_from_slice(placement.flow.as_bytes()),
            route: route.into(),
            resume_from: placement.resume_from,
            generation: placement.generation.get(),
        });
        let receiver = self.pending.register(placement.flow, target);
        link.send(frame).map_err(|e| {
            self.pending.discard(placement.flow, target);
            e.code()
        })?;
        // Counted before the answer arrives, because the load report in it includes the flow.
        link.record_opened_flow();
        let outcome = tokio::time::timeout(OPEN_TIMEOUT, receiver).await;
        self.pending.discard(placement.flow, target);
        match outcome {
            Ok(Ok(outcome)) => Ok(outcome),
            _ => Err(ResultCode::TargetSilent),
        }
    }
}
