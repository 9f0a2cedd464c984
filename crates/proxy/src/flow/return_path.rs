use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tanager_core::FlowId;
use tanager_wire::{
    Binding, DatagramBody, FromTarget, KeepaliveAck, KeyRing, Reset, Route, Update,
};

use crate::flow::{CallerSocket, OpenOutcome, PendingOpens};
use crate::target::TargetLink;
use crate::telemetry::Counters;
use crate::usage::{Usage, UsageEvent};

/// Longest connection time counted for one confirmation. A target ends a flow after 5 s without a
/// keepalive, so a longer time since the last one is an error.
pub(super) const HELD_LIMIT: Duration = Duration::from_secs(10);

/// Delivers the flow frames of targets to callers.
pub struct ReturnPath {
    keys: KeyRing,
    callers: CallerSocket,
    pending: Arc<PendingOpens>,
    usage: Arc<Usage>,
    counters: Arc<Counters>,
}

impl ReturnPath {
    /// Creates the return path of an instance.
    #[must_use]
    pub const fn new(
        keys: KeyRing,
        callers: CallerSocket,
        pending: Arc<PendingOpens>,
        usage: Arc<Usage>,
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

    /// Takes one flow frame that arrived over `link`.
    pub fn take_frame(&self, link: &TargetLink, frame: FromTarget) {
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
            } => {
                let held = UsageEvent::Held(held_time(held_ms));
                self.usage.record(link.service, held);
                let ack = DatagramBody::KeepaliveAck(KeepaliveAck { flow, number });
                self.deliver(link, flow, &route, |_| ack);
            }
            FromTarget::FlowUpdate {
                flow,
                route,
                sequence,
                payload,
            } => {
                self.usage
                    .record(link.service, UsageEvent::Bytes(payload.len() as u64));
                let update = DatagramBody::Update(Update {
                    flow,
                    sequence,
                    payload,
                });
                self.deliver(link, flow, &route, |_| update);
            }
            FromTarget::FlowReset { flow, route, code } => {
                self.counters.flows_reset.increment();
                self.deliver(link, flow, &route, |binding| {
                    DatagramBody::Reset(Reset {
                        flow,
                        code,
                        binding: Some(binding),
                    })
                });
            }
            FromTarget::HelloAck { .. }
            | FromTarget::RunDone { .. }
            | FromTarget::RunShed { .. }
            | FromTarget::Pong { .. } => {}
        }
    }

    /// Sends a datagram along a route that the target repeated. A route of another service or
    /// flow is refused, so that a target cannot reach another service's callers.
    fn deliver(
        &self,
        link: &TargetLink,
        flow: FlowId,
        route: &Bytes,
        body: impl FnOnce(Binding) -> DatagramBody,
    ) {
        match Route::open(route, &self.keys) {
            Ok(route) if route.service == link.service && route.flow == flow => {
                self.callers
                    .send(route.caller, route.service, body(route.binding));
            }
            _ => self.counters.tokens_refused.increment(),
        }
    }
}

/// Returns the connection time that a confirmation adds.
pub(super) fn held_time(held_ms: u64) -> Duration {
    Duration::from_millis(held_ms).min(HELD_LIMIT)
}
