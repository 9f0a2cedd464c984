//! Exchanges heartbeats with other instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::RngExt as _;
use rand::seq::SliceRandom as _;
use serde::Serialize;
use tanager_core::Revision;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::admission::Lending;
use crate::catalogue::{CatalogueStore, DocumentKind};
use crate::membership::{ListedInstance, Membership, Pulls};
use crate::peer::{Heartbeat, Peers};
use crate::telemetry::{ControlRate, Counters, Log, Part};
use crate::usage::UsageTable;

/// Time between two rounds of exchanges.
const ROUND: Duration = Duration::from_secs(1);
/// Peers of the own availability zone in a round.
const OWN_ZONE: usize = 2;
/// Peers in a round. With the replies this bounds heartbeats to about 12 a second.
const FANOUT: usize = 3;
/// Peers told at once about a new catalogue, a new list, or an instance that leaves.
const ANNOUNCE: usize = 4;
/// Shortest time between announcements of leaving instances.
const DEPARTURE_PAUSE: Duration = Duration::from_millis(200);
/// Seeds asked at start.
const SEEDS: usize = 8;
/// Longest time at start before an instance serves with what it has.
const SURVEY_LIMIT: Duration = Duration::from_secs(4);
/// Bytes around the arguments of a call: length, kind, request number, deadline, trace.
const CALL_BYTES: u64 = 41;
/// Bytes around the result of a call: length, kind, request number.
const REPLY_BYTES: u64 = 6;

/// Exchanges heartbeats with peers and fetches newer catalogues from them.
pub struct Gossip {
    /// The fleet as known here.
    pub membership: Arc<Membership>,
    /// The catalogue in force.
    pub catalogue: Arc<CatalogueStore>,
    /// Usage counters and rows.
    pub usage: Arc<UsageTable>,
    /// Rates that are lent and borrowed in exchanges.
    pub lending: Arc<Lending>,
    /// Connections to peers.
    pub peers: Arc<Peers>,
    /// Counters of the instance.
    pub counters: Arc<Counters>,
    /// Rate of control traffic.
    pub rate: ControlRate,
    /// The log.
    pub log: Log,
    /// Newer documents that peers have.
    pub pulls: Pulls,
    /// Whether the seeds were asked.
    pub bootstrapped: AtomicBool,
}

impl Gossip {
    /// Returns whether the seeds were asked at start, so that the catalogue in force is the newest
    /// that any of them holds.
    #[must_use]
    pub fn is_bootstrapped(&self) -> bool {
        self.bootstrapped.load(Ordering::Acquire)
    }

    /// Starts all tasks.
    pub fn start(self: &Arc<Self>, seeds: Vec<SocketAddr>) {
        tokio::spawn(Arc::clone(self).survey(seeds));
        tokio::spawn(Arc::clone(self).run());
        tokio::spawn(Arc::clone(self).announce_departures());
        for revisions in [self.catalogue.subscribe(), self.membership.subscribe()] {
            tokio::spawn(Arc::clone(self).announce(revisions));
        }
    }

    /// Asks the seeds for what they know, for at most 4 s.
    async fn survey(self: Arc<Self>, mut seeds: Vec<SocketAddr>) {
        seeds.shuffle(&mut rand::rng());
        seeds.truncate(SEEDS);
        let asked = self.ask(&seeds);
        let _ = tokio::time::timeout(SURVEY_LIMIT, asked).await;
        self.bootstrapped.store(true, Ordering::Release);
    }

    /// Asks some peers for what they know now, as after a pause of the process.
    pub async fn refresh(self: &Arc<Self>) {
        let mut others = addresses(self.membership.others());
        others.shuffle(&mut rand::rng());
        others.truncate(FANOUT);
        self.ask(&others).await;
    }

    /// Exchanges heartbeats and fetches the newest catalogue offered.
    async fn ask(self: &Arc<Self>, peers: &[SocketAddr]) {
        let mut offers = Vec::new();
        let mut calls = self.exchange_with(peers, false);
        while let Some(reply) = calls.join_next().await {
            offers.extend(reply.ok().flatten().map(|h| (h.revision, h.address)));
        }
        // If the newest cannot be fetched from one peer, another may have it.
        offers.sort_unstable();
        for (revision, address) in offers.into_iter().rev() {
            self.pull(DocumentKind::Catalogue, revision, address).await;
        }
    }

    /// Runs a round of exchanges every second for as long as the process lives.
    async fn run(self: Arc<Self>) {
        let mut next = Instant::now();
        loop {
            // Jitter keeps instances that were started together from calling in step.
            next = Instant::now().max(next) + ROUND.mul_f64(rand::rng().random_range(0.9..1.1));
            self.membership.tick();
            self.rate.sample(&self.counters);
            let catalogue = self.catalogue.current();
            self.usage
                .update_own_rows(self.membership.identity(), &catalogue);
            drop(catalogue);
            let peers = self.choose();
            self.exchange_with(&peers, true).detach_all();
            sleep_until(next).await;
        }
    }

    /// Tells peers at once about every newly accepted document.
    pub(super) async fn announce(self: Arc<Self>, mut revisions: watch::Receiver<Revision>) {
        while revisions.changed().await.is_ok() {
            revisions.borrow_and_update();
            self.tell_some();
        }
    }

    /// Tells peers at once about every instance that is found to be leaving. Each instance passes
    /// it on once, so that it is known everywhere within a few steps.
    async fn announce_departures(self: Arc<Self>) {
        loop {
            self.membership.departure().await;
            self.tell_some();
            // Some departures at the same time are told together.
            sleep(DEPARTURE_PAUSE).await;
        }
    }

