//! The send queue of one connection to a target, and the runs that await an answer on it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::BytesMut;
use tanager_core::{Clock, FastMap, Millis};
use tanager_wire::{ToTarget, encode_frame, raw};
use tokio::sync::{mpsc, oneshot};

use crate::target::{LinkError, RunOutcome};

/// Maximum number of frames that wait to be written.
pub(super) const QUEUE_LIMIT: usize = 4_096;

/// A frame that waits to be written.
#[derive(Debug)]
pub(super) enum Outgoing {
    /// A frame of a flow or of the link itself.
    Frame(ToTarget),
    /// A run and its deadline on this instance's clock, after which it is not written.
    Run(raw::target::Run, Millis),
}

/// The send queue of one verified connection and the runs that have not ended.
///
/// Invariant: a run is in `runs` until its outcome is known, so every run ends exactly once: by
/// the target's answer, as not sent, or as lost when the connection ends.
#[derive(Debug)]
pub(super) struct Connection {
    queue: mpsc::Sender<Outgoing>,
    runs: Mutex<FastMap<u64, oneshot::Sender<RunOutcome>>>,
    next_run: AtomicU64,
    /// When the oldest frame was queued that expects an answer and after which nothing was
    /// received; 0 if there is none.
    awaiting_since: AtomicU64,
}

/// Removes a run from its connection when dropped, also when the wait for its end is cancelled.
struct RunGuard<'a> {
    connection: &'a Connection,
    run: u64,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.connection.lock_runs().remove(&self.run);
    }
}

impl Connection {
    /// Creates a connection and the receiving end of its queue.
    pub(super) fn new() -> (Self, mpsc::Receiver<Outgoing>) {
        let (queue, receiver) = mpsc::channel(QUEUE_LIMIT);
        let connection = Self {
            queue,
            runs: Mutex::default(),
            next_run: AtomicU64::new(1),
            awaiting_since: AtomicU64::new(0),
        };
        (connection, receiver)
    }

    /// Queues a frame without waiting.
    pub(super) fn send(&self, frame: ToTarget, now: Millis) -> Result<(), LinkError> {
        let answered = !matches!(frame, ToTarget::CloseFlow(_) | ToTarget::CancelRun(_));
        self.push(Outgoing::Frame(frame))?;
        if answered && self.awaiting_since.load(Ordering::Relaxed) == 0 {
            self.awaiting_since.store(now.get(), Ordering::Relaxed);
        }
        Ok(())
    }

    /// Queues a run and waits for its end. When `cancelled` completes, the target is asked to drop
    /// the request; the outcome is still the one that the target reports.
    pub(super) async fn run(
        &self,
        mut frame: raw::target::Run,
        deadline: Millis,
        cancelled: impl Future<Output = ()>,
    ) -> RunOutcome {
        let number = self.next_run.fetch_add(1, Ordering::Relaxed);
        frame.run = number;
        let (sender, mut receiver) = oneshot::channel();
        self.lock_runs().insert(number, sender);
        let _guard = RunGuard {
            connection: self,
            run: number,
        };
        if let Err(error) = self.push(Outgoing::Run(frame, deadline)) {
            return RunOutcome::NotSent(error);
        }
        tokio::select! {
            outcome = &mut receiver => return outcome.unwrap_or(RunOutcome::Lost),
            () = cancelled => {}
        }
        let cancel = raw::target::CancelRun { run: number };
        // If the queue is full, the run is not cancelled and ends on its own.
        let _ = self.push(Outgoing::Frame(ToTarget::CancelRun(cancel)));
        receiver.await.unwrap_or(RunOutcome::Lost)
    }

    /// Ends a run. Unknown numbers are ignored.
    pub(super) fn complete(&self, run: u64, outcome: RunOutcome) {
        if let Some(sender) = self.lock_runs().remove(&run) {
            // The wait for the run may have been cancelled meanwhile.
            let _ = sender.send(outcome);
        }
    }

    /// Encodes queued frames into `buf`. A run whose deadline has passed, or that is too large,
    /// ends as not sent.
    pub(super) fn encode(&self, batch: &mut Vec<Outgoing>, buf: &mut BytesMut, clock: Clock) {
        for outgoing in batch.drain(..) {
            match outgoing {
                Outgoing::Frame(frame) => {
                    // Frames of flows are far below the limit, which is the only error.
                    let _ = encode_frame(&raw::target::ToTarget { body: Some(frame) }, buf);
                }
                Outgoing::Run(frame, deadline) => {
                    let run = frame.run;
                    if clock.now() >= deadline {
                        self.complete(run, RunOutcome::NotSent(LinkError::DeadlinePassed));
                        continue;
                    }
                    let body = Some(ToTarget::Run(frame));
                    if encode_frame(&raw::target::ToTarget { body }, buf).is_err() {
                        self.complete(run, RunOutcome::NotSent(LinkError::TooLarge));
                    }
                }
            }
        }
    }

    /// Ends every run when the connection has ended: those still queued as not sent, the others
    /// as lost. Returns the number of other frames that were dropped.
    pub(super) fn close(&self, queue: &mut mpsc::Receiver<Outgoing>) -> u64 {
        queue.close();
        let mut dropped = 0;
        while let Ok(outgoing) = queue.try_recv() {
            match outgoing {
                Outgoing::Frame(_) => dropped += 1,
                Outgoing::Run(frame, _) => {
                    self.complete(frame.run, RunOutcome::NotSent(LinkError::Disconnected));
                }
            }
        }
        // Dropping the senders ends the remaining runs as lost.
        self.lock_runs().clear();
        dropped
    }

    /// Records that a frame was received.
    pub(super) fn record_received(&self) {
        self.awaiting_since.store(0, Ordering::Relaxed);
    }

    /// Returns since when an answer is awaited without any frame received, if one is.
    pub(super) fn awaiting_since(&self) -> Option<Millis> {
        match self.awaiting_since.load(Ordering::Relaxed) {
            0 => None,
            millis => Some(Millis::new(millis)),
        }
    }

    /// Returns the number of runs that have not ended.
    pub(super) fn inflight(&self) -> usize {
        self.lock_runs().len()
    }

    fn push(&self, outgoing: Outgoing) -> Result<(), LinkError> {
        self.queue.try_send(outgoing).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => LinkError::Backpressure,
            mpsc::error::TrySendError::Closed(_) => LinkError::Disconnected,
        })
    }

    fn lock_runs(&self) -> MutexGuard<'_, FastMap<u64, oneshot::Sender<RunOutcome>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
