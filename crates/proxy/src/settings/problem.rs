use std::fmt;

use tanager_core::ResultCode;

/// One fault in a document.
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
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.code, self.key, self.message)?;
        self.line.map_or(Ok(()), |line| write!(f, " (line {line})"))
    }
}
