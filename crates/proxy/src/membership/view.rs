//! The fleet as an instance knows it, from the list and from heartbeats.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tanager_core::{Clock, FastSet, Incarnation, InstanceName, Millis, Revision};
use tokio::sync::{Notify, watch};

use crate::catalogue::{DocumentReply, DocumentRequest, History, Published};
use crate::membership::heard::Heard;
use crate::membership::watchers::{Roles, Watching};
use crate::membership::{InstanceList, InstanceState, ListedInstance, Member};
use crate::peer::Heartbeat;
use crate::{Identity, Result};

/// How long the largest instance count divides limits. The published list of a reader that lags
/// by less than this cannot make the parts of a limit add up to more than the limit.
const COUNT_WINDOW: Duration = Duration::from_secs(30);

/// What this instance knows about the fleet.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    clock: Clock,
    list: ArcSwap<InstanceList>,
    changed: watch::Sender<Revision>,
    history: History,
    leaving: AtomicBool,
    /// Notified when an instance is first known to be leaving.
    departures: Notify,
    heard: Mutex<Heard>,
    /// Largest count of the last [`COUNT_WINDOW`].
    count: AtomicUsize,
    roles: Roles,
    /// Counts of the last [`COUNT_WINDOW`] with their time.
    counts: Mutex<Vec<(Millis, usize)>>,
}

impl Membership {
    /// Creates a view that knows only this instance.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            clock: Clock::start(),
            list: ArcSwap::from_pointee(InstanceList::empty()),
            changed: watch::Sender::new(Revision::new(0)),
            history: History::default(),
            leaving: AtomicBool::new(false),
            departures: Notify::new(),
            heard: Mutex::default(),
            count: AtomicUsize::new(1),
            roles: Roles::default(),
            counts: Mutex::default(),
        }
    }

    /// Returns who this instance is.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Takes over a published list if it is newer, and returns the revision now known.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Document`] if the list is not valid; the old one stays.
    pub fn offer_list(&self, text: &str) -> Result<Revision> {
        let offered = InstanceList::read(text)?;
        // The lock makes compare and replace one step for concurrent offers.
        let heard = self.heard();
        if offered.revision > self.list.load().revision {
            let revision = offered.revision;
            self.history.push(offered.digest, Arc::clone(&offered.text));
            self.list.store(Arc::new(offered));
            self.changed.send_replace(revision);
        }
        drop(heard);
        self.recount(self.clock.now());
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
        self.changed.subscribe()
    }

    /// Returns the text of the published list with its revision.
    #[must_use]
    pub fn published(&self) -> Published {
        let list = self.list.load();
        Published {
            revision: list.revision,
            digest: list.digest,
            text: Arc::clone(&list.text),
        }
    }

    /// Answers a peer that asks for a newer list.
    #[must_use]
    pub fn answer(&self, request: &DocumentRequest) -> Option<DocumentReply> {
        self.history.answer(&self.published(), request)
    }

    /// Notes that a peer answered a call of this instance. Calls of peers do not count: documents
    /// are pulled, so that an instance that cannot call out has to watch for itself.
    pub(super) fn note_answer(&self) {
        self.roles.note_answer(self.clock.now());
    }

    /// Returns how this instance learns of changes on the platform.
    #[must_use]
    pub fn watching(&self) -> Watching {
        self.roles.watching(self.clock.now(), self.instance_count())
    }

    /// Returns how many instances share the limits: the largest number of the last 30 s, counting
    /// the published ones and those heard from; at least 1.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Returns the other instances: the published ones, and those that were heard from lately
    /// with what they say about themselves.
    #[must_use]
    pub fn others(&self) -> Vec<ListedInstance> {
        let heard = self.heard().fresh(self.clock.now());
        let list = self.list.load();
        let mut known: FastSet<InstanceName> =
            heard.iter().map(|m| m.instance.name.clone()).collect();
        known.insert(self.identity.name.clone());
        let unheard = list.instances.iter().filter(|i| !known.contains(&i.name));
        let unheard = unheard.cloned();
        let others = heard.into_iter().map(|m| m.instance).chain(unheard);
        others
            .filter(|i| i.address != self.identity.address)
            .collect()
    }

    /// Takes what a peer says about itself and about others.
    pub fn hear(&self, heartbeat: &Heartbeat) {
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
        let mut heard = self.heard();
        for member in std::iter::once(&sender).chain(&heartbeat.members) {
            if member.instance.name != self.identity.name && heard.take(member, now) {
                self.departures.notify_one();
            }
        }
    }

    /// Returns members for a heartbeat: those that the published list lacks or shows differently.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let list = self.list.load();
        let listed: FastSet<&ListedInstance> = list.instances.iter().collect();
        self.heard().select(self.clock.now(), &listed)
    }

    /// Forgets instances that were not heard from for long, and counts the rest. Called every
    /// second.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.heard().expire(now);
        self.recount(now);
    }

    /// Returns the incarnation of an instance that was heard from.
    #[must_use]
    pub fn incarnation(&self, name: &InstanceName) -> Option<Incarnation> {
        if *name == self.identity.name {
            return Some(self.identity.incarnation);
        }
        self.heard().incarnation(name)
    }

    /// Returns the number of other instances that were heard from within some seconds.
    #[must_use]
    pub fn heard_count(&self) -> usize {
        self.heard().fresh(self.clock.now()).len()
    }

    /// Returns whether this instance is stopping.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Waits until another instance, or this one, is first known to be leaving.
    pub(super) async fn departure(&self) {
        self.departures.notified().await;
    }

    /// Returns this instance's state as told to peers.
    #[must_use]
    pub fn state(&self) -> InstanceState {
        if self.is_leaving() {
            InstanceState::Leaving
        } else {
            InstanceState::Live
        }
    }

    /// Marks this instance as stopping. It never takes new work again.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.departures.notify_one();
    }

    fn recount(&self, now: Millis) {
        // `others` excludes this instance, which need not be published yet.
        let others = self.others();
        self.roles.assign(&self.identity, &others);
        let present = others.len() + 1;
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.retain(|(at, count)| now.since(*at) <= COUNT_WINDOW && *count > present);
        counts.push((now, present));
        let largest = counts.iter().map(|(_, count)| *count).max();
        self.count.store(largest.unwrap_or(1), Ordering::Relaxed);
    }

    fn heard(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
