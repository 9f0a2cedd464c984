//! Actions that the network layer carries out, and events for the log.

use std::fmt;
use std::net::SocketAddrV4;

use tanager_core::PublishedService;

use crate::{Cookie, Evacuation, FlowKey, HealthChange, LimitChange, LivenessChange, TargetNumber};

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
    /// Do nothing: the packet is held until a peer has told what it knows of the flow, or a short time
    /// has passed.
    LookUp,
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
    /// It repeats an opening to a cold target whose rate does not permit it now.
    ColdTarget,
    /// It is an opening that was sent to a target of a zone that is now evacuated, and no other
    /// target can take it.
    Evacuated,
    /// It is an opening that waited while this instance was paused, and its flow has been opened, or is
    /// being opened through another instance.
    Moved,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Forged => "forged",
            Self::NoCookie => "no-cookie",
            Self::UnknownTarget => "unknown-target",
            Self::NoRoutes => "no-routes",
            Self::Overloaded => "overloaded",
            Self::ColdTarget => "cold-target",
            Self::Evacuated => "evacuated",
            Self::Moved => "moved",
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
    /// All targets that could take the flow are cold, and their rate does not permit it now.
    ColdTargets,
}

impl fmt::Display for ResetReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoute => "no-route",
            Self::NoTarget => "no-target",
            Self::TargetGone => "target-gone",
            Self::TargetLost => "target-lost",
            Self::Overloaded => "overloaded",
            Self::ColdTargets => "cold-targets",
        })
    }
}

/// Where the target of a flow that was looked up comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupSource {
    /// A peer named it: it has sent data of the flow.
    Confirmed,
    /// A peer named it and has sent packets of the flow to it.
    Unconfirmed,
    /// No peer answered in time, so the most likely target was assumed.
    Assumed,
}

impl fmt::Display for LookupSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Confirmed => "confirmed",
            Self::Unconfirmed => "unconfirmed",
            Self::Assumed => "assumed",
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
        /// Number of further ones that are cold and whose rate permitted no opening.
        withheld: usize,
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
    },
    /// A packet was dropped.
    Dropped {
        /// The flow.
        flow: FlowKey,
        /// The cookie that it carried.
        cookie: Cookie,
        /// The cause.
        reason: DropReason,
    },
    /// A flow whose opening this instance did not receive was bound to a target.
    LookedUp {
        /// The flow.
        flow: FlowKey,
        /// Its target.
        target: TargetNumber,
        /// Where the target comes from.
        source: LookupSource,
    },
    /// A peer's question for the target of a flow was answered.
    LookupAnswered {
        /// The flow.
        flow: FlowKey,
        /// The target that was named.
        target: TargetNumber,
        /// Whether the target has sent data of the flow.
        confirmed: bool,
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
    /// This instance started or stopped holding grants to open flows to cold targets with a rate.
    Grants {
        /// Number of cold targets that it may open flows to.
        granted: usize,
        /// Number of all cold targets of its zone with a rate.
        cold: usize,
    },
    /// The evacuation of a zone began or ended.
    Evacuation(Evacuation),
    /// The requests in flight to a service started or stopped being limited.
    Limit(LimitChange),
}
