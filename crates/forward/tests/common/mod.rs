//! Fixtures: a forwarder with a published view, and the packets of clients.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod site;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use tanager_core::{Clock, Incarnation, Millis, PublishedService, PublishedZone};
use tanager_forward::{
    Action, Change, Cookie, Epoch, FlowKey, Forwarder, Kind, Route, RouteTable, Segment,
    SegmentKind, ServiceShare, StoreRevision, Target, TargetNumber, TargetState,
};

/// The revision at which fixtures are published.
pub const REVISION: StoreRevision = StoreRevision::new(Epoch::new(1), 10);
/// The port of the route whose requests may be repeated.
pub const FEED_PORT: u16 = 443;
/// The port of the route whose requests must not be repeated.
pub const ORDER_PORT: u16 = 444;

/// Returns the revision after this many changes since [`REVISION`].
pub fn later(changes: u64) -> StoreRevision {
    StoreRevision::new(REVISION.epoch, REVISION.number + changes)
}

pub fn at(millis: u64) -> Millis {
    Clock::START + Duration::from_millis(millis)
}

pub fn zone(name: &str) -> PublishedZone {
    name.parse().expect("a valid name")
}

pub fn service(name: &str) -> PublishedService {
    name.parse().expect("a valid name")
}

pub fn target(number: u64, service_name: &str, zone_name: &str) -> Target {
    let host = u8::try_from(number).expect("a small number");
    Target {
        number: TargetNumber::new(number),
        service: service(service_name),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, host), 9_000),
        zone: zone(zone_name),
        slots: 2,
        state: TargetState::Ready,
        warmup: Duration::ZERO,
        incarnation: Incarnation::new(1),
        sequence: 1,
    }
}

pub fn published(target: Target, revision: StoreRevision) -> Change {
    Change::published(target, revision)
}

pub fn removed(number: u64, revision: StoreRevision) -> Change {
    Change::removal(TargetNumber::new(number), revision)
}

pub fn route(port: u16, kind: Kind, service_name: &str) -> Route {
    Route {
        name: format!("r{port}"),
        address: service_end(port),
        kind,
        timeout: Duration::from_millis(1_500),
        objective: Duration::from_millis(150),
        priority: 1,
        services: vec![ServiceShare {
            service: service(service_name),
            weight: 1,
        }],
    }
}

pub fn routes(version: u64) -> RouteTable {
    let list = vec![
        route(FEED_PORT, Kind::Idempotent, "feeds"),
        route(ORDER_PORT, Kind::NonIdempotent, "feeds"),
    ];
    RouteTable::new(version, REVISION, Duration::from_secs(15), list)
}

/// Returns a forwarder in zone `a` with targets `1..=count` of service `feeds` in that zone.
pub fn forwarder(count: u64) -> Forwarder {
    let targets = (1..=count).map(|number| target(number, "feeds", "a"));
    forwarder_with(targets)
}

pub fn forwarder_with(targets: impl IntoIterator<Item = Target>) -> Forwarder {
    seeded_forwarder(targets, 7)
}

pub fn seeded_forwarder(targets: impl IntoIterator<Item = Target>, seed: u64) -> Forwarder {
    let mut forwarder = Forwarder::new(zone("a"), seed);
    for target in targets {
        forwarder.apply(published(target, REVISION), at(0));
    }
    forwarder.apply_routes(routes(1));
    forwarder.advance(REVISION);
    forwarder.record_verified(at(0));
    forwarder
}

pub fn service_end(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

pub fn flow(client_port: u16, port: u16) -> FlowKey {
    FlowKey {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), client_port),
        service: service_end(port),
    }
}

/// The client's end of one flow.
#[derive(Debug, Clone)]
pub struct Client {
    pub flow: FlowKey,
    /// The last cookie that the client received.
    pub cookie: Cookie,
    /// The cookie of the target whose answer to the opening it accepted.
    open_cookie: Cookie,
    pub sent: u32,
    pub received: u32,
}

