//! Changes of the view, and the difference between two views.

use serde::{Deserialize, Serialize};
use tanager_core::Incarnation;

use super::EvacuationChange;
use crate::{RouteTable, StoreRevision, Target, TargetNumber};

/// A change of one target's published entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The target.
    pub number: TargetNumber,
    /// The revision at which it was published.
    pub revision: StoreRevision,
    /// The target. After its removal the last entry, if the sender has it, because packets of its
    /// flows still arrive.
    pub target: Option<Target>,
    /// Whether the target was removed.
    pub removed: bool,
    /// Whether the sender has retained it from an earlier epoch.
    pub provisional: bool,
}

impl Change {
    /// Creates the change that publishes a target.
    #[must_use]
    pub const fn published(target: Target, revision: StoreRevision) -> Self {
        Self {
            number: target.number,
            revision,
            target: Some(target),
            removed: false,
            provisional: false,
        }
    }

    /// Creates the change that removes a target of which only the number is known.
    #[must_use]
    pub const fn removal(number: TargetNumber, revision: StoreRevision) -> Self {
        Self {
            number,
            revision,
            target: None,
            removed: true,
            provisional: false,
        }
    }

    /// Returns what is known of the target; `None` for a removal without an entry.
    pub(super) fn state(&self) -> Option<PublishedState> {
        let target = self.target.as_ref()?;
        Some(PublishedState::new(target, self.removed))
    }
}

/// Orders what a target has published about itself, independently of the store's revisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PublishedState {
    incarnation: Incarnation,
    sequence: u64,
    removed: bool,
}

impl PublishedState {
    pub(super) const fn new(target: &Target, removed: bool) -> Self {
        Self {
            incarnation: target.incarnation,
            sequence: target.sequence,
            removed,
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

impl UpdateEffect {
    /// Returns the effect of replacing one entry of a target by another.
    pub(super) fn between(former: &Target, target: &Target) -> Self {
        if former.incarnation == target.incarnation {
            Self::Changed
        } else {
            Self::Restarted
        }
    }
}

/// The difference between two versions of the view, for a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The receiver's revision after the delta is merged.
    pub revision: StoreRevision,
    /// Whether `changes` lists all targets, so that missing ones have been removed.
    pub whole: bool,
    /// Changed targets.
    pub changes: Vec<Change>,
    /// The routes, if they have changed.
    pub routes: Option<RouteTable>,
    /// All evacuations, also those that have ended recently. A build that lacks this field cannot
    /// be read: its view may lack an evacuation that is in force.
    pub evacuations: Vec<EvacuationChange>,
}
