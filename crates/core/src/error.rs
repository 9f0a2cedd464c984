//! Errors of parsing values and checking their range.

use crate::ResultCode;

/// The result of an operation in this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a value is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text does not have the form of the named type.
    #[error("{kind} cannot be read from {text:?}: {reason}")]
    Malformed {
        /// The type that was expected.
        kind: &'static str,
        /// The rejected text.
        text: String,
        /// The expected form.
        reason: &'static str,
    },
    /// The value has the right form but is outside the permitted range.
    #[error("{kind} {text} is out of range: {reason}")]
    OutOfRange {
        /// The type that was expected.
        kind: &'static str,
        /// The rejected value.
        text: String,
        /// The permitted range.
        reason: &'static str,
    },
}

impl Error {
    /// Creates an [`Error::Malformed`].
    #[must_use]
    pub fn malformed(kind: &'static str, text: &str, reason: &'static str) -> Self {
        Self::Malformed {
            kind,
            text: text.to_owned(),
            reason,
        }
    }

    /// Creates an [`Error::OutOfRange`].
    #[must_use]
    pub fn out_of_range(kind: &'static str, text: &str, reason: &'static str) -> Self {
        Self::OutOfRange {
            kind,
            text: text.to_owned(),
            reason,
        }
    }

    /// Returns the numbered code of this error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Malformed { .. } => ResultCode::ValueMalformed,
            Self::OutOfRange { .. } => ResultCode::ValueOutOfRange,
        }
    }
}
