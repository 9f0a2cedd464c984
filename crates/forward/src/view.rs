//! This instance's copy of the published targets and routes, with their revisions.

mod change;
mod epochs;
mod evacuation;

use std::sync::Arc;
use std::time::Duration;

use tanager_core::{FastMap, FastSet, Millis};

use crate::{Cookie, RouteTable, StoreRevision, Target, TargetNumber, TargetState, ViewVersion};
pub use change::{Change, Delta, UpdateEffect};
use epochs::{Omission, Settling};
use evacuation::Evacuations;
pub use evacuation::{Evacuation, EvacuationChange};

/// How long the entry of a removed target is retained. Longer than any flow lasts.
const RETENTION: Duration = Duration::from_mins(2);

/// A target's entry in the view.
#[derive(Debug, Clone)]
pub struct TargetEntry {
    /// The target as last published.
    pub target: Target,
    /// The revision of its publication or removal.
    pub revision: StoreRevision,
    /// When this instance received the publication.
    pub received: Millis,
    /// When this instance received the removal.
    pub removed: Option<Millis>,
    /// Whether it was retained from an earlier epoch of the store, which has not confirmed it since.
    pub provisional: bool,
}

impl TargetEntry {
    /// Returns whether the target was draining when it was removed.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.removed.is_some() && self.target.state == TargetState::Draining
    }

    /// Returns whether the target takes new flows, unless its zone is evacuated.
    #[must_use]
    pub fn accepts_flows(&self) -> bool {
        self.removed.is_none() && self.target.state == TargetState::Ready
    }

    /// Returns the remaining warm-up time of the target after its start.
    #[must_use]
    pub fn warmup(&self, now: Millis) -> Duration {
        self.target.warmup.saturating_sub(now.since(self.received))
    }
}

/// What the cookie of a packet tells about the target of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The flow is open at this target: it has sent data of the flow.
    Open(TargetNumber),
    /// This target answered the opening. If the opening was sent to several targets, the flow may be
    /// open at another one.
    Opening(TargetNumber),
}

impl Evidence {
    /// Returns the named target.
    #[must_use]
    pub const fn target(self) -> TargetNumber {
        match self {
            Self::Open(target) | Self::Opening(target) => target,
        }
    }
}

/// This instance's copy of the published targets, evacuations and routes.
///
/// Each entry keeps the revision at which it was published and is only replaced by a newer one, so
/// the store and peers may be read in any order without reverting a change. Routes have a version
/// of their own, which only increases.
#[derive(Debug, Default)]
pub struct View {
    /// Invariant: a removed target is retained for [`RETENTION`], so that packets of its
    /// flows can be forwarded.
    targets: FastMap<TargetNumber, TargetEntry>,
    by_cookie: FastMap<Cookie, TargetNumber>,
    evacuations: Evacuations,
    routes: Arc<RouteTable>,
    /// All changes up to this revision have been applied.
    revision: StoreRevision,
    /// All removals after this revision are known. Earlier ones may have been evicted, or were not
    /// received because targets were listed by a full read or a peer's whole view.
    removals_after: StoreRevision,
    /// When a read decides about provisional entries. Invariant: set if there is one.
    settling: Option<Settling>,
    generation: u64,
}

impl View {
    /// Returns the revision up to which the view is complete.
    #[must_use]
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the version of the view.
    #[must_use]
    pub fn version(&self) -> ViewVersion {
        ViewVersion {
            revision: self.revision,
            routes: self.routes.version,
        }
    }

    /// Returns the version to read a peer's view with. If the routes come from an earlier build,
    /// which does not send rates, they are read again.
    #[must_use]
    pub fn version_to_read(&self) -> ViewVersion {
        let mut version = self.version();
        if self.routes.lacks_rates() {
            version.routes = 0;
        }
        version
    }

