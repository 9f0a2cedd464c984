//! Evacuated zones: their targets take no new flows while the operator publishes the evacuation.
//!
//! The newest revision decides about a zone. A restored store may list an evacuation that has ended,
//! or lack one that is in force; the latter is retained until the new epoch has settled.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, FastSet, Millis, PublishedZone};

use super::{RETENTION, TargetEntry, View};
use crate::StoreRevision;

/// Time after the end of an evacuation for which the zone's targets are ramped up.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// The beginning or the end of a zone's evacuation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: PublishedZone,
    /// The revision at which it was published.
    pub revision: StoreRevision,
    /// Whether the evacuation has ended.
    pub ended: bool,
}

/// A zone's entry in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The zone.
    pub zone: PublishedZone,
    /// The revision of its publication or removal.
    pub revision: StoreRevision,
    /// When this instance began to follow it.
    pub since: Millis,
    /// When this instance learned that it has ended.
    pub ended: Option<Millis>,
}

impl Evacuation {
    fn new(change: EvacuationChange, now: Millis) -> Self {
        Self {
            zone: change.zone,
            revision: change.revision,
            since: now,
            ended: change.ended.then_some(now),
        }
    }

    /// Applies a newer publication or removal. Returns whether the evacuation began or ended.
    fn update(&mut self, revision: StoreRevision, ended: bool, now: Millis) -> bool {
        self.revision = revision;
        if self.ended.is_some() == ended {
            return false;
        }
        self.ended = ended.then_some(now);
        if !ended {
            self.since = now;
        }
        true
    }

    fn to_change(&self) -> EvacuationChange {
        EvacuationChange {
            zone: self.zone.clone(),
            revision: self.revision,
            ended: self.ended.is_some(),
        }
    }
}

/// The evacuations in force and those that have ended recently.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    /// Invariant: an ended one is retained for [`RETENTION`].
    entries: FastMap<PublishedZone, Evacuation>,
    /// Evacuations that have begun or ended since the last call of
    /// [`View::take_evacuation_events`].
    events: Vec<Evacuation>,
}

impl Evacuations {
    /// Returns whether the view has an entry of the same or a newer revision than a change.
    fn supersedes(&self, change: &EvacuationChange) -> bool {
        let entry = self.entries.get(&change.zone);
        entry.is_some_and(|e| e.revision >= change.revision)
    }

    fn set(&mut self, change: EvacuationChange, now: Millis) {
        let Some(entry) = self.entries.get_mut(&change.zone) else {
            let entry = Evacuation::new(change, now);
            if entry.ended.is_none() {
                self.events.push(entry.clone());
            }
            self.entries.insert(entry.zone.clone(), entry);
            return;
        };
        if entry.update(change.revision, change.ended, now) {
            self.events.push(entry.clone());
        }
    }

    fn in_force(&self) -> impl Iterator<Item = &Evacuation> {
        self.entries.values().filter(|e| e.ended.is_none())
    }

    /// Returns whether an evacuation is in force that was published in an earlier epoch.
    pub(super) fn has_earlier_than(&self, revision: StoreRevision) -> bool {
        self.in_force().any(|e| e.revision.epoch < revision.epoch)
    }

    pub(super) fn to_changes(&self) -> Vec<EvacuationChange> {
        self.entries.values().map(Evacuation::to_change).collect()
    }

    /// Evicts ended evacuations after their retention time.
    pub(super) fn expire(&mut self, now: Millis) {
        let expired = |e: &Evacuation| e.ended.is_some_and(|at| now.since(at) > RETENTION);
        self.entries.retain(|_, e| !expired(e));
    }
}

impl View {
    /// Returns the evacuations in force.
    pub fn evacuations(&self) -> impl Iterator<Item = &Evacuation> {
        self.evacuations.in_force()
    }

    /// Returns the evacuation of a zone, if it is in force.
    #[must_use]
    pub fn evacuation(&self, zone: &PublishedZone) -> Option<&Evacuation> {
        let entry = self.evacuations.entries.get(zone)?;
        entry.ended.is_none().then_some(entry)
    }

    /// Returns whether new flows may be opened to a target.
    #[must_use]
    pub fn takes_flows(&self, entry: &TargetEntry) -> bool {
        entry.accepts_flows() && self.evacuation(&entry.target.zone).is_none()
    }

    /// Returns whether the evacuation of a zone ended so recently that instances with outdated loads
    /// would all choose its idle targets.
    #[must_use]
    pub fn is_ramping_up(&self, zone: &PublishedZone, now: Millis) -> bool {
        let entry = self.evacuations.entries.get(zone);
        entry
            .and_then(|e| e.ended)
            .is_some_and(|at| now.since(at) < RAMP_TIME)
    }

    /// Returns the evacuations that have begun or ended since the last call.
    pub fn take_evacuation_events(&mut self) -> Vec<Evacuation> {
        std::mem::take(&mut self.evacuations.events)
    }

    /// Applies a change that the store reports unless the view has an entry of the same or a newer
    /// revision. Returns whether it was applied.
    pub fn apply_evacuation(&mut self, change: EvacuationChange, now: Millis) -> bool {
        if self.evacuations.supersedes(&change) {
            return false;
        }
        self.evacuations.set(change, now);
        self.generation += 1;
        true
    }

    /// Applies a list of all evacuations as of a revision, of the store or of a peer. Evacuations
    /// that it lacks have ended, unless they were published after `as_of`. Those of an earlier epoch
    /// are retained until the operator has had time to publish them again.
    pub fn apply_evacuation_list(
        &mut self,
        list: Vec<EvacuationChange>,
        as_of: StoreRevision,
        now: Millis,
    ) {
        let revision = self.revision;
        // A list that lags behind, or an entry of an earlier epoch, tells nothing about changes that
        // this view is complete up to. Its own entries may have older revisions than these: one that
        // a list lacked has the revision of that list, not of its removal.
        let is_known = |published: StoreRevision| {
            let lags = as_of <= revision || published.epoch < revision.epoch;
            published <= revision && lags
        };
        let listed: FastSet<_> = list.iter().map(|c| c.zone.clone()).collect();
        for change in list {
            if !is_known(change.revision) && !self.evacuations.supersedes(&change) {
                self.evacuations.set(change, now);
                self.generation += 1;
            }
        }
        self.end_unlisted(&listed, as_of, now);
        if self.evacuations.has_earlier_than(as_of) {
            self.settle_later(as_of.epoch, now);
        }
    }

    /// Ends the evacuations that a list as of a revision lacks.
    fn end_unlisted(&mut self, listed: &FastSet<PublishedZone>, as_of: StoreRevision, now: Millis) {
        let settled = self.is_settled(as_of.epoch, now);
        let decided = |e: &Evacuation| settled || e.revision.epoch == as_of.epoch;
        let unlisted = |e: &&Evacuation| e.revision <= as_of && !listed.contains(&e.zone);
        let ended = self.evacuations.in_force().filter(unlisted);
        let ended: Vec<_> = ended
            .filter(|e| decided(e))
            .map(Evacuation::to_change)
            .collect();
        for change in ended {
            let end = EvacuationChange {
                revision: as_of,
                ended: true,
                ..change
            };
            self.evacuations.set(end, now);
            self.generation += 1;
        }
    }
}
