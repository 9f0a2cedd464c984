//! Maintains the connection to a target and reconnects after a failure.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use prost::Message as _;
use rand::RngExt as _;
use tanager_core::{Clock, Millis, ResultCode};
use tanager_wire::{FrameReader, FromTarget, ToTarget, encode_frame, raw};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::Identity;
use crate::flow::ReturnPath;
use crate::peer::{Network, PeerStream};
use crate::target::connection::{Connection, Outgoing};
use crate::target::ping::{IdleGuard, MIN_INTERVAL, PingBudget};
use crate::target::{RunOutcome, TargetLink};
use crate::telemetry::{Counters, Log, Part};

/// Initial delay before reconnecting.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay before reconnecting.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time-out for connecting, for the exchange of identities, for one batched write, and for the
/// first frame from the target after a frame that expects an answer.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two checks of a connection on which an answer is awaited.
const AWAITING_TICK: Duration = Duration::from_millis(250);
/// Time between two checks of other connections.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Maximum number of frames in one write.
const BATCH_LIMIT: usize = 256;

/// State shared by all connections to targets.
pub(super) struct Sessions {
    pub(super) identity: Identity,
    pub(super) network: Arc<dyn Network>,
    pub(super) return_path: Arc<ReturnPath>,
    pub(super) counters: Arc<Counters>,
    pub(super) budget: PingBudget,
    pub(super) clock: Clock,
    pub(super) log: Log,
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndReason {
    /// Another process answers at the address.
    Mismatch,
    /// The connection could not be established.
    NotConnected,
    /// The connection was usable and ended.
    Closed(ResultCode),
}

impl Sessions {
    /// Keeps a link connected until it is stopped.
    pub(super) async fn maintain(self: Arc<Self>, link: Arc<TargetLink>) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let end = tokio::select! {
                () = link.state().stop.cancelled() => return,
                end = self.connect(&link) => end,
            };
            backoff = match end {
                EndReason::Closed(_) => INITIAL_BACKOFF,
                EndReason::NotConnected | EndReason::Mismatch => MAX_BACKOFF.min(backoff * 2),
            };
            self.log_end(&link, end);
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::select! {
                () = link.state().stop.cancelled() => return,
                () = link.state().retry.notified(), if end == EndReason::Mismatch => {}
                () = sleep(backoff.mul_f64(jitter)), if end != EndReason::Mismatch => {}
            }
        }
    }

    fn log_end(&self, link: &TargetLink, end: EndReason) {
        let (name, address) = (&link.target.name, link.target.address);
        match end {
            EndReason::Mismatch => {
                let code = ResultCode::IdentityMismatch;
                let text = format_args!("{code}: another process answers at {address} for {name}");
                self.log.warn(Part::Target, text);
            }
            EndReason::Closed(code) => {
                let text = format_args!("{code}: the connection to {name} has ended");
                self.log.warn(Part::Target, text);
            }
            // Not logged, because it recurs with every attempt and the status page shows it.
            EndReason::NotConnected => {}
        }
    }

    async fn connect(&self, link: &Arc<TargetLink>) -> EndReason {
        let connecting = self.network.connect(link.target.address);
        let Ok(Ok(mut stream)) = timeout(RESPONSE_TIMEOUT, connecting).await else {
            return EndReason::NotConnected;
        };
        let mut frames = FrameReader::default();
        let handshake = self.handshake(link, &mut stream, &mut frames);
        match timeout(RESPONSE_TIMEOUT, handshake).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => {
                link.set_mismatched(true);
                return EndReason::Mismatch;
            }
            _ => return EndReason::NotConnected,
        }
        link.set_mismatched(false);
        EndReason::Closed(self.serve(link, stream, frames).await)
    }

    /// Exchanges identities. Returns whether the target is the one of the catalogue.
    async fn handshake(
        &self,
        link: &TargetLink,
        stream: &mut Box<dyn PeerStream>,
        frames: &mut FrameReader,
    ) -> io::Result<bool> {
        let hello = ToTarget::Hello(raw::target::Hello {
            instance: self.identity.name.to_string(),
            incarnation: self.identity.incarnation.get(),
            zone: self.identity.zone.to_string(),
            service: link.service.get(),
            target: link.target.id.get(),
            target_incarnation: link.target.incarnation.get(),
        });
        let mut buf = BytesMut::new();
        let hello = raw::target::ToTarget { body: Some(hello) };
        encode_frame(&hello, &mut buf).map_err(io::Error::other)?;
        stream.write_all(&buf).await?;
        loop {
            if let Some(frame) = frames.read_frame().map_err(io::Error::other)? {
                let answer = FromTarget::decode(frame).map_err(io::Error::other)?;
                let FromTarget::HelloAck {
                    service,
                    target,
                    incarnation,
                    load,
                } = answer
                else {
                    return Ok(false);
                };
                let same = service == link.service
                    && target == link.target.id
                    && incarnation == link.target.incarnation;
                // Load and clock of another process must not be used for the target.
                if same {
                    link.apply_load(load);
                }
                return Ok(same);
            }
            if stream.read_buf(frames.buffer()).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn serve(
        &self,
        link: &Arc<TargetLink>,
        stream: Box<dyn PeerStream>,
        frames: FrameReader,
    ) -> ResultCode {
        let (connection, queue) = Connection::new();
        let connection = Arc::new(connection);
        let last_received = LastReceived::new(self.clock.now());
        let (reader, writer) = tokio::io::split(stream);
        // Closes the connection also when the link is stopped and this future is dropped.
        let mut open = OpenConnection {
            link,
            connection: &connection,
            queue,
            counters: &self.counters,
        };
        link.set_connection(Some(Arc::clone(&connection)));
        // The reader is polled first: after a pause of this process, answers that have arrived
        // meanwhile must be processed before the time-out is checked.
        tokio::select! {
            biased;
            () = self.read(link, &connection, &last_received, reader, frames) => {
                ResultCode::TargetDisconnected
            }
            code = write(&connection, &mut open.queue, writer, self.clock) => code,
            () = self.watch(&connection, &last_received) => ResultCode::TargetSilent,
        }
    }

    async fn read(
        &self,
        link: &TargetLink,
        connection: &Connection,
        last_received: &LastReceived,
        mut reader: impl AsyncRead + Unpin,
        mut frames: FrameReader,
    ) {
        loop {
            loop {
                let frame = match frames.read_frame() {
                    Ok(Some(frame)) => frame,
                    Ok(None) => break,
                    Err(_) => return,
                };
                let size = frame.len() as u64;
                let Ok(frame) = FromTarget::decode(frame) else {
                    return;
                };
                let pong = matches!(frame, FromTarget::Pong { .. });
                if pong {
                    self.counters.control_received_bytes.add(size);
                }
                connection.record_received();
                last_received.record(self.clock.now(), pong);
                self.handle_frame(link, connection, frame);
            }
            if !matches!(reader.read_buf(frames.buffer()).await, Ok(size) if size > 0) {
                return;
            }
        }
    }

    fn handle_frame(&self, link: &TargetLink, connection: &Connection, frame: FromTarget) {
        if let Some(load) = frame.load() {
            link.apply_load(*load);
        }
        match frame {
            FromTarget::RunDone {
                run,
                failed,
                payload,
                ..
            } => {
                let outcome = if failed {
                    RunOutcome::Failed
                } else {
                    RunOutcome::Done(payload)
                };
                connection.complete(run, outcome);
            }
            FromTarget::RunShed { run, code, .. } => {
                connection.complete(run, RunOutcome::Shed(code));
            }
            FromTarget::HelloAck { .. } | FromTarget::Pong { .. } => {}
            frame => self.return_path.handle_frame(link, frame),
        }
    }

    /// Sends pings, and returns when the target has not answered within [`RESPONSE_TIMEOUT`].
    async fn watch(&self, connection: &Connection, last_received: &LastReceived) {
        let mut idle = IdleGuard::new(&self.budget);
        let mut number = 0;
        loop {
            let awaiting = connection.awaiting_since().is_some();
            sleep(if awaiting { AWAITING_TICK } else { IDLE_TICK }).await;
            let now = self.clock.now();
            idle.set(now.since(last_received.traffic()) >= MIN_INTERVAL);
            match connection.awaiting_since() {
                Some(since) if now.since(since) >= RESPONSE_TIMEOUT => return,
                Some(_) => continue,
                None => {}
            }
            // A run is answered only when it ends, so pings check meanwhile whether the target is
            // alive.
            let due = if connection.inflight() > 0 {
                MIN_INTERVAL
            } else {
                self.budget.interval()
            };
            if now.since(last_received.any()) >= due && self.budget.try_consume(now) {
                number += 1;
                let ping = raw::target::Ping { number };
                let size = ping.encoded_len() as u64;
                if connection.send(ToTarget::Ping(ping), now).is_ok() {
                    self.counters.control_sent_bytes.add(size);
                }
            }
        }
    }
}

/// Writes queued frames, several at a time, until the connection fails.
pub(super) async fn write(
    connection: &Connection,
    queue: &mut mpsc::Receiver<Outgoing>,
    mut writer: impl AsyncWrite + Unpin,
    clock: Clock,
) -> ResultCode {
    let mut batch = Vec::with_capacity(BATCH_LIMIT);
    let mut buf = BytesMut::new();
    while queue.recv_many(&mut batch, BATCH_LIMIT).await > 0 {
        connection.encode(&mut batch, &mut buf, clock);
        match timeout(RESPONSE_TIMEOUT, writer.write_all(&buf)).await {
            Ok(Ok(())) => buf.clear(),
            Ok(Err(_)) => return ResultCode::TargetDisconnected,
            Err(_) => return ResultCode::TargetSilent,
        }
    }
    ResultCode::TargetDisconnected
}

/// When frames were last received from the target.
struct LastReceived {
    any: AtomicU64,
    /// When a frame other than a pong was last received.
    traffic: AtomicU64,
}

impl LastReceived {
    fn new(now: Millis) -> Self {
        Self {
            any: AtomicU64::new(now.get()),
            traffic: AtomicU64::new(now.get()),
        }
    }

    fn record(&self, now: Millis, pong: bool) {
        self.any.store(now.get(), Ordering::Relaxed);
        if !pong {
            self.traffic.store(now.get(), Ordering::Relaxed);
        }
    }

    fn any(&self) -> Millis {
        Millis::new(self.any.load(Ordering::Relaxed))
    }

    fn traffic(&self) -> Millis {
        Millis::new(self.traffic.load(Ordering::Relaxed))
    }
}

/// A connection that is used by its link. Dropping it closes the connection.
struct OpenConnection<'a> {
    link: &'a TargetLink,
    connection: &'a Connection,
    queue: mpsc::Receiver<Outgoing>,
    counters: &'a Counters,
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.link.set_connection(None);
        let dropped = self.connection.close(&mut self.queue);
        self.counters.frames_dropped.add(dropped);
    }
}
