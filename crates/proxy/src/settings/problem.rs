//! One fault in a document, with its place.

use std::fmt;

use miette::{Diagnostic, LabeledSpan};
use tanager_core::ResultCode;

use crate::Error;
use crate::settings::tree::Span;

/// One fault in a document. As a diagnostic it marks the place in the source that it is shown
/// with, such as that of [`Error::Document`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The numbered code.
    pub code: ResultCode,
    /// The key at fault, such as `listen.callers` or `entries[2].limits.requests`.
    pub key: String,
    /// Line in the document, from 1, when known.
    pub line: Option<u64>,
    /// What is wrong and what is expected.
    pub message: String,
    span: Span,
}

impl Problem {
    /// Creates a problem without a known line.
    #[must_use]
    pub fn new(code: ResultCode, key: &str, message: impl fmt::Display) -> Self {
        Self {
            code,
            key: key.to_owned(),
            line: None,
            message: message.to_string(),
            span: Span::default(),
        }
    }

    /// Sets the place in the document. Line 0 stands for an unknown place.
    #[must_use]
    pub fn at(mut self, span: Span) -> Self {
        self.line = (span.line > 0).then_some(u64::from(span.line));
        self.span = span;
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.code, self.key, self.message)?;
        self.line.map_or(Ok(()), |line| write!(f, " (line {line})"))
    }
}

impl std::error::Error for Problem {}

impl Diagnostic for Problem {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.code))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.code.description().trim()))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        self.line?;
        let (start, length) = (self.span.start as usize, self.span.length as usize);
        let label = LabeledSpan::new(Some(self.key.clone()), start, length);
        Some(Box::new(std::iter::once(label)))
    }
}

/// Creates an [`Error::Document`] that shows the source lines.
pub(crate) fn document_error(document: &'static str, text: &str, problems: Vec<Problem>) -> Error {
    Error::Document {
        document,
        problems,
        text: text.into(),
    }
}

/// Returns the problems of a document that was read.
pub(crate) fn problems_of<T>(read: crate::Result<T>) -> Vec<Problem> {
    match read {
        Err(Error::Document { problems, .. }) => problems,
        _ => Vec::new(),
    }
}
