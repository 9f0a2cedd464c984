//! The published targets and routes as this instance knows them, with their revisions.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, Millis};

use crate::{Cookie, RouteTable, Target, TargetNumber, TargetState};

/// How long a removed target's address is remembered. Longer than any flow lives.
const REMEMBERED: Duration = Duration::from_mins(2);

/// What was published about one target at a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The target.
    pub number: TargetNumber,
    /// The revision at which this was published.
    pub revision: u64,
    /// The target. After its removal the last entry, if the sender knows it: packets of its flows
    /// still come.
    pub target: Option<Target>,
    /// Whether the target was removed.
    pub removed: bool,
}

impl Change {
    /// Creates the publication of a target.
    #[must_use]
    pub const fn published(target: Target, revision: u64) -> Self {
        Self {
            number: target.number,
            revision,
            target: Some(target),
            removed: false,
        }
    }

    /// Creates the removal of a target of which only the number is known.
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

/// What a change told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateEffect {
    /// Nothing: something as new was known.
    Stale,
    /// Something new.
    Changed,
    /// That the target lives anew and knows nothing of before.
    Restarted,
}

/// The difference between two revisions of the view, for a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that the receiver has afterwards.
    pub revision: u64,
    /// Whether `changes` are all targets, so that missing ones were removed.
    pub whole: bool,
    /// Changed targets.
    pub changes: Vec<Change>,
    /// The routes, if they changed.
    pub routes: Option<RouteTable>,
}

/// A target with what this instance remembers about its entry.
#[derive(Debug, Clone)]
pub struct TargetEntry {
    /// The last published entry.
    pub target: Target,
    /// The revision of the entry or of its removal.
    pub revision: u64,
    /// When the entry was received here.
    pub received: Millis,
    /// When its removal was received here.
    pub removed: Option<Millis>,
}

impl TargetEntry {
    /// Returns whether the target announced its end and then left.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.removed.is_some() && self.target.state == TargetState::Draining
    }

    /// Returns how much longer the target is slow after its start.
    #[must_use]
    pub fn warmup(&self, now: Millis) -> Duration {
        self.target.warmup.saturating_sub(now.since(self.received))
    }
}

/// Published targets and routes as this instance knows them.
///
/// Each entry keeps the revision at which it was published, and only a newer one replaces it. So
/// the store and peers may be read in any order without a step back.
#[derive(Debug, Default)]
pub struct View {
    /// Invariant: removed targets stay for [`REMEMBERED`], so that their flows find them.
    targets: FastMap<TargetNumber, TargetEntry>,
    by_cookie: FastMap<Cookie, TargetNumber>,
    routes: Arc<RouteTable>,
    /// All changes up to this revision are in the view.
    revision: u64,
    /// Removals up to this revision have been forgotten.
    forgotten: u64,
    /// Grows with every change of this view.
    generation: u64,
}

