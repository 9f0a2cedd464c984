//! Flows that are being placed, each once at a time.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tanager_core::{FastMap, FastSet, FlowId, ResultCode, TargetId};
use tokio::sync::oneshot;

/// Flows being placed by one instance at a time. Further ones wait for their callers to repeat.
const PENDING_LIMIT: usize = 16_384;

/// How a target answered an attempt to open a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenOutcome {
    /// The flow is open.
    Opened,
    /// The target refused.
    Refused(ResultCode),
}

/// Attempts to open flows that wait for the target's answer.
#[derive(Debug, Default)]
pub struct PendingOpens {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Flows for which a target is being looked for.
    ///
    /// Invariant: at most [`PENDING_LIMIT`].
    placing: FastSet<FlowId>,
    /// Attempts of these flows.
    opens: FastMap<(FlowId, TargetId), oneshot::Sender<OpenOutcome>>,
}

/// Marks a flow as being placed until it is dropped.
#[derive(Debug)]
pub struct PlacingMark<'a> {
    pending: &'a PendingOpens,
    flow: FlowId,
}

impl PendingOpens {
    /// Marks a flow as being placed. Returns `None` if it is already, so that copies of a datagram
    /// do not place it on several targets, or if the limit is reached.
    pub fn begin(&self, flow: FlowId) -> Option<PlacingMark<'_>> {
        let mut state = self.lock();
        let new = state.placing.len() < PENDING_LIMIT && state.placing.insert(flow);
        // Built only if it is new: dropping a mark takes the lock and frees the flow.
        new.then(|| PlacingMark {
            pending: self,
            flow,
        })
    }

    /// Registers an attempt.
    pub fn register(&self, flow: FlowId, target: TargetId) -> oneshot::Receiver<OpenOutcome> {
        let (sender, receiver) = oneshot::channel();
        self.lock().opens.insert((flow, target), sender);
        receiver
    }

    /// Ends an attempt with the target's answer.
    pub fn complete(&self, flow: FlowId, target: TargetId, outcome: OpenOutcome) {
        if let Some(sender) = self.lock().opens.remove(&(flow, target)) {
            // The attempt may have taken too long.
            let _ = sender.send(outcome);
        }
    }

    /// Forgets an attempt that took too long.
    pub fn forget(&self, flow: FlowId, target: TargetId) {
        self.lock().opens.remove(&(flow, target));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PlacingMark<'_> {
    fn drop(&mut self) {
        self.pending.lock().placing.remove(&self.flow);
    }
}
