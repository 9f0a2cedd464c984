//! The instances of the fleet, from the published list and from heartbeats.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tanager_core::{Clock, FastSet, Incarnation, InstanceName, Millis, Revision};
use tokio::sync::{Notify, watch};

use crate::catalogue::{DocumentReply, DocumentRequest, History, PublishedDocument};
use crate::membership::instance_table::InstanceTable;
use crate::membership::watchers::{RoleAssignment, WatchRole};
use crate::membership::{InstanceList, InstanceState, ListedInstance, Member};
use crate::peer::Heartbeat;
use crate::{Identity, Result};

/// How long the largest instance count is used to divide limits. If a published list lags by less
/// than this, the parts of a limit still add up to no more than the limit.
const COUNT_WINDOW: Duration = Duration::from_secs(30);

/// The fleet as this instance sees it: itself, the published list and received heartbeats.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    clock: Clock,
    list: ArcSwap<InstanceList>,
    list_revision: watch::Sender<Revision>,
    history: History,
    leaving: AtomicBool,
    /// Notified when this instance starts to leave, or when another one is first reported as
    /// leaving.
    departure_detected: Notify,
    instances: Mutex<InstanceTable>,
    /// Largest count of the last [`COUNT_WINDOW`].
    largest_count: AtomicUsize,
    role: RoleAssignment,
    /// Counts of the last [`COUNT_WINDOW`] with their time.
    recent_counts: Mutex<Vec<(Millis, usize)>>,
}

impl Membership {
    /// Creates a view that contains only this instance.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            clock: Clock::start(),
            list: ArcSwap::from_pointee(InstanceList::empty()),
            list_revision: watch::Sender::new(Revision::new(0)),
            history: History::default(),
            leaving: AtomicBool::new(false),
            departure_detected: Notify::new(),
            instances: Mutex::default(),
            largest_count: AtomicUsize::new(1),
            role: RoleAssignment::default(),
            recent_counts: Mutex::default(),
        }
    }

    /// Returns the identity of this instance.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Applies a published list if it is newer, and returns the revision now in force.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Document`] if the list is not valid; the old one stays.
    pub fn offer_list(&self, text: &str) -> Result<Revision> {
        let offered = InstanceList::read(text)?;
        // The lock makes comparison and replacement atomic for concurrent offers.
        let instances = self.instances();
        if offered.revision > self.list.load().revision {
            let revision = offered.revision;
            self.history.push(offered.digest, Arc::clone(&offered.text));
            self.list.store(Arc::new(offered));
            self.list_revision.send_replace(revision);
        }
        drop(instances);
        self.update_count_and_role(self.clock.now());
        Ok(self.list.load().revision)
    }

    /// Returns the published list.
    #[must_use]
    pub fn list(&self) -> Arc<InstanceList> {
        self.list.load_full()
    }

    /// Returns a receiver that sees every later revision of the published list.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.list_revision.subscribe()
    }

    /// Returns the text of the published list with its revision.
    #[must_use]
    pub fn published(&self) -> PublishedDocument {
        let list = self.list.load();
        PublishedDocument {
            revision: list.revision,
            digest: list.digest,
            text: Arc::clone(&list.text),
        }
    }

    /// Answers a peer's request for a newer list.
    #[must_use]
    pub fn answer(&self, request: &DocumentRequest) -> Option<DocumentReply> {
        self.history.answer(&self.published(), request)
    }

    /// Records that a peer answered a call of this instance. Calls from peers do not count:
    /// documents are pulled, so an instance that cannot reach any peer has to watch the platform.
    pub(super) fn record_peer_answer(&self) {
        self.role.record_peer_answer(self.clock.now());
    }

    /// Returns how this instance receives changes of the published documents.
    #[must_use]
    pub fn watch_role(&self) -> WatchRole {
        self.role.role(self.clock.now(), self.instance_count())
    }

    /// Returns how many instances share the limits: the largest number of the last 30 s, counting
    /// the published ones and those with a recent heartbeat; at least 1.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.largest_count.load(Ordering::Relaxed)
    }

    /// Returns the other instances: those with a recent heartbeat as they described themselves, and
    /// the remaining ones of the published list.
    #[must_use]
    pub fn others(&self) -> Vec<ListedInstance> {
        let recent = self.instances().recent(self.clock.now());
        let list = self.list.load();
        let mut seen: FastSet<InstanceName> =
            recent.iter().map(|m| m.instance.name.clone()).collect();
        seen.insert(self.identity.name.clone());
        let unseen = list.instances.iter().filter(|i| !seen.contains(&i.name));
        let unseen = unseen.cloned();
        let others = recent.into_iter().map(|m| m.instance).chain(unseen);
        others
            .filter(|i| i.address != self.identity.address)
            .collect()
    }

    /// Applies a peer's heartbeat: its own description and the members that it forwards.
    pub fn record_heartbeat(&self, heartbeat: &Heartbeat) {
        let now = self.clock.now();
        let sender = Member {
            instance: ListedInstance {
                name: heartbeat.name.clone(),
                zone: heartbeat.zone.clone(),
                region: heartbeat.region.clone(),
                address: heartbeat.address,
                state: heartbeat.state,
            },
            incarnation: heartbeat.incarnation,
            age_ms: 0,
        };
        let mut instances = self.instances();
        for member in std::iter::once(&sender).chain(&heartbeat.members) {
            if member.instance.name != self.identity.name && instances.apply(member, now) {
                self.departure_detected.notify_one();
            }
        }
    }

    /// Returns members for a heartbeat: those that the published list lacks or describes
    /// differently.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let list = self.list.load();
        let listed: FastSet<&ListedInstance> = list.instances.iter().collect();
        self.instances().select(self.clock.now(), &listed)
    }

    /// Evicts old records and updates the instance count and the role. Called every second.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.instances().expire(now);
        self.update_count_and_role(now);
    }

    /// Returns the incarnation of an instance, if a record of it is kept.
    #[must_use]
    pub fn incarnation(&self, name: &InstanceName) -> Option<Incarnation> {
        if *name == self.identity.name {
            return Some(self.identity.incarnation);
        }
        self.instances().incarnation(name)
    }

    /// Returns the number of other instances with a recent heartbeat.
    #[must_use]
    pub fn recently_seen_count(&self) -> usize {
        self.instances().recent(self.clock.now()).len()
    }

    /// Returns whether this instance is stopping.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Waits until this instance starts to leave, or until another one is first reported as
    /// leaving.
    pub(super) async fn next_departure(&self) {
        self.departure_detected.notified().await;
    }

    /// Returns this instance's state as announced to peers.
    #[must_use]
    pub fn state(&self) -> InstanceState {
        if self.is_leaving() {
            InstanceState::Leaving
        } else {
            InstanceState::Live
        }
    }

    /// Marks this instance as stopping. It never accepts new work again.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.departure_detected.notify_one();
    }

    fn update_count_and_role(&self, now: Millis) {
        // `others` excludes this instance, which need not be published yet.
        let others = self.others();
        self.role.assign(&self.identity, &others);
        let present = others.len() + 1;
        let mut recent_counts = self
            .recent_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        recent_counts.retain(|(at, count)| now.since(*at) <= COUNT_WINDOW && *count > present);
        recent_counts.push((now, present));
        let largest = recent_counts.iter().map(|(_, count)| *count).max();
        self.largest_count
            .store(largest.unwrap_or(1), Ordering::Relaxed);
    }

    fn instances(&self) -> MutexGuard<'_, InstanceTable> {
        self.instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
