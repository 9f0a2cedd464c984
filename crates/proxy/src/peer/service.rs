//! What instances tell and ask each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tanager_core::{Incarnation, InstanceName, RegionName, Revision, ZoneName};

use crate::admission::{Demand, Loan};
use crate::catalogue::{DocumentReply, DocumentRequest};
use crate::membership::{InstanceState, Member};
use crate::usage::UsageRow;

/// What an instance tells a peer about itself and the fleet.
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
    /// Digest of the sender's catalogue; tells two catalogues with one revision apart.
    pub digest: [u8; 16],
    /// Revision of the sender's instance list.
    pub list: Revision,
    /// Usage rows that the sender knows; a receiver that knows more fills its reply.
    pub rows: u32,
    /// Usage rows, changed ones first; some 200 bytes, or 1,200 for a receiver that has far fewer.
    pub usage: Vec<UsageRow>,
    /// Instances that the published list lacks or shows differently; at most
    /// [`crate::membership::MEMBERS_LIMIT`].
    pub members: Vec<Member>,
    /// Rates that the sender lacks; at most [`crate::admission::ROWS_LIMIT`]. Empty in replies.
    pub demand: Vec<Demand>,
    /// Rates lent in answer to the demand of the heartbeat that this one replies to.
    pub loans: Vec<Loan>,
}

/// A caller's datagram passed on to the executor that its token names.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Relayed {
    /// The incarnation that the token names.
    pub executor: Incarnation,
    /// Where the answer goes.
    pub caller: SocketAddr,
    /// The datagram as received.
    pub datagram: Vec<u8>,
}

/// What became of a relayed datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayReply {
    /// The executor took it and answers the caller itself.
    Taken,
    /// Another incarnation lives at the executor's address.
    Replaced,
}

/// Calls between instances.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats.
    async fn exchange(heartbeat: Heartbeat) -> Heartbeat;
    /// Returns a published document if it is newer than the caller's.
    async fn document(request: DocumentRequest) -> Option<DocumentReply>;
    /// Hands a datagram to the executor named in its token.
    async fn relay(relayed: Relayed) -> RelayReply;
}
