//! Datagrams between callers and instances.

use bytes::Bytes;
use prost::Message as _;
use tanager_core::{FlowId, Generation, Millis, RequestId, ResultCode, RunState, ServiceId};

use crate::raw::caller as raw;
use crate::{Binding, Error, FragmentMap, Result};

mod from_raw;
mod to_raw;

/// The protocol version of every datagram.
pub const PROTOCOL_VERSION: u32 = 1;

/// The largest datagram in bytes. It leaves room for IP and UDP headers within a 1,500-byte link.
pub const DATAGRAM_LIMIT: usize = 1_400;

/// A validated datagram between a caller and an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The service that the datagram belongs to.
    pub service: ServiceId,
    /// The message.
    pub body: DatagramBody,
}

/// The kinds of datagrams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatagramBody {
    /// Opens a flow.
    Open(Open),
    /// Keeps a feed open.
    Keepalive(Keepalive),
    /// Ends a flow.
    Close(Close),
    /// Submits a request.
    Request(Request),
    /// Cancels a request.
    Cancel(Cancel),
    /// Confirms that a flow is open.
    Opened(Opened),
    /// Confirms a keepalive.
    KeepaliveAck(KeepaliveAck),
    /// Carries feed data.
    Update(Update),
    /// Informs the caller that a flow was reset.
    Reset(Reset),
    /// Carries one fragment of an answer.
    Answer(Answer),
    /// Reports that a request ended without an answer.
    Refusal(Refusal),
}

/// The purpose of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FlowKind {
    /// A stream of updates from one target.
    Feed,
    /// Requests that one executor dispatches.
    Session,
}

/// Opens a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Open {
    /// Generated at random by the caller.
    pub flow: FlowId,
    /// Feed or session.
    pub kind: FlowKind,
    /// First sequence number to send; 0 starts at the newest.
    pub resume_from: u64,
}

/// Keeps a feed open and acknowledges updates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keepalive {
    /// The flow.
    pub flow: FlowId,
    /// The signed token.
    pub token: Bytes,
    /// Increases with each keepalive of the flow.
    pub number: u64,
    /// Highest sequence number received without a gap.
    pub acked: u64,
    /// Number of consecutive unanswered keepalives before this one.
    pub missed: u32,
}

/// Ends a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Close {
    /// The flow.
    pub flow: FlowId,
    /// The signed token.
    pub token: Bytes,
}

/// The latest time at which a request may be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deadline {
    /// A reading of the clock of the executor named in the token.
    Executor(Millis),
    /// Milliseconds from arrival; used only without a token.
    Budget(u32),
}

/// Submits a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Generated at random by the caller; a retransmission carries the same id.
    pub request: RequestId,
    /// The signed token; absent until an executor is known.
    ///
    /// Invariant: present if the deadline is [`Deadline::Executor`], absent otherwise.
    pub token: Option<Bytes>,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// The latest start. No copy of a request may carry a later deadline than the first: the
    /// executor evicts an id some time after the latest deadline that it has seen, and would then
    /// run the copy as a new request.
    pub deadline: Deadline,
    /// The answer whose fragments `have` lists; 0 if none has arrived.
    pub answer: u64,
    /// Fragments already received.
    pub have: FragmentMap,
    /// The payload for the target.
    pub body: Bytes,
}

/// Cancels a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cancel {
    /// The request.
    pub request: RequestId,
    /// The signed token that names its executor.
    pub token: Bytes,
}

/// Confirms that a flow is open and carries its token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opened {
    /// The flow.
    pub flow: FlowId,
    /// The signed token.
    pub token: Bytes,
    /// Reading of the executor's clock when the token was issued.
    pub issued: Millis,
    /// Number of times the flow has been moved to another target.
    pub generation: Generation,
    /// Identifies the placement.
    pub binding: Binding,
}

/// Confirms a keepalive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeepaliveAck {
    /// The flow.
    pub flow: FlowId,
    /// The number of the keepalive.
    pub number: u64,
}

/// Carries feed data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The flow.
    pub flow: FlowId,
    /// Position in the feed; the same for all targets of the service.
    pub sequence: u64,
    /// The data.
    pub payload: Bytes,
}

/// Informs the caller that a flow was reset; the caller should open a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reset {
    /// The flow.
    pub flow: FlowId,
    /// The reason.
    pub code: ResultCode,
    /// The placement that ended; absent when an `Open` is refused. The caller must ignore the reset
    /// of a placement that it does not use: copies of an `Open` or a move may have created it.
    pub binding: Option<Binding>,
}

/// Carries one fragment of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The request answered.
    pub request: RequestId,
    /// Identifies the answer; differs between two runs of one request. Never 0.
    pub answer: u64,
    /// Position of the fragment, from 0.
    ///
    /// Invariant: less than `count`.
    pub index: u32,
    /// Number of fragments of the answer, at least 1.
    pub count: u32,
    /// The signed token that names the executor keeping the answer.
    pub token: Bytes,
    /// The bytes of the fragment.
    pub payload: Bytes,
}

/// Reports that a request ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub request: RequestId,
    /// The reason.
    pub code: ResultCode,
    /// Whether the request may have run.
    pub state: RunState,
}

impl Datagram {
    /// Decodes and validates a received datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is too large, has another protocol version, or does not
    /// decode to complete, valid fields.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        Error::check_size(bytes.len(), DATAGRAM_LIMIT)?;
        raw::Datagram::decode(bytes)
            .map_err(|_| Error::malformed("datagram"))?
            .try_into()
    }

    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if it would exceed [`DATAGRAM_LIMIT`].
    pub fn encode(self) -> Result<Vec<u8>> {
        let bytes = raw::Datagram::from(self).encode_to_vec();
        Error::check_size(bytes.len(), DATAGRAM_LIMIT)?;
        Ok(bytes)
    }
}
