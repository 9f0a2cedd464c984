use bytes::Bytes;
use prost::Message as _;
use tanager_core::{FlowId, Generation, Millis, RequestId, ResultCode, RunState, ServiceId};

use crate::raw::caller as raw;
use crate::{Binding, Error, FragmentMap, Result};

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
    /// The sealed token.
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
    /// The sealed token.
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
    /// The sealed token; absent until an executor is known.
    ///
    /// Invariant: present if the deadline is [`Deadline::Executor`], absent otherwise.
    pub token: Option<Bytes>,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Latest start.
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
    /// The sealed token that names its executor.
    pub token: Bytes,
}

/// Confirms a flow and hands out its token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opened {
    /// The flow.
    pub flow: FlowId,
    /// The sealed token.
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
    /// The sealed token that names the executor keeping the answer.
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
        if bytes.len() > DATAGRAM_LIMIT {
            return Err(Error::TooLarge {
                size: bytes.len(),
                limit: DATAGRAM_LIMIT,
            });
        }
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
        if bytes.len() > DATAGRAM_LIMIT {
            return Err(Error::TooLarge {
                size: bytes.len(),
                limit: DATAGRAM_LIMIT,
            });
        }
        Ok(bytes)
    }
}

impl TryFrom<raw::Datagram> for Datagram {
    type Error = Error;

    fn try_from(raw: raw::Datagram) -> Result<Self> {
        if raw.version != PROTOCOL_VERSION {
            return Err(Error::Version {
                version: raw.version,
            });
        }
        let body = raw
            .body
            .ok_or(Error::malformed("datagram body"))?
            .try_into()?;
        Ok(Self {
            service: ServiceId::new(raw.service),
            body,
        })
    }
}

impl From<Datagram> for raw::Datagram {
    fn from(datagram: Datagram) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            service: datagram.service.get(),
            body: Some(datagram.body.into()),
        }
    }
}

pub(crate) fn flow_id(bytes: &Bytes) -> Result<FlowId> {
    FlowId::try_from(bytes.as_ref()).map_err(|_| Error::malformed("flow id"))
}

pub(crate) fn request_id(bytes: &Bytes) -> Result<RequestId> {
    RequestId::try_from(bytes.as_ref()).map_err(|_| Error::malformed("request id"))
}

pub(crate) fn result_code(number: u32) -> Result<ResultCode> {
    let number = u16::try_from(number).ok();
    number
        .and_then(ResultCode::from_number)
        .ok_or(Error::malformed("result code"))
}

pub(crate) fn id_bytes(bytes: &[u8; 16]) -> Bytes {
    Bytes::copy_from_slice(bytes)
}

impl TryFrom<raw::datagram::Body> for DatagramBody {
    type Error = Error;

    fn try_from(body: raw::datagram::Body) -> Result<Self> {
        use raw::datagram::Body as Raw;
        Ok(match body {
            Raw::Open(m) => Self::Open(m.try_into()?),
            Raw::Keepalive(m) => Self::Keepalive(Keepalive {
                flow: flow_id(&m.flow)?,
                token: m.token,
                number: m.number,
                acked: m.acked,
                missed: m.missed,
            }),
            Raw::Close(m) => Self::Close(Close {
                flow: flow_id(&m.flow)?,
                token: m.token,
            }),
            Raw::Request(m) => Self::Request(m.try_into()?),
            Raw::Cancel(m) => Self::Cancel(Cancel {
                request: request_id(&m.request)?,
                token: m.token,
            }),
            Raw::Opened(m) => Self::Opened(Opened {
                flow: flow_id(&m.flow)?,
                token: m.token,
                issued: Millis::new(m.issued_ms),
                generation: Generation::new(m.generation),
                binding: Binding::new(m.binding),
            }),
            Raw::KeepaliveAck(m) => Self::KeepaliveAck(KeepaliveAck {
                flow: flow_id(&m.flow)?,
                number: m.number,
            }),
            Raw::Update(m) => Self::Update(Update {
                flow: flow_id(&m.flow)?,
                sequence: m.sequence,
                payload: m.payload,
            }),
            Raw::Reset(m) => Self::Reset(Reset {
                flow: flow_id(&m.flow)?,
                code: result_code(m.code)?,
                binding: (m.binding > 0).then_some(Binding::new(m.binding)),
            }),
            Raw::Answer(m) => Self::Answer(m.try_into()?),
            Raw::Refusal(m) => Self::Refusal(m.try_into()?),
        })
    }
}

impl TryFrom<raw::Open> for Open {
    type Error = Error;

    fn try_from(m: raw::Open) -> Result<Self> {
        let kind = match m.kind() {
            raw::FlowKind::Feed => FlowKind::Feed,
            raw::FlowKind::Session => FlowKind::Session,
            raw::FlowKind::Unspecified => return Err(Error::malformed("flow kind")),
        };
        Ok(Self {
            flow: flow_id(&m.flow)?,
            kind,
            resume_from: m.resume_from,
        })
    }
}

impl TryFrom<raw::Request> for Request {
    type Error = Error;

