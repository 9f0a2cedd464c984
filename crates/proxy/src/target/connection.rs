use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use rand::RngExt as _;
use tanager_wire::{FrameReader, FromTarget, ToTarget, encode_frame, raw};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, timeout};

use crate::Identity;
use crate::flow::ReturnPath;
use crate::peer::{Network, PeerStream};
use crate::target::{RunOutcome, TargetLink};
use crate::telemetry::{Log, Part};

/// Frames that may wait for one target.
const QUEUE_LIMIT: usize = 4_096;
/// Frames written in one system call.
const BATCH_LIMIT: usize = 64;
/// A link without other traffic is pinged at this interval.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// A link that was silent for this long is closed.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Longest wait for the connection and the target's identity.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// First delay between connection attempts.
const BACKOFF_START: Duration = Duration::from_millis(100);
/// Longest delay between connection attempts.
const BACKOFF_LIMIT: Duration = Duration::from_secs(5);

/// What the connection task needs besides its link.
pub(super) struct Connector {
    pub(super) identity: Identity,
    pub(super) network: Arc<dyn Network>,
    pub(super) return_path: Arc<ReturnPath>,
    pub(super) log: Log,
}

/// Keeps the link connected until the task is aborted.
pub(super) async fn keep_connected(link: Arc<TargetLink>, connector: Arc<Connector>) {
    let mut backoff = BACKOFF_START;
    loop {
        if let Ok((reader, writer, hello)) = open(&link, &connector).await {
            if is_expected(&link, &hello) {
                backoff = BACKOFF_START;
                if let Some(load) = hello.load() {
                    link.report(*load);
                }
                let name = &link.target.name;
                connector
                    .log
                    .info(Part::Target, format_args!("target {name} is connected"));
                let ended = run(&link, &connector, reader, writer).await;
                connector.log.warn(
                    Part::Target,
                    format_args!("target {name} is disconnected: {ended}"),
                );
            } else {
                report_mismatch(&link, &connector, &hello);
                backoff = BACKOFF_LIMIT;
            }
        }
        let factor = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(backoff.mul_f64(factor)).await;
        backoff = (backoff * 2).min(BACKOFF_LIMIT);
    }
}

type Reading = (ReadHalf<Box<dyn PeerStream>>, FrameReader);
type Writing = WriteHalf<Box<dyn PeerStream>>;

async fn open(
    link: &TargetLink,
    connector: &Connector,
) -> io::Result<(Reading, Writing, FromTarget)> {
    let stream = timeout(
        HELLO_TIMEOUT,
        connector.network.connect(link.target.address),
    )
    .await??;
    let (reader, mut writer) = tokio::io::split(stream);
    let mut buf = BytesMut::new();
    encode(hello(link, &connector.identity), &mut buf)?;
    writer.write_all(&buf).await?;
    let mut reading = (reader, FrameReader::default());
    let hello = timeout(HELLO_TIMEOUT, read_frame(&mut reading)).await??;
    Ok((reading, writer, hello))
}

fn hello(link: &TargetLink, identity: &Identity) -> ToTarget {
    ToTarget::Hello(raw::target::Hello {
        instance: identity.name.to_string(),
        incarnation: identity.incarnation.get(),
        zone: identity.zone.to_string(),
        service: link.service.get(),
        target: link.target.id.get(),
        target_incarnation: link.target.incarnation.get(),
    })
}

fn is_expected(link: &TargetLink, hello: &FromTarget) -> bool {
    matches!(hello, FromTarget::HelloAck { service, target, incarnation, .. }
        if *service == link.service
            && *target == link.target.id
            && *incarnation == link.target.incarnation)
}

fn report_mismatch(link: &TargetLink, connector: &Connector, hello: &FromTarget) {
    link.mismatch();
    let (name, code) = (
        &link.target.name,
        tanager_core::ResultCode::IdentityMismatch,
    );
    connector.log.warn(
        Part::Target,
        format_args!("{code}: target {name} answered {hello:?}"),
    );
}

/// Serves a checked connection and returns why it ended.
async fn run(
    link: &Arc<TargetLink>,
    connector: &Connector,
    mut reading: Reading,
    writing: Writing,
) -> io::Error {
    let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
    link.connected(sender);
    let ended = tokio::select! {
        error = receive(link, connector, &mut reading) => error,
        error = transmit(receiver, writing) => error,
    };
    link.disconnected();
    ended
}

async fn receive(link: &TargetLink, connector: &Connector, reading: &mut Reading) -> io::Error {
    let mut pings = interval(PING_INTERVAL);
    let mut heard = Instant::now();
    let mut number = 0;
    loop {
        tokio::select! {
            frame = read_frame(reading) => match frame {
                Ok(frame) => {
                    heard = Instant::now();
                    take_frame(link, connector, frame);
                }
                Err(error) => return error,
            },
            _ = pings.tick() => {
                if heard.elapsed() > SILENCE_LIMIT {
                    return io::Error::new(io::ErrorKind::TimedOut, "no frame for 3 s");
                }
                if heard.elapsed() >= PING_INTERVAL / 2 {
                    number += 1;
                    let _ = link.send(ToTarget::Ping(raw::target::Ping { number }));
                }
            }
        }
    }
}

fn take_frame(link: &TargetLink, connector: &Connector, frame: FromTarget) {
    if let Some(load) = frame.load() {
        link.report(*load);
    }
    match frame {
        FromTarget::RunDone {
            run,
            failed: false,
            payload,
            ..
        } => {
            link.end_run(run, RunOutcome::Done(payload));
        }
        FromTarget::RunDone { run, .. } => link.end_run(run, RunOutcome::Failed),
        FromTarget::RunShed { run, code, .. } => link.end_run(run, RunOutcome::Shed(code)),
        FromTarget::Pong { .. } | FromTarget::HelloAck { .. } => {}
        flow => connector.return_path.take_frame(link, flow),
    }
}

async fn transmit(mut receiver: mpsc::Receiver<ToTarget>, mut writing: Writing) -> io::Error {
    let mut frames = Vec::with_capacity(BATCH_LIMIT);
    let mut buf = BytesMut::new();
    while receiver.recv_many(&mut frames, BATCH_LIMIT).await > 0 {
        for frame in frames.drain(..) {
            if let Err(error) = encode(frame, &mut buf) {
                return error;
            }
        }
        if let Err(error) = writing.write_all(&buf).await {
            return error;
        }
        buf.clear();
    }
    io::Error::new(io::ErrorKind::BrokenPipe, "the link is no longer wanted")
}

fn encode(frame: ToTarget, buf: &mut BytesMut) -> io::Result<()> {
    let frame = raw::target::ToTarget { body: Some(frame) };
    encode_frame(&frame, buf).map_err(io::Error::other)
}

async fn read_frame((reader, frames): &mut Reading) -> io::Result<FromTarget> {
    loop {
        if let Some(frame) = frames.read_frame().map_err(io::Error::other)? {
            return FromTarget::decode(frame).map_err(io::Error::other);
        }
        if reader.read_buf(frames.buffer()).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
