//! This instance's copy of the published targets and routes, with their revisions.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, FastSet, Millis};

use crate::{Cookie, RouteTable, Target, TargetNumber, TargetState};

/// How long the entry of a removed target is retained. Longer than any flow lasts.
const RETENTION: Duration = Duration::from_mins(2);

/// A change of one target's published entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The target.
    pub number: TargetNumber,
    /// The revision at which it was published.
    pub revision: u64,
    /// The target. After its removal the last entry, if the sender has it, because packets of its
    /// flows still arrive.
    pub target: Option<Target>,
    /// Whether the target was removed.
    pub removed: bool,
}

impl Change {
    /// Creates the change that publishes a target.
    #[must_use]
    pub const fn published(target: Target, revision: u64) -> Self {
        Self {
            number: target.number,
            revision,
            target: Some(target),
            removed: false,
        }
    }

    /// Creates the change that removes a target of which only the number is known.
    #[must_use]
    pub const fn removal(number: TargetNumber, revision: u64) -> Self {
        Self {
            number,
            revision,
            target: None,
            removed: true,
        }
    }
}

/// Effect of applying a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateEffect {
    /// None: the view has an entry of the same or a newer revision, or the removed target is not in
    /// the view.
    Stale,
    /// The view changed.
    Changed,
    /// The target was restarted and has lost its former state.
    Restarted,
}

/// The difference between two revisions of the view, for a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The receiver's revision after the delta is merged.
    pub revision: u64,
    /// Whether `changes` lists all targets, so that missing ones have been removed.
    pub whole: bool,
    /// Changed targets.
    pub changes: Vec<Change>,
    /// The routes, if they have changed.
    pub routes: Option<RouteTable>,
}

/// A target's entry in the view.
#[derive(Debug, Clone)]
pub struct TargetEntry {
    /// The target as last published.
    pub target: Target,
    /// The revision of its publication or removal.
    pub revision: u64,
    /// When this instance received the publication.
    pub received: Millis,
    /// When this instance received the removal.
    pub removed: Option<Millis>,
}

impl TargetEntry {
    /// Returns whether the target was draining when it was removed.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.removed.is_some() && self.target.state == TargetState::Draining
    }

    /// Returns the remaining warm-up time of the target after its start.
    #[must_use]
    pub fn warmup(&self, now: Millis) -> Duration {
        self.target.warmup.saturating_sub(now.since(self.received))
    }
}

/// This instance's copy of the published targets and routes.
///
/// Each entry keeps the revision at which it was published and is only replaced by a newer one, so
/// the store and peers may be read in any order without reverting a change.
#[derive(Debug, Default)]
pub struct View {
    /// Invariant: a removed target is retained for [`RETENTION`], so that packets of its
    /// flows can be forwarded.
    targets: FastMap<TargetNumber, TargetEntry>,
    by_cookie: FastMap<Cookie, TargetNumber>,
    routes: Arc<RouteTable>,
    /// All changes up to this revision have been applied.
    revision: u64,
    /// Removed entries up to this revision may have been evicted.
    evicted_revision: u64,
    generation: u64,
}

impl View {
    /// Returns the revision up to which the view is complete; 0 before the first reading.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
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

    /// Returns the target that a cookie names, also if it was recently removed.
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

    /// Returns all targets, including recently removed ones.
    pub fn all(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Applies a change read from the store unless the view has an entry of the same or a newer
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
                if entry.target.incarnation != target.incarnation {
                    effect = UpdateEffect::Restarted;
                }
                *entry = TargetEntry {
                    target,
                    revision: change.revision,
                    received: now,
                    removed: None,
                };
            }
            (Some(entry), _) => {
                entry.revision = change.revision;
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
                };
                self.targets.insert(number, entry);
            }
            (None, None) => return UpdateEffect::Stale,
        }
        self.generation += 1;
        effect
    }

    /// Applies a change that a peer sent. The peer may lag behind this view, so a target that was
    /// published up to this view's revision and is missing here has been removed since. Its entry
    /// is retained as removed, because packets of its flows may still arrive.
    fn apply_from_peer(&mut self, mut change: Change, now: Millis) -> UpdateEffect {
        let known = change.revision <= self.revision;
        if known && self.targets.contains_key(&change.number) {
            return UpdateEffect::Stale;
        }
        change.removed |= known;
        self.apply(change, now)
    }

    /// Applies routes if their version is newer than the present one. Returns whether it was.
    pub fn apply_routes(&mut self, mut routes: RouteTable) -> bool {
        if routes.version <= self.routes.version {
            return false;
        }
        routes.reindex();
        self.routes = Arc::new(routes);
        self.generation += 1;
        true
    }

    /// Marks every target for which `listed` returns false as removed, unless it was published
    /// after `revision`. Returns the removed targets.
    pub fn remove_unlisted(
        &mut self,
        listed: impl Fn(TargetNumber) -> bool,
        revision: u64,
        now: Millis,
    ) -> Vec<TargetNumber> {
        let mut removed = Vec::new();
        for (number, entry) in &mut self.targets {
            if entry.removed.is_none() && entry.revision <= revision && !listed(*number) {
                entry.removed = Some(now);
                entry.revision = revision;
                removed.push(*number);
            }
        }
        removed
    }

    /// Records that all changes up to a revision have been applied.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the changes that a peer at revision `after` lacks.
    #[must_use]
    pub fn delta(&self, after: u64) -> Delta {
        let whole = after < self.evicted_revision || after == 0;
        let newer = |e: &&TargetEntry| whole || e.revision > after;
        let change = |e: &TargetEntry| Change {
            number: e.target.number,
            revision: e.revision,
            target: Some(e.target.clone()),
            removed: e.removed.is_some(),
        };
        let changed = whole || self.routes.revision > after;
        Delta {
            revision: self.revision,
            whole,
            changes: self.targets.values().filter(newer).map(change).collect(),
            routes: changed.then(|| (*self.routes).clone()),
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
        if let Some(routes) = delta.routes {
            self.apply_routes(routes);
        }
        self.advance(delta.revision);
        changed
    }

    /// Evicts removed targets after their retention time.
    pub fn expire(&mut self, now: Millis) {
        let expired = |e: &TargetEntry| e.removed.is_some_and(|at| now.since(at) > RETENTION);
        let evicted = self
            .targets
            .values()
            .filter(|e| expired(e))
            .map(|e| e.revision);
        self.evicted_revision = self.evicted_revision.max(evicted.max().unwrap_or(0));
        self.targets.retain(|_, e| !expired(e));
        let targets = &self.targets;
        self.by_cookie.retain(|_, n| targets.contains_key(n));
    }
}
