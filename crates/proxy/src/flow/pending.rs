//! Tracks the flows that are being placed, so that none is placed twice at the same time.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tanager_core::{FastMap, FastSet, FlowId, ResultCode, TargetId};
use tokio::sync::oneshot;

/// Maximum number of flows that an instance places at the same time. Further ones are placed when
/// their callers repeat the datagram.
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
    /// Flows that are being placed.
    ///
    /// Invariant: at most [`PENDING_LIMIT`].
    placing: FastSet<FlowId>,
    /// Attempts to open these flows.
    opens: FastMap<(FlowId, TargetId), oneshot::Sender<OpenOutcome>>,
}

/// Marks a flow as being placed until this guard is dropped.
#[derive(Debug)]
pub struct PlacementGuard<'a> {
    pending: &'a PendingOpens,
    flow: FlowId,
}

impl PendingOpens {
    /// Marks a flow as being placed. Returns `None` if it already is, so that copies of a datagram
    /// do not place it on several targets, or if the limit is reached.
    pub fn begin(&self, flow: FlowId) -> Option<PlacementGuard<'_>> {
        let mut state = self.lock();
        let new = state.placing.len() < PENDING_LIMIT && state.placing.insert(flow);
        // Created only for a new flow: dropping a guard acquires the lock and unmarks the flow.
        new.then(|| PlacementGuard {
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
            // The attempt may have timed out.
            let _ = sender.send(outcome);
        }
    }

    /// Discards an attempt that was not sent or not answered in time.
    pub fn discard(&self, flow: FlowId, target: TargetId) {
        self.lock().opens.remove(&(flow, target));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PlacementGuard<'_> {
    fn drop(&mut self) {
        self.pending.lock().placing.remove(&self.flow);
    }
}
