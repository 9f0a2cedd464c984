use std::sync::{Mutex, MutexGuard, PoisonError};

use tanager_core::{FastMap, FlowId, ResultCode, TargetId};
use tokio::sync::oneshot;

/// Opens in progress in one instance. Further ones are refused.
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
    /// Invariant: at most [`PENDING_LIMIT`] attempts.
    opens: Mutex<FastMap<(FlowId, TargetId), oneshot::Sender<OpenOutcome>>>,
}

impl PendingOpens {
    /// Registers an attempt. Returns `None` if one for the same flow and target is in progress or
    /// the limit is reached.
    pub fn register(
        &self,
        flow: FlowId,
        target: TargetId,
    ) -> Option<oneshot::Receiver<OpenOutcome>> {
        let mut opens = self.lock();
        if opens.len() >= PENDING_LIMIT || opens.contains_key(&(flow, target)) {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        opens.insert((flow, target), sender);
        Some(receiver)
    }

    /// Ends an attempt with the target's answer.
    pub fn complete(&self, flow: FlowId, target: TargetId, outcome: OpenOutcome) {
        if let Some(sender) = self.lock().remove(&(flow, target)) {
            let _ = sender.send(outcome);
        }
    }

    /// Forgets an attempt that took too long.
    pub fn forget(&self, flow: FlowId, target: TargetId) {
        self.lock().remove(&(flow, target));
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<(FlowId, TargetId), oneshot::Sender<OpenOutcome>>> {
        self.opens.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
