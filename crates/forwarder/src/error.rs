//! Errors of an instance.

use std::fmt::Display;
use std::net::SocketAddrV4;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the instance's surroundings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store or a peer cannot be reached, or has not answered in time.
    #[error("{address} cannot be reached: {detail}")]
    Unreachable {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        detail: String,
    },
    /// The store or a peer refuses to answer now.
    #[error("{address} refused the call with status {status}")]
    Refused {
        /// The address.
        address: SocketAddrV4,
        /// The HTTP status.
        status: u16,
    },
    /// The store has discarded the history that was asked for.
    #[error("the history after revision {0} is gone")]
    HistoryGone(u64),
    /// An answer cannot be decoded.
    #[error("the answer is not usable: {0}")]
    Answer(String),
    /// A socket cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddrV4,
        /// The cause.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[error("signals cannot be received: {0}")]
    Signals(std::io::Error),
    /// Metrics cannot be set up.
    #[error("metrics cannot be set up: {0}")]
    Metrics(String),
}

impl Error {
    /// Creates an [`Error::Answer`].
    #[must_use]
    pub fn answer(detail: impl Display) -> Self {
        Self::Answer(detail.to_string())
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
