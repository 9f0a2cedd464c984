//! Which instances watch the platform for their zone.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tanager_core::{FastMap, InstanceName, Millis, ZoneName};

use crate::Identity;
use crate::membership::{InstanceState, ListedInstance};

/// Watchers of an availability zone. Two may fail at the same moment and the zone still has one
/// until the list names others.
const ZONE_WATCHERS: usize = 3;
/// An instance that got no answer from a peer for this long watches for itself. Rounds of heartbeats are
/// 1 s apart; a change must be in force within 6 s of its acceptance.
const SILENCE: Duration = Duration::from_secs(3);

/// How an instance learns of changes on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watching {
    /// It watches, as do some others of the fleet.
    Watcher {
        /// Watchers in the fleet.
        watchers: usize,
    },
    /// No peer answers it, and it watches for itself.
    Alone {
        /// Instances of the fleet, all of which may be alone.
        instances: usize,
    },
    /// Peers tell it; it only checks from time to time.
    Informed {
        /// Instances of the fleet.
        instances: usize,
    },
}

impl fmt::Display for Watching {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Watcher { .. } => "watcher",
            Self::Alone { .. } => "alone",
            Self::Informed { .. } => "informed",
        })
    }
}

/// The role of this instance, assigned every second.
#[derive(Debug, Default)]
pub(super) struct Roles {
    watcher: AtomicBool,
    /// Watchers in the fleet.
    watchers: AtomicUsize,
    /// When a peer last answered.
    answered: Mutex<Option<Millis>>,
}

impl Roles {
    /// Notes that a peer answered.
    pub(super) fn note_answer(&self, now: Millis) {
        *self.answered.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Assigns the role among the known members.
    pub(super) fn assign(&self, identity: &Identity, others: &[ListedInstance]) {
        let mut zones: FastMap<&ZoneName, usize> = FastMap::default();
        *zones.entry(&identity.zone).or_default() += 1;
        let own = score(&identity.name);
        let mut before = 0;
        // A leaving instance is about to stop watching.
        for other in others.iter().filter(|i| i.state == InstanceState::Live) {
            *zones.entry(&other.zone).or_default() += 1;
            if other.zone == identity.zone && score(&other.name) > own {
                before += 1;
            }
        }
        let watchers = zones.values().map(|n| (*n).min(ZONE_WATCHERS)).sum();
        self.watcher
            .store(before < ZONE_WATCHERS, Ordering::Relaxed);
        self.watchers.store(watchers, Ordering::Relaxed);
    }

    pub(super) fn watching(&self, now: Millis, instances: usize) -> Watching {
        let answered = *self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        if self.watcher.load(Ordering::Relaxed) {
            let watchers = self.watchers.load(Ordering::Relaxed).max(1);
            Watching::Watcher { watchers }
        } else if answered.is_some_and(|at| now.since(at) <= SILENCE) {
            Watching::Informed { instances }
        } else {
            Watching::Alone { instances }
        }
    }
}

/// Returns the rendezvous score of an instance; those with the highest scores of a zone watch.
fn score(name: &InstanceName) -> [u8; 32] {
    *blake3::hash(name.as_str().as_bytes()).as_bytes()
}
