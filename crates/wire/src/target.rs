//! Frames between instances and targets.

use bytes::Bytes;
use prost::Message as _;
use tanager_core::{FlowId, Incarnation, Millis, ResultCode, ServiceId, TargetId};

use crate::field::{flow_id, id_bytes, result_code};
use crate::raw::target as raw;
use crate::{Error, Result};

/// A frame from an instance to a target. The generated type is used without a validated
/// counterpart: this system only encodes these frames, and targets are not part of it.
pub use raw::to_target::Body as ToTarget;

/// The load that a target reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests being run.
    pub running: u32,
    /// Requests accepted but not started.
    pub queued: u32,
    /// Open feeds.
    pub flows: u32,
    /// Whether the target is draining.
    pub leaving: bool,
    /// Reading of the target's monotonic clock.
    pub clock: Millis,
}

/// A validated frame from a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FromTarget {
    /// Identifies the target at the start of a connection.
    HelloAck {
        /// The service that it serves.
        service: ServiceId,
        /// Its number.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its load.
        load: Load,
    },
    /// Confirms that the feed is open.
    FlowOpened {
        /// The flow.
        flow: FlowId,
        /// The signed route.
        route: Bytes,
        /// The target's load.
        load: Load,
    },
    /// The target refused to open the feed.
    FlowRefused {
        /// The flow.
        flow: FlowId,
        /// The signed route.
        route: Bytes,
        /// The reason.
        code: ResultCode,
        /// The target's load.
        load: Load,
    },
    /// Confirms a keepalive.
    FlowKeepaliveAck {
        /// The flow.
        flow: FlowId,
        /// The signed route.
        route: Bytes,
        /// The keepalive's number.
        number: u64,
        /// Time since the previous confirmation of this flow, in milliseconds.
        held_ms: u64,
        /// The target's load.
        load: Load,
    },
    /// Carries feed data.
    FlowUpdate {
        /// The flow.
        flow: FlowId,
        /// The signed route.
        route: Bytes,
        /// Position in the feed.
        sequence: u64,
        /// The data.
        payload: Bytes,
    },
    /// The target has ended the flow or does not know it.
    FlowReset {
        /// The flow.
        flow: FlowId,
        /// The signed route.
        route: Bytes,
        /// The reason.
        code: ResultCode,
    },
    /// The run has ended.
    RunDone {
        /// The run.
        run: u64,
        /// Whether the target failed while running it.
        failed: bool,
        /// The answer.
        payload: Bytes,
        /// The target's load.
        load: Load,
    },
    /// The run was not started and never will be.
    RunShed {
        /// The run.
        run: u64,
        /// The reason.
        code: ResultCode,
        /// The target's load.
        load: Load,
    },
    /// Answers a ping.
    Pong {
        /// The ping's number.
        number: u64,
        /// The target's load.
        load: Load,
    },
}

impl FromTarget {
    /// Decodes and validates a frame without its length prefix.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the frame or one of its fields is not valid.
    pub fn decode(frame: Bytes) -> Result<Self> {
        let raw = raw::FromTarget::decode(frame).map_err(|_| Error::malformed("target frame"))?;
        raw.body
            .ok_or(Error::malformed("target frame body"))?
            .try_into()
    }

    /// Returns the load report that the frame carries, if any.
    #[must_use]
    pub const fn load(&self) -> Option<&Load> {
        match self {
            Self::HelloAck { load, .. }
            | Self::FlowOpened { load, .. }
            | Self::FlowRefused { load, .. }
            | Self::FlowKeepaliveAck { load, .. }
            | Self::RunDone { load, .. }
            | Self::RunShed { load, .. }
            | Self::Pong { load, .. } => Some(load),
            Self::FlowUpdate { .. } | Self::FlowReset { .. } => None,
        }
    }
}

impl TryFrom<Option<raw::Load>> for Load {
    type Error = Error;

    fn try_from(raw: Option<raw::Load>) -> Result<Self> {
        let raw = raw.ok_or(Error::malformed("load"))?;
        Ok(Self {
            running: raw.running,
            queued: raw.queued,
            flows: raw.flows,
            leaving: raw.leaving,
            clock: Millis::new(raw.clock_ms),
        })
    }
}

impl From<Load> for raw::Load {
    fn from(load: Load) -> Self {
        Self {
            running: load.running,
            queued: load.queued,
            flows: load.flows,
            leaving: load.leaving,
            clock_ms: load.clock.get(),
        }
    }
}

