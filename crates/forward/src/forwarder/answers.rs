//! How the requests of a flow end.

use tanager_core::Millis;

use super::Forwarder;
use crate::FlowKey;
use crate::flows::Flow;

impl Forwarder {
    /// Begins to watch for the answer to a request whose data has come. Data after the begin of
    /// an answer belongs to the next request.
    pub(super) fn watch_answer(&mut self, key: FlowKey, now: Millis) {
        let length = self.flows.get(&key).and_then(Flow::answer_length);
        if length.is_some_and(|l| l > 0) {
            self.judge_answer(&key, now);
        }
        if length != Some(0) {
            self.flows.watch(key, now);
        }
    }

    /// Judges what has come of the answer to a flow's request, if one is watched.
    pub(super) fn judge_answer(&mut self, key: &FlowKey, now: Millis) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        let Some(length) = flow.answer_length() else {
            return;
        };
        flow.watched = None;
        let target = flow.target;
        if self.view.routes().find(key.service).is_some() {
            self.health.count(target, key.service, length, now);
        }
    }

    /// Judges answers that have had their time.
    pub(super) fn judge_overdue(&mut self, now: Millis) {
        while let Some(key) = self.flows.take_unjudged(now) {
            self.judge_answer(&key, now);
        }
    }
}