    fn tell_some(self: &Arc<Self>) {
        let mut others = addresses(self.membership.others());
        others.shuffle(&mut rand::rng());
        others.truncate(ANNOUNCE);
        self.exchange_with(&others, false).detach_all();
    }

    /// Takes a peer's heartbeat and returns the own one.
    pub fn answer(self: &Arc<Self>, heartbeat: &Heartbeat) -> Heartbeat {
        self.received_call(heartbeat);
        // Peers in step differ by the few rows that are on their way.
        let fill = heartbeat.rows < self.usage.row_count() / 4 * 3;
        self.take(heartbeat);
        // The loans go back in this reply only, so no other instance can use them.
        let loans = self.lending.lend(&heartbeat.demand);
        let reply = Heartbeat {
            loans,
            ..self.compose(true, fill)
        };
        self.sent_reply(&reply);
        reply
    }

    fn exchange_with(self: &Arc<Self>, peers: &[SocketAddr], rows: bool) -> Calls {
        let mut calls = JoinSet::new();
        // Only rounds ask for loans: announcements are more frequent and would ask again before
        // the loans of the round have arrived.
        let mut demands = if rows {
            self.lending.demands(peers.len())
        } else {
            Vec::new()
        };
        for address in peers.iter().copied() {
            let gossip = Arc::clone(self);
            let heartbeat = Heartbeat {
                demand: demands.pop().unwrap_or_default(),
                ..self.compose(rows, false)
            };
            calls.spawn(async move { gossip.exchange(address, heartbeat).await });
        }
        calls
    }

    async fn exchange(self: Arc<Self>, peer: SocketAddr, own: Heartbeat) -> Option<Heartbeat> {
        self.sent_call(&own);
        if let Ok(reply) = self.peers.exchange(peer, own).await {
            self.received_reply(&reply);
            self.membership.note_answer();
            self.take(&reply);
            self.lending.borrow(&reply.loans);
            Some(reply)
        } else {
            self.counters.exchanges_failed.increment();
            None
        }
    }

    fn compose(&self, rows: bool, fill: bool) -> Heartbeat {
        let identity = self.membership.identity();
        let catalogue = self.catalogue.current();
        Heartbeat {
            name: identity.name.clone(),
            incarnation: identity.incarnation,
            zone: identity.zone.clone(),
            region: identity.region.clone(),
            address: identity.address,
            state: self.membership.state(),
            revision: catalogue.revision,
            digest: catalogue.digest,
            list: self.membership.list().revision,
            rows: self.usage.row_count(),
            usage: if rows {
                self.usage.select(identity, fill)
            } else {
                Vec::new()
            },
            members: self.membership.members(),
            demand: Vec::new(),
            loans: Vec::new(),
        }
    }

    fn take(self: &Arc<Self>, heartbeat: &Heartbeat) {
        self.membership.hear(heartbeat);
        self.usage
            .merge(self.membership.identity(), &heartbeat.usage);
        let peer = heartbeat.address;
        self.consider(DocumentKind::Catalogue, heartbeat.revision, peer);
        self.consider(DocumentKind::Instances, heartbeat.list, peer);
        let current = self.catalogue.current();
        if heartbeat.revision == current.revision
            && heartbeat.digest != current.digest
            && self.catalogue.note_conflict(heartbeat.digest)
        {
            let (name, revision) = (&heartbeat.name, current.revision);
            self.log.warn(
                Part::Catalogue,
                format_args!("{name} has another catalogue with revision {revision}"),
            );
        }
    }

    /// Chooses peers for a round: 2 of the own availability zone and 1 of another, or 3 of
    /// whichever there are.
    pub(super) fn choose(&self) -> Vec<SocketAddr> {
        let zone = &self.membership.identity().zone;
        let mut others = self.membership.others();
        others.shuffle(&mut rand::rng());
        let (own, mut other): (Vec<_>, Vec<_>) = others.into_iter().partition(|i| i.zone == *zone);
        let foreign = FANOUT - own.len().min(OWN_ZONE);
        let rest = other.split_off(foreign.min(other.len()));
        let missing = FANOUT - other.len();
        let mut peers = addresses(other);
        peers.extend(addresses(own).into_iter().take(missing));
        peers.extend(addresses(rest).into_iter().take(FANOUT - peers.len()));
        peers
    }

    pub(super) fn sent_call(&self, message: &impl Serialize) {
        self.sent(message, CALL_BYTES);
    }

    pub(super) fn sent_reply(&self, message: &impl Serialize) {
        self.sent(message, REPLY_BYTES);
    }

    pub(super) fn received_call(&self, message: &impl Serialize) {
        self.received(message, CALL_BYTES);
    }

    pub(super) fn received_reply(&self, message: &impl Serialize) {
        self.received(message, REPLY_BYTES);
    }

    fn sent(&self, message: &impl Serialize, envelope: u64) {
        let bytes = size(message) + envelope;
        self.counters.control_sent_bytes.add(bytes);
    }

    fn received(&self, message: &impl Serialize, envelope: u64) {
        let bytes = size(message) + envelope;
        self.counters.control_received_bytes.add(bytes);
    }
}

type Calls = JoinSet<Option<Heartbeat>>;

fn addresses(instances: Vec<ListedInstance>) -> Vec<SocketAddr> {
    instances.into_iter().map(|i| i.address).collect()
}

/// Returns the size of a message as tarpc encodes it.
fn size<T: Serialize>(message: &T) -> u64 {
    let codec = std::pin::pin!(Bincode::<(), &T>::default());
    codec.serialize(&message).map_or(0, |b| b.len() as u64)
}
