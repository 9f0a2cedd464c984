//! Messages by which instances tell each other the target of a single flow.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{Cookie, FlowKey, TargetNumber};

/// What an instance asks or tells about a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// The sender has a packet of the flow and does not know its target, or whether another instance
    /// has placed the flow.
    Query {
        /// The flow.
        flow: FlowKey,
        /// The cookie of the packet, which names a target that answered an opening of the flow;
        /// [`Cookie::NONE`] if the packet is an opening that may be old.
        cookie: Cookie,
    },
    /// The sender forwards the flow to this target.
    Binding {
        /// The flow.
        flow: FlowKey,
        /// Its target.
        target: TargetNumber,
        /// Whether the target has sent data of the flow. Otherwise it may be another one that answered
        /// the opening.
        confirmed: bool,
    },
    /// The answer to a query for an opening: the client continues through the sender. Older builds
    /// neither ask for it nor decode it.
    Known {
        /// The flow.
        flow: FlowKey,
    },
}

/// A message about a flow, as sent between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowDatagram {
    /// The instance that answers are sent to.
    pub reply_to: SocketAddrV4,
    /// Whether the receiver, as the hub of its zone, sends it on to the other instances there, which
    /// the sender may not know.
    pub relay: bool,
    /// The message.
    pub message: FlowMessage,
}
