//! Recent decisions, kept for `/explain`.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Mutex, PoisonError};

use serde::Serialize;
use tanager_core::{FlowId, Millis, RequestId, ServiceId};

use crate::telemetry::Part;

/// Number of decisions kept.
const MAX_DECISIONS: usize = 4_096;

/// The kinds of routing and placement decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DecisionKind {
    /// A new flow is placed on a target.
    PlaceFlow,
    /// A flow is moved to another target.
    MoveFlow,
    /// A flow is ended with a reset.
    ResetFlow,
    /// A request is dispatched to a target.
    Dispatch,
    /// A request is refused.
    Refuse,
}

impl fmt::Display for DecisionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::PlaceFlow => "place-flow",
            Self::MoveFlow => "move-flow",
            Self::ResetFlow => "reset-flow",
            Self::Dispatch => "dispatch",
            Self::Refuse => "refuse",
        })
    }
}

/// A decision with the values it was based on.
#[derive(Debug, Clone, Serialize)]
pub struct Decision {
    /// Time of the decision on this instance's clock.
    pub at: Millis,
    /// The part of the program that decided.
    pub part: Part,
    /// The kind of decision.
    pub kind: DecisionKind,
    /// The service concerned.
    pub service: ServiceId,
    /// The flow concerned, if any, in hexadecimal.
    pub flow: Option<String>,
    /// The request concerned, if any, in hexadecimal.
    pub request: Option<String>,
    /// The outcome, such as a target's name or a result code.
    pub choice: String,
    /// The values that were compared.
    pub inputs: String,
    /// Why the outcome follows from the inputs.
    pub reason: String,
}

impl Decision {
    /// Returns a decision about a flow, without an outcome.
    #[must_use]
    pub fn flow(part: Part, kind: DecisionKind, service: ServiceId, flow: FlowId) -> Self {
        let flow = Some(flow.to_string());
        Self {
            flow,
            ..Self::empty(part, kind, service)
        }
    }

    /// Returns a decision about a request, without an outcome.
    #[must_use]
    pub fn request(part: Part, kind: DecisionKind, service: ServiceId, request: RequestId) -> Self {
        let request = Some(request.to_string());
        Self {
            request,
            ..Self::empty(part, kind, service)
        }
    }

    /// Sets the outcome, the inputs and the reason.
    #[must_use]
    pub fn with_outcome(
        mut self,
        choice: impl fmt::Display,
        inputs: impl fmt::Display,
        reason: impl fmt::Display,
    ) -> Self {
        self.choice = choice.to_string();
        self.inputs = inputs.to_string();
        self.reason = reason.to_string();
        self
    }

    const fn empty(part: Part, kind: DecisionKind, service: ServiceId) -> Self {
        Self {
            at: Millis::new(0),
            part,
            kind,
            service,
            flow: None,
            request: None,
            choice: String::new(),
            inputs: String::new(),
            reason: String::new(),
        }
    }
}

/// The most recent decisions, oldest first.
#[derive(Debug, Default)]
pub struct DecisionRing {
    /// Invariant: at most [`MAX_DECISIONS`] decisions.
    decisions: Mutex<VecDeque<Decision>>,
}

impl DecisionRing {
    /// Adds a decision and drops the oldest one when the ring is full.
    pub fn push(&self, decision: Decision) {
        let mut ring = self
            .decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if ring.len() >= MAX_DECISIONS {
            ring.pop_front();
        }
        ring.push_back(decision);
    }

    /// Returns the newest `limit` decisions that match, newest first.
    pub fn find(&self, limit: usize, matches: impl Fn(&Decision) -> bool) -> Vec<Decision> {
        let ring = self
            .decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ring.iter()
            .rev()
            .filter(|d| matches(d))
            .take(limit)
            .cloned()
            .collect()
    }
}
