//! A target's connections and the requests that arrive on them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use tanager_core::{Incarnation, Millis, ResultCode, ServiceId, TargetId};
use tanager_wire::{FrameReader, FromTarget, ToTarget, encode_frame, raw};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::Shared;
use super::body::{answer, is_for_service, wall_clock};

pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // Dropping the set with this task breaks all connections, as a killed process would.
    let mut connections = JoinSet::new();
    connections.spawn(crate::feed::push_updates(Arc::clone(&shared)));
    while let Ok((stream, _)) = listener.accept().await {
        let id = shared.next_connection.fetch_add(1, Ordering::Relaxed);
        connections.spawn(serve(stream, id, Arc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, id: u64, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.into_split();
    let (sender, mut receiver) = mpsc::unbounded_channel::<FromTarget>();
    shared.feeds.connect(id, sender.clone());
    let mut writing = JoinSet::new();
    writing.spawn(async move {
        let mut frames = Vec::new();
        let mut buf = BytesMut::new();
        while receiver.recv_many(&mut frames, 64).await > 0 {
            for frame in frames.drain(..) {
                let _ = encode_frame(&raw::target::FromTarget::from(frame), &mut buf);
            }
            if writer.write_all(&buf).await.is_err() {
                return;
            }
            buf.clear();
        }
    });
    let mut frames = FrameReader::default();
    let mut connection = Connection {
        id,
        sender,
        shared,
        matched: false,
    };
    while let Ok(size) = reader.read_buf(frames.buffer()).await {
        while let Ok(Some(frame)) = frames.read_frame() {
            connection.handle_frame(frame);
        }
        if size == 0 {
            break;
        }
    }
    connection.shared.feeds.disconnect(id);
}

struct Connection {
    id: u64,
    sender: mpsc::UnboundedSender<FromTarget>,
    shared: Arc<Shared>,
    /// Whether the balancer's `Hello` named this target.
    matched: bool,
}

impl Connection {
    fn handle_frame(&mut self, frame: Bytes) {
        let Ok(raw::target::ToTarget { body: Some(frame) }) = raw::target::ToTarget::decode(frame)
        else {
            return;
        };
        let shared = &self.shared;
        if !matches!(frame, ToTarget::Hello(_)) && !self.matched {
            shared.lock_record().wrong_service += 1;
        }
        match frame {
            ToTarget::Hello(hello) => self.handle_hello(&hello),
            ToTarget::OpenFlow(open) => {
                self.record_new_work(true);
                self.send(shared.feeds.open(shared, self.id, open));
            }
            ToTarget::FlowKeepalive(keepalive) => {
                for frame in shared.feeds.keepalive(shared, self.id, &keepalive) {
                    self.send(frame);
                }
            }
            ToTarget::CloseFlow(close) => {
                if !shared.feeds.close(&close) {
                    shared.record_unknown_flow();
                }
            }
            ToTarget::Run(run) => self.start_run(run),
            ToTarget::CancelRun(cancel) => {
                shared.lock_cancelled().insert((self.id, cancel.run));
            }
            ToTarget::Ping(ping) => {
                self.send(FromTarget::Pong {
                    number: ping.number,
                    load: shared.load(),
                });
            }
        }
    }

    fn handle_hello(&mut self, hello: &raw::target::Hello) {
        let shared = &self.shared;
        let options = &shared.options;
        self.matched = (hello.service, hello.target, hello.target_incarnation)
            == (options.service, options.number, options.incarnation);
        self.send(FromTarget::HelloAck {
            service: ServiceId::new(options.service),
            target: TargetId::new(options.number),
            incarnation: Incarnation::new(options.incarnation),
            load: shared.load(),
        });
    }

    fn start_run(&self, run: raw::target::Run) {
        let shared = &self.shared;
        self.record_new_work(is_for_service(&run.body, shared.options.service));
        let (shared, sender) = (Arc::clone(shared), self.sender.clone());
        let mut runs = self.shared.lock_runs();
        // Finished tasks are removed here; otherwise the set would grow.
        while runs.try_join_next().is_some() {}
        runs.spawn(run_request(shared, self.id, run, sender));
    }

    fn record_new_work(&self, for_this_service: bool) {
        self.shared.record_new_work();
        if self.matched && !for_this_service {
            self.shared.lock_record().wrong_service += 1;
        }
    }

    fn send(&self, frame: FromTarget) {
        let _ = self.sender.send(frame);
    }
}

async fn run_request(
    shared: Arc<Shared>,
    connection: u64,
    run: raw::target::Run,
    sender: mpsc::UnboundedSender<FromTarget>,
) {
    let ended = run_in_slot(&shared, connection, &run).await;
    let (run, load) = (run.run, shared.load());
    let _ = sender.send(match ended {
        Ok(payload) => FromTarget::RunDone {
            run,
            failed: false,
            payload,
            load,
        },
        Err(code) => {
            shared.lock_record().shed += 1;
            FromTarget::RunShed { run, code, load }
        }
    });
}

/// Returns the answer, or the code of the reason for which the request did not start.
async fn run_in_slot(
    shared: &Shared,
    connection: u64,
    run: &raw::target::Run,
) -> Result<Bytes, ResultCode> {
    if shared.is_leaving() {
        return Err(ResultCode::TargetLeaving);
    }
    let waiting = shared.queued.fetch_add(1, Ordering::Relaxed);
    let busy = shared.running.load(Ordering::Relaxed) >= shared.options.slots;
    let full = waiting >= shared.options.queue || shared.shedding.load(Ordering::Relaxed);
    let slot = if busy && full {
        None
    } else {
        shared.slots.acquire().await.ok()
    };
    shared.queued.fetch_sub(1, Ordering::Relaxed);
    let _slot = slot.ok_or(ResultCode::TargetShed)?;
    if shared.lock_cancelled().remove(&(connection, run.run)) {
        return Err(ResultCode::RequestCancelled);
    }
    // The wall clock is read before the deadline check, so that a delay between the two readings
    // never makes a start appear late.
    let started_at = wall_clock();
    if shared.clock.now() > Millis::new(run.deadline_ms) {
        return Err(ResultCode::DeadlinePassed);
    }
    shared.running.fetch_add(1, Ordering::Relaxed);
    shared.record_start(run, started_at);
    let started = Instant::now();
    tokio::time::sleep(shared.service_time()).await;
    shared.record_end(started.elapsed());
    shared.running.fetch_sub(1, Ordering::Relaxed);
    Ok(answer(&run.request, shared.options.answer_size))
}