impl Client {
    pub fn new(client_port: u16, port: u16) -> Self {
        Self {
            flow: flow(client_port, port),
            cookie: Cookie::NONE,
            open_cookie: Cookie::NONE,
            sent: 1_000,
            received: 0,
        }
    }

    fn segment(&self, kind: SegmentKind, length: u16) -> Segment {
        Segment {
            flow: self.flow,
            kind,
            cookie: self.cookie,
            sequence: self.sent,
            acknowledged: self.received,
            length,
        }
    }

    /// Sends the opening packet; `retransmission` is 0 for the first transmission.
    pub fn opening(&self, forwarder: &mut Forwarder, retransmission: u32, now: Millis) -> Action {
        let mut segment = self.segment(SegmentKind::Open { retransmission }, 0);
        segment.cookie = Cookie::NONE;
        segment.acknowledged = retransmission;
        forwarder.handle_packet(&segment, b"opening", now)
    }

    /// Accepts a target's answer to the opening, which carries the cookie of the opening.
    pub fn accept_opening(&mut self, target: TargetNumber) {
        self.accept(target);
        self.cookie = target.opening_cookie();
    }

    /// Accepts a target whose data already carries the cookie of the open flow.
    pub fn accept(&mut self, target: TargetNumber) {
        self.cookie = target.cookie();
        self.open_cookie = target.cookie();
        self.sent += 1;
        self.received = 50_000;
    }

    /// Sends new data.
    pub fn send(&mut self, forwarder: &mut Forwarder, length: u16, now: Millis) -> Action {
        let segment = self.segment(SegmentKind::Data, length);
        self.sent += u32::from(length);
        forwarder.handle_packet(&segment, b"data", now)
    }

    /// Sends new data in a packet of these bytes.
    pub fn send_packet(&mut self, forwarder: &mut Forwarder, packet: &[u8], now: Millis) -> Action {
        let length = u16::try_from(packet.len()).expect("a small packet");
        let segment = self.segment(SegmentKind::Data, length);
        self.sent += u32::from(length);
        forwarder.handle_packet(&segment, packet, now)
    }

    /// Retransmits the last `length` bytes.
    pub fn resend(&self, forwarder: &mut Forwarder, length: u16, now: Millis) -> Action {
        let mut segment = self.segment(SegmentKind::Data, length);
        segment.sequence -= u32::from(length);
        forwarder.handle_packet(&segment, b"data", now)
    }

    /// Receives another copy of a target's answer to the opening, with the cookie that the target
    /// received last.
    pub fn receive_copy(&mut self, cookie: Cookie) {
        self.cookie = cookie;
    }

    /// Acknowledges `length` more bytes of answers.
    pub fn acknowledge(&mut self, forwarder: &mut Forwarder, length: u32, now: Millis) -> Action {
        self.received += length;
        if length > 0 {
            self.cookie = self.open_cookie;
        }
        let segment = self.segment(SegmentKind::Data, 0);
        forwarder.handle_packet(&segment, b"data", now)
    }

    /// Finishes the client's side of the flow.
    pub fn finish(&self, forwarder: &mut Forwarder, now: Millis) -> Action {
        let segment = self.segment(SegmentKind::Finish, 0);
        forwarder.handle_packet(&segment, b"finish", now)
    }
}

/// Returns the target that a packet is sent to.
pub fn sent_to(action: Action) -> TargetNumber {
    match action {
        Action::Forward(forward) => forward.target,
        other => panic!("expected a forwarded packet, found {other:?}"),
    }
}

/// Opens a flow whose target answers immediately.
pub fn open_flow(forwarder: &mut Forwarder, client_port: u16, port: u16, now: Millis) -> Client {
    let mut client = Client::new(client_port, port);
    let target = sent_to(client.opening(forwarder, 0, now));
    client.accept(target);
    client.acknowledge(forwarder, 0, now);
    client
}
