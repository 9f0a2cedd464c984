//! Callers' ends of flows, and their requests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use tanager_core::Millis;
use tanager_forward::{Cookie, FlowKey, Kind, Segment, SegmentKind};

/// Time after which a request without an answer has failed.
pub const DEADLINE: Duration = Duration::from_millis(2_500);
/// Attempts of a request after the first one.
pub const MAX_RETRIES: u8 = 2;
/// Time after which an unanswered packet is retransmitted for the first time; it doubles with
/// each retransmission.
pub const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which an opening packet is no longer retransmitted and the attempt ends.
pub const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Length of a request in bytes.
const REQUEST_LENGTH: u16 = 500;
/// The port of idempotent requests, whose flows callers keep open.
pub const FEED_PORT: u16 = 443;
/// The port of non-idempotent requests, each on a flow of its own.
pub const ORDER_PORT: u16 = 444;

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
    pub kind: Kind,
    pub started: Millis,
    pub attempts: u8,
    /// Whether it was answered or has failed.
    pub finished: bool,
}

/// A caller's end of a flow.
#[derive(Debug, Clone)]
pub struct Connection {
    pub key: FlowKey,
    pub cookie: Cookie,
    /// The outstanding request.
    pub request: Option<RequestId>,
    pub open: bool,
    pub closed: bool,
    /// Whether the target has confirmed the receipt of the request.
    pub confirmed: bool,
    sent: u32,
    received: u32,
}

impl Connection {
    /// Creates an unopened flow for a request.
    pub fn new(id: ConnectionId, kind: Kind, request: RequestId) -> Self {
        let [.., a, b, c, d] = id.to_be_bytes();
        let port = match kind {
            Kind::Idempotent => FEED_PORT,
            Kind::NonIdempotent => ORDER_PORT,
        };
        Self {
            key: FlowKey {
                client: SocketAddrV4::new(
                    Ipv4Addr::new(100, FIRST_NETWORK + a, b, c),
                    FIRST_PORT + u16::from(d),
                ),
                service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port),
            },
            cookie: Cookie::NONE,
            request: Some(request),
            open: false,
            closed: false,
            confirmed: false,
            sent: 1_000,
            received: 0,
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
        segment
    }

    /// Returns a retransmission of the packet that carries the request.
    pub fn resend(&self) -> Segment {
        let mut segment = self.segment(SegmentKind::Data, REQUEST_LENGTH);
        segment.sequence -= u32::from(REQUEST_LENGTH);
        segment
    }

    /// Records an answer and returns its acknowledgement.
    pub fn receive(&mut self, length: u32, last: bool) -> Segment {
        self.received += length;
        self.closed = last;
        let kind = if last {
            SegmentKind::Finish
        } else {
            SegmentKind::Data
        };
        self.segment(kind, 0)
    }

    /// Closes the flow and returns the packet that aborts it.
    pub fn abort(&mut self) -> Segment {
        self.closed = true;
        self.segment(SegmentKind::Abort, 0)
    }
}
