//! Deadlines of flows that wait for something.

use std::collections::VecDeque;

use tanager_core::Millis;

use crate::FlowKey;

/// Deadlines of flows, in the order in which they were set. Those of flows that no longer wait are
/// skipped.
#[derive(Debug, Default)]
pub struct Deadlines(VecDeque<(Millis, FlowKey)>);

impl Deadlines {
    /// Adds the deadline of a flow.
    pub fn push(&mut self, due: Millis, flow: FlowKey) {
        self.0.push_back((due, flow));
    }

    /// Returns the first deadline of a flow that still waits.
    pub fn next_due(&mut self, waits: impl Fn(&FlowKey) -> bool) -> Option<Millis> {
        while let Some((due, flow)) = self.0.front() {
            if waits(flow) {
                return Some(*due);
            }
            self.0.pop_front();
        }
        None
    }

    /// Removes the first deadline of a flow that still waits, if it has passed, and returns the flow.
    pub fn take_due(&mut self, waits: impl Fn(&FlowKey) -> bool, now: Millis) -> Option<FlowKey> {
        if self.next_due(waits)? > now {
            return None;
        }
        self.0.pop_front().map(|(_, flow)| flow)
    }
}
