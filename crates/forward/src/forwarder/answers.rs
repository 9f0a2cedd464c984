//! Classification of the answers to a flow's requests.

use tanager_core::Millis;

use super::Forwarder;
use crate::FlowKey;
use crate::flows::Flow;

impl Forwarder {
    /// Expects an answer to a request whose data has arrived. Data after the start of an answer
    /// belongs to the next request.
    pub(super) fn expect_answer(&mut self, key: FlowKey, now: Millis) {
        let length = self.flows.get(&key).and_then(Flow::answer_length);
        if length.is_some_and(|l| l > 0) {
            self.classify_answer(&key, now);
        }
        if length != Some(0) {
            self.flows.expect_answer(key, now);
        }
    }

    /// Classifies the acknowledged part of the pending answer of a flow, if there is one.
    pub(super) fn classify_answer(&mut self, key: &FlowKey, now: Millis) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        let Some(length) = flow.answer_length() else {
            return;
        };
        flow.pending_answer = None;
        let target = flow.target;
        if self.view.routes().find(key.service).is_some() {
            let sound = self.health.record_answer(target, key.service, length, now);
            if !sound && length > 0 {
                self.record_failed_answer(key, target, now);
            }
        }
    }

    /// Classifies the answers that are overdue.
    pub(super) fn classify_overdue_answers(&mut self, now: Millis) {
        while let Some(key) = self.flows.take_overdue_answer(now) {
            self.classify_answer(&key, now);
        }
    }
}
