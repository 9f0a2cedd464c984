//! Receives datagrams of callers in rounds and drops what is too much.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tanager_core::{Clock, Millis, ResultCode};
use tanager_wire::{DATAGRAM_LIMIT, Datagram, DatagramBody};
use tokio::net::UdpSocket;

use super::class::Class;
use super::shares::{ROUND, Shares};
use crate::execution::Execution;
use crate::flow::{CallerSocket, Flows};
use crate::telemetry::{Counters, Log, Part};

/// Bytes read of one datagram. A longer one is cut, and still refused as too large.
const SLOT: usize = DATAGRAM_LIMIT + 8;
/// Shortest time between two log lines about dropped datagrams.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Takes the datagrams of callers.
pub struct Ingress {
    /// The socket.
    pub(crate) callers: CallerSocket,
    /// Takes opens, keepalives and closes.
    pub(crate) flows: Arc<Flows>,
    /// Takes requests and cancels.
    pub(crate) execution: Arc<Execution>,
    /// Counters of the instance.
    pub(crate) counters: Arc<Counters>,
    /// This instance's clock.
    pub(crate) clock: Clock,
    /// Log and decisions.
    pub(crate) log: Log,
}

/// The datagrams taken from the socket at a time, and the buffers for them.
struct Round {
    bytes: Vec<u8>,
    datagrams: Vec<(usize, SocketAddr)>,
    classes: Vec<Option<Class>>,
    keep: Vec<bool>,
}

impl Ingress {
    /// Receives until the runtime ends. One task does so: it is the only reader of the socket.
    pub async fn receive(self: Arc<Self>) {
        let mut round = Round::new();
        let mut shares = Shares::new();
        let mut reported = Millis::new(0);
        while self.callers.socket().readable().await.is_ok() {
            round.fill(self.callers.socket());
            shares.plan(&round.classes, &mut round.keep);
            let dropped = self.take_round(&round);
            let now = self.clock.now();
            if dropped > 0 && now.since(reported) >= REPORT_INTERVAL {
                reported = now;
                let code = ResultCode::IngressLimit;
                let total = self.counters.ingress_dropped.get();
                let text = format_args!("{code}: {total} datagrams were dropped since the start");
                self.log.warn(Part::Node, text);
            }
            if round.datagrams.len() == ROUND {
                // Lets the tasks that write to targets run although the socket stays readable.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Processes the datagrams to be kept. Returns the number of the others.
    fn take_round(&self, round: &Round) -> u64 {
        let mut dropped = 0;
        let count = round.datagrams.len() as u64;
        self.counters.datagrams_received.add(count);
        for (i, (size, caller)) in round.datagrams.iter().enumerate() {
            if round.keep[i] {
                let bytes = &round.bytes[i * SLOT..i * SLOT + size];
                self.take(bytes, *caller, round.classes[i]);
            } else {
                dropped += 1;
            }
        }
        self.counters.ingress_dropped.add(dropped);
        dropped
    }

    /// Takes a request or cancel that a peer received from a caller. Every instance handles the
    /// other kinds itself, so a peer that passes them on is faulty, and they count as malformed.
    pub fn take_relayed(&self, bytes: &[u8], caller: SocketAddr) {
        match Datagram::decode(bytes) {
            Ok(datagram) if has_executor(&datagram.body) => self.dispatch(datagram, bytes, caller),
            _ => self.counters.datagrams_malformed.increment(),
        }
    }

    fn take(&self, bytes: &[u8], caller: SocketAddr, class: Option<Class>) {
        match Datagram::decode(bytes) {
            // Otherwise a datagram could use the share of another service.
            Ok(datagram) if class == Some(class_of(&datagram)) => {
                self.dispatch(datagram, bytes, caller);
            }
            _ => self.counters.datagrams_malformed.increment(),
        }
    }

    fn dispatch(&self, datagram: Datagram, bytes: &[u8], caller: SocketAddr) {
        let Datagram { service, body } = datagram;
        match body {
            DatagramBody::Open(open) => {
                tokio::spawn(Arc::clone(&self.flows).open(service, open, caller));
            }
            DatagramBody::Keepalive(keepalive) => self.flows.keepalive(service, &keepalive, caller),
            DatagramBody::Close(close) => self.flows.close(service, &close),
            DatagramBody::Request(request) => {
                self.execution.handle(service, request, caller, bytes);
            }
            DatagramBody::Cancel(cancel) => self.execution.cancel(service, &cancel, caller),
            DatagramBody::Opened(_)
            | DatagramBody::KeepaliveAck(_)
            | DatagramBody::Update(_)
            | DatagramBody::Reset(_)
            | DatagramBody::Answer(_)
            | DatagramBody::Refusal(_) => self.counters.datagrams_malformed.increment(),
        }
    }
}

impl Round {
    fn new() -> Self {
        Self {
            bytes: vec![0; ROUND * SLOT],
            datagrams: Vec::with_capacity(ROUND),
            classes: Vec::with_capacity(ROUND),
            keep: Vec::with_capacity(ROUND),
        }
    }

    /// Takes the datagrams that wait at the socket, at most [`ROUND`].
    fn fill(&mut self, socket: &UdpSocket) {
        self.datagrams.clear();
        self.classes.clear();
        for _ in 0..ROUND {
            let start = self.datagrams.len() * SLOT;
            let slot = &mut self.bytes[start..start + SLOT];
            match socket.try_recv_from(slot) {
                Ok((size, caller)) => {
                    self.classes.push(Class::peek(&slot[..size]));
                    self.datagrams.push((size, caller));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // Reports an earlier send to a closed port and concerns no received datagram.
                Err(_) => {}
            }
        }
    }
}

/// Returns whether only the executor named in a datagram's token may handle it.
const fn has_executor(body: &DatagramBody) -> bool {
    matches!(body, DatagramBody::Request(_) | DatagramBody::Cancel(_))
}

fn class_of(datagram: &Datagram) -> Class {
    Class {
        service: datagram.service,
        keepalive: matches!(datagram.body, DatagramBody::Keepalive(_)),
    }
}
