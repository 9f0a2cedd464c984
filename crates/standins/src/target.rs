//! A target: slots, feeds, drain, cold start, shedding, and a record of what really ran.

mod body;
mod connection;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{Clock, FastMap, FastSet, Millis, RequestId};
use tanager_wire::{Load, raw};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use crate::feed::Feeds;

pub use body::{answer, body_with_latest_start, request_body};

/// Work that arrives this long after the start of a drain counts as a breach.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// How a target behaves.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where it listens.
    pub address: SocketAddr,
    /// The service that it serves.
    pub service: u32,
    /// Its number in the catalogue.
    pub number: u32,
    /// Its incarnation.
    pub incarnation: u64,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that may wait; further ones are shed.
    pub queue: u32,
    /// Feeds that it takes.
    pub flows: u32,
    /// Time that a request occupies a slot.
    pub service_time: Duration,
    /// Size of an answer in bytes.
    pub answer_size: usize,
    /// Time between feed updates.
    pub feed_interval: Duration,
    /// Time after the start during which requests take five times as long.
    pub cold_start: Duration,
    /// A feed without a keepalive for this long is ended.
    pub idle_limit: Duration,
    /// Whether it always reports no load.
    pub misleading: bool,
}

impl Options {
    /// Returns a fast target with two slots.
    #[must_use]
    pub const fn new(address: SocketAddr, service: u32, number: u32) -> Self {
        Self {
            address,
            service,
            number,
            incarnation: 1,
            slots: 2,
            queue: 2,
            flows: 2_000,
            service_time: Duration::from_millis(10),
            answer_size: 64,
            feed_interval: Duration::from_millis(500),
            cold_start: Duration::ZERO,
            idle_limit: Duration::from_secs(5),
            misleading: false,
        }
    }
}

/// What happened at a target.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Record {
    /// How often each non-repeatable request ran, by request id in hexadecimal.
    pub runs: FastMap<String, u32>,
    /// Requests run, repeatable ones included.
    pub requests: u64,
    /// Time that slots were occupied, in milliseconds.
    pub slot_ms: u64,
    /// Requests shed.
    pub shed: u64,
    /// Feeds opened.
    pub flows_opened: u64,
    /// Frames that arrived over a connection for another service, target or incarnation, and work
    /// that its caller sent to another service. A refused `Hello` is no such frame.
    pub wrong_service: u64,
    /// Keepalives and closes of flows that it does not have.
    pub unknown_flows: u64,
    /// New work that arrived after the drain's grace.
    pub new_work_after_leave: u64,
    /// Requests started after their deadline.
    pub late_starts: u64,
}

/// A running target. Dropping it kills it.
pub struct Target {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) clock: Clock,
    pub(crate) feeds: Feeds,
    slots: Semaphore,
    running: AtomicU32,
    queued: AtomicU32,
    leaving: AtomicBool,
    left_at: AtomicU64,
    misleading: AtomicBool,
    shedding: AtomicBool,
    started: Instant,
    record: Mutex<Record>,
    cancelled: Mutex<FastSet<(u64, u64)>>,
    next_connection: AtomicU64,
    /// Runs go on when the connection that brought them breaks, and end with the target.
    runs: Mutex<JoinSet<()>>,
}

impl Target {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn start(options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            feeds: Feeds::default(),
            slots: Semaphore::new(options.slots as usize),
            clock: Clock::start(),
            running: AtomicU32::new(0),
            queued: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            left_at: AtomicU64::new(0),
            misleading: AtomicBool::new(options.misleading),
            shedding: AtomicBool::new(false),
            started: Instant::now(),
            record: Mutex::default(),
            cancelled: Mutex::default(),
            next_connection: AtomicU64::new(1),
            runs: Mutex::default(),
            options,
        });
        let task = tokio::spawn(connection::accept(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Returns where the target listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a drain: new work is refused, open feeds stay.
    pub fn drain(&self) {
        self.expect_no_new_work();
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Starts the grace period for new work without telling the balancers, as when only the
    /// catalogue says that the target leaves.
    pub fn expect_no_new_work(&self) {
        self.shared
            .left_at
            .store(self.shared.clock.now().get(), Ordering::Relaxed);
    }

    /// Starts or ends reporting no load and no drain.
    pub fn set_misleading(&self, misleading: bool) {
        self.shared.misleading.store(misleading, Ordering::Relaxed);
    }

    /// Starts or ends shedding every request that finds all slots busy.
    pub fn set_shedding(&self, shedding: bool) {
        self.shared.shedding.store(shedding, Ordering::Relaxed);
    }

    /// Returns the target's number in the catalogue.
    #[must_use]
    pub fn number(&self) -> u32 {
        self.shared.options.number
    }

    /// Returns the number of open feeds.
    #[must_use]
    pub fn open_feeds(&self) -> usize {
        self.shared.feeds.len()
    }

    /// Makes the target forget all feeds without telling anybody.
    pub fn discard_feeds(&self) {
        self.shared.feeds.clear();
    }

    /// Returns what happened so far.
    #[must_use]
    pub fn record(&self) -> Record {
        self.shared.lock_record().clone()
    }

    /// Kills the target: its connections break and its requests end unanswered.
    #[must_use]
    pub fn kill(self) -> Record {
        self.record()
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.lock_runs().abort_all();
    }
}

impl Shared {
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn load(&self) -> Load {
        let clock = self.clock.now();
        if self.misleading.load(Ordering::Relaxed) {
            return Load {
                clock,
                ..Load::default()
            };
        }
        Load {
            running: self.running.load(Ordering::Relaxed),
            queued: self.queued.load(Ordering::Relaxed),
            flows: u32::try_from(self.feeds.len()).unwrap_or(u32::MAX),
            leaving: self.is_leaving(),
            clock,
        }
    }

    pub(crate) fn count_opened(&self) {
        self.lock_record().flows_opened += 1;
    }

    pub(crate) fn count_unknown_flow(&self) {
        self.lock_record().unknown_flows += 1;
    }

    fn count_new_work(&self) {
        let left_at = self.left_at.load(Ordering::Relaxed);
        if left_at > 0 && self.clock.now().since(Millis::new(left_at)) > DRAIN_GRACE {
            self.lock_record().new_work_after_leave += 1;
        }
    }

    fn record_start(&self, run: &raw::target::Run, at: Duration) {
        let mut record = self.lock_record();
        record.requests += 1;
        record.late_starts += u64::from(body::is_late(&run.body, at));
        if let (false, Ok(id)) = (run.repeatable, RequestId::try_from(run.request.as_ref())) {
            *record.runs.entry(id.to_string()).or_default() += 1;
        }
    }

    fn record_end(&self, time: Duration) {
        self.lock_record().slot_ms += u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    }

    fn service_time(&self) -> Duration {
        let cold = self.started.elapsed() < self.options.cold_start;
        self.options.service_time * if cold { 5 } else { 1 }
    }

    fn lock_record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_runs(&self) -> MutexGuard<'_, JoinSet<()>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_cancelled(&self) -> MutexGuard<'_, FastSet<(u64, u64)>> {
        self.cancelled
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
