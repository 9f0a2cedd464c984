//! What a decision tells the network side to do, and what it tells the log.

use std::fmt;
use std::net::SocketAddrV4;

use tanager_core::ServiceName;

use crate::{Cookie, FlowKey, HealthChange, LivenessChange, TargetNumber};

/// Where a packet is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forward {
    /// The target's address.
    pub address: SocketAddrV4,
    /// The target that is meant, which is not always the one at the address.
    pub target: TargetNumber,
    /// The cookie to write into the packet.
    pub cookie: Cookie,
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send it to a target.
    Forward(Forward),
    /// Tell the client that its flow is over, with this sequence number.
    Reset {
        /// A number that the client accepts.
        sequence: u32,
    },
    /// Do nothing: the packet waits for a newer view, which should be read now.
    Wait,
    /// Do nothing.
    Drop(DropReason),
}

/// A packet that was kept, or a flow that is to be reset without one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueAction {
    /// Its flow.
    pub flow: FlowKey,
    /// What to do with it.
    pub action: Action,
    /// The packet as the client sent it; empty if there is none.
    pub packet: Vec<u8>,
}

/// Why a packet is not forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// No client sends such a packet.
    Forged,
    /// It belongs to no flow that is known here and has no cookie.
    NoCookie,
    /// Its cookie names a target that this instance has not heard of.
    UnknownTarget,
    /// Nothing is known about routes yet.
    NoRoutes,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Forged => "forged",
            Self::NoCookie => "no-cookie",
            Self::UnknownTarget => "unknown-target",
            Self::NoRoutes => "no-routes",
        })
    }
}

/// Why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResetReason {
    /// No route has the address.
    NoRoute,
    /// The route's service has no target that could take the flow.
    NoTarget,
    /// The flow's target has left.
    TargetGone,
    /// The flow's target has stopped answering.
    TargetLost,
}

impl fmt::Display for ResetReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoute => "no-route",
            Self::NoTarget => "no-target",
            Self::TargetGone => "target-gone",
            Self::TargetLost => "target-lost",
        })
    }
}

/// A decision or a changed belief, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A new flow was placed.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// Its service.
        service: ServiceName,
        /// The chosen target.
        target: TargetNumber,
        /// Its load over its slots, as believed.
        load: f64,
        /// Targets that were compared.
        candidates: usize,
        /// 0 for the first choice, then one more for each silent target.
        attempt: u8,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Its target, if it had one.
        target: Option<TargetNumber>,
        /// Why.
        reason: ResetReason,
    },
    /// A packet was dropped for a reason that an operator may ask about.
    Dropped {
        /// The flow.
        flow: FlowKey,
        /// The cookie that it carried.
        cookie: Cookie,
        /// Why.
        reason: DropReason,
    },
    /// A target is believed in another state than before.
    Liveness(LivenessChange),
    /// A target began or ceased to fail requests.
    Health(HealthChange),
}
