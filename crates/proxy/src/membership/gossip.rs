//! Exchanges heartbeats with other instances and announces changes to them.

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

/// Mean time between two rounds of exchanges.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Peers of the own availability zone in a round, if there are others too.
const OWN_ZONE_PEERS: usize = 2;
/// Peers in a round. With the replies this bounds heartbeats to about 12 per second.
const FANOUT: usize = 3;
/// Peers to which a new catalogue, a new list or a leaving instance is announced at once.
const ANNOUNCE_FANOUT: usize = 4;
/// Minimum time between announcements of leaving instances.
const DEPARTURE_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of seeds called at start.
const MAX_SEEDS: usize = 8;
/// Maximum time spent on the seeds at start. The instance then serves with the documents it has.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes of a call besides its arguments: length, kind, request number, deadline, trace.
const CALL_OVERHEAD_BYTES: u64 = 41;
/// Bytes of a reply besides its result: length, kind, request number.
const REPLY_OVERHEAD_BYTES: u64 = 6;

/// Exchanges heartbeats with peers and pulls newer documents from them.
pub struct Gossip {
    /// The instances of the fleet.
    pub membership: Arc<Membership>,
    /// The catalogue in force.
    pub catalogue: Arc<CatalogueStore>,
    /// Usage counters and rows.
    pub usage: Arc<UsageTable>,
    /// Quota lending: rates that are lent and borrowed in exchanges.
    pub lending: Arc<Lending>,
    /// Connections to peers.
    pub peers: Arc<Peers>,
    /// Counters of the instance.
    pub counters: Arc<Counters>,
    /// Rate of control traffic.
    pub rate: ControlRate,
    /// The log.
    pub log: Log,
    /// Pulls of newer documents that peers announced.
    pub pulls: Pulls,
    /// Whether the exchanges with the seeds at start have ended.
    pub bootstrapped: AtomicBool,
}

impl Gossip {
    /// Returns whether the exchanges with the seeds at start have ended, so that the catalogue in
    /// force is the newest that any reachable seed holds.
    #[must_use]
    pub fn is_bootstrapped(&self) -> bool {
        self.bootstrapped.load(Ordering::Acquire)
    }

    /// Starts all tasks.
    pub fn start(self: &Arc<Self>, seeds: Vec<SocketAddr>) {
        tokio::spawn(Arc::clone(self).bootstrap(seeds));
        tokio::spawn(Arc::clone(self).run());
        tokio::spawn(Arc::clone(self).announce_departures());
        for revisions in [self.catalogue.subscribe(), self.membership.subscribe()] {
            tokio::spawn(Arc::clone(self).announce(revisions));
        }
    }

    /// Exchanges heartbeats with the seeds, for at most [`BOOTSTRAP_TIMEOUT`].
    async fn bootstrap(self: Arc<Self>, mut seeds: Vec<SocketAddr>) {
        seeds.shuffle(&mut rand::rng());
        seeds.truncate(MAX_SEEDS);
        let sync = self.sync_with(&seeds);
        let _ = tokio::time::timeout(BOOTSTRAP_TIMEOUT, sync).await;
        self.bootstrapped.store(true, Ordering::Release);
    }

    /// Updates the view from some peers at once, for example after the process was suspended.
    pub async fn refresh(self: &Arc<Self>) {
        let mut others = addresses(self.membership.others());
        others.shuffle(&mut rand::rng());
        others.truncate(FANOUT);
        self.sync_with(&others).await;
    }

    /// Exchanges heartbeats with `peers` and pulls the newest catalogue offered.
    async fn sync_with(self: &Arc<Self>, peers: &[SocketAddr]) {
        let mut offers = Vec::new();
        let mut calls = self.exchange_with(peers, false);
        while let Some(reply) = calls.join_next().await {
            offers.extend(reply.ok().flatten().map(|h| (h.revision, h.address)));
        }
        // If one peer does not deliver the newest revision, another one may.
        offers.sort_unstable();
        for (revision, address) in offers.into_iter().rev() {
            self.pull(DocumentKind::Catalogue, revision, address).await;
        }
    }

