//! Keeps the connection to a target open, and opens it again after a failure.

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
use crate::target::ping::{PingBudget, QuietMark, SHORTEST_INTERVAL};
use crate::target::{RunOutcome, TargetLink};
use crate::telemetry::{Counters, Log, Part};

/// First wait before connecting again.
const SHORTEST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait before connecting again.
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);
/// Longest time for connecting, for the exchange of identities, for one batched write, and
/// between a frame and the first sign of the target after it.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time between two looks at a connection on which an answer is awaited.
const AWAITING_TICK: Duration = Duration::from_millis(250);
/// Time between two looks at other connections.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Frames written together.
const BATCH_LIMIT: usize = 256;

/// What all connections to targets share.
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
enum End {
    /// Another process lives at the address.
    Mismatch,
    /// The connection could not be opened.
    Refused,
    /// The connection was usable and ended.
    Closed(ResultCode),
}

impl Sessions {
    /// Keeps a link connected until it is stopped.
    pub(super) async fn keep(self: Arc<Self>, link: Arc<TargetLink>) {
        let mut backoff = SHORTEST_BACKOFF;
        loop {
            let end = tokio::select! {
                () = link.state().stop.cancelled() => return,
                end = self.connect(&link) => end,
            };
            backoff = match end {
                End::Closed(_) => SHORTEST_BACKOFF,
                End::Refused | End::Mismatch => LONGEST_BACKOFF.min(backoff * 2),
            };
            self.report(&link, end);
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::select! {
                () = link.state().stop.cancelled() => return,
                () = link.state().retry.notified(), if end == End::Mismatch => {}
                () = sleep(backoff.mul_f64(jitter)), if end != End::Mismatch => {}
            }
        }
    }

    fn report(&self, link: &TargetLink, end: End) {
        let (name, address) = (&link.target.name, link.target.address);
        match end {
            End::Mismatch => {
                let code = ResultCode::IdentityMismatch;
                let text = format_args!("{code}: another process answers at {address} for {name}");
                self.log.warn(Part::Target, text);
            }
            End::Closed(code) => {
                let text = format_args!("{code}: the connection to {name} has ended");
                self.log.warn(Part::Target, text);
            }
            // Repeats with every attempt and shows in the status page.
            End::Refused => {}
        }
    }

    async fn connect(&self, link: &Arc<TargetLink>) -> End {
        let connecting = self.network.connect(link.target.address);
        let Ok(Ok(mut stream)) = timeout(SILENCE_LIMIT, connecting).await else {
            return End::Refused;
        };
        let mut frames = FrameReader::default();
        let greeting = self.greet(link, &mut stream, &mut frames);
        match timeout(SILENCE_LIMIT, greeting).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => {
                link.set_mismatched(true);
                return End::Mismatch;
            }
            _ => return End::Refused,
        }
        link.set_mismatched(false);
        End::Closed(self.serve(link, stream, frames).await)
    }

    /// Exchanges identities. Returns whether the target is the one of the catalogue.
    async fn greet(
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
                // Another process's load and clock say nothing about the target.
                if same {
                    link.take_load(load);
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
        let heard = Heard::new(self.clock.now());
        let (reader, writer) = tokio::io::split(stream);
        // Closes the connection also when the link is stopped and this future is dropped.
        let mut open = OpenConnection {
            link,
            connection: &connection,
            queue,
            counters: &self.counters,
        };
        link.set_connection(Some(Arc::clone(&connection)));
        // Reading comes first: after a pause of this process, answers that have arrived meanwhile
        // must be seen before the time without answers is judged.
        tokio::select! {
            biased;
            () = self.read(link, &connection, &heard, reader, frames) => {
                ResultCode::TargetDisconnected
            }
            code = write(&connection, &mut open.queue, writer, self.clock) => code,
            () = self.watch(&connection, &heard) => ResultCode::TargetSilent,
        }
    }

    async fn read(
        &self,
        link: &TargetLink,
        connection: &Connection,
        heard: &Heard,
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
                connection.heard();
                heard.note(self.clock.now(), pong);
                self.handle_frame(link, connection, frame);
            }
            if !matches!(reader.read_buf(frames.buffer()).await, Ok(size) if size > 0) {
                return;
            }
        }
    }

    fn handle_frame(&self, link: &TargetLink, connection: &Connection, frame: FromTarget) {
        if let Some(load) = frame.load() {
            link.take_load(*load);
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

    /// Sends pings and returns when the target has been silent for too long.
    async fn watch(&self, connection: &Connection, heard: &Heard) {
        let mut mark = QuietMark::new(&self.budget);
        let mut number = 0;
        loop {
            let awaiting = connection.awaiting().is_some();
            sleep(if awaiting { AWAITING_TICK } else { IDLE_TICK }).await;
            let now = self.clock.now();
            mark.set(now.since(heard.traffic()) >= SHORTEST_INTERVAL);
            match connection.awaiting() {
                Some(since) if now.since(since) >= SILENCE_LIMIT => return,
                Some(_) => continue,
                None => {}
            }
            // A run is not answered before it ends, so a ping finds out whether the target lives.
            let due = if connection.inflight() > 0 {
                SHORTEST_INTERVAL
            } else {
                self.budget.interval()
            };
            if now.since(heard.any()) >= due && self.budget.take(now) {
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

/// Writes waiting frames, several at a time, until the connection fails.
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
        match timeout(SILENCE_LIMIT, writer.write_all(&buf)).await {
            Ok(Ok(())) => buf.clear(),
            Ok(Err(_)) => return ResultCode::TargetDisconnected,
            Err(_) => return ResultCode::TargetSilent,
        }
    }
    ResultCode::TargetDisconnected
}

/// When the target was last heard.
struct Heard {
    any: AtomicU64,
    /// Without pongs.
    traffic: AtomicU64,
}

impl Heard {
    fn new(now: Millis) -> Self {
        Self {
            any: AtomicU64::new(now.get()),
            traffic: AtomicU64::new(now.get()),
        }
    }

    fn note(&self, now: Millis, pong: bool) {
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

/// A connection in use by its link.
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
