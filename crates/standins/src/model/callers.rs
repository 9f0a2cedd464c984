//! Callers' ends of flows, and their requests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use tanager_core::Millis;
use tanager_forward::{Cookie, FlowKey, Kind, Segment, SegmentKind};

/// Time from a request to its end, whatever becomes of it.
pub const DEADLINE: Duration = Duration::from_millis(2_500);
/// Further tries of a request.
pub const RETRIES: u8 = 2;
/// Time after which an unanswered packet is sent again for the first time; it doubles.
pub const REPEAT: Duration = Duration::from_millis(200);
/// Time after which an opening is given up.
pub const OPENING_LIMIT: Duration = Duration::from_millis(1_400);
/// Bytes of a request.
const REQUEST: u16 = 500;
/// The port of requests that may be repeated, on flows that callers keep.
pub const FEED_PORT: u16 = 443;
/// The port of requests that must not run twice, each on a flow of its own.
pub const ORDER_PORT: u16 = 444;

/// The second byte of the first callers' addresses.
const FIRST_NETWORK: u8 = 64;
/// The lowest port of callers.
const FIRST_PORT: u16 = 1_024;

/// A request.
pub type CallId = usize;
/// A flow.
pub type ConnectionId = usize;

/// A request as its caller knows it.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub kind: Kind,
    pub begun: Millis,
    pub tries: u8,
    /// Whether it was answered or given up.
    pub over: bool,
}

/// A caller's end of a flow.
#[derive(Debug, Clone)]
pub struct Connection {
    pub key: FlowKey,
    pub cookie: Cookie,
    /// The request under way.
    pub call: Option<CallId>,
    pub open: bool,
    pub closed: bool,
    /// Whether the target has confirmed the request.
    pub taken: bool,
    sent: u32,
    received: u32,
}

impl Connection {
    /// Creates a flow that is about to be opened for a request.
    pub fn new(id: ConnectionId, kind: Kind, call: CallId) -> Self {
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
            call: Some(call),
            open: false,
            closed: false,
            taken: false,
            sent: 1_000,
            received: 0,
        }
    }

    /// Returns the flow that a key was made for.
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

    /// Returns the opening packet, or a later copy of it.
    pub fn opening(&self, retransmission: u32) -> Segment {
        self.segment(SegmentKind::Open { retransmission }, 0)
    }

    /// Takes a target's answer to the opening.
    pub fn accept(&mut self, cookie: Cookie) {
        self.cookie = cookie;
        self.open = true;
        self.sent += 1;
        self.received = 50_000;
    }

    /// Sends the request.
    pub fn send(&mut self) -> Segment {
        let segment = self.segment(SegmentKind::Data, REQUEST);
        self.sent += u32::from(REQUEST);
        self.taken = false;
        segment
    }

    /// Sends the request again.
    pub fn resend(&self) -> Segment {
        let mut segment = self.segment(SegmentKind::Data, REQUEST);
        segment.sequence -= u32::from(REQUEST);
        segment
    }

    /// Takes an answer and returns the packet that tells of it.
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

    /// Gives the flow up.
    pub fn abort(&mut self) -> Segment {
        self.closed = true;
        self.segment(SegmentKind::Abort, 0)
    }
}
