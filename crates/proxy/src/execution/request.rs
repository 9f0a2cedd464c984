//! Request keys, and the results of looking a request up and of running it.

use bytes::Bytes;
use tanager_core::{Millis, RequestId, ResultCode, RunState, ServiceId};
use tokio_util::sync::CancellationToken;

/// A request id within its service. Ids are drawn independently for each service; with the service
/// in the key, a request never gets the answer of another service's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// The service.
    pub service: ServiceId,
    /// The caller's id.
    pub request: RequestId,
}

/// The properties of a received request that the request table needs.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The request.
    pub key: RequestKey,
    /// Latest time at which a target may start it.
    pub deadline: Millis,
    /// Whether the catalogue in force has the service. A request of another service is not
    /// recorded, so that made-up service numbers cannot fill the table.
    pub listed: bool,
    /// Whether only this incarnation may run it. Otherwise another instance may run a copy, so it
    /// is never refused as "not run".
    pub exclusive: bool,
    /// Whether this instance is leaving and accepts no new requests.
    pub leaving: bool,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered {
        /// Distinguishes this run's answer from those of other runs.
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
    /// Creates a [`RequestOutcome::Refused`].
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

/// Result of looking up a received request.
#[derive(Debug, Clone)]
pub enum Lookup {
    /// It is new and now recorded as in progress. The token is cancelled when the caller cancels
    /// it.
    New(CancellationToken),
    /// It is in progress.
    Pending,
    /// It has ended, or is refused and recorded as such.
    Ended(RequestOutcome),
    /// It is refused without a record. The run state is unknown because another copy may run later,
    /// or may have run and expired from the table.
    Unrecorded(ResultCode),
}
