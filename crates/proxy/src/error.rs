//! Errors of the library.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use miette::{Diagnostic, SourceCode};
use tanager_core::{ResultCode, Revision};

use crate::settings::Problem;

/// The result of starting or driving a node.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that stops an operation of the library.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A document has problems. None of its content is used.
    #[error("{document} has {} problem(s): {}", problems.len(), join_problems(problems))]
    Document {
        /// The kind of document: `settings`, `catalogue` or `instance list`.
        document: &'static str,
        /// Every problem found.
        problems: Vec<Problem>,
        /// The document's text, to show the lines with problems.
        text: Arc<str>,
    },
    /// A document is not newer than the one in force.
    #[error("{code}: revision {offered} is offered, {current} is in force")]
    Revision {
        /// [`ResultCode::RevisionNotNewer`] or [`ResultCode::RevisionConflict`].
        code: ResultCode,
        /// The revision offered.
        offered: Revision,
        /// The revision in force.
        current: Revision,
    },
    /// A listening socket cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The platform cannot be reached or answers with an error.
    #[error("the platform at {address} cannot be read: {detail}")]
    Platform {
        /// The platform's address.
        address: SocketAddr,
        /// The cause.
        detail: String,
    },
    /// A peer cannot be reached or answers with an error.
    #[error("the peer at {address} cannot be reached: {detail}")]
    Peer {
        /// The peer's address.
        address: SocketAddr,
        /// The cause.
        detail: String,
    },
}

impl Error {
    /// Creates an [`Error::Peer`].
    pub fn peer(address: SocketAddr, cause: &impl ToString) -> Self {
        Self::Peer {
            address,
            detail: cause.to_string(),
        }
    }

    /// Creates an [`Error::Platform`].
    pub fn platform(address: SocketAddr, cause: &impl ToString) -> Self {
        Self::Platform {
            address,
            detail: cause.to_string(),
        }
    }

    /// Returns the result code of this error.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Document { problems, .. } => problems
                .first()
                .map_or(ResultCode::DocumentMalformed, |p| p.code),
            Self::Revision { code, .. } => *code,
            Self::Listen { .. } => ResultCode::ValueOutOfRange,
            Self::Platform { .. } => ResultCode::PlatformUnreachable,
            Self::Peer { .. } => ResultCode::PeerUnreachable,
        }
    }
}

impl Diagnostic for Error {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(Self::code(self)))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        match self {
            Self::Document { text, .. } => Some(text),
            _ => None,
        }
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        match self {
            Self::Document { problems, .. } => {
                Some(Box::new(problems.iter().map(|p| p as &dyn Diagnostic)))
            }
            _ => None,
        }
    }
}

/// Maximum number of a document's problems in one message, so that log lines stay readable.
const MAX_PROBLEMS_SHOWN: usize = 20;

fn join_problems(problems: &[Problem]) -> String {
    let shown = problems.iter().take(MAX_PROBLEMS_SHOWN);
    let mut lines: Vec<String> = shown.map(ToString::to_string).collect();
    if problems.len() > MAX_PROBLEMS_SHOWN {
        lines.push(format!("and {} more", problems.len() - MAX_PROBLEMS_SHOWN));
    }
    lines.join("; ")
}
