use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use tanager_core::{Clock, FastMap, Millis, RequestId, ResultCode, ServiceId};
use tanager_wire::{Load, ToTarget, raw};
use tokio::sync::{mpsc, oneshot};

use crate::catalogue::Target;

/// Readings are rounded down to milliseconds: the time of the report by up to 1 ms, and the
/// target's clock when it compares it with the deadline by another 1 ms.
const CLOCK_ROUNDING: Duration = Duration::from_millis(2);

/// Why a frame cannot be handed to a target. The frame was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// There is no checked connection.
    Disconnected,
    /// The send queue is full.
    Backpressure,
}

impl LinkError {
    /// Returns the numbered code.
    #[must_use]
    pub const fn code(self) -> ResultCode {
        match self {
            Self::Disconnected => ResultCode::TargetDisconnected,
            Self::Backpressure => ResultCode::TargetBackpressure,
        }
    }
}

/// A request to be run by a target.
#[derive(Debug, Clone)]
pub struct RunOrder {
    /// The caller's request.
    pub request: RequestId,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Latest start on this instance's clock.
    pub deadline: Millis,
    /// The payload.
    pub body: Bytes,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target answered.
    Done(Bytes),
    /// The target failed while running it.
    Failed,
    /// The target did not start it and never will.
    Shed(ResultCode),
    /// It was never sent.
    NotSent(LinkError),
    /// It was sent and its fate cannot be known.
    Lost,
}

/// The newest load report of a target and what happened since.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadView {
    /// The report.
    pub load: Load,
    /// When it arrived, on this instance's clock.
    pub at: Millis,
    /// Feeds that this instance opened since.
    pub opened: u32,
}

/// The send side of one checked connection.
pub(super) type FrameSender = mpsc::Sender<ToTarget>;

/// What this instance shares with the connection task of one target.
#[derive(Debug)]
pub struct TargetLink {
    /// The catalogue's target. A changed entry gets a new link.
    pub target: Target,
    /// The service that the target serves.
    pub service: ServiceId,
    clock: Clock,
    sender: ArcSwapOption<FrameSender>,
    load: Mutex<LoadView>,
    /// Runs sent and not yet ended.
    runs: Mutex<FastMap<u64, oneshot::Sender<RunOutcome>>>,
    next_run: AtomicU64,
    inflight: AtomicU32,
    mismatched: AtomicBool,
    ready_since: AtomicU64,
}

/// Removes a run from its link, also when the wait for its end is given up.
struct RunEntry<'a> {
    link: &'a TargetLink,
    run: u64,
}

impl Drop for RunEntry<'_> {
    fn drop(&mut self) {
        self.link.lock_runs().remove(&self.run);
        self.link.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl TargetLink {
    /// Creates a link without a connection.
    #[must_use]
    pub fn new(target: Target, service: ServiceId, clock: Clock) -> Self {
        Self {
            target,
            service,
            clock,
            sender: ArcSwapOption::empty(),
            load: Mutex::default(),
            runs: Mutex::default(),
            next_run: AtomicU64::new(1),
            inflight: AtomicU32::new(0),
            mismatched: AtomicBool::new(false),
            ready_since: AtomicU64::new(0),
        }
    }

    /// Returns whether a connection stands whose target identified itself.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.load().is_some()
    }

    /// Returns whether the process at the address is not the catalogue's target.
    #[must_use]
    pub fn is_mismatched(&self) -> bool {
        self.mismatched.load(Ordering::Relaxed)
    }

    /// Returns when the connection became ready, on this instance's clock.
    #[must_use]
    pub fn ready_since(&self) -> Millis {
        Millis::new(self.ready_since.load(Ordering::Relaxed))
    }

    /// Returns the runs of this instance that the target has not answered.
    #[must_use]
    pub fn inflight(&self) -> u32 {
        self.inflight.load(Ordering::Relaxed)
    }

    /// Returns the newest load report.
    #[must_use]
    pub fn load(&self) -> LoadView {
        *self.lock_load()
    }

    /// Counts a feed opened since the last report.
    pub fn count_opened(&self) {
        self.lock_load().opened += 1;
    }

    /// Queues a frame for the target.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no connection or the queue is full. The frame is dropped.
    pub fn send(&self, frame: ToTarget) -> Result<(), LinkError> {
        let sender = self.sender.load();
        let sender = sender.as_ref().ok_or(LinkError::Disconnected)?;
        sender.try_send(frame).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => LinkError::Backpressure,
            mpsc::error::TrySendError::Closed(_) => LinkError::Disconnected,
        })
    }

    /// Runs a request and waits for its end. When `cancelled` completes, the target is asked to
    /// drop the request; the outcome still follows the target's word.
    pub async fn run(&self, order: RunOrder, cancelled: impl Future<Output = ()>) -> RunOutcome {
        let run = self.next_run.fetch_add(1, Ordering::Relaxed);
        let (sender, mut receiver) = oneshot::channel();
        self.lock_runs().insert(run, sender);
        self.inflight.fetch_add(1, Ordering::Relaxed);
        let _entry = RunEntry { link: self, run };
        let sent = self.send(ToTarget::Run(raw::target::Run {
            run,
            request: Bytes::copy_from_slice(order.request.as_bytes()),
            repeatable: order.repeatable,
            deadline_ms: self.target_deadline(order.deadline).get(),
            body: order.body,
        }));
        if let Err(error) = sent {
            return RunOutcome::NotSent(error);
        }
        tokio::select! {
            outcome = &mut receiver => return outcome.unwrap_or(RunOutcome::Lost),
            () = cancelled => {}
        }
        let _ = self.send(ToTarget::CancelRun(raw::target::CancelRun { run }));
        receiver.await.unwrap_or(RunOutcome::Lost)
    }

    /// Converts a deadline to the target's clock. The report's clock reading was taken before the
    /// report arrived, so the result is never later than the deadline.
    pub(super) fn target_deadline(&self, deadline: Millis) -> Millis {
        let view = self.load();
        view.load.clock + deadline.since(view.at + CLOCK_ROUNDING)
    }

    /// Takes over a load report.
    pub(super) fn report(&self, load: Load) {
        *self.lock_load() = LoadView {
            load,
            at: self.clock.now(),
            opened: 0,
        };
    }

    /// Ends a run.
    pub(super) fn end_run(&self, run: u64, outcome: RunOutcome) {
        if let Some(sender) = self.lock_runs().remove(&run) {
            let _ = sender.send(outcome);
        }
    }

    /// Makes the connection usable.
    pub(super) fn connected(&self, sender: FrameSender) {
        self.mismatched.store(false, Ordering::Relaxed);
        self.ready_since
            .store(self.clock.now().get(), Ordering::Relaxed);
        self.sender.store(Some(std::sync::Arc::new(sender)));
    }

    /// Ends the connection. Runs that were queued or sent are lost: whether a queued frame left
    /// the process cannot be told.
    pub(super) fn disconnected(&self) {
        self.sender.store(None);
        self.lock_runs().drain().for_each(|(_, sender)| {
            let _ = sender.send(RunOutcome::Lost);
        });
    }

    /// Records that another process lives at the target's address.
    pub(super) fn mismatch(&self) {
        self.mismatched.store(true, Ordering::Relaxed);
    }

    /// Returns how long ago the newest load report arrived.
    #[must_use]
    pub fn report_age(&self) -> Duration {
        self.clock.now().since(self.load().at)
    }

    fn lock_load(&self) -> MutexGuard<'_, LoadView> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_runs(&self) -> MutexGuard<'_, FastMap<u64, oneshot::Sender<RunOutcome>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
