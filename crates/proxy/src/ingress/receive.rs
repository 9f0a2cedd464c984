//! Receives callers' datagrams in batches and drops those above the quota of their service.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tanager_core::{Clock, Millis, ResultCode};
use tanager_wire::{DATAGRAM_LIMIT, Datagram, DatagramBody};
use tokio::net::UdpSocket;

use super::class::DatagramClass;
use super::shares::{BATCH_LIMIT, Shares};
use crate::execution::Execution;
use crate::flow::{CallerSocket, Flows};
use crate::telemetry::{Counters, Log, Part};

/// Size of the buffer for one datagram in bytes. A longer one is truncated and still refused as too
/// large.
const DATAGRAM_BUFFER: usize = DATAGRAM_LIMIT + 8;
/// Minimum time between two log lines about dropped datagrams.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Receives and dispatches the datagrams of callers.
pub struct Ingress {
    /// The socket.
    pub(crate) callers: CallerSocket,
    /// Handles opens, keepalives and closes.
    pub(crate) flows: Arc<Flows>,
    /// Handles requests and cancels.
    pub(crate) execution: Arc<Execution>,
    /// Counters of the instance.
    pub(crate) counters: Arc<Counters>,
    /// This instance's clock.
    pub(crate) clock: Clock,
    /// Log and decisions.
    pub(crate) log: Log,
}

/// The datagrams received in one pass over the socket, and their buffers.
struct Batch {
    bytes: Vec<u8>,
    datagrams: Vec<(usize, SocketAddr)>,
    classes: Vec<Option<DatagramClass>>,
    keep: Vec<bool>,
}

impl Ingress {
    /// Receives until the runtime ends. Must be called by one task only, the only reader of the
    /// socket.
    pub async fn receive(self: Arc<Self>) {
        let mut batch = Batch::new();
        let mut shares = Shares::new();
        let mut last_reported = Millis::new(0);
        while self.callers.socket().readable().await.is_ok() {
            batch.fill(self.callers.socket());
            shares.plan(&batch.classes, &mut batch.keep);
            let dropped = self.process_batch(&batch);
            let now = self.clock.now();
            if dropped > 0 && now.since(last_reported) >= REPORT_INTERVAL {
                last_reported = now;
                let code = ResultCode::IngressLimit;
                let total = self.counters.ingress_dropped.get();
                let text = format_args!("{code}: {total} datagrams were dropped since the start");
                self.log.warn(Part::Node, text);
            }
            if batch.datagrams.len() == BATCH_LIMIT {
                // Lets the tasks that write to targets run even if the socket stays readable.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Handles the datagrams to keep and returns the number of dropped ones.
    fn process_batch(&self, batch: &Batch) -> u64 {
        let mut dropped = 0;
        let count = batch.datagrams.len() as u64;
        self.counters.datagrams_received.add(count);
        for (i, (size, caller)) in batch.datagrams.iter().enumerate() {
            if batch.keep[i] {
                let bytes = &batch.bytes[i * DATAGRAM_BUFFER..i * DATAGRAM_BUFFER + size];
                self.handle(bytes, *caller, batch.classes[i]);
            } else {
                dropped += 1;
            }
        }
        self.counters.ingress_dropped.add(dropped);
        dropped
    }

    /// Handles a request or cancel that a peer received from a caller. Every instance handles the
    /// other kinds itself, so a peer that relays them is faulty, and they are counted as malformed.
    pub fn handle_relayed(&self, bytes: &[u8], caller: SocketAddr) {
        match Datagram::decode(bytes) {
            Ok(datagram) if has_executor(&datagram.body) => self.dispatch(datagram, bytes, caller),
            _ => self.counters.datagrams_malformed.increment(),
        }
    }

    fn handle(&self, bytes: &[u8], caller: SocketAddr, class: Option<DatagramClass>) {
        match Datagram::decode(bytes) {
            // Checked because a datagram could otherwise use the quota of another service.
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

impl Batch {
    fn new() -> Self {
        Self {
            bytes: vec![0; BATCH_LIMIT * DATAGRAM_BUFFER],
            datagrams: Vec::with_capacity(BATCH_LIMIT),
            classes: Vec::with_capacity(BATCH_LIMIT),
            keep: Vec::with_capacity(BATCH_LIMIT),
        }
    }

    /// Receives the datagrams that are queued at the socket, at most [`BATCH_LIMIT`].
    fn fill(&mut self, socket: &UdpSocket) {
        self.datagrams.clear();
        self.classes.clear();
        for _ in 0..BATCH_LIMIT {
            let start = self.datagrams.len() * DATAGRAM_BUFFER;
            let buffer = &mut self.bytes[start..start + DATAGRAM_BUFFER];
            match socket.try_recv_from(buffer) {
                Ok((size, caller)) => {
                    self.classes.push(DatagramClass::peek(&buffer[..size]));
                    self.datagrams.push((size, caller));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // The error is that of an earlier send to a closed port, not of a received
                // datagram.
                Err(_) => {}
            }
        }
    }
}

/// Returns whether only the executor named in a datagram's token may handle it.
const fn has_executor(body: &DatagramBody) -> bool {
    matches!(body, DatagramBody::Request(_) | DatagramBody::Cancel(_))
}

fn class_of(datagram: &Datagram) -> DatagramClass {
    DatagramClass {
        service: datagram.service,
        keepalive: matches!(datagram.body, DatagramBody::Keepalive(_)),
    }
}
