//! Answers why a flow or request was treated as it was.

use tanager_core::{FlowId, RequestId};

use crate::telemetry::Decision;

/// Decisions returned at most when one flow or request is asked for.
const FOUND_LIMIT: usize = 100;
/// Decisions that `last=` may ask for; as many are kept.
const LAST_LIMIT: usize = 4_096;

/// Which decisions are asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Question {
    Flow(FlowId),
    Request(RequestId),
    Last(usize),
}

impl Question {
    /// Reads the query of `/explain`: exactly one of `flow=`, `request=` and `last=`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the query.
    pub(super) fn parse(query: &str) -> Result<Self, String> {
        let usage = || "expected one of flow=, request= and last=\n".to_owned();
        let (key, value) = query.split_once('=').ok_or_else(usage)?;
        match key {
            "flow" => value.parse().map(Self::Flow).map_err(|e| line(&e)),
            "request" => value.parse().map(Self::Request).map_err(|e| line(&e)),
            "last" => match value.parse() {
                Ok(count @ 1..=LAST_LIMIT) => Ok(Self::Last(count)),
                _ => Err(format!("last= is a number from 1 to {LAST_LIMIT}\n")),
            },
            _ => Err(usage()),
        }
    }

    pub(super) const fn limit(&self) -> usize {
        match self {
            Self::Flow(_) | Self::Request(_) => FOUND_LIMIT,
            Self::Last(count) => *count,
        }
    }

    pub(super) fn matches(&self, decision: &Decision) -> bool {
        let is = |id: &Option<String>, wanted: String| id.as_ref() == Some(&wanted);
        match self {
            Self::Flow(flow) => is(&decision.flow, flow.to_string()),
            Self::Request(request) => is(&decision.request, request.to_string()),
            Self::Last(_) => true,
        }
    }
}

fn line(error: &tanager_core::Error) -> String {
    format!("{error}\n")
}
