//! Updates of targets and routes from the store and from peers.

use std::time::Duration;

use tanager_core::Millis;

use super::Forwarder;
use crate::view::UpdateEffect;
use crate::{Change, Delta, EvacuationChange, RouteTable, StoreRevision, TargetNumber};

impl Forwarder {
    /// Records that the view was complete at a time.
    pub fn record_verified(&mut self, at: Millis) {
        self.last_verified = Some(self.last_verified.map_or(at, |v| v.max(at)));
    }

    /// Returns the time since the view was last verified to be complete.
    #[must_use]
    pub fn view_age(&self, now: Millis) -> Option<Duration> {
        self.last_verified.map(|at| now.since(at))
    }

    /// Applies a published change of one target. Returns whether the view changed.
    pub fn apply(&mut self, change: Change, now: Millis) -> bool {
        let number = change.number;
        let effect = self.view.apply(change, now);
        self.reset_if_restarted(number, effect);
        effect != UpdateEffect::Stale
    }

    /// Applies an entry of a full read. Returns whether the view changed.
    pub fn apply_listed(&mut self, change: Change, now: Millis) -> bool {
        let number = change.number;
        let effect = self.view.apply_listed(change, now);
        self.reset_if_restarted(number, effect);
        effect != UpdateEffect::Stale
    }

    /// Applies the published beginning or end of an evacuation. Returns whether the view changed.
    pub fn apply_evacuation(&mut self, change: EvacuationChange, now: Millis) -> bool {
        self.view.apply_evacuation(change, now)
    }

    /// Applies a list of all evacuations that the store published up to `as_of`.
    pub fn apply_evacuation_list(
        &mut self,
        list: Vec<EvacuationChange>,
        as_of: StoreRevision,
        now: Millis,
    ) {
        self.view.apply_evacuation_list(list, as_of, now);
    }

    /// Applies published routes. Returns whether the view changed.
    pub fn apply_routes(&mut self, routes: RouteTable) -> bool {
        self.view.apply_routes(routes)
    }

    /// Marks targets as removed that a complete read at `revision` did not list.
    pub fn remove_unlisted(
        &mut self,
        listed: impl Fn(TargetNumber) -> bool,
        revision: StoreRevision,
        now: Millis,
    ) -> Vec<TargetNumber> {
        self.view.remove_unlisted(listed, revision, now)
    }

    /// Records that all changes up to a revision have been applied.
    pub fn advance(&mut self, revision: StoreRevision) {
        self.view.advance(revision);
    }

    /// Ends the retention of entries of an earlier epoch that a complete read has decided about.
    pub fn finish_settling(&mut self, now: Millis) {
        self.view.finish_settling(now);
    }

    /// Applies the delta of a peer with a newer view. Returns the changed targets.
    pub fn merge(&mut self, delta: Delta, now: Millis) -> Vec<TargetNumber> {
        let changed = self.view.merge(delta, now);
        for (number, effect) in &changed {
            self.reset_if_restarted(*number, *effect);
        }
        changed.into_iter().map(|(number, _)| number).collect()
    }

    /// Discards the observations of a target's former incarnation if it was restarted.
    fn reset_if_restarted(&mut self, number: TargetNumber, effect: UpdateEffect) {
        if effect == UpdateEffect::Restarted {
            self.liveness.clear(number);
            self.health.clear(number);
            self.placement.clear(number);
        }
    }
}