    /// Runs a round of exchanges every second for as long as the process runs.
    async fn run(self: Arc<Self>) {
        let mut next = Instant::now();
        loop {
            // Jitter keeps instances that were started together from calling at the same time.
            next = Instant::now().max(next)
                + ROUND_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1));
            self.membership.tick();
            self.rate.sample(&self.counters);
            let catalogue = self.catalogue.current();
            self.usage
                .update_own_rows(self.membership.identity(), &catalogue);
            drop(catalogue);
            let peers = self.choose_peers();
            self.exchange_with(&peers, true).detach_all();
            sleep_until(next).await;
        }
    }

    /// Announces every newly accepted document to some peers at once.
    pub(super) async fn announce(self: Arc<Self>, mut revisions: watch::Receiver<Revision>) {
        while revisions.changed().await.is_ok() {
            revisions.borrow_and_update();
            self.announce_to_random_peers();
        }
    }

    /// Sends announcements to some peers at once when this instance starts to leave or another one
    /// is first reported as leaving. Each receiver announces the departure once, so that it
    /// propagates to the fleet within a few hops.
    async fn announce_departures(self: Arc<Self>) {
        loop {
            self.membership.next_departure().await;
            self.announce_to_random_peers();
            // Departures within this interval share one announcement.
            sleep(DEPARTURE_ANNOUNCE_INTERVAL).await;
        }
    }

    fn announce_to_random_peers(self: &Arc<Self>) {
        let mut others = addresses(self.membership.others());
        others.shuffle(&mut rand::rng());
        others.truncate(ANNOUNCE_FANOUT);
        self.exchange_with(&others, false).detach_all();
    }

    /// Applies a peer's heartbeat and returns the own one as the reply.
    pub fn answer(self: &Arc<Self>, heartbeat: &Heartbeat) -> Heartbeat {
        self.count_received_call(heartbeat);
        // Peers that are up to date differ only by the few rows still in transit.
        let backfill = heartbeat.rows < self.usage.row_count() / 4 * 3;
        self.apply_heartbeat(heartbeat);
        // The loans are sent in this reply only, so that no other instance can use them.
        let loans = self.lending.lend(&heartbeat.demand);
        let reply = Heartbeat {
            loans,
            ..self.build_heartbeat(true, backfill)
        };
        self.count_sent_reply(&reply);
        reply
    }

    /// Starts exchanges with `peers`. Those of a round also carry usage rows and demands.
    fn exchange_with(self: &Arc<Self>, peers: &[SocketAddr], is_round: bool) -> Exchanges {
        let mut calls = JoinSet::new();
        // Only rounds ask for loans: announcements are more frequent and would ask again before
        // the loans of the round have arrived.
        let mut demands = if is_round {
            self.lending.demands(peers.len())
        } else {
            Vec::new()
        };
        for address in peers.iter().copied() {
            let gossip = Arc::clone(self);
            let heartbeat = Heartbeat {
                demand: demands.pop().unwrap_or_default(),
                ..self.build_heartbeat(is_round, false)
            };
            calls.spawn(async move { gossip.exchange(address, heartbeat).await });
        }
        calls
    }

    async fn exchange(self: Arc<Self>, peer: SocketAddr, own: Heartbeat) -> Option<Heartbeat> {
        self.count_sent_call(&own);
        if let Ok(reply) = self.peers.exchange(peer, own).await {
            self.count_received_reply(&reply);
            self.membership.record_peer_answer();
            self.apply_heartbeat(&reply);
            self.lending.borrow(&reply.loans);
            Some(reply)
        } else {
            self.counters.exchanges_failed.increment();
            None
        }
    }

    /// Builds a heartbeat. `with_usage` adds usage rows, and `backfill` as many as fit.
    fn build_heartbeat(&self, with_usage: bool, backfill: bool) -> Heartbeat {
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
            usage: if with_usage {
                self.usage.select(identity, backfill)
            } else {
                Vec::new()
            },
            members: self.membership.members(),
            demand: Vec::new(),
            loans: Vec::new(),
        }
    }

    fn apply_heartbeat(self: &Arc<Self>, heartbeat: &Heartbeat) {
        self.membership.record_heartbeat(heartbeat);
        self.usage
            .merge(self.membership.identity(), &heartbeat.usage);
        let peer = heartbeat.address;
        self.pull_if_newer(DocumentKind::Catalogue, heartbeat.revision, peer);
        self.pull_if_newer(DocumentKind::Instances, heartbeat.list, peer);
        let current = self.catalogue.current();
        if heartbeat.revision == current.revision
            && heartbeat.digest != current.digest
            && self.catalogue.record_conflict(heartbeat.digest)
        {
            let (name, revision) = (&heartbeat.name, current.revision);
            self.log.warn(
                Part::Catalogue,
                format_args!("{name} has a different catalogue with revision {revision}"),
            );
        }
    }

    /// Chooses random peers for a round: 2 of the own availability zone and 1 of another one. If
    /// either has too few, the others make up for it.
    pub(super) fn choose_peers(&self) -> Vec<SocketAddr> {
        let zone = &self.membership.identity().zone;
        let mut others = self.membership.others();
        others.shuffle(&mut rand::rng());
        let (own, mut other): (Vec<_>, Vec<_>) = others.into_iter().partition(|i| i.zone == *zone);
        let other_count = FANOUT - own.len().min(OWN_ZONE_PEERS);
        let rest = other.split_off(other_count.min(other.len()));
        let own_count = FANOUT - other.len();
        let mut peers = addresses(other);
        peers.extend(addresses(own).into_iter().take(own_count));
        peers.extend(addresses(rest).into_iter().take(FANOUT - peers.len()));
        peers
    }

    pub(super) fn count_sent_call(&self, message: &impl Serialize) {
        self.count_sent(message, CALL_OVERHEAD_BYTES);
    }

    pub(super) fn count_sent_reply(&self, message: &impl Serialize) {
        self.count_sent(message, REPLY_OVERHEAD_BYTES);
    }

    pub(super) fn count_received_call(&self, message: &impl Serialize) {
        self.count_received(message, CALL_OVERHEAD_BYTES);
    }

    pub(super) fn count_received_reply(&self, message: &impl Serialize) {
        self.count_received(message, REPLY_OVERHEAD_BYTES);
    }

    fn count_sent(&self, message: &impl Serialize, overhead: u64) {
        let bytes = encoded_size(message) + overhead;
        self.counters.control_sent_bytes.add(bytes);
    }

    fn count_received(&self, message: &impl Serialize, overhead: u64) {
        let bytes = encoded_size(message) + overhead;
        self.counters.control_received_bytes.add(bytes);
    }
}

type Exchanges = JoinSet<Option<Heartbeat>>;

fn addresses(instances: Vec<ListedInstance>) -> Vec<SocketAddr> {
    instances.into_iter().map(|i| i.address).collect()
}

/// Returns the size of a message in bytes as tarpc encodes it.
fn encoded_size<T: Serialize>(message: &T) -> u64 {
    let codec = std::pin::pin!(Bincode::<(), &T>::default());
    codec.serialize(&message).map_or(0, |b| b.len() as u64)
}