impl TryFrom<raw::from_target::Body> for FromTarget {
    type Error = Error;

    fn try_from(body: raw::from_target::Body) -> Result<Self> {
        use raw::from_target::Body as Raw;
        Ok(match body {
            Raw::HelloAck(m) => Self::HelloAck {
                service: ServiceId::new(m.service),
                target: TargetId::new(m.target),
                incarnation: Incarnation::new(m.incarnation),
                load: m.load.try_into()?,
            },
            Raw::FlowOpened(m) => Self::FlowOpened {
                flow: flow_id(&m.flow)?,
                route: m.route,
                load: m.load.try_into()?,
            },
            Raw::FlowRefused(m) => Self::FlowRefused {
                flow: flow_id(&m.flow)?,
                route: m.route,
                code: result_code(m.code)?,
                load: m.load.try_into()?,
            },
            Raw::FlowKeepaliveAck(m) => Self::FlowKeepaliveAck {
                flow: flow_id(&m.flow)?,
                route: m.route,
                number: m.number,
                held_ms: m.held_ms,
                load: m.load.try_into()?,
            },
            Raw::FlowUpdate(m) => Self::FlowUpdate {
                flow: flow_id(&m.flow)?,
                route: m.route,
                sequence: m.sequence,
                payload: m.payload,
            },
            Raw::FlowReset(m) => Self::FlowReset {
                flow: flow_id(&m.flow)?,
                route: m.route,
                code: result_code(m.code)?,
            },
            Raw::RunDone(m) => Self::RunDone {
                run: m.run,
                failed: m.failed,
                payload: m.payload,
                load: m.load.try_into()?,
            },
            Raw::RunShed(m) => Self::RunShed {
                run: m.run,
                code: result_code(m.code)?,
                load: m.load.try_into()?,
            },
            Raw::Pong(m) => Self::Pong {
                number: m.number,
                load: m.load.try_into()?,
            },
        })
    }
}

impl From<FromTarget> for raw::FromTarget {
    fn from(frame: FromTarget) -> Self {
        use raw::from_target::Body as Raw;
        let flow_bytes = |flow: FlowId| id_bytes(flow.as_bytes());
        let body = match frame {
            FromTarget::HelloAck {
                service,
                target,
                incarnation,
                load,
            } => Raw::HelloAck(raw::HelloAck {
                service: service.get(),
                target: target.get(),
                incarnation: incarnation.get(),
                load: Some(load.into()),
            }),
            FromTarget::FlowOpened { flow, route, load } => Raw::FlowOpened(raw::FlowOpened {
                flow: flow_bytes(flow),
                route,
                load: Some(load.into()),
            }),
            FromTarget::FlowRefused {
                flow,
                route,
                code,
                load,
            } => Raw::FlowRefused(raw::FlowRefused {
                flow: flow_bytes(flow),
                route,
                code: u32::from(code.number()),
                load: Some(load.into()),
            }),
            FromTarget::FlowKeepaliveAck {
                flow,
                route,
                number,
                held_ms,
                load,
            } => Raw::FlowKeepaliveAck(raw::FlowKeepaliveAck {
                flow: flow_bytes(flow),
                route,
                number,
                held_ms,
                load: Some(load.into()),
            }),
            FromTarget::FlowUpdate {
                flow,
                route,
                sequence,
                payload,
            } => Raw::FlowUpdate(raw::FlowUpdate {
                flow: flow_bytes(flow),
                route,
                sequence,
                payload,
            }),
            FromTarget::FlowReset { flow, route, code } => Raw::FlowReset(raw::FlowReset {
                flow: flow_bytes(flow),
                route,
                code: u32::from(code.number()),
            }),
            FromTarget::RunDone {
                run,
                failed,
                payload,
                load,
            } => Raw::RunDone(raw::RunDone {
                run,
                failed,
                payload,
                load: Some(load.into()),
            }),
            FromTarget::RunShed { run, code, load } => Raw::RunShed(raw::RunShed {
                run,
                code: u32::from(code.number()),
                load: Some(load.into()),
            }),
            FromTarget::Pong { number, load } => Raw::Pong(raw::Pong {
                number,
                load: Some(load.into()),
            }),
        };
        Self { body: Some(body) }
    }
}
