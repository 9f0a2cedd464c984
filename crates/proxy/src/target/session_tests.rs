use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tanager_core::{Clock, Incarnation, ResultCode, ServiceId, TargetId};
use tanager_wire::{FromTarget, KeyNumber, KeyRing, Load, Secret, ToTarget, encode_frame, raw};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::TargetPool;
use super::session::SILENCE_LIMIT;
use crate::Identity;
use crate::catalogue::{Catalogue, CatalogueStore};
use crate::flow::{CallerSocket, PendingOpens, ReturnPath};
use crate::membership::Membership;
use crate::peer::TcpNetwork;
use crate::routing::{Router, WorkKind};
use crate::telemetry::{Counters, Log};
use crate::usage::UsageTable;

/// Time until the fake target answers; this process is paused by then.
const ANSWER_DELAY: Duration = Duration::from_millis(500);

/// A catalogue of two services, in which target 1 belongs to the service of the given number.
fn catalogue_text(revision: u64, address: SocketAddr, service: u32) -> String {
    let target = format!(
        "\x20 targets:\n\
         \x20 - {{ name: target-1, number: 1, address: {address}, zone: addis-a, incarnation: 1, state: active, slots: 2, flows: 2000 }}\n"
    );
    let entry = |name: &str, number| {
        let targets = if number == service {
            target.as_str()
        } else {
            "\x20 targets: []\n"
        };
        format!(
            "- service: {name}\n  number: {number}\n  owner: abay\n  class: urgent\n\
             \x20 limits: {{ requests: 1000/s, minimum: 500/s, flows: 2000, queue: 256 }}\n{targets}"
        )
    };
    format!(
        "revision: {revision}\n\
         owners:\n\
         - {{ name: abay, limits: {{ requests: 4000/s, flows: 28000 }} }}\n\
         entries:\n{}{}",
        entry("buzz", 1),
        entry("print", 2)
    )
}

fn catalogue(address: SocketAddr) -> Catalogue {
    Catalogue::read(&catalogue_text(1, address, 1)).expect("catalogue")
}

fn identity() -> Identity {
    Identity {
        name: "node-1".parse().expect("name"),
        zone: "addis-a".parse().expect("zone"),
        region: "addis".parse().expect("region"),
        incarnation: Incarnation::new(1),
        address: "127.0.0.1:1".parse().expect("address"),
    }
}

async fn pool() -> TargetPool {
    let (clock, counters) = (Clock::start(), Arc::<Counters>::default());
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("socket");
    let return_path = ReturnPath::new(
        KeyRing::new((KeyNumber::new(1), Secret::new([1; 32])), None),
        CallerSocket::new(Arc::new(socket), Arc::clone(&counters)),
        Arc::<PendingOpens>::default(),
        Arc::<UsageTable>::default(),
        Arc::clone(&counters),
    );
    let (network, path, log) = (
        Arc::new(TcpNetwork),
        Arc::new(return_path),
        Log::discard(clock),
    );
    TargetPool::new(identity(), network, path, counters, clock, log)
}

async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

fn write_frame(stream: &mut std::net::TcpStream, frame: FromTarget) {
    let mut buf = BytesMut::new();
    encode_frame(&raw::target::FromTarget::from(frame), &mut buf).expect("frame");
    stream.write_all(&buf).expect("write");
}

fn hello_ack(incarnation: Incarnation, load: Load) -> FromTarget {
    FromTarget::HelloAck {
        service: ServiceId::new(1),
        target: TargetId::new(1),
        incarnation,
        load,
    }
}

/// Accepts one connection only and answers the first ping late.
fn fake_target(listener: &TcpListener) {
    let (mut stream, _) = listener.accept().expect("connection");
    let mut buf = [0; 1_024];
    let _hello = stream.read(&mut buf).expect("hello");
    let load = Load::default();
    write_frame(&mut stream, hello_ack(Incarnation::new(1), load));
    let _ping = stream.read(&mut buf).expect("ping");
    std::thread::sleep(ANSWER_DELAY);
    write_frame(&mut stream, FromTarget::Pong { number: 1, load });
    // Holds the connection until the other side closes it.
    while matches!(stream.read(&mut buf), Ok(size) if size > 0) {}
}

