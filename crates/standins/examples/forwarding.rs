//! Measures how many datagrams a second one balancer forwards, relative to a bare tokio UDP relay in
//! the same run. Both have one worker thread, one client and one peer that echoes; the client keeps
//! a fixed number of datagrams outstanding. Then measures the share of keepalives of one service
//! that are answered during a flood of another.
//!
//! Usage: `cargo run --release --example forwarding [-- SECONDS]`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use miette::{IntoDiagnostic as _, Result, miette};
use tanager_core::{FlowId, RequestId, ServiceId};
use tanager_standins::fleet::{Fleet, FleetConfig, any_port, service};
use tanager_wire::{
    Datagram, DatagramBody, Deadline, FlowKind, FragmentMap, Keepalive, Open, Request,
};
use tanagerproxy::Node;
use tokio::net::UdpSocket;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, timeout};

/// Number of flows whose keepalives are forwarded.
const FLOWS: usize = 64;
/// Number of outstanding datagrams.
const WINDOW: usize = 256;
/// Number of rounds, each of which measures the relay and then the balancer.
const ROUNDS: u32 = 3;
/// Time between two keepalives during the flood.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1);
/// Largest number of threads that send the flood.
const MAX_FLOOD_THREADS: usize = 3;
/// Time after which unanswered datagrams count as lost and are replaced.
const LOSS_TIMEOUT: Duration = Duration::from_millis(100);

fn main() -> Result<()> {
    let seconds = std::env::args().nth(1).and_then(|s| s.parse().ok());
    let time = Duration::from_secs(seconds.unwrap_or(3));
    let main = Runtime::new().into_diagnostic()?;
    let relay = single_threaded_runtime()?;
    let echo = single_threaded_runtime()?;
    let ratio = main.block_on(async {
        let echo_socket = UdpSocket::bind(any_port()).await.into_diagnostic()?;
        let echo_address = echo_socket.local_addr().into_diagnostic()?;
        echo.spawn(echo_all(echo_socket));
        let relay_address = relay
            .spawn(start_relay(echo_address))
            .await
            .into_diagnostic()??;
        let config = FleetConfig {
            nodes: 1,
            services: vec![
                (service("buzz", 1, "abay"), 2),
                (service("print", 2, "abay"), 2),
            ],
            seed: 1,
        };
        let fleet = Fleet::start(config).await.into_diagnostic()?;
        let node = fleet.nodes[0].node.callers_address().into_diagnostic()?;
        let (client, datagrams) = open_flows(node).await?;
        let bare = UdpSocket::bind(any_port()).await.into_diagnostic()?;
        bare.connect(relay_address).await.into_diagnostic()?;
        let (mut relayed, mut forwarded) = (0.0, 0.0);
        for _ in 0..ROUNDS {
            relayed += measure(&bare, &datagrams, time).await?;
            forwarded += measure(&client, &datagrams, time).await?;
        }
        println!("bare relay: {:.0} answers/s", relayed / f64::from(ROUNDS));
        println!("balancer:   {:.0} answers/s", forwarded / f64::from(ROUNDS));
        for threads in 0..=MAX_FLOOD_THREADS {
            measure_during_flood(&fleet.nodes[0].node, threads, &client, &datagrams, time).await?;
        }
        Ok::<f64, miette::Report>(forwarded / relayed)
    })?;
    println!("ratio:      {ratio:.2} (goal: at least 0.7)");
    relay.shutdown_background();
    echo.shutdown_background();
    Ok(())
}

fn single_threaded_runtime() -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(1).enable_all();
    builder.build().into_diagnostic()
}

async fn echo_all(socket: UdpSocket) {
    let mut buf = vec![0; 2_048];
    while let Ok((size, from)) = socket.recv_from(&mut buf).await {
        let _ = socket.send_to(&buf[..size], from).await;
    }
}

/// Starts a relay with one socket towards the only caller and one towards the echo server.
async fn start_relay(echo: SocketAddr) -> Result<SocketAddr> {
    let front = Arc::new(UdpSocket::bind(any_port()).await.into_diagnostic()?);
    let back = Arc::new(UdpSocket::bind(any_port()).await.into_diagnostic()?);
    back.connect(echo).await.into_diagnostic()?;
    let address = front.local_addr().into_diagnostic()?;
    // Port of the caller; its IP address is that of the relay, because all addresses are local.
    let caller = Arc::new(AtomicU64::new(0));
    let (port, to, from) = (Arc::clone(&caller), Arc::clone(&back), Arc::clone(&front));
    tokio::spawn(async move {
        let mut buf = vec![0; 2_048];
        while let Ok((size, caller)) = from.recv_from(&mut buf).await {
            port.store(caller.port().into(), Ordering::Relaxed);
            let _ = to.send(&buf[..size]).await;
        }
    });
    tokio::spawn(async move {
        let mut buf = vec![0; 2_048];
        while let Ok(size) = back.recv(&mut buf).await {
            let port = u16::try_from(caller.load(Ordering::Relaxed)).unwrap_or_default();
            let _ = front.send_to(&buf[..size], (address.ip(), port)).await;
        }
    });
    Ok(address)
}

