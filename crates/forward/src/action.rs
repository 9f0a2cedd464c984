//! Actions that the network layer carries out, and events for the log.

use std::fmt;
use std::net::SocketAddrV4;

use tanager_core::PublishedService;

use crate::{
    AdmissionStep, Cookie, Evacuation, FlowKey, HealthChange, LimitChange, LivenessChange,
    QueueState, TargetNumber,
};

/// Where a packet is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forward {
    /// The target's address.
    pub address: SocketAddrV4,
    /// The intended target, which is not always the one that now has the address.
    pub target: TargetNumber,
    /// The cookie to write into the packet.
    pub cookie: Cookie,
}

/// Action to take for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the packet to a target.
    Forward(Forward),
    /// Reset the client's flow.
    Reset {
        /// A sequence number that the client accepts.
        sequence: u32,
    },
    /// Do nothing: the packet is held until a newer view arrives, which should be read now.
    Wait,
    /// Do nothing: the packet is held until a peer has told its flow's target, or a short time has
    /// passed.
    LookUp,
    /// Do nothing: the packet is held until its service has capacity for it, or it is a copy of a held
    /// packet.
    Hold,
    /// Drop the packet.
    Drop(DropReason),
}

/// An action for a stored packet, or a reset of a flow without a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueAction {
    /// Its flow.
    pub flow: FlowKey,
    /// The action to take.
    pub action: Action,
    /// The packet as the client sent it; empty if there is none.
    pub packet: Vec<u8>,
}

/// Why a packet is not forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// No client sends such a packet; only targets do.
    Forged,
    /// It has no cookie, and its flow is not in the flow table.
    NoCookie,
    /// Its cookie names a target that is not in the view.
    UnknownTarget,
    /// The view has no matching route, but it may be incomplete.
    NoRoutes,
    /// Its service is overloaded. The client retransmits it.
    Overloaded,
    /// It is an opening that was sent to a target of a zone that is now evacuated, and no other
    /// target can take it.
    Evacuated,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Forged => "forged",
            Self::NoCookie => "no-cookie",
            Self::UnknownTarget => "unknown-target",
            Self::NoRoutes => "no-routes",
            Self::Overloaded => "overloaded",
            Self::Evacuated => "evacuated",
        })
    }
}

/// Why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResetReason {
    /// No route has the destination address.
    NoRoute,
    /// The route's service has no target that accepts new flows.
    NoTarget,
    /// The flow's target was drained and then removed.
    TargetGone,
    /// The flow's target no longer responds.
    TargetLost,
    /// The service is overloaded, and the flow has not opened.
    Overloaded,
}

impl fmt::Display for ResetReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoute => "no-route",
            Self::NoTarget => "no-target",
            Self::TargetGone => "target-gone",
            Self::TargetLost => "target-lost",
            Self::Overloaded => "overloaded",
        })
    }
}

/// A decision or a change in a target's state, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A new flow was placed.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// Its service.
        service: PublishedService,
        /// The chosen target.
        target: TargetNumber,
        /// Its estimated load divided by its slots: in a subset divided by its speed, too, otherwise with
        /// penalties.
        load: f64,
        /// Number of ready targets of the service.
        candidates: usize,
        /// Number of targets that were examined.
        examined: usize,
        /// 0 for the first target, then one more for each target that did not answer.
        attempt: u8,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Its target, if it had one.
        target: Option<TargetNumber>,
        /// The cause.
        reason: ResetReason,
        /// What was ahead of it, if its service is beyond its capacity.
        state: Option<QueueState>,
    },
    /// A packet was dropped.
    Dropped {
        /// The flow.
        flow: FlowKey,
        /// The cookie that it carried.
        cookie: Cookie,
        /// The cause.
        reason: DropReason,
        /// What was ahead of it, if its service is beyond its capacity.
        state: Option<QueueState>,
    },
    /// An opening or a request on an open flow is held until its service has capacity for it.
    Held {
        /// The flow.
        flow: FlowKey,
        /// What is ahead of it, and itself.
        state: QueueState,
    },
    /// A step in the admission of a request.
    Admission(AdmissionStep),
    /// A flow whose opening this instance did not receive was bound to a target.
    LookedUp {
        /// The flow.
        flow: FlowKey,
        /// Its target.
        target: TargetNumber,
        /// Whether a peer named the target. Otherwise it is the one whose answer the client received
        /// last.
        told: bool,
    },
    /// Targets that had answered the opening of a flow were told which target it is open at.
    HalfOpenCorrected {
        /// The flow.
        flow: FlowKey,
        /// The target at which it is open.
        target: TargetNumber,
        /// Number of the other targets.
        others: usize,
    },
    /// The liveness of a target changed.
    Liveness(LivenessChange),
    /// A target started or stopped failing requests.
    Health(HealthChange),
    /// The evacuation of a zone began or ended.
    Evacuation(Evacuation),
    /// The requests in flight to a service started or stopped being limited.
    Limit(LimitChange),
}
