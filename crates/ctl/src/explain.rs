//! `explain`: the decisions that placed a flow or routed a request, with their reasons.

use std::fmt::Write as _;

use tanager_core::{FlowId, RequestId};

use crate::Query;
use crate::error::{Error, Result};
use crate::pages::{Page, fetch_all, number, text, to_json};

/// Number of decisions shown for each instance.
const DECISION_LIMIT: usize = 20;

/// Selects the decisions to print.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selector {
    Flow(FlowId),
    Request(RequestId),
    Last,
}

impl Selector {
    fn path(self) -> String {
        match self {
            Self::Flow(id) => format!("/explain?flow={id}"),
            Self::Request(id) => format!("/explain?request={id}"),
            Self::Last => format!("/explain?last={DECISION_LIMIT}"),
        }
    }
}

/// Prints the selected decisions of all queried instances.
pub async fn run(selector: Selector, query: &Query) -> Result<bool> {
    let mut fetched = fetch_all(&query.addresses, &selector.path()).await?;
    fetched
        .pages
        .retain(|p| p.body.as_array().is_some_and(|l| !l.is_empty()));
    if fetched.pages.is_empty() && selector != Selector::Last {
        return Err(Error::NoDecision);
    }
    if query.json {
        print!("{}", to_json(&fetched.pages));
    } else {
        print!("{}", render(&fetched.pages));
    }
    Ok(fetched.complete)
}

/// Renders the decisions of each instance separately, newest first, because the clocks of
/// instances cannot be compared.
pub fn render(pages: &[Page]) -> String {
    let mut out = String::new();
    for page in pages {
        let _ = writeln!(out, "instance at {}", page.address);
        let decisions = page.body.as_array().into_iter().flatten();
        for decision in decisions.take(DECISION_LIMIT) {
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
