//! What an instance learns of targets and routes, from the store and from peers.

use std::time::Duration;

use tanager_core::Millis;

use super::Forwarder;
use crate::view::UpdateEffect;
use crate::{Change, Delta, RouteTable, TargetNumber};

impl Forwarder {
    /// Notes that the view was complete at a time.
    pub fn record_verified(&mut self, at: Millis) {
        self.verified = Some(self.verified.map_or(at, |v| v.max(at)));
    }

    /// Returns the time since the view was known to be complete.
    #[must_use]
    pub fn view_age(&self, now: Millis) -> Option<Duration> {
        self.verified.map(|at| now.since(at))
    }

    /// Takes over a published change of one target. Returns whether it was news.
    pub fn apply(&mut self, change: Change, now: Millis) -> bool {
        let number = change.number;
        let news = self.view.apply(change, now);
        self.learn(number, news);
        news != UpdateEffect::Stale
    }

    /// Takes over published routes. Returns whether they were news.
    pub fn apply_routes(&mut self, routes: RouteTable) -> bool {
        self.view.apply_routes(routes)
    }

    /// Marks targets as removed that a complete reading at `revision` did not list.
    pub fn remove_unlisted(
        &mut self,
        listed: impl Fn(TargetNumber) -> bool,
        revision: u64,
        now: Millis,
    ) -> Vec<TargetNumber> {
        self.view.remove_unlisted(listed, revision, now)
    }

    /// Notes that all changes up to a revision have been applied.
    pub fn advance(&mut self, revision: u64) {
        self.view.advance(revision);
    }

    /// Takes over a peer's newer view. Returns the changed targets.
    pub fn merge(&mut self, delta: Delta, now: Millis) -> Vec<TargetNumber> {
        let changed = self.view.merge(delta, now);
        for (number, news) in &changed {
            self.learn(*number, *news);
        }
        changed.into_iter().map(|(number, _)| number).collect()
    }

    /// Forgets what was seen of a target's former life.
    fn learn(&mut self, number: TargetNumber, news: UpdateEffect) {
        if news == UpdateEffect::Restarted {
            self.evidence.clear(number);
            self.health.clear(number);
        }
    }
}
