//! Delivers the flow frames of targets to callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tanager_core::{FlowId, ResultCode};
use tanager_wire::{
    Binding, DatagramBody, FromTarget, KeepaliveAck, KeyRing, Reset, Route, Update,
};

use crate::flow::{CallerSocket, OpenOutcome, PendingOpens};
use crate::target::TargetLink;
use crate::telemetry::Counters;
use crate::usage::{UsageEvent, UsageTable};

/// Maximum connection time counted for one acknowledgement. A target ends a flow after 5 s without
/// a keepalive, so a longer time since the last one is an error.
pub(super) const HELD_LIMIT: Duration = Duration::from_secs(10);

/// Delivers the flow frames of targets to callers.
pub struct ReturnPath {
    keys: KeyRing,
    callers: CallerSocket,
    pending: Arc<PendingOpens>,
    usage: Arc<UsageTable>,
    counters: Arc<Counters>,
}

impl ReturnPath {
    /// Creates the return path of an instance.
    #[must_use]
    pub const fn new(
        keys: KeyRing,
        callers: CallerSocket,
        pending: Arc<PendingOpens>,
        usage: Arc<UsageTable>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            keys,
            callers,
            pending,
            usage,
            counters,
        }
    }

    /// Handles one flow frame that arrived over `link`.
    pub fn handle_frame(&self, link: &TargetLink, frame: FromTarget) {
        match frame {
            FromTarget::FlowOpened { flow, .. } => {
                self.pending
                    .complete(flow, link.target.id, OpenOutcome::Opened);
            }
            FromTarget::FlowRefused { flow, code, .. } => {
                self.pending
                    .complete(flow, link.target.id, OpenOutcome::Refused(code));
            }
            FromTarget::FlowKeepaliveAck {
                flow,
                route,
                number,
                held_ms,
                ..
            } => self.handle_ack(link, &route, KeepaliveAck { flow, number }, held_ms),
            FromTarget::FlowUpdate {
                flow,
                route,
                sequence,
                payload,
            } => {
                let update = Update {
                    flow,
                    sequence,
                    payload,
                };
                self.handle_update(link, &route, update);
            }
            FromTarget::FlowReset { flow, route, code } => {
                self.handle_reset(link, &route, flow, code);
            }
            FromTarget::HelloAck { .. }
            | FromTarget::RunDone { .. }
            | FromTarget::RunShed { .. }
            | FromTarget::Pong { .. } => {}
        }
    }

    fn handle_ack(&self, link: &TargetLink, route: &Bytes, ack: KeepaliveAck, held_ms: u64) {
        let held = UsageEvent::Held(held_time(held_ms));
        self.usage.record(link.service, held);
        self.deliver(link, ack.flow, route, |_| DatagramBody::KeepaliveAck(ack));
    }

    fn handle_update(&self, link: &TargetLink, route: &Bytes, update: Update) {
        let bytes = UsageEvent::Bytes(update.payload.len() as u64);
        self.usage.record(link.service, bytes);
        let flow = update.flow;
        self.deliver(link, flow, route, |_| DatagramBody::Update(update));
    }

    fn handle_reset(&self, link: &TargetLink, route: &Bytes, flow: FlowId, code: ResultCode) {
        self.counters.flows_reset.increment();
        self.deliver(link, flow, route, |binding| {
            DatagramBody::Reset(Reset {
                flow,
                code,
                binding: Some(binding),
            })
        });
    }

    /// Sends a datagram to the caller named in the route that the target copied into its frame. A route of another service
    /// or flow is refused, so that a target cannot send to another service's callers.
    fn deliver(
        &self,
        link: &TargetLink,
        flow: FlowId,
        route: &Bytes,
        body: impl FnOnce(Binding) -> DatagramBody,
    ) {
        match Route::verify(route, &self.keys) {
            Ok(route) if route.service == link.service && route.flow == flow => {
                self.callers
                    .send(route.caller, route.service, body(route.binding));
            }
            _ => self.counters.tokens_refused.increment(),
        }
    }
}

/// Returns the connection time to count for an acknowledgement.
pub(super) fn held_time(held_ms: u64) -> Duration {
    Duration::from_millis(held_ms).min(HELD_LIMIT)
}
