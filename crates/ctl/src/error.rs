//! Errors of the commands of `tanagerctl`.

use std::fmt::{self, Display};
use std::net::SocketAddr;

use miette::Diagnostic;
use tanager_core::ResultCode;
use tanagerproxy::settings::Problem;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No instance could be read.
    #[error("none of {} instance(s) could be read", addresses.len())]
    Unreachable {
        /// The addresses of the queried instances.
        addresses: Vec<SocketAddr>,
    },
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The path as given.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A document has problems.
    #[error("{path} has {} problem(s)", problems.len())]
    Document {
        /// The path as given.
        path: String,
        /// Every problem found.
        problems: Vec<ProblemDiagnostic>,
    },
    /// No instance has recorded a decision about the flow or request, or all have evicted it.
    #[error("no instance has a recorded decision about the flow or request")]
    NoDecision,
}

impl Error {
    const fn result_code(&self) -> Option<ResultCode> {
        match self {
            Self::Unreachable { .. } => Some(ResultCode::PeerUnreachable),
            Self::File { .. } => Some(ResultCode::DocumentMalformed),
            Self::Document { .. } | Self::NoDecision => None,
        }
    }
}

impl Diagnostic for Error {
    fn code<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        self.result_code()
            .map(|code| Box::new(code) as Box<dyn Display>)
    }

    fn help<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        let help = match self {
            Self::Unreachable { .. } => "the addresses must be the status addresses of instances",
            Self::NoDecision => "an instance keeps its last 4,096 decisions; ask all instances",
            Self::File { .. } | Self::Document { .. } => return None,
        };
        Some(Box::new(help))
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

/// Prints one problem of a document with its own code.
#[derive(Debug)]
pub struct ProblemDiagnostic(pub Problem);

impl Display for ProblemDiagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem { key, message, .. } = &self.0;
        write!(f, "{key}: {message}")?;
        let line = self.0.line;
        line.map_or(Ok(()), |line| write!(f, " (line {line})"))
    }
}

impl std::error::Error for ProblemDiagnostic {}

impl Diagnostic for ProblemDiagnostic {
    fn code<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        Some(Box::new(self.0.code))
    }
}
