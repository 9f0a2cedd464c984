//! Converts validated datagrams to the generated types.

use tanager_core::RunState;

use super::{
    Answer, Datagram, DatagramBody, Deadline, FlowKind, Keepalive, Open, Opened, PROTOCOL_VERSION,
    Refusal, Request,
};
use crate::Binding;
use crate::field::id_bytes;
use crate::raw::caller as raw;

impl From<Datagram> for raw::Datagram {
    fn from(datagram: Datagram) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            service: datagram.service.get(),
            body: Some(datagram.body.into()),
        }
    }
}

impl From<DatagramBody> for raw::datagram::Body {
    fn from(body: DatagramBody) -> Self {
        match body {
            DatagramBody::Open(m) => Self::Open(m.into()),
            DatagramBody::Keepalive(m) => Self::Keepalive(m.into()),
            DatagramBody::Close(m) => Self::Close(raw::Close {
                flow: id_bytes(m.flow.as_bytes()),
                token: m.token,
            }),
            DatagramBody::Request(m) => Self::Request(m.into()),
            DatagramBody::Cancel(m) => Self::Cancel(raw::Cancel {
                request: id_bytes(m.request.as_bytes()),
                token: m.token,
            }),
            DatagramBody::Opened(m) => Self::Opened(m.into()),
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

impl From<Keepalive> for raw::Keepalive {
    fn from(m: Keepalive) -> Self {
        Self {
            flow: id_bytes(m.flow.as_bytes()),
            token: m.token,
            number: m.number,
            acked: m.acked,
            missed: m.missed,
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

impl From<Opened> for raw::Opened {
    fn from(m: Opened) -> Self {
        Self {
            flow: id_bytes(m.flow.as_bytes()),
            token: m.token,
            issued_ms: m.issued.get(),
            generation: m.generation.get(),
            binding: m.binding.get(),
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