    /// Returns a number that increases with each change of this view.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the routes in force.
    #[must_use]
    pub const fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Returns whether the view has routes and at least one target that is not removed.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        !self.routes.is_empty() && self.published().next().is_some()
    }

    /// Returns a target, also if it was recently removed.
    #[must_use]
    pub fn get(&self, number: TargetNumber) -> Option<&TargetEntry> {
        self.targets.get(&number)
    }

    /// Returns what the cookie of a packet tells about its flow's target, also if the target was
    /// recently removed.
    #[must_use]
    pub fn find_evidence(&self, cookie: Cookie) -> Option<Evidence> {
        let number = |e: &TargetEntry| e.target.number;
        let open = self.find_by_cookie(cookie).map(number);
        let opening = || self.find_by_cookie(cookie.of_opening()).map(number);
        open.map(Evidence::Open)
            .or_else(|| opening().map(Evidence::Opening))
    }

    /// Returns the target that the cookie of an open flow names, also if it was recently removed.
    #[must_use]
    pub fn find_by_cookie(&self, cookie: Cookie) -> Option<&TargetEntry> {
        self.by_cookie
            .get(&cookie)
            .and_then(|number| self.targets.get(number))
    }

    /// Returns the targets that are not removed.
    pub fn published(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().filter(|e| e.removed.is_none())
    }

    /// Returns the entries that were retained from an earlier epoch of the store.
    pub fn provisional(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().filter(|e| e.provisional)
    }

    /// Returns all targets, including recently removed ones.
    pub fn all(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Applies a change that the store reports unless the view has an entry of the same or a newer
    /// revision.
    pub fn apply(&mut self, change: Change, now: Millis) -> UpdateEffect {
        let entry = self.targets.get_mut(&change.number);
        if entry
            .as_ref()
            .is_some_and(|e| e.revision >= change.revision)
        {
            return UpdateEffect::Stale;
        }
        let mut effect = UpdateEffect::Changed;
        let removed = change.removed.then_some(now);
        match (entry, change.target) {
            (Some(entry), Some(target)) if !change.removed => {
                effect = UpdateEffect::between(&entry.target, &target);
                *entry = TargetEntry {
                    target,
                    revision: change.revision,
                    received: now,
                    removed: None,
                    provisional: change.provisional,
                };
            }
            (Some(entry), _) => {
                entry.revision = change.revision;
                entry.provisional = change.provisional;
                entry.removed = entry.removed.or(removed);
            }
            (None, Some(target)) => {
                let number = target.number;
                self.by_cookie.insert(number.cookie(), number);
                let entry = TargetEntry {
                    target,
                    revision: change.revision,
                    received: now,
                    removed,
                    provisional: change.provisional,
                };
                self.targets.insert(number, entry);
            }
            (None, None) => return UpdateEffect::Stale,
        }
        if change.provisional {
            self.settle_later(change.revision.epoch, now);
        }
        self.generation += 1;
        effect
    }

    /// Applies a change that a peer sent. The peer may lag behind this view, so a target that was
    /// published up to this view's revision and is missing here has been removed since. Its entry
    /// is retained as removed, because packets of its flows may still arrive.
    fn apply_from_peer(&mut self, mut change: Change, now: Millis) -> UpdateEffect {
        if let Some(effect) = self.adopt_earlier_epoch(&change, now) {
            return effect;
        }
        let known = change.revision <= self.revision;
        let entry = self.targets.get(&change.number);
        if known && entry.is_some_and(|e| !e.provisional) {
            return UpdateEffect::Stale;
        }
        if known && entry.is_none() && !change.provisional {
            change.removed = true;
            change.revision = self.revision;
        }
        self.apply_listed(change, now)
    }

    /// Applies routes if their version is newer than the present one, or adds rates to it. Returns
    /// whether they were applied.
    pub fn apply_routes(&mut self, mut routes: RouteTable) -> bool {
        if !routes.replaces(&self.routes) {
            return false;
        }
        routes.retain_unread_rates(&self.routes);
        routes.reindex();
        self.routes = Arc::new(routes);
        self.generation += 1;
        true
    }

    /// Marks every target for which `listed` returns false as removed, unless it was published
    /// after `revision`. Those of an earlier epoch are retained until they have had time to publish
    /// themselves again. Returns the removed targets.
    pub fn remove_unlisted(
        &mut self,
        listed: impl Fn(TargetNumber) -> bool,
        revision: StoreRevision,
        now: Millis,
    ) -> Vec<TargetNumber> {
        let settled = self.is_settled(revision.epoch, now);
        let mut removed = Vec::new();
        let mut retained = false;
        for (number, entry) in &mut self.targets {
            if entry.revision > revision || listed(*number) {
                continue;
            }
            match entry.omit(revision, settled, now) {
                Omission::None => {}
                Omission::Retained => retained = true,
                Omission::Removed => removed.push(*number),
            }
        }
        if retained {
            self.settle_later(revision.epoch, now);
        }
        self.removals_after = self.removals_after.max(revision);
        removed
    }

    /// Records that all changes up to a revision have been applied.
    pub fn advance(&mut self, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the changes that a peer with a view of version `after` lacks.
    #[must_use]
    pub fn delta(&self, after: ViewVersion) -> Delta {
        let revision = after.revision;
        let whole = revision < self.removals_after
            || revision.is_none()
            || revision.epoch != self.revision.epoch;
        let newer = |e: &&TargetEntry| whole || e.revision > revision;
        let change = |e: &TargetEntry| Change {
            number: e.target.number,
            revision: e.revision,
            target: Some(e.target.clone()),
            removed: e.removed.is_some(),
            provisional: e.provisional,
        };
        let changed = self.routes.version > after.routes;
        Delta {
            revision: self.revision,
            whole,
            changes: self.targets.values().filter(newer).map(change).collect(),
            routes: changed.then(|| (*self.routes).clone()),
            evacuations: self.evacuations.to_changes(),
        }
    }

    /// Applies a peer's delta. Returns the changed targets.
    pub fn merge(&mut self, delta: Delta, now: Millis) -> Vec<(TargetNumber, UpdateEffect)> {
        let mut changed = Vec::new();
        if delta.whole {
            let listed: FastSet<_> = delta.changes.iter().map(|c| c.number).collect();
            let removed = self.remove_unlisted(|n| listed.contains(&n), delta.revision, now);
            changed.extend(
                removed
                    .into_iter()
                    .map(|number| (number, UpdateEffect::Changed)),
            );
        }
        for change in delta.changes {
            let number = change.number;
            let effect = self.apply_from_peer(change, now);
            if effect != UpdateEffect::Stale {
                changed.push((number, effect));
            }
        }
        self.apply_evacuation_list(delta.evacuations, delta.revision, now);
        if let Some(routes) = delta.routes {
            self.apply_routes(routes);
        }
        self.advance(delta.revision);
        if delta.whole {
            self.finish_settling(now);
        }
        changed
    }

    /// Evicts removed targets and ended evacuations after their retention time.
    pub fn expire(&mut self, now: Millis) {
        let expired = |e: &TargetEntry| e.removed.is_some_and(|at| now.since(at) > RETENTION);
        let evicted = self
            .targets
            .values()
            .filter(|e| expired(e))
            .map(|e| e.revision);
        self.removals_after = self.removals_after.max(evicted.max().unwrap_or_default());
        self.targets.retain(|_, e| !expired(e));
        let targets = &self.targets;
        self.by_cookie.retain(|_, n| targets.contains_key(n));
        self.evacuations.expire(now);
    }
}
