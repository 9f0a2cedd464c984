//! `explain`: why a flow or request went where it went.

use std::fmt::Write as _;

use tanager_core::{FlowId, RequestId};

use crate::Instances;
use crate::error::{Error, Result};
use crate::pages::{Page, number, read_all, text, to_json};

/// Decisions shown by `--last` for each instance.
const LAST: usize = 20;

/// Which decisions are asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Question {
    Flow(FlowId),
    Request(RequestId),
    Last,
}

impl Question {
    fn path(self) -> String {
        match self {
            Self::Flow(id) => format!("/explain?flow={id}"),
            Self::Request(id) => format!("/explain?request={id}"),
            Self::Last => format!("/explain?last={LAST}"),
        }
    }
}

/// Prints the decisions of all instances asked.
pub async fn run(question: Question, instances: &Instances) -> Result<bool> {
    let mut read = read_all(&instances.addresses, &question.path()).await?;
    read.pages
        .retain(|p| p.body.as_array().is_some_and(|l| !l.is_empty()));
    if read.pages.is_empty() && question != Question::Last {
        return Err(Error::NoDecision);
    }
    if instances.json {
        print!("{}", to_json(&read.pages));
    } else {
        print!("{}", render(&read.pages));
    }
    Ok(read.complete)
}

/// Renders decisions, newest first for each instance; clocks of instances cannot be compared.
pub fn render(pages: &[Page]) -> String {
    let mut out = String::new();
    for page in pages {
        let _ = writeln!(out, "instance at {}", page.address);
        let decisions = page.body.as_array().into_iter().flatten();
        for decision in decisions.take(LAST) {
            let id = decision["flow"].as_str().or(decision["request"].as_str());
            let _ = writeln!(
                out,
                "  {:>10} ms [{}] {} {} -> {}\n             because {} ({})",
                number(decision, "at"),
                text(decision, "part"),
                text(decision, "kind"),
                id.unwrap_or("-"),
                text(decision, "choice"),
                text(decision, "reason"),
                text(decision, "inputs"),
            );
        }
    }
    out
}