/// Opens flows and returns one keepalive datagram for each.
async fn open_flows(node: SocketAddr) -> Result<(UdpSocket, Vec<Vec<u8>>)> {
    let socket = UdpSocket::bind(any_port()).await.into_diagnostic()?;
    socket.connect(node).await.into_diagnostic()?;
    let mut datagrams = Vec::new();
    let mut buf = vec![0; 2_048];
    while datagrams.len() < FLOWS {
        let flow = FlowId::random();
        let kind = FlowKind::Feed;
        let open = DatagramBody::Open(Open {
            flow,
            kind,
            resume_from: 0,
        });
        socket.send(&encode(open)?).await.into_diagnostic()?;
        let token = loop {
            let received = timeout(Duration::from_secs(1), socket.recv(&mut buf));
            let size = received.await.into_diagnostic()?.into_diagnostic()?;
            match Datagram::decode(&buf[..size]).map(|d| d.body) {
                Ok(DatagramBody::Opened(opened)) if opened.flow == flow => break opened.token,
                Ok(DatagramBody::Reset(reset)) => return Err(miette!("{}", reset.code)),
                _ => {}
            }
        };
        datagrams.push(encode(DatagramBody::Keepalive(Keepalive {
            flow,
            token,
            number: 1,
            acked: 0,
            missed: 0,
        }))?);
    }
    Ok((socket, datagrams))
}

/// Measures the share of answered keepalives of service 1 while some threads flood service 2.
async fn measure_during_flood(
    node: &Node,
    threads: usize,
    client: &UdpSocket,
    datagrams: &[Vec<u8>],
    time: Duration,
) -> Result<()> {
    let address = node.callers_address().into_diagnostic()?;
    let (dropped, received) = (
        &node.counters().ingress_dropped,
        &node.counters().datagrams_received,
    );
    let before = (dropped.get(), received.get());
    let stop = Arc::new(AtomicBool::new(false));
    let flood: Vec<_> = (0..threads)
        .map(|_| {
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || send_flood(address, &stop))
        })
        .collect();
    let share = answered_share(client, datagrams, time).await?;
    stop.store(true, Ordering::Relaxed);
    let sent: u64 = flood.into_iter().filter_map(|f| f.join().ok()).sum();
    println!(
        "flood by {threads} threads: {sent} sent, {} received, {} above the share; {share:.3} of \
         the other service's keepalives answered",
        received.get() - before.1,
        dropped.get() - before.0
    );
    Ok(())
}

/// Sends keepalives at a fixed interval and returns the share that was answered in time.
async fn answered_share(socket: &UdpSocket, datagrams: &[Vec<u8>], time: Duration) -> Result<f64> {
    let mut buf = vec![0; 2_048];
    tokio::time::sleep(LOSS_TIMEOUT).await;
    while socket.try_recv(&mut buf).is_ok() {}
    let (mut sent, mut answered) = (0u32, 0u32);
    let mut ticks = tokio::time::interval(KEEPALIVE_INTERVAL);
    let mut next = datagrams.iter().cycle();
    let end = Instant::now() + time;
    while Instant::now() < end + LOSS_TIMEOUT {
        tokio::select! {
            _ = ticks.tick(), if Instant::now() < end => {
                if let Some(datagram) = next.next() {
                    socket.send(datagram).await.into_diagnostic()?;
                    sent += 1;
                }
            }
            received = timeout(LOSS_TIMEOUT, socket.recv(&mut buf)) => {
                if let Ok(Ok(size)) = received {
                    let body = Datagram::decode(&buf[..size]).map(|d| d.body);
                    answered += u32::from(matches!(body, Ok(DatagramBody::KeepaliveAck(_))));
                }
            }
        }
    }
    Ok(f64::from(answered) / f64::from(sent))
}

/// Sends requests of service 2 as fast as possible. Returns their number.
fn send_flood(node: SocketAddr, stop: &AtomicBool) -> u64 {
    let Ok(socket) = std::net::UdpSocket::bind(any_port()) else {
        return 0;
    };
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        let request = DatagramBody::Request(Request {
            request: RequestId::random(),
            token: None,
            repeatable: true,
            deadline: Deadline::Budget(1_000),
            answer: 0,
            have: FragmentMap::default(),
            body: Bytes::from_static(b"sheet"),
        });
        let service = ServiceId::new(2);
        let datagram = Datagram {
            service,
            body: request,
        };
        if let Ok(bytes) = datagram.encode() {
            sent += u64::from(socket.send_to(&bytes, node).is_ok());
        }
    }
    sent
}

fn encode(body: DatagramBody) -> Result<Vec<u8>> {
    let service = ServiceId::new(1);
    Datagram { service, body }.encode().into_diagnostic()
}

/// Returns the answers a second. Each answer allows the next datagram to be sent.
async fn measure(socket: &UdpSocket, datagrams: &[Vec<u8>], time: Duration) -> Result<f64> {
    let mut buf = vec![0; 2_048];
    let mut next = datagrams.iter().cycle();
    // Discards late answers of the previous run.
    tokio::time::sleep(LOSS_TIMEOUT).await;
    while socket.try_recv(&mut buf).is_ok() {}
    for datagram in next.by_ref().take(WINDOW) {
        socket.send(datagram).await.into_diagnostic()?;
    }
    let start = Instant::now();
    let mut answers = 0u32;
    while start.elapsed() < time {
        let to_send = match timeout(LOSS_TIMEOUT, socket.recv(&mut buf)).await {
            Ok(Ok(_)) => {
                answers += 1;
                1
            }
            _ => WINDOW,
        };
        for datagram in next.by_ref().take(to_send) {
            socket.send(datagram).await.into_diagnostic()?;
        }
    }
    Ok(f64::from(answers) / start.elapsed().as_secs_f64())
}
