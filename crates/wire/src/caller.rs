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

/// A checked datagram between a caller and a balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The service that the datagram belongs to.
    pub service: ServiceId,
    /// What it says.
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
    /// Asks for work.
    Request(Request),
    /// Asks to drop a request.
    Cancel(Cancel),
    /// Confirms a flow.
    Opened(Opened),
    /// Confirms a keepalive.
    KeepaliveAck(KeepaliveAck),
    /// Carries feed data.
    Update(Update),
    /// Ends a flow on behalf of the system.
    Reset(Reset),
    /// Carries one fragment of an answer.
    Answer(Answer),
    /// Says that a request has no answer.
    Refusal(Refusal),
}

/// What a flow is opened for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FlowKind {
    /// A stream of updates from one target.
    Feed,
    /// Requests under one executor.
    Session,
}

/// Opens a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Open {
    /// Drawn by the caller.
    pub flow: FlowId,
    /// Feed or session.
    pub kind: FlowKind,
    /// First feed sequence number wanted; 0 starts at the newest.
    pub resume_from: u64,
}

/// Keeps a feed open and acknowledges updates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keepalive {
    /// The flow.
    pub flow: FlowId,
    /// The signed token.
    pub token: Bytes,
    /// Counts up with each keepalive of the flow.
    pub number: u64,
    /// Highest sequence number received without a gap.
    pub acked: u64,
    /// Unanswered keepalives in a row before this one.
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

/// When a request must have been started at the latest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deadline {
    /// On the clock of the executor named in the token.
    Executor(Millis),
    /// In milliseconds from arrival; only without a token.
    Budget(u32),
}

/// Asks for work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Drawn by the caller; repeated when the datagram is sent again.
    pub request: RequestId,
    /// The signed token; absent until an executor is known.
    ///
    /// Invariant: present if the deadline is [`Deadline::Executor`], absent otherwise.
    pub token: Option<Bytes>,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Latest start. No copy of a request may have a later one than the first: the executor forgets
    /// an id some time after the latest deadline seen, and would then run the copy.
    pub deadline: Deadline,
    /// The answer whose fragments `have` lists; 0 if none has arrived.
    pub answer: u64,
    /// Fragments already received.
    pub have: FragmentMap,
    /// The payload for the target.
    pub body: Bytes,
}

/// Asks to drop a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cancel {
    /// The request.
    pub request: RequestId,
    /// The signed token that names its executor.
    pub token: Bytes,
}

/// Confirms a flow and hands out its token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opened {
    /// The flow.
    pub flow: FlowId,
    /// The signed token.
    pub token: Bytes,
    /// Reading of the executor's clock when the token was issued.
    pub issued: Millis,
    /// Counts the moves of the flow.
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

/// Ends a flow on behalf of the system; the caller should open a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reset {
    /// The flow.
    pub flow: FlowId,
    /// The reason.
    pub code: ResultCode,
    /// The placement that ended; absent when an `Open` is refused. The reset of a placement that
    /// the caller does not use must be ignored: copies of an `Open` or a move may have created it.
    pub binding: Option<Binding>,
}

/// Carries one fragment of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The request answered.
    pub request: RequestId,
    /// Differs between two runs of one request. Never 0.
    pub answer: u64,
    /// Position of the fragment, from 0.
    ///
    /// Invariant: less than `count`.
    pub index: u32,
    /// Number of fragments of the answer, at least 1.
    pub count: u32,
    /// The signed token that names the executor keeping the answer.
    pub token: Bytes,
    /// The fragment.
    pub payload: Bytes,
}

/// Says that a request has no answer.
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
    /// Decodes and checks a received datagram.
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