impl View {
    /// Returns the revision up to which the view is complete; 0 before the first reading.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a number that grows with every change of this view.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the routes in force.
    #[must_use]
    pub const fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Returns whether targets and routes are known.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        !self.routes.is_empty() && self.published().next().is_some()
    }

    /// Returns a target, also one that was removed lately.
    #[must_use]
    pub fn get(&self, number: TargetNumber) -> Option<&TargetEntry> {
        self.targets.get(&number)
    }

    /// Returns the target that a cookie names, also one that was removed lately.
    #[must_use]
    pub fn find_by_cookie(&self, cookie: Cookie) -> Option<&TargetEntry> {
        self.by_cookie
            .get(&cookie)
            .and_then(|number| self.targets.get(number))
    }

    /// Returns the targets that are published now.
    pub fn published(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().filter(|k| k.removed.is_none())
    }

    /// Returns the targets that are published or were lately.
    pub fn all(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Takes over one entry unless a newer one is known.
    pub fn apply(&mut self, change: Change, now: Millis) -> UpdateEffect {
        let known = self.targets.get_mut(&change.number);
        if known
            .as_ref()
            .is_some_and(|k| k.revision >= change.revision)
        {
            return UpdateEffect::Stale;
        }
        let mut news = UpdateEffect::Changed;
        let removed = change.removed.then_some(now);
        match (known, change.target) {
            (Some(known), Some(target)) if !change.removed => {
                if known.target.incarnation != target.incarnation {
                    news = UpdateEffect::Restarted;
                }
                *known = TargetEntry {
                    target,
                    revision: change.revision,
                    received: now,
                    removed: None,
                };
            }
            (Some(known), _) => {
                known.revision = change.revision;
                known.removed = known.removed.or(removed);
            }
            (None, Some(target)) => {
                let number = target.number;
                self.by_cookie.insert(number.cookie(), number);
                let known = TargetEntry {
                    target,
                    revision: change.revision,
                    received: now,
                    removed,
                };
                self.targets.insert(number, known);
            }
            (None, None) => return UpdateEffect::Stale,
        }
        self.generation += 1;
        news
    }

    /// Takes over routes unless newer ones are in force. Returns whether they were news.
    pub fn apply_routes(&mut self, mut routes: RouteTable) -> bool {
        if routes.version <= self.routes.version {
            return false;
        }
        routes.reindex();
        self.routes = Arc::new(routes);
        self.generation += 1;
        true
    }

    /// Marks every target that `listed` does not name as removed, unless it was published after
    /// `revision`. Returns the removed ones.
    pub fn remove_unlisted(
        &mut self,
        listed: impl Fn(TargetNumber) -> bool,
        revision: u64,
        now: Millis,
    ) -> Vec<TargetNumber> {
        let mut gone = Vec::new();
        for (number, known) in &mut self.targets {
            if known.removed.is_none() && known.revision <= revision && !listed(*number) {
                known.removed = Some(now);
                known.revision = revision;
                gone.push(*number);
            }
        }
        gone
    }

    /// Notes that all changes up to a revision have been applied.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns what a peer at revision `after` lacks.
    #[must_use]
    pub fn delta(&self, after: u64) -> Delta {
        let whole = after < self.forgotten || after == 0;
        let newer = |k: &&TargetEntry| whole || k.revision > after;
        let change = |k: &TargetEntry| Change {
            number: k.target.number,
            revision: k.revision,
            target: Some(k.target.clone()),
            removed: k.removed.is_some(),
        };
        let changed = whole || self.routes.revision > after;
        Delta {
            revision: self.revision,
            whole,
            changes: self.targets.values().filter(newer).map(change).collect(),
            routes: changed.then(|| (*self.routes).clone()),
        }
    }

    /// Takes over what a peer sent. Returns the changed targets.
    pub fn merge(&mut self, delta: Delta, now: Millis) -> Vec<(TargetNumber, UpdateEffect)> {
        let mut changed = Vec::new();
        if delta.whole {
            let listed: Vec<_> = delta.changes.iter().map(|c| c.number).collect();
            let gone = self.remove_unlisted(|n| listed.contains(&n), delta.revision, now);
            changed.extend(
                gone.into_iter()
                    .map(|number| (number, UpdateEffect::Changed)),
            );
        }
        for change in delta.changes {
            let number = change.number;
            let news = self.apply(change, now);
            if news != UpdateEffect::Stale {
                changed.push((number, news));
            }
        }
        if let Some(routes) = delta.routes {
            self.apply_routes(routes);
        }
        self.advance(delta.revision);
        changed
    }

    /// Forgets targets that were removed long ago.
    pub fn expire(&mut self, now: Millis) {
        let old = |k: &TargetEntry| k.removed.is_some_and(|at| now.since(at) > REMEMBERED);
        let forgotten = self.targets.values().filter(|k| old(k)).map(|k| k.revision);
        self.forgotten = self.forgotten.max(forgotten.max().unwrap_or(0));
        self.targets.retain(|_, k| !old(k));
        let targets = &self.targets;
        self.by_cookie.retain(|_, n| targets.contains_key(n));
    }
}
