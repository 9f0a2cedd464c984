//! Queries of `/explain`, which returns the decisions about a flow or request.

use tanager_core::{FlowId, RequestId};

use crate::telemetry::Decision;

/// Maximum number of decisions returned for one flow or request.
const MATCHES_LIMIT: usize = 100;
/// Maximum number of decisions that `last=` may request, which is the number kept.
const LAST_LIMIT: usize = 4_096;

/// Selects the decisions to return.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ExplainQuery {
    Flow(FlowId),
    Request(RequestId),
    Last(usize),
}

impl ExplainQuery {
    /// Reads the query of `/explain`: exactly one of `flow=`, `request=` and `last=`.
    ///
    /// # Errors
    ///
    /// Returns a message that says what is wrong with the query.
    pub(super) fn parse(query: &str) -> Result<Self, String> {
        let usage = || "expected one of flow=, request= and last=\n".to_owned();
        let (key, value) = query.split_once('=').ok_or_else(usage)?;
        match key {
            "flow" => value.parse().map(Self::Flow).map_err(|e| error_line(&e)),
            "request" => value.parse().map(Self::Request).map_err(|e| error_line(&e)),
            "last" => match value.parse() {
                Ok(count @ 1..=LAST_LIMIT) => Ok(Self::Last(count)),
                _ => Err(format!("last= is a number from 1 to {LAST_LIMIT}\n")),
            },
            _ => Err(usage()),
        }
    }

    pub(super) const fn limit(&self) -> usize {
        match self {
            Self::Flow(_) | Self::Request(_) => MATCHES_LIMIT,
            Self::Last(count) => *count,
        }
    }

    pub(super) fn matches(&self, decision: &Decision) -> bool {
        let equals = |id: &Option<String>, wanted: String| id.as_ref() == Some(&wanted);
        match self {
            Self::Flow(flow) => equals(&decision.flow, flow.to_string()),
            Self::Request(request) => equals(&decision.request, request.to_string()),
            Self::Last(_) => true,
        }
    }
}

fn error_line(error: &tanager_core::Error) -> String {
    format!("{error}\n")
}
