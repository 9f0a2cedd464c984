//! Selects the instances that watch the platform for their availability zone.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tanager_core::{FastMap, InstanceName, Millis, ZoneName};

use crate::Identity;
use crate::membership::{InstanceState, ListedInstance};

/// Watchers of an availability zone. If two fail at the same time, the zone still has one until
/// they are replaced.
const ZONE_WATCHERS: usize = 3;
/// An instance to which no peer has answered for this long watches the platform itself. Rounds of
/// heartbeats are 1 s apart; a change must be in force within 6 s of its acceptance.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// How an instance receives changes of the published documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchRole {
    /// It is one of the instances that watch the platform.
    Watcher {
        /// Number of watchers in the fleet.
        watchers: usize,
    },
    /// No peer answers it, so that it watches the platform itself.
    Alone {
        /// Instances of the fleet, all of which may be in this role at the same time.
        instances: usize,
    },
    /// Peers announce changes to it; it reads the platform only at long intervals.
    Informed {
        /// Number of instances in the fleet.
        instances: usize,
    },
}

impl fmt::Display for WatchRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Watcher { .. } => "watcher",
            Self::Alone { .. } => "alone",
            Self::Informed { .. } => "informed",
        })
    }
}

/// The role of this instance. It is assigned anew every second.
#[derive(Debug, Default)]
pub(super) struct RoleAssignment {
    is_watcher: AtomicBool,
    /// Number of watchers in the fleet.
    watchers: AtomicUsize,
    /// When a peer last answered a call.
    last_answer: Mutex<Option<Millis>>,
}

impl RoleAssignment {
    /// Records that a peer answered a call.
    pub(super) fn record_peer_answer(&self, now: Millis) {
        *self
            .last_answer
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Assigns the role by the scores of the live instances in the own zone.
    pub(super) fn assign(&self, identity: &Identity, others: &[ListedInstance]) {
        let mut zones: FastMap<&ZoneName, usize> = FastMap::default();
        *zones.entry(&identity.zone).or_default() += 1;
        let own = score(&identity.name);
        let mut ahead = 0;
        // A leaving instance is about to stop watching, so it does not count.
        for other in others.iter().filter(|i| i.state == InstanceState::Live) {
            *zones.entry(&other.zone).or_default() += 1;
            if other.zone == identity.zone && score(&other.name) > own {
                ahead += 1;
            }
        }
        let watchers = zones.values().map(|n| (*n).min(ZONE_WATCHERS)).sum();
        self.is_watcher
            .store(ahead < ZONE_WATCHERS, Ordering::Relaxed);
        self.watchers.store(watchers, Ordering::Relaxed);
    }

    pub(super) fn role(&self, now: Millis, instances: usize) -> WatchRole {
        let last_answer = *self
            .last_answer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if self.is_watcher.load(Ordering::Relaxed) {
            let watchers = self.watchers.load(Ordering::Relaxed).max(1);
            WatchRole::Watcher { watchers }
        } else if last_answer.is_some_and(|at| now.since(at) <= PEER_ANSWER_TIMEOUT) {
            WatchRole::Informed { instances }
        } else {
            WatchRole::Alone { instances }
        }
    }
}

/// Returns the score of an instance. In each zone the instances with the highest scores watch, so
/// that all instances select the same ones without coordination.
fn score(name: &InstanceName) -> [u8; 32] {
    *blake3::hash(name.as_str().as_bytes()).as_bytes()
}
