//! A request to be run by a target, and how its run ended.

use bytes::Bytes;
use tanager_core::{Millis, RequestId, ResultCode};

use crate::target::LinkError;

/// A request to be run by a target.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// The request.
    pub request: RequestId,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Latest time at which the target may start it, on this instance's clock.
    pub deadline: Millis,
    /// The payload.
    pub body: Bytes,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target answered.
    Done(Bytes),
    /// The target did not start it and never will.
    Shed(ResultCode),
    /// No byte of it was sent, so it did not run.
    NotSent(LinkError),
    /// The target failed while it ran the request.
    Failed,
    /// The connection ended after the run may have been sent, so it is unknown whether it ran.
    Lost,
}
