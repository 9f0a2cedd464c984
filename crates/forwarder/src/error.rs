//! Errors of an instance.

use std::cmp::Ordering;
use std::fmt::Display;
use std::net::SocketAddrV4;

use tanager_core::ResultCode;
use tanager_forward::{Epoch, StoreRevision};

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the network, the store, a peer or the operating system.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store or a peer cannot be reached, or did not answer within the time limit.
    #[error("{address} cannot be reached: {detail}")]
    Unreachable {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        detail: String,
    },
    /// The store or a peer answered with an error status.
    #[error("{address} refused the call with status {status}")]
    Refused {
        /// The address.
        address: SocketAddrV4,
        /// The HTTP status.
        status: u16,
    },
    /// The store has discarded the changes after the requested revision.
    #[error("the store no longer has the changes after revision {0}")]
    HistoryGone(StoreRevision),
    /// The store was restored from an older copy and continues with another history.
    #[error("the store was restored: epoch {received} follows {expected}")]
    HistoryReplaced {
        /// The epoch of what was read before.
        expected: Epoch,
        /// The epoch of the answer.
        received: Epoch,
    },
    /// An answer of the store or a peer cannot be decoded.
    #[error("cannot decode the answer: {0}")]
    Answer(String),
    /// An answer cannot be that of the call on whose connection it arrived.
    #[error("{code}: {0}", code = ResultCode::AnswerForeign)]
    Foreign(String),
    /// A socket cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddrV4,
        /// The cause.
        source: std::io::Error,
    },
    /// The signal handlers or the runtime cannot be set up.
    #[error("cannot set up signal handling: {0}")]
    Signals(std::io::Error),
    /// Metrics cannot be set up or written.
    #[error("cannot set up or write metrics: {0}")]
    Metrics(String),
}

impl Error {
    /// Creates an [`Error::Answer`].
    #[must_use]
    pub fn answer(detail: impl Display) -> Self {
        Self::Answer(detail.to_string())
    }

    /// Creates an [`Error::Foreign`].
    #[must_use]
    pub fn foreign(detail: impl Display) -> Self {
        Self::Foreign(detail.to_string())
    }

    /// Checks the epoch of an answer against that of what was read before.
    ///
    /// # Errors
    ///
    /// Returns [`Error::HistoryReplaced`] if the store was restored since, and [`Error::Foreign`] if
    /// the answer is older.
    pub fn check_epoch(expected: Epoch, received: Epoch) -> Result<()> {
        match received.cmp(&expected) {
            Ordering::Equal => Ok(()),
            Ordering::Greater => Err(Self::HistoryReplaced { expected, received }),
            Ordering::Less => {
                let detail = format!("epoch {received} is older than {expected}");
                Err(Self::foreign(detail))
            }
        }
    }

    /// Creates an [`Error::Unreachable`].
    #[must_use]
    pub fn unreachable(address: SocketAddrV4, detail: impl Display) -> Self {
        Self::Unreachable {
            address,
            detail: detail.to_string(),
        }
    }
}
