//! A request to be run by a target, and how its run ended.

use bytes::Bytes;
use tanager_core::{Millis, RequestId, ResultCode};

use crate::target::LinkError;

/// A request to be run by a target.
#[derive(Debug, Clone)]
pub struct RunOrder {
    /// The request.
    pub request: RequestId,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Latest start on this instance's clock.
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
    /// Not a byte of it was sent, so it did not run.
    NotSent(LinkError),
    /// The target failed while it ran the request.
    Failed,
    /// The connection ended after the run may have been sent; nobody can tell whether it ran.
    Lost,
}