    fn try_from(m: raw::Request) -> Result<Self> {
        let token = (!m.token.is_empty()).then_some(m.token);
        let deadline = match (&token, m.deadline_ms, m.budget_ms) {
            (Some(_), deadline, 0) if deadline > 0 => Deadline::Executor(Millis::new(deadline)),
            (None, 0, budget) if budget > 0 => Deadline::Budget(budget),
            _ => return Err(Error::malformed("request deadline")),
        };
        Ok(Self {
            request: request_id(&m.request)?,
            token,
            repeatable: m.repeatable,
            deadline,
            answer: m.answer,
            have: FragmentMap::from_bytes(&m.have),
            body: m.body,
        })
    }
}

impl TryFrom<raw::Answer> for Answer {
    type Error = Error;

    fn try_from(m: raw::Answer) -> Result<Self> {
        if m.index >= m.count || m.answer == 0 {
            return Err(Error::malformed("answer fragment"));
        }
        Ok(Self {
            request: request_id(&m.request)?,
            answer: m.answer,
            index: m.index,
            count: m.count,
            token: m.token,
            payload: m.payload,
        })
    }
}

impl TryFrom<raw::Refusal> for Refusal {
    type Error = Error;

    fn try_from(m: raw::Refusal) -> Result<Self> {
        let state = match m.run_state() {
            raw::RunState::NotRun => RunState::NotRun,
            raw::RunState::Unknown => RunState::Unknown,
            raw::RunState::Unspecified => return Err(Error::malformed("run state")),
        };
        Ok(Self {
            request: request_id(&m.request)?,
            code: result_code(m.code)?,
            state,
        })
    }
}

impl From<DatagramBody> for raw::datagram::Body {
    fn from(body: DatagramBody) -> Self {
        match body {
            DatagramBody::Open(m) => Self::Open(m.into()),
            DatagramBody::Keepalive(m) => Self::Keepalive(raw::Keepalive {
                flow: id_bytes(m.flow.as_bytes()),
                token: m.token,
                number: m.number,
                acked: m.acked,
                missed: m.missed,
            }),
            DatagramBody::Close(m) => Self::Close(raw::Close {
                flow: id_bytes(m.flow.as_bytes()),
                token: m.token,
            }),
            DatagramBody::Request(m) => Self::Request(m.into()),
            DatagramBody::Cancel(m) => Self::Cancel(raw::Cancel {
                request: id_bytes(m.request.as_bytes()),
                token: m.token,
            }),
            DatagramBody::Opened(m) => Self::Opened(raw::Opened {
                flow: id_bytes(m.flow.as_bytes()),
                token: m.token,
                issued_ms: m.issued.get(),
                generation: m.generation.get(),
                binding: m.binding.get(),
            }),
            DatagramBody::KeepaliveAck(m) => Self::KeepaliveAck(raw::KeepaliveAck {
                flow: id_bytes(m.flow.as_bytes()),
                number: m.number,
            }),
            DatagramBody::Update(m) => Self::Update(raw::Update {
                flow: id_bytes(m.flow.as_bytes()),
                sequence: m.sequence,
                payload: m.payload,
            }),
            DatagramBody::Reset(m) => Self::Reset(raw::Reset {
                flow: id_bytes(m.flow.as_bytes()),
                code: u32::from(m.code.number()),
                binding: m.binding.map_or(0, Binding::get),
            }),
            DatagramBody::Answer(m) => Self::Answer(m.into()),
            DatagramBody::Refusal(m) => Self::Refusal(m.into()),
        }
    }
}

impl From<Open> for raw::Open {
    fn from(m: Open) -> Self {
        let kind = match m.kind {
            FlowKind::Feed => raw::FlowKind::Feed,
            FlowKind::Session => raw::FlowKind::Session,
        };
        Self {
            flow: id_bytes(m.flow.as_bytes()),
            kind: kind.into(),
            resume_from: m.resume_from,
        }
    }
}

impl From<Request> for raw::Request {
    fn from(m: Request) -> Self {
        let (deadline_ms, budget_ms) = match m.deadline {
            Deadline::Executor(deadline) => (deadline.get(), 0),
            Deadline::Budget(budget) => (0, budget),
        };
        Self {
            request: id_bytes(m.request.as_bytes()),
            token: m.token.unwrap_or_default(),
            repeatable: m.repeatable,
            deadline_ms,
            budget_ms,
            answer: m.answer,
            have: m.have.to_bytes(),
            body: m.body,
        }
    }
}

impl From<Answer> for raw::Answer {
    fn from(m: Answer) -> Self {
        Self {
            request: id_bytes(m.request.as_bytes()),
            answer: m.answer,
            index: m.index,
            count: m.count,
            token: m.token,
            payload: m.payload,
        }
    }
}

impl From<Refusal> for raw::Refusal {
    fn from(m: Refusal) -> Self {
        let state = match m.state {
            RunState::NotRun => raw::RunState::NotRun,
            RunState::Unknown => raw::RunState::Unknown,
        };
        Self {
            request: id_bytes(m.request.as_bytes()),
            code: u32::from(m.code.number()),
            run_state: state.into(),
        }
    }
}
