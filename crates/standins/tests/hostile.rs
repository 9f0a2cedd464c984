//! Handling of input that no correct caller, peer or operator sends.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use support::{RawCaller, buzz, fleet, wait_until};
use tanager_core::{FlowId, Incarnation, RequestId, ServiceId};
use tanager_standins::settings::key_ring;
use tanager_wire::{Datagram, DatagramBody, Deadline, FlowKind, FragmentMap, Open, Request, Token};
use tanagerproxy::peer::{Peers, RelayReply, Relayed, TcpNetwork};
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::timeout;

/// Time to wait before concluding that no reply is sent.
const NO_REPLY_TIME: Duration = Duration::from_secs(1);
/// Time within which a connection without a request must be closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

fn open(kind: FlowKind) -> DatagramBody {
    let flow = FlowId::random();
    DatagramBody::Open(Open {
        flow,
        kind,
        resume_from: 0,
    })
}

fn relayed(executor: Incarnation, caller: &UdpSocket, body: DatagramBody) -> Relayed {
    let service = ServiceId::new(1);
    Relayed {
        executor,
        caller: caller.local_addr().expect("address"),
        datagram: Datagram { service, body }.encode().expect("datagram"),
    }
}

/// Guards against a faulty peer that opens, moves or ends flows through the call that relays
/// requests, which bypasses the limits of the receive loop.
#[tokio::test(flavor = "multi_thread")]
async fn peers_relay_only_requests_and_cancels() {
    let fleet = fleet(1, buzz(1), 41).await;
    let raw_caller = RawCaller::start(&fleet).await;
    let opened = raw_caller.open(1, FlowId::random()).await;
    let token = Token::verify(&opened.token, &key_ring()).expect("token");
    let counters = fleet.nodes[0].node.counters();
    let before = counters.datagrams_malformed.get();
    let caller = UdpSocket::bind("127.0.0.1:0").await.expect("socket");
    let peers = Peers::new(Arc::new(TcpNetwork));

    let session = relayed(token.executor.incarnation, &caller, open(FlowKind::Session));
    let reply = peers.relay(token.executor.address, session).await;

    assert_eq!(reply.expect("reply"), RelayReply::Taken);
    let received = timeout(NO_REPLY_TIME, caller.recv(&mut [0; 2_048])).await;
    assert!(received.is_err(), "the session was opened");
    assert_eq!(counters.datagrams_malformed.get(), before + 1);
}

/// Guards against a counter that stays at 0 while callers use a service number that is not in the
/// catalogue.
#[tokio::test(flavor = "multi_thread")]
async fn datagrams_for_unknown_services_are_counted() {
    const UNKNOWN: u32 = 99;
    let fleet = fleet(1, buzz(1), 42).await;
    let caller = RawCaller::start(&fleet).await;
    let request = Request {
        request: RequestId::random(),
        token: None,
        repeatable: true,
        deadline: Deadline::Budget(1_000),
        answer: 0,
        have: FragmentMap::default(),
        body: Bytes::new(),
    };

    caller.send(UNKNOWN, open(FlowKind::Feed)).await;
    caller.send(UNKNOWN, DatagramBody::Request(request)).await;

    let unknown = || fleet.nodes[0].node.counters().services_unknown.get();
    let counted = wait_until(Duration::from_secs(5), || unknown() == 2).await;
    assert!(counted, "{} were counted", unknown());
}

/// Guards against idle status connections that use up the file descriptors of an instance.
#[tokio::test(flavor = "multi_thread")]
async fn status_connections_without_a_request_are_closed() {
    let fleet = fleet(1, buzz(1), 43).await;
    let address = fleet.nodes[0].node.status_address();
    let mut stream = TcpStream::connect(address).await.expect("connection");

    let read = timeout(CLOSE_TIMEOUT, stream.read(&mut [0; 64])).await;

    assert!(read.is_ok(), "the connection is still open");
}
