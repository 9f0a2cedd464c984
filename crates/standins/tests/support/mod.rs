//! Fixtures of the flow tests.
#![allow(dead_code, reason = "each test program uses a part")]

use std::time::Duration;

use bytes::Bytes;
use tanager_core::{FlowId, ServiceId};
use tanager_standins::caller::{Caller, FeedReport};
use tanager_standins::fleet::{Fleet, FleetConfig, service};
use tanager_standins::settings::Service;
use tanager_wire::{Close, Datagram, DatagramBody, FlowKind, Keepalive, Open, Opened};
use tanagerproxy::Node;
use tanagerproxy::telemetry::{Decision, DecisionKind};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

/// Sum of the reports of several feeds.
#[derive(Debug, Default)]
pub struct ReportSum {
    /// Number of feeds that opened.
    pub opened: usize,
    /// How often feeds broke.
    pub broken: u32,
    /// How often feeds moved to another target.
    pub moves: u32,
    /// Updates received in order.
    pub updates: u64,
    /// Longest gap between updates of any feed.
    pub longest_gap: Duration,
}

/// Returns the service `buzz`, number 1, with some targets.
pub fn buzz(targets: usize) -> Vec<(Service, usize)> {
    vec![(service("buzz", 1, "abay"), targets)]
}

/// Starts a fleet.
pub async fn fleet(nodes: usize, services: Vec<(Service, usize)>, seed: u64) -> Fleet {
    let config = FleetConfig {
        nodes,
        services,
        seed,
    };
    Fleet::start(config).await.expect("fleet")
}

/// Opens feeds of a service, each from a caller of its own, and holds them for a time.
pub async fn hold_feeds(
    fleet: &Fleet,
    service: u32,
    count: usize,
    time: Duration,
) -> JoinSet<FeedReport> {
    let end = Instant::now() + time;
    let mut feeds = JoinSet::new();
    for _ in 0..count {
        let caller = Caller::start(fleet.fabric.address(), service)
            .await
            .expect("caller");
        feeds.spawn(async move { caller.hold_feed(end).await });
    }
    feeds
}

/// Waits for the feeds to end and adds up their reports.
pub async fn sum_reports(feeds: JoinSet<FeedReport>) -> ReportSum {
    let mut sum = ReportSum::default();
    for report in feeds.join_all().await {
        sum.opened += usize::from(report.opened);
        sum.broken += report.broken;
        sum.moves += report.moves;
        sum.updates += report.updates;
        sum.longest_gap = sum.longest_gap.max(report.longest_gap);
    }
    sum
}

/// Waits until a condition holds, for at most `limit`. Returns whether it did.
pub async fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        sleep(Duration::from_millis(50)).await;
    }
    true
}

/// Returns a node's recent decisions of one kind.
pub fn node_decisions(node: &Node, kind: DecisionKind) -> Vec<Decision> {
    node.decisions().find(usize::MAX, |d| d.kind == kind)
}

/// A caller that sends arbitrary datagrams, also those that no correct caller sends.
pub struct RawCaller {
    socket: UdpSocket,
}

impl RawCaller {
    /// Opens a socket towards the fabric.
    pub async fn start(fleet: &Fleet) -> Self {
        let fabric = fleet.fabric.address();
        let socket = UdpSocket::bind((fabric.ip(), 0)).await.expect("socket");
        socket.connect(fabric).await.expect("fabric");
        Self { socket }
    }

    /// Sends one datagram for a service.
    pub async fn send(&self, service: u32, body: DatagramBody) {
        let service = ServiceId::new(service);
        let bytes = Datagram { service, body }.encode().expect("datagram");
        self.socket.send(&bytes).await.expect("send");
    }

    /// Opens a feed.
    pub async fn open(&self, service: u32, flow: FlowId) -> Opened {
        let open = Open {
            flow,
            kind: FlowKind::Feed,
            resume_from: 0,
        };
        self.send(service, DatagramBody::Open(open)).await;
        let limit = Duration::from_secs(5);
        let opened = self.receive(limit, |b| match b {
            DatagramBody::Opened(opened) => Some(opened),
            _ => None,
        });
        opened.await.expect("the flow opens")
    }

    /// Sends a keepalive.
    pub async fn keepalive(&self, service: u32, flow: FlowId, token: &Bytes, missed: u32) {
        let keepalive = Keepalive {
            flow,
            token: token.clone(),
            number: 1_000 + u64::from(missed),
            acked: 0,
            missed,
        };
        self.send(service, DatagramBody::Keepalive(keepalive)).await;
    }

    /// Sends a close.
    pub async fn close(&self, service: u32, flow: FlowId, token: &Bytes) {
        let token = token.clone();
        self.send(service, DatagramBody::Close(Close { flow, token }))
            .await;
    }

    /// Returns the first result of `pick` for a received datagram, if one arrives within `limit`.
    pub async fn receive<T>(
        &self,
        limit: Duration,
        pick: impl Fn(DatagramBody) -> Option<T>,
    ) -> Option<T> {
        let end = Instant::now() + limit;
        let mut buf = vec![0; 2_048];
        while let Ok(Ok(size)) = timeout_at(end, self.socket.recv(&mut buf)).await {
            let body = Datagram::decode(&buf[..size]).expect("valid").body;
            if let Some(picked) = pick(body) {
                return Some(picked);
            }
        }
        None
    }
}
