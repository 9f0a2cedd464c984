//! The RPC interface between instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tanager_core::{Incarnation, InstanceName, RegionName, Revision, ZoneName};

use crate::admission::{Demand, Loan};
use crate::catalogue::{DocumentReply, DocumentRequest};
use crate::membership::{InstanceState, Member};
use crate::usage::UsageRow;

/// What an instance reports to a peer about itself and the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's name.
    pub name: InstanceName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// The sender's region.
    pub region: RegionName,
    /// Where peers reach the sender.
    pub address: SocketAddr,
    /// Whether the sender is leaving.
    pub state: InstanceState,
    /// The sender's catalogue revision.
    pub revision: Revision,
    /// Digest of the sender's catalogue; distinguishes two catalogues with the same revision.
    pub digest: [u8; 16],
    /// Revision of the sender's instance list.
    pub list: Revision,
    /// Number of usage rows that the sender has. A receiver that has far more sends a larger reply.
    pub rows: u32,
    /// Usage rows, changed ones first; about 200 bytes, or 1,200 for a receiver that has far fewer.
    pub usage: Vec<UsageRow>,
    /// Instances that are missing from the published list or differ from it; at most
    /// [`crate::membership::MEMBERS_LIMIT`].
    pub members: Vec<Member>,
    /// Rates that the sender lacks; at most [`crate::admission::ROWS_LIMIT`]. Empty in replies.
    pub demand: Vec<Demand>,
    /// Rates lent in answer to the demand of the heartbeat that this one replies to.
    pub loans: Vec<Loan>,
}

/// A caller's datagram relayed to the executor that its token names.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Relayed {
    /// The incarnation that the token names.
    pub executor: Incarnation,
    /// The caller, to which the answer is sent.
    pub caller: SocketAddr,
    /// The datagram as received.
    pub datagram: Vec<u8>,
}

/// Result of relaying a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayReply {
    /// The executor accepted it and answers the caller itself.
    Taken,
    /// Another incarnation runs at the executor's address.
    Replaced,
}

/// Calls between instances.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats.
    async fn exchange(heartbeat: Heartbeat) -> Heartbeat;
    /// Returns a published document if it is newer than the caller's.
    async fn document(request: DocumentRequest) -> Option<DocumentReply>;
    /// Relays a datagram to the executor named in its token.
    async fn relay(relayed: Relayed) -> RelayReply;
}
