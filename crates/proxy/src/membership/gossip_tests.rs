use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tanager_core::{Clock, Incarnation, Revision};
use tokio::net::TcpListener;

use crate::Identity;
use crate::admission::Lending;
use crate::catalogue::{CatalogueStore, DocumentReply, DocumentRequest};
use crate::membership::{Gossip, InstanceState, Membership, Pulls};
use crate::peer::{Heartbeat, PeerHandler, Peers, RelayReply, Relayed, TcpNetwork, serve};
use crate::telemetry::{ControlRate, Counters, Log};

const CATALOGUE: &str = "revision: 7\nowners: []\nentries: []\n";

/// Returns the heartbeat of a live instance that has read nothing.
pub(super) fn heartbeat(name: &str, zone: &str, address: SocketAddr) -> Heartbeat {
    Heartbeat {
        name: name.parse().expect("name"),
        incarnation: Incarnation::random(),
        zone: zone.parse().expect("zone"),
        region: "addis".parse().expect("region"),
        address,
        state: InstanceState::Live,
        revision: Revision::new(0),
        digest: [0; 16],
        list: Revision::new(0),
        rows: 0,
        usage: Vec::new(),
        members: Vec::new(),
        demand: Vec::new(),
        loans: Vec::new(),
    }
}

/// Returns the gossip of an instance in zone `a` that heard from `peers`.
pub(super) fn gossip(peers: &[Heartbeat]) -> Arc<Gossip> {
    let membership = Membership::new(Identity {
        name: "node-0".parse().expect("name"),
        zone: "a".parse().expect("zone"),
        region: "addis".parse().expect("region"),
        incarnation: Incarnation::new(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    });
    for peer in peers {
        membership.hear(peer);
    }
    let (membership, catalogue) = (Arc::new(membership), Arc::new(CatalogueStore::default()));
    let lending = Lending::new(
        Arc::clone(&catalogue),
        Arc::clone(&membership),
        Clock::start(),
    );
    Arc::new(Gossip {
        membership,
        catalogue,
        lending,
        usage: Arc::default(),
        peers: Arc::new(Peers::new(Arc::new(TcpNetwork))),
        counters: Arc::new(Counters::default()),
        rate: ControlRate::default(),
        log: Log::discard(Clock::start()),
        pulls: Pulls::default(),
        bootstrapped: AtomicBool::new(false),
    })
}

/// Returns peers of the given zones that nobody listens for.
fn peers(zones: &str) -> Vec<Heartbeat> {
    let peer = |(i, zone): (usize, char)| {
        let port = 10 + u16::try_from(i).expect("port");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        heartbeat(&format!("node-{}", i + 1), &zone.to_string(), address)
    };
    zones.chars().enumerate().map(peer).collect()
}

/// Returns how many peers of each zone a round has.
fn round(zones: &str) -> Vec<(char, usize)> {
    let peers = peers(zones);
    let chosen = gossip(&peers).choose();
    let count = |zone: char| {
        let in_zone = |p: &&Heartbeat| p.zone.as_str() == zone.to_string();
        let addresses = peers.iter().filter(in_zone).map(|p| p.address);
        addresses.filter(|a| chosen.contains(a)).count()
    };
    "abc".chars().map(|zone| (zone, count(zone))).collect()
}

/// Guards against costly links between zones carrying most heartbeats, and against zones that
/// never hear of each other.
#[test]
fn round_has_two_peers_of_the_own_zone_and_one_of_another() {
    for _ in 0..20 {
        let chosen = round("aaaabbb");
        assert_eq!(chosen, [('a', 2), ('b', 1), ('c', 0)]);
    }
}

/// Guards against an instance alone in its zone, or without other zones, having too few peers.
#[test]
fn missing_peers_are_taken_from_where_there_are_some() {
    assert_eq!(round("bbbb"), [('a', 0), ('b', 3), ('c', 0)]);
    assert_eq!(round("aaaa"), [('a', 3), ('b', 0), ('c', 0)]);
    assert_eq!(round("ab"), [('a', 1), ('b', 1), ('c', 0)]);
}

/// Records the heartbeats that a peer gets.
struct Recorder(Arc<Mutex<Vec<Heartbeat>>>);

impl PeerHandler for Recorder {
    fn exchange(&self, heartbeat: Heartbeat) -> Heartbeat {
        let reply = heartbeat.clone();
        self.0.lock().expect("not poisoned").push(heartbeat);
        reply
    }

    fn document(&self, _: &DocumentRequest) -> Option<DocumentReply> {
        None
    }

    fn relay(&self, _: Relayed) -> RelayReply {
        RelayReply::Taken
    }
}

/// Guards against a change that waits for the next round of every instance on its way.
#[tokio::test]
async fn new_revision_is_announced_to_four_peers_at_once() {
    let received = Arc::new(Mutex::new(Vec::new()));
    let mut peers = Vec::new();
    for i in 1..=6 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        peers.push(heartbeat(&format!("node-{i}"), "b", address));
        let recorder = Arc::new(Recorder(Arc::clone(&received)));
        tokio::spawn(serve(listener, recorder));
    }
    let gossip = gossip(&peers);
    let revisions = gossip.catalogue.subscribe();
    tokio::spawn(Arc::clone(&gossip).announce(revisions));

    gossip.catalogue.offer(CATALOGUE).expect("newer");
    // No rounds run here, so that every heartbeat is an announcement.
    for _ in 0..250 {
        if received.lock().expect("not poisoned").len() >= 4 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;

    let received = received.lock().expect("not poisoned");
    assert_eq!(received.len(), 4);
    assert!(received.iter().all(|h| h.revision == Revision::new(7)));
}
