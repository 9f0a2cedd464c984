use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tanager_core::Incarnation;
use tokio::net::TcpListener;

use crate::catalogue::{DocumentReply, DocumentRequest};
use crate::peer::network::Connecting;
use crate::peer::{Heartbeat, Network, PeerHandler, Peers, RelayReply, Relayed, TcpNetwork, serve};

#[derive(Default)]
struct CountingNetwork(AtomicUsize);

impl Network for CountingNetwork {
    fn connect(&self, address: SocketAddr) -> Connecting {
        self.0.fetch_add(1, Ordering::Relaxed);
        TcpNetwork.connect(address)
    }
}

struct AcceptAll;

impl PeerHandler for AcceptAll {
    fn exchange(&self, heartbeat: Heartbeat) -> Heartbeat {
        heartbeat
    }

    fn document(&self, _: &DocumentRequest) -> Option<DocumentReply> {
        None
    }

    fn relay(&self, _: Relayed) -> RelayReply {
        RelayReply::Taken
    }
}

fn relayed() -> Relayed {
    Relayed {
        executor: Incarnation::new(1),
        caller: SocketAddr::from(([127, 0, 0, 1], 1)),
        datagram: vec![0; 100],
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("listen");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

async fn relay_all(peers: &Peers, address: SocketAddr, count: usize) -> usize {
    let calls = (0..count).map(|_| peers.relay(address, relayed()));
    join_all(calls).await.iter().filter(|r| r.is_ok()).count()
}

/// Guards against several connections being opened when calls start at the same time.
#[tokio::test]
async fn concurrent_calls_share_one_connection() {
    let (listener, address) = listener().await;
    tokio::spawn(serve(listener, Arc::new(AcceptAll)));
    let network = Arc::new(CountingNetwork::default());
    let peers = Peers::new(Arc::clone(&network) as Arc<dyn Network>);

    let accepted = relay_all(&peers, address, 100).await;

    assert_eq!(accepted, 100);
    assert_eq!(network.0.load(Ordering::Relaxed), 1);
}

/// Guards against an unbounded number of tasks that wait for a peer that accepts connections and
/// never answers.
#[tokio::test]
async fn frozen_peer_holds_a_bounded_number_of_calls() {
    let (_listener, address) = listener().await;
    let network = Arc::new(CountingNetwork::default());
    let peers = Arc::new(Peers::new(Arc::clone(&network) as Arc<dyn Network>));
    let start = Instant::now();

    let failed_at_once = Arc::new(AtomicUsize::new(0));
    let calls = (0..1_000).map(|_| {
        let (peers, failed_at_once) = (Arc::clone(&peers), Arc::clone(&failed_at_once));
        async move {
            let reply = peers.relay(address, relayed()).await;
            let error = reply
                .expect_err("a frozen peer does not answer")
                .to_string();
            if error.contains("too many calls") {
                failed_at_once.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    join_all(calls).await;

    assert_eq!(failed_at_once.load(Ordering::Relaxed), 1_000 - 256);
    assert_eq!(network.0.load(Ordering::Relaxed), 1);
    // The call limit is 1 s; the rest allows for a busy machine.
    assert!(start.elapsed() < Duration::from_secs(20));
}

/// Guards against idle connections that stay open, and against closed ones that break later calls.
#[tokio::test]
async fn idle_connection_is_closed_and_reopened() {
    let (listener, address) = listener().await;
    tokio::spawn(serve(listener, Arc::new(AcceptAll)));
    let network = Arc::new(CountingNetwork::default());
    let limit = Duration::from_millis(100);
    let peers = Peers::with_idle_limit(Arc::clone(&network) as Arc<dyn Network>, limit);
    let first = relay_all(&peers, address, 1).await;
    let start = Instant::now();
    while peers.connection_count() > 0 && start.elapsed() < Duration::from_secs(20) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let closed = peers.connection_count();
    let second = relay_all(&peers, address, 1).await;

    assert_eq!((first, closed, second), (1, 0, 1));
    assert_eq!(network.0.load(Ordering::Relaxed), 2);
}

/// Guards against calls that hang, or that each try to connect, when no process listens.
#[tokio::test]
async fn unreachable_peer_fails_calls() {
    let (listener, address) = listener().await;
    drop(listener);
    let network = Arc::new(CountingNetwork::default());
    let peers = Peers::new(Arc::clone(&network) as Arc<dyn Network>);

    let accepted = relay_all(&peers, address, 50).await;

    assert_eq!(accepted, 0);
    assert!(network.0.load(Ordering::Relaxed) < 50);
}
