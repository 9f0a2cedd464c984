//! Control traffic of a fleet: the accuracy of its counters and its limit.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use tanager_core::{FastMap, RequestId};
use tanager_standins::caller::Caller;
use tanager_standins::fleet::{Fleet, FleetConfig, service};
use tanagerproxy::Node;
use tanagerproxy::peer::{Network, PeerStream, TcpNetwork};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, sleep};

/// Limit for the control traffic of an instance, in bytes a second.
const CONTROL_LIMIT: f64 = 8_000.0;

async fn fetch_page(node: &Node, path: &str) -> Value {
    let url = format!("http://{}{path}", node.status_address());
    let reply = reqwest::get(url).await.expect("reply");
    reply.json().await.expect("json")
}

/// Guards against control traffic above its limit while usage changes in all instances.
#[tokio::test(flavor = "multi_thread")]
async fn control_traffic_stays_within_its_budget() {
    let config = FleetConfig {
        nodes: 8,
        services: vec![
            (service("buzz", 1, "abay"), 2),
            (service("print", 2, "kuiseb"), 2),
        ],
        seed: 3,
    };
    let fleet = Fleet::start(config).await.expect("fleet");
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        for service in [1, 2] {
            let fabric = fleet.fabric.address();
            let caller = Caller::start(fabric, service).await.expect("caller");
            let budget = Duration::from_secs(5);
            let body = Bytes::from_static(b"x");
            caller.fetch(RequestId::random(), body, budget).await;
        }
    }

    for node in fleet.running() {
        let status = fetch_page(node, "/status").await;
        let sent = status["control_sent"].as_f64().expect("rate");
        let received = status["control_received"].as_f64().expect("rate");
        println!(
            "{}: {sent:.0} B/s sent, {received:.0} B/s received",
            status["instance"]
        );
        assert!(
            sent > 0.0 && sent + received < CONTROL_LIMIT,
            "{sent} {received}"
        );
    }
}

type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn PeerStream>>> + Send>>;

/// A network that counts the bytes sent and received for each peer address.
#[derive(Default, Clone)]
struct CountingNetwork(Arc<Mutex<FastMap<SocketAddr, u64>>>);

struct CountingStream {
    inner: Box<dyn PeerStream>,
    address: SocketAddr,
    network: CountingNetwork,
}

impl CountingStream {
    fn count(&self, bytes: usize) {
        let mut counts = self.network.0.lock().expect("not poisoned");
        *counts.entry(self.address).or_default() += bytes as u64;
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buf);
        self.count(buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(context, buf);
        if let Poll::Ready(Ok(bytes)) = &result {
            self.count(*bytes);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl Network for CountingNetwork {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        let network = self.clone();
        Box::pin(async move {
            let inner = TcpNetwork.connect(address).await?;
            let stream = CountingStream {
                inner,
                address,
                network,
            };
            Ok(Box::new(stream) as Box<dyn PeerStream>)
        })
    }
}

/// Guards against counters that miss a part of the control traffic: the bytes that instances count
/// must match those on the connections between them.
#[tokio::test(flavor = "multi_thread")]
async fn counted_control_bytes_are_those_on_the_wire() {
    let network = CountingNetwork::default();
    let config = FleetConfig {
        nodes: 5,
        services: vec![(service("buzz", 1, "abay"), 1)],
        seed: 4,
    };
    let fleet = Fleet::start_with(config, Arc::new(network.clone()), |options| options)
        .await
        .expect("fleet");
    sleep(Duration::from_secs(6)).await;

    let mut counted = 0;
    for node in fleet.running() {
        let counters = fetch_page(node, "/status").await["counters"].clone();
        let counter_value = |name: &str| counters[name].as_u64().expect("counter");
        // The headers of each call to the platform are counted as 150 bytes.
        counted += counter_value("control_sent_bytes") - counter_value("platform_calls") * 150;
    }
    let counts = network.0.lock().expect("not poisoned").clone();
    let peers = fleet.running().map(|n| n.peer_address());
    let wire: u64 = peers.filter_map(|address| counts.get(&address)).sum();

    println!("{counted} bytes counted, {wire} bytes on the wire");
    assert!(
        counted.abs_diff(wire) * 20 < wire,
        "{counted} counted, {wire} on the wire"
    );
}
