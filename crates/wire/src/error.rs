//! Errors of decoding and verifying packets.

use tanager_core::ResultCode;

/// The result of decoding or checking a packet.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a datagram, frame, token or route is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The bytes do not decode, or a required field is missing or has the wrong length.
    #[error("the {part} cannot be decoded")]
    Malformed {
        /// The message or field that is malformed.
        part: &'static str,
    },
    /// The packet exceeds its size limit.
    #[error("the packet has {size} bytes, the limit is {limit}")]
    TooLarge {
        /// Size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The protocol version is not supported.
    #[error("protocol version {version} is not supported")]
    Version {
        /// The version received.
        version: u32,
    },
    /// The message authentication code does not match, or its key is unknown.
    #[error("the {part} is not authentic")]
    Forged {
        /// `token` or `route`.
        part: &'static str,
    },
}

impl Error {
    /// Creates an [`Error::Malformed`].
    #[must_use]
    pub const fn malformed(part: &'static str) -> Self {
        Self::Malformed { part }
    }

    /// Checks a size in bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if `size` exceeds `limit`.
    pub(crate) const fn check_size(size: usize, limit: usize) -> Result<()> {
        if size > limit {
            return Err(Self::TooLarge { size, limit });
        }
        Ok(())
    }

    /// Returns the numbered code of this error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Malformed { .. } => ResultCode::PacketMalformed,
            Self::TooLarge { .. } => ResultCode::PacketTooLarge,
            Self::Version { .. } => ResultCode::PacketVersion,
            Self::Forged { .. } => ResultCode::TokenForged,
        }
    }
}
