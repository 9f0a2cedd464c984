//! Callers' ends of flows, and their requests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use tanager_core::Millis;
use tanager_forward::{Cookie, FlowKey, Segment, SegmentKind};

use super::Cell;

/// Attempts of a request after the first one.
pub const MAX_RETRIES: u8 = 2;
/// Time after which an unanswered packet is retransmitted for the first time; it doubles with
/// each retransmission.
pub const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which an opening packet is no longer retransmitted and the attempt ends.
pub const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Length of a request in bytes.
const REQUEST_LENGTH: u16 = 500;
/// The port of the first route.
const FIRST_ROUTE_PORT: u16 = 443;

/// The second byte of the lowest caller address.
const FIRST_NETWORK: u8 = 64;
/// The lowest caller port.
const FIRST_PORT: u16 = 1_024;

/// Index of a request.
pub type RequestId = usize;
/// Index of a flow.
pub type ConnectionId = usize;

/// The state of a request at its caller.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// What its outcome is counted by.
    pub cell: Cell,
    /// Time for which it runs at a target of speed 1.
    pub work: Duration,
    pub started: Millis,
    pub attempts: u8,
    /// Whether it was answered or has failed.
    pub finished: bool,
}

/// A caller's end of a flow.
#[derive(Debug, Clone)]
pub struct Connection {
    pub key: FlowKey,
    /// Position of its route.
    pub route: usize,
    /// Zone of its caller and of the instance that gets its packets.
    pub zone: u8,
    pub cookie: Cookie,
    /// The outstanding request.
    pub request: Option<RequestId>,
    pub open: bool,
    pub closed: bool,
    /// Whether the target has confirmed the receipt of the request.
    pub confirmed: bool,
    sent: u32,
    received: u32,
    /// What the caller has acknowledged of `received`.
    acknowledged: u32,
}

impl Connection {
    /// Creates an unopened flow for a request.
    pub fn new(id: ConnectionId, cell: Cell, request: RequestId) -> Self {
        let [.., a, b, c, d] = id.to_be_bytes();
        Self {
            key: FlowKey {
                client: SocketAddrV4::new(
                    Ipv4Addr::new(100, FIRST_NETWORK + a, b, c),
                    FIRST_PORT + u16::from(d),
                ),
                service: route_address(cell.route),
            },
            route: cell.route,
            zone: cell.zone,
            cookie: Cookie::NONE,
            request: Some(request),
            open: false,
            closed: false,
            confirmed: false,
            sent: 1_000,
            received: 0,
            acknowledged: 0,
        }
    }

    /// Returns the index of the flow with this key.
    pub fn id_of(key: &FlowKey) -> ConnectionId {
        let [_, a, b, c] = key.client.ip().octets();
        let d = key.client.port() - FIRST_PORT;
        let bytes = [a - FIRST_NETWORK, b, c, u8::try_from(d).unwrap_or(0)];
        u32::from_be_bytes(bytes) as ConnectionId
    }

    fn segment(&self, kind: SegmentKind, length: u16) -> Segment {
        Segment {
            flow: self.key,
            kind,
            cookie: self.cookie,
            sequence: self.sent,
            acknowledged: self.received,
            length,
        }
    }

    /// Returns the opening packet or a retransmission of it.
    pub fn opening(&self, retransmission: u32) -> Segment {
        self.segment(SegmentKind::Open { retransmission }, 0)
    }

    /// Records that a target has accepted the flow.
    pub fn accept(&mut self, cookie: Cookie) {
        self.cookie = cookie;
        self.open = true;
        self.sent += 1;
        self.received = 50_000;
    }

    /// Returns the packet that carries the request.
    pub fn send(&mut self) -> Segment {
        let segment = self.segment(SegmentKind::Data, REQUEST_LENGTH);
        self.sent += u32::from(REQUEST_LENGTH);
        self.confirmed = false;
        self.acknowledged = self.received;
        segment
    }

    /// Returns the request that a packet carries, unless the caller no longer waits for it.
    pub fn request_of(&self, segment: &Segment) -> Option<RequestId> {
        let end = segment.sequence + u32::from(segment.length);
        self.request
            .filter(|_| segment.length > 0 && end == self.sent)
    }

    /// Returns a retransmission of the packet that carries the request.
    pub fn resend(&self) -> Segment {
        let mut segment = self.segment(SegmentKind::Data, REQUEST_LENGTH);
        segment.sequence -= u32::from(REQUEST_LENGTH);
        segment
    }

    /// Records an answer.
    pub fn receive(&mut self, length: u32) {
        self.received += length;
    }

    /// Returns the acknowledgement of an answer, unless a request has carried it or the flow is
    /// closed.
    pub fn acknowledge(&mut self) -> Option<Segment> {
        let due = self.acknowledged != self.received && !self.closed;
        self.acknowledged = self.received;
        due.then(|| self.segment(SegmentKind::Data, 0))
    }

    /// Closes the flow and returns the packet that ends it.
    pub fn finish(&mut self) -> Segment {
        self.closed = true;
        self.segment(SegmentKind::Finish, 0)
    }

    /// Closes the flow and returns the packet that aborts it.
    pub fn abort(&mut self) -> Segment {
        self.closed = true;
        self.segment(SegmentKind::Abort, 0)
    }
}

/// Returns the address of a route.
pub fn route_address(route: usize) -> SocketAddrV4 {
    let port = FIRST_ROUTE_PORT + u16::try_from(route).unwrap_or(0);
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

/// Returns the position of the route of a flow.
pub fn route_of(key: &FlowKey) -> usize {
    usize::from(key.service.port() - FIRST_ROUTE_PORT)
}
