//! Carries targets over to a new epoch of the store; evacuations settle with them.
//!
//! A restored store lists targets as they were when the copy was made: some have drained or left
//! since, and some that have started are missing until they publish themselves again. What this
//! view knows from the earlier epoch is retained as provisional until the store has had time to
//! receive everything again.

use std::time::Duration;

use tanager_core::Millis;

use super::change::{Change, PublishedState, UpdateEffect};
use super::{TargetEntry, View};
use crate::{Epoch, StoreRevision};

/// Time for which provisional entries are retained. Within it, targets that are running publish
/// themselves again, and the entries of those that have left expire.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time after which a read that has left entries provisional is repeated.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// What follows from a read that does not list a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Omission {
    /// Nothing: it was known to be removed.
    None,
    /// The target may not have published itself again yet in a new epoch.
    Retained,
    /// The target was removed.
    Removed,
}

/// The time until which provisional entries are retained.
#[derive(Debug, Clone, Copy)]
pub(super) struct Settling {
    /// The epoch whose store has to receive the targets again.
    epoch: Epoch,
    /// When it has had time to.
    at: Millis,
}

impl View {
    /// Applies an entry of a full read or of a peer's view. Unlike a change that the store reports,
    /// it may have been published before what this view knows from an earlier epoch.
    pub fn apply_listed(&mut self, change: Change, now: Millis) -> UpdateEffect {
        let epoch = change.revision.epoch;
        let settled = self.is_settled(epoch, now);
        let Some(entry) = self.targets.get_mut(&change.number) else {
            return self.apply(change, now);
        };
        let is_earlier = change.target.is_some() && change.state() < Some(entry.state());
        let is_unsure = entry.revision.epoch < epoch
            || (change.provisional && entry.revision < change.revision);
        if is_unsure && is_earlier {
            entry.retain_until_settled(change.revision);
            self.settle_later(epoch, now);
            return UpdateEffect::Stale;
        }
        if entry.provisional && settled && entry.revision.epoch == epoch && !change.provisional {
            // The entry may have been retained at the revision that is listed.
            entry.revision = StoreRevision::NONE;
        }
        self.apply(change, now)
    }

    /// Adopts a peer's entry of an earlier epoch if the target published it later than the one that
    /// the restored store lists. Returns the effect, or `None` if it is not adopted.
    pub(super) fn adopt_earlier_epoch(
        &mut self,
        change: &Change,
        now: Millis,
    ) -> Option<UpdateEffect> {
        let target = change.target.as_ref()?;
        let entry = self.targets.get_mut(&change.number)?;
        let is_later = change.state() > Some(entry.state());
        if change.revision.epoch >= entry.revision.epoch || !is_later {
            return None;
        }
        let effect = UpdateEffect::between(&entry.target, target);
        entry.target = target.clone();
        entry.received = now;
        entry.removed = change.removed.then_some(now);
        let revision = entry.revision;
        entry.retain_until_settled(revision);
        self.settle_later(revision.epoch, now);
        self.generation += 1;
        Some(effect)
    }

    /// Returns whether a full read or a peer's whole view is due, to decide about provisional
    /// entries.
    #[must_use]
    pub fn is_settle_due(&self, now: Millis) -> bool {
        self.is_settled(self.revision.epoch, now)
    }

    /// Returns whether targets have had time to publish themselves again in an epoch.
    pub(super) fn is_settled(&self, epoch: Epoch, now: Millis) -> bool {
        self.settling
            .is_some_and(|s| s.epoch == epoch && now >= s.at)
    }

    /// Ends the retention after a full read or a peer's whole view, unless the peer had provisional
    /// entries too.
    pub fn finish_settling(&mut self, now: Millis) {
        let epoch = self.revision.epoch;
        if !self.is_settled(epoch, now) {
            return;
        }
        let evacuated = self.evacuations.has_earlier_than(self.revision);
        let remaining = evacuated || self.provisional().next().is_some();
        let at = now + RETRY_TIME;
        self.settling = remaining.then_some(Settling { epoch, at });
    }

    pub(super) fn settle_later(&mut self, epoch: Epoch, now: Millis) {
        if self.settling.is_none_or(|s| s.epoch < epoch) {
            let at = now + SETTLE_TIME;
            self.settling = Some(Settling { epoch, at });
        }
    }
}

impl TargetEntry {
    pub(super) const fn state(&self) -> PublishedState {
        PublishedState::new(&self.target, self.removed.is_some())
    }

    /// Applies that a read at a revision does not list the target. `settled` tells whether targets
    /// have had time to publish themselves again in its epoch.
    pub(super) fn omit(&mut self, revision: StoreRevision, settled: bool, now: Millis) -> Omission {
        let is_earlier = self.revision.epoch < revision.epoch;
        if self.removed.is_some() {
            // The revision is raised for peers that have read the entry in this epoch, before the
            // store removed it.
            if is_earlier || self.provisional {
                self.revision = revision;
                self.provisional = false;
            }
            return Omission::None;
        }
        if is_earlier || (self.provisional && !settled) {
            self.retain_until_settled(revision);
            return Omission::Retained;
        }
        self.removed = Some(now);
        self.provisional = false;
        self.revision = revision;
        Omission::Removed
    }

    pub(super) const fn retain_until_settled(&mut self, revision: StoreRevision) {
        self.revision = revision;
        self.provisional = true;
    }
}
