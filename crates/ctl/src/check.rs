//! `check`: validates a document with the same code as an instance.

use tanager_core::ResultCode;
use tanagerproxy::catalogue::Catalogue;
use tanagerproxy::settings::{Problem, Settings};

use crate::error::{Error, ProblemDiagnostic, Result};

/// The kind of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Settings,
    Catalogue,
}

/// Checks a document and returns a one-line summary of its content.
pub fn run(kind: Kind, path: &str) -> Result<String> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    check(kind, &text).map_err(|error| Error::Document {
        path: path.to_owned(),
        problems: diagnostics(error),
    })
}

fn check(kind: Kind, text: &str) -> tanagerproxy::Result<String> {
    match kind {
        Kind::Settings => {
            let settings = Settings::read(text)?;
            Ok(format!(
                "settings of instance {} in zone {} are valid",
                settings.name, settings.zone
            ))
        }
        Kind::Catalogue => {
            let catalogue = Catalogue::read(text)?;
            let targets: usize = catalogue.entries.values().map(|e| e.targets.len()).sum();
            Ok(format!(
                "catalogue revision {} with {} services and {targets} targets is valid",
                catalogue.revision,
                catalogue.entries.len()
            ))
        }
    }
}

fn diagnostics(error: tanagerproxy::Error) -> Vec<ProblemDiagnostic> {
    match error {
        tanagerproxy::Error::Document { problems, .. } => {
            problems.into_iter().map(ProblemDiagnostic).collect()
        }
        other => {
            let code: ResultCode = other.code();
            vec![ProblemDiagnostic(Problem::new(code, "document", other))]
        }
    }
}
