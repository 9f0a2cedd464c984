//! Validates received datagrams and converts them from the generated types.

use tanager_core::{Generation, Millis, RunState, ServiceId};

use super::{
    Answer, Cancel, Close, Datagram, DatagramBody, Deadline, FlowKind, Keepalive, KeepaliveAck,
    Open, Opened, PROTOCOL_VERSION, Refusal, Request, Reset, Update,
};
use crate::field::{flow_id, request_id, result_code};
use crate::raw::caller as raw;
use crate::{Binding, Error, FragmentMap, Result};

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

impl TryFrom<raw::datagram::Body> for DatagramBody {
    type Error = Error;

    fn try_from(body: raw::datagram::Body) -> Result<Self> {
        use raw::datagram::Body as Raw;
        Ok(match body {
            Raw::Open(m) => Self::Open(m.try_into()?),
            Raw::Keepalive(m) => Self::Keepalive(m.try_into()?),
            Raw::Close(m) => Self::Close(Close {
                flow: flow_id(&m.flow)?,
                token: m.token,
            }),
            Raw::Request(m) => Self::Request(m.try_into()?),
            Raw::Cancel(m) => Self::Cancel(Cancel {
                request: request_id(&m.request)?,
                token: m.token,
            }),
            Raw::Opened(m) => Self::Opened(m.try_into()?),
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

impl TryFrom<raw::Keepalive> for Keepalive {
    type Error = Error;

    fn try_from(m: raw::Keepalive) -> Result<Self> {
        Ok(Self {
            flow: flow_id(&m.flow)?,
            token: m.token,
            number: m.number,
            acked: m.acked,
            missed: m.missed,
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

impl TryFrom<raw::Opened> for Opened {
    type Error = Error;

    fn try_from(m: raw::Opened) -> Result<Self> {
        Ok(Self {
            flow: flow_id(&m.flow)?,
            token: m.token,
            issued: Millis::new(m.issued_ms),
            generation: Generation::new(m.generation),
            binding: Binding::new(m.binding),
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
