//! Compares the forwarding rate of a balancer with a bare UDP relay, and measures the memory of
//! held flows.

use std::io;
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pico_args::Arguments;
use tanager_core::{FastMap, FlowId, ServiceId};
use tanager_standins::fleet::{any_port, service};
use tanager_standins::process::{cpu_seconds, resident_bytes};
use tanager_standins::program::{self, Failure, ProgramResult};
use tanager_standins::settings::Service;
use tanager_standins::target::Options;
use tanager_wire::{Datagram, DatagramBody, FlowKind, Keepalive, Open};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

use crate::ExperimentConfig;
use crate::balancer::free_address;
use crate::faults::figure;
use crate::fleet::Fleet;
use crate::report::Report;

/// Number of sockets that send concurrently.
const SENDERS: usize = 8;
/// Most datagrams of one sender that are outstanding.
const WINDOW: usize = 64;
/// Time after which a datagram without a reply counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);
/// Flows held for the memory figure, the number given in the design.
const HELD_FLOWS: usize = 300_000;
/// Time within which all flows must open.
const OPEN_LIMIT: Duration = Duration::from_mins(2);
/// Number of the only service.
const SERVICE: u32 = 1;

pub async fn forwarding(config: &ExperimentConfig) -> io::Result<Report> {
    let idle_feeds = |options| Options {
        flows: 1_000_000,
        feed_interval: Duration::from_hours(1),
        idle_limit: Duration::from_hours(1),
        ..options
    };
    let only = Service {
        flows: 1_000_000,
        target_flows: 1_000_000,
        ..service("buzz", SERVICE, "abay")
    };
    let mut fleet = Fleet::start(1, vec![(only, 16)], idle_feeds, config.seed).await?;
    let balancer = fleet.balancers[0].instance.callers;
    let pid = fleet.balancers[0].pid();
    let time = Duration::from_secs(config.seconds) / 2;
    let mut packets = Vec::new();
    for token in open(balancer, SENDERS).await? {
        packets.push(keepalive(&token)?);
    }
    let relay = Relay::start().await?;
    let bare = measure_rate(relay.address, &packets, time).await?;
    drop(relay);
    let cpu_before = cpu_seconds(pid).unwrap_or(0.0);
    let forwarded = measure_rate(balancer, &packets, time).await?;
    let cpu_used = cpu_seconds(pid).unwrap_or(0.0) - cpu_before;
    let per_packet = cpu_used * 1e6 / (forwarded * time.as_secs_f64());
    let before = resident_bytes(pid).unwrap_or(0.0);
    let held = open(balancer, HELD_FLOWS).await?;
    send_keepalives(balancer, &held).await?;
    let after = resident_bytes(pid).unwrap_or(0.0);
    let count = figure(held.len() as u64);
    Ok(Report {
        figures: vec![
            ("forward_ratio", forwarded / bare),
            ("bytes_per_held_flow", (after - before).max(0.0) / count),
        ],
        baselines: vec![
            ("relay_per_s", bare),
            ("balancer_per_s", forwarded),
            ("balancer_core_us_per_packet", per_packet),
        ],
        breaches: fleet.observations(Vec::new()).await.breaches(),
        ..Report::default()
    })
}

type HeldFlow = (FlowId, Bytes);

fn encode(body: DatagramBody) -> io::Result<Bytes> {
    let service = ServiceId::new(SERVICE);
    let bytes = Datagram { service, body }
        .encode()
        .map_err(io::Error::other)?;
    Ok(bytes.into())
}

fn keepalive((flow, token): &HeldFlow) -> io::Result<Bytes> {
    encode(DatagramBody::Keepalive(Keepalive {
        flow: *flow,
        token: token.clone(),
        number: 1,
        acked: 0,
        missed: 0,
    }))
}

async fn connect(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind(any_port()).await?;
    socket.connect(address).await?;
    Ok(Arc::new(socket))
}

/// Opens feeds and returns their tokens. At most `WINDOW` opens are outstanding; an open without
/// a reply is replaced by one for another flow.
async fn open(balancer: SocketAddr, count: usize) -> io::Result<Vec<HeldFlow>> {
    let socket = connect(balancer).await?;
    let end = Instant::now() + OPEN_LIMIT;
    let mut held = Vec::with_capacity(count);
    let mut buf = vec![0; 2_048];
    let mut outstanding = 0;
    while held.len() < count {
        if Instant::now() > end {
            return Err(io::Error::other(format!(
                "only {} of {count} flows opened within 2 minutes",
                held.len()
            )));
        }
        while outstanding < WINDOW.min(count - held.len()) {
            let (flow, kind, resume_from) = (FlowId::random(), FlowKind::Feed, 0);
            let open = Open {
                flow,
                kind,
                resume_from,
            };
            socket.send(&encode(DatagramBody::Open(open))?).await?;
            outstanding += 1;
        }
        let Ok(size) = timeout(REPLY_TIMEOUT * 4, socket.recv(&mut buf)).await else {
            outstanding = 0;
            continue;
        };
        outstanding = outstanding.saturating_sub(1);
        if let Ok(Datagram {
            body: DatagramBody::Opened(opened),
            ..
        }) = Datagram::decode(&buf[..size?])
        {
            held.push((opened.flow, opened.token));
        }
    }
    Ok(held)
}