/// Guards against a process that closes its links after a pause, although the answers that it
/// awaited wait in the sockets, and against a change of limits that closes links.
#[tokio::test]
async fn a_resumed_process_reads_before_it_judges_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    let target = std::thread::spawn(move || fake_target(&listener));
    let pool = pool().await;
    pool.reconcile(&catalogue(address));
    let link = pool.link(TargetId::new(1)).expect("link");
    wait_until(|| link.is_ready()).await;
    let ping = ToTarget::Ping(raw::target::Ping { number: 1 });
    link.send(ping).expect("ready");
    // Other limits do not break the connection.
    let mut relisted = catalogue(address);
    let entry = relisted.entries.get_mut(&ServiceId::new(1));
    entry.expect("entry").targets[0].slots = 7;
    pool.reconcile(&relisted);
    let link = pool.link(TargetId::new(1)).expect("link");
    assert!(link.is_ready());
    assert_eq!(link.target.slots, 7);
    // Less than the answer's delay, and enough for the ping to be written.
    sleep(ANSWER_DELAY / 5).await;

    // Blocks the only thread of the runtime.
    std::thread::sleep(SILENCE_LIMIT + Duration::from_secs(1));
    sleep(ANSWER_DELAY / 5).await;

    // The target takes no second connection.
    assert!(link.is_ready());
    drop(pool);
    sleep(ANSWER_DELAY / 5).await;
    target.join().expect("target");
}

/// Guards against limits and deadlines that follow the report of a process that is not the target.
#[tokio::test]
async fn the_report_of_a_mismatched_process_is_ignored() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    let other = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let _hello = stream.read(&mut [0; 1_024]).expect("hello");
        let load = Load {
            flows: 2_000,
            ..Load::default()
        };
        write_frame(&mut stream, hello_ack(Incarnation::new(2), load));
    });
    let pool = pool().await;
    pool.reconcile(&catalogue(address));
    let link = pool.link(TargetId::new(1)).expect("link");

    wait_until(|| link.is_mismatched()).await;

    assert!(link.is_mismatched());
    assert_eq!(link.load().load, Load::default());
    other.join().expect("other process");
}

/// Guards against work for one service that is sent over the link of another: a catalogue that moves
/// a target number to another service is in force before the links follow it.
#[tokio::test]
async fn a_moved_target_number_gets_no_work_over_its_old_link() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    let target = std::thread::spawn(move || fake_target(&listener));
    let store = Arc::<CatalogueStore>::default();
    let pool = Arc::new(pool().await);
    let before = store.offer(&catalogue_text(1, address, 1)).expect("valid");
    pool.reconcile(&before);
    let link = pool.link(TargetId::new(1)).expect("link");
    wait_until(|| link.is_ready()).await;
    let router = Router::new(
        Arc::clone(&store),
        Arc::clone(&pool),
        Arc::new(Membership::new(identity())),
        Clock::start(),
    );
    let choose = |number| {
        let choice = router.choose(ServiceId::new(number), WorkKind::Request, &[]);
        choice.map(|c| c.link.service)
    };
    assert_eq!(choose(1), Ok(ServiceId::new(1)));

    store.offer(&catalogue_text(2, address, 2)).expect("valid");

    assert_eq!(choose(2), Err(ResultCode::RequestNoTarget));
    assert_eq!(choose(1), Err(ResultCode::RequestNoTarget));
    drop((router, pool, link));
    // Lets the link's task close the connection, for which the target waits.
    sleep(ANSWER_DELAY / 5).await;
    target.join().expect("target");
}
