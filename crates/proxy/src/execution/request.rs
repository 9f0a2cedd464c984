//! What identifies a request, and how it ends.

use bytes::Bytes;
use tanager_core::{Millis, RequestId, ResultCode, RunState, ServiceId};
use tokio_util::sync::CancellationToken;

/// A request id within its service. Services draw ids independently, so one service's id never
/// yields another service's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// The service.
    pub service: ServiceId,
    /// The caller's id.
    pub request: RequestId,
}

/// A request datagram as the table sees it.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The request.
    pub key: RequestKey,
    /// Latest start.
    pub deadline: Millis,
    /// Whether the catalogue in force has the service. A request of another service is not
    /// recorded, so that made-up service numbers cannot fill the table.
    pub listed: bool,
    /// Whether only this incarnation may run it. Otherwise another copy may run elsewhere, so
    /// that it is never refused as "not run".
    pub exclusive: bool,
    /// Whether this instance takes no new requests.
    pub leaving: bool,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered {
        /// Distinguishes this run's answer.
        answer: u64,
        /// The answer.
        payload: Bytes,
    },
    /// It was refused or lost.
    Refused {
        /// The reason.
        code: ResultCode,
        /// Whether it may have run.
        state: RunState,
    },
}

impl RequestOutcome {
    /// Creates an [`RequestOutcome::Refused`].
    pub(super) const fn refused(code: ResultCode, state: RunState) -> Self {
        Self::Refused { code, state }
    }

    /// Returns the size of the answer.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Self::Answered { payload, .. } => payload.len(),
            Self::Refused { .. } => 0,
        }
    }
}

/// What is to be done with a request that arrives.
#[derive(Debug, Clone)]
pub enum Lookup {
    /// It is new and now recorded as in progress. The token is cancelled at the caller's wish.
    New(CancellationToken),
    /// It is in progress.
    Pending,
    /// It has ended, or is refused and recorded as such.
    Ended(RequestOutcome),
    /// It is refused without a record. The run state is unknown because another copy may run
    /// later or may have run and been forgotten.
    Unrecorded(ResultCode),
}