/// Sends one keepalive for each flow, so that the balancer has forwarded a packet of each.
async fn send_keepalives(balancer: SocketAddr, held: &[HeldFlow]) -> io::Result<()> {
    let socket = connect(balancer).await?;
    let mut buf = vec![0; 2_048];
    for flows in held.chunks(WINDOW) {
        for flow in flows {
            socket.send(&keepalive(flow)?).await?;
        }
        for _ in flows {
            let _ = timeout(REPLY_TIMEOUT, socket.recv(&mut buf)).await;
        }
    }
    Ok(())
}

/// Returns the replies a second to packets that are sent repeatedly, each by a socket of its own.
async fn measure_rate(address: SocketAddr, packets: &[Bytes], time: Duration) -> io::Result<f64> {
    let mut senders = Vec::new();
    for packet in packets {
        let (socket, packet) = (connect(address).await?, packet.clone());
        senders.push(tokio::spawn(async move {
            exchange(&socket, &packet, time).await
        }));
    }
    let mut replies = 0;
    for sender in senders {
        replies += sender.await.map_err(io::Error::other)??;
    }
    Ok(figure(replies) / time.as_secs_f64())
}

async fn exchange(socket: &UdpSocket, packet: &[u8], time: Duration) -> io::Result<u64> {
    let end = Instant::now() + time;
    let mut buf = vec![0; 2_048];
    let (mut outstanding, mut replies) = (0, 0);
    while Instant::now() < end {
        while outstanding < WINDOW {
            socket.send(packet).await?;
            outstanding += 1;
        }
        let Ok(size) = timeout(REPLY_TIMEOUT, socket.recv(&mut buf)).await else {
            outstanding = 0;
            continue;
        };
        let mut received = Some(size?);
        while let Some(size) = received {
            outstanding = outstanding.saturating_sub(1);
            replies += u64::from(is_reply(&buf[..size]));
            received = socket.try_recv(&mut buf).ok();
        }
    }
    Ok(replies)
}

/// Whether a datagram is a reply: a balancer acknowledges the keepalive, and the echo server
/// behind the relay returns it unchanged.
fn is_reply(bytes: &[u8]) -> bool {
    Datagram::decode(bytes).is_ok_and(|d| {
        matches!(
            d.body,
            DatagramBody::KeepaliveAck(_) | DatagramBody::Keepalive(_)
        )
    })
}

/// The bare relay, in a process of its own, in front of an echo server.
struct Relay {
    address: SocketAddr,
    child: Child,
}

impl Relay {
    async fn start() -> io::Result<Self> {
        let echo = UdpSocket::bind(any_port()).await?;
        let upstream = echo.local_addr()?;
        tokio::spawn(async move {
            let mut buf = vec![0; 2_048];
            while let Ok((size, peer)) = echo.recv_from(&mut buf).await {
                let _ = echo.send_to(&buf[..size], peer).await;
            }
        });
        let address = free_address()?;
        let (listen, upstream) = (address.to_string(), upstream.to_string());
        let child = Command::new(std::env::current_exe()?)
            .args(["relay", "--listen", &listen, "--upstream", &upstream])
            .spawn()?;
        sleep(Duration::from_millis(500)).await;
        Ok(Self { address, child })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the bare relay, which has one upstream socket and one task for each caller.
pub async fn relay(mut args: Arguments) -> ProgramResult {
    let listen: SocketAddr = program::required(&mut args, "--listen")?;
    let upstream: SocketAddr = program::required(&mut args, "--upstream")?;
    program::reject_remaining(args)?;
    let front = Arc::new(UdpSocket::bind(listen).await.map_err(Failure::failed)?);
    let mut callers: FastMap<SocketAddr, Arc<UdpSocket>> = FastMap::default();
    let mut buf = vec![0; 2_048];
    loop {
        let received = front.recv_from(&mut buf).await;
        let (size, caller) = received.map_err(Failure::failed)?;
        if !callers.contains_key(&caller) && callers.len() < SENDERS * 4 {
            let back = connect(upstream).await.map_err(Failure::failed)?;
            callers.insert(caller, Arc::clone(&back));
            tokio::spawn(relay_replies(back, Arc::clone(&front), caller));
        }
        if let Some(back) = callers.get(&caller) {
            let _ = back.send(&buf[..size]).await;
        }
    }
}

async fn relay_replies(back: Arc<UdpSocket>, front: Arc<UdpSocket>, caller: SocketAddr) {
    let mut buf = vec![0; 2_048];
    while let Ok(size) = back.recv(&mut buf).await {
        let _ = front.send_to(&buf[..size], caller).await;
    }
}
