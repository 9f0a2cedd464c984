//! Why a frame was not sent to a target.

use tanager_core::ResultCode;

/// Why a frame was not sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// There is no verified connection.
    #[error("the target's connection is down")]
    Disconnected,
    /// The send queue is full.
    #[error("the send queue of the target's connection is full")]
    Backpressure,
    /// The run's deadline passed in the send queue.
    #[error("the deadline passed before the run was sent")]
    DeadlinePassed,
    /// The frame exceeds the size limit.
    #[error("the frame is too large")]
    TooLarge,
}

impl LinkError {
    /// Returns the numbered code of this error.
    #[must_use]
    pub const fn code(self) -> ResultCode {
        match self {
            Self::Disconnected => ResultCode::TargetDisconnected,
            Self::Backpressure => ResultCode::TargetBackpressure,
            Self::DeadlinePassed => ResultCode::DeadlinePassed,
            Self::TooLarge => ResultCode::PacketTooLarge,
        }
    }
}
