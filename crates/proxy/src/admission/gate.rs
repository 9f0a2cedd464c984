//! Bounds the runs in flight of one service, and queues further requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tanager_admission::{Demand, GroupId, LatePolicy, Pushed, Refusal, Ticket, WaitQueue};
use tanager_core::{Clock, Millis, ResultCode};
use tokio::sync::oneshot;

use crate::admission::AdmissionError;
use crate::admission::limiter::Limiter;
use crate::catalogue::PriorityClass;

type Grant = Result<Permit, AdmissionError>;

/// Bounds the runs in flight of one service, and queues further requests.
#[derive(Debug)]
pub(super) struct ConcurrencyGate {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limiter: Limiter,
    running: u32,
    /// Waiting requests, ordered by class, deadline and arrival.
    queue: WaitQueue<oneshot::Sender<Grant>>,
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// A target answered.
    Answered,
    /// It ended in another way, which is no evidence of the service's capacity.
    Other,
}

/// Permission to run one request. Dropping it admits the next request.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<ConcurrencyGate>,
    granted: Millis,
    completion: Completion,
}

impl Permit {
    /// Records that a target shed the request because it was full.
    pub fn record_shed(&self) {
        self.gate.lock().limiter.record_shed(self.gate.clock.now());
    }

    /// Ends the request.
    pub fn finish(mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.release(self.granted, self.completion);
    }
}

/// Removes a request from the queue when its wait ends in any way.
struct QueueGuard<'a> {
    gate: &'a ConcurrencyGate,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.gate.lock().queue.remove(self.ticket);
    }
}

impl ConcurrencyGate {
    pub(super) fn new(clock: Clock, limiter: Limiter) -> Self {
        let state = State {
            limiter,
            running: 0,
            queue: WaitQueue::new(0),
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Sets the smallest and the largest value of the concurrency limit.
    pub(super) fn set_bounds(&self, bounds: (f64, f64)) {
        self.lock().limiter.set_bounds(bounds);
    }

    /// Waits until the request may run, at most until its deadline. If the wait ends in a refusal,
    /// a permit that was granted meanwhile goes to the next request.
    pub(super) async fn admit(
        self: &Arc<Self>,
        class: PriorityClass,
        deadline: Millis,
        queue_limit: u32,
    ) -> Grant {
        let (ticket, receiver) = match self.enqueue(class, deadline, queue_limit)? {
            Admitted::Granted(permit) => return Ok(permit),
            Admitted::Queued(ticket, receiver) => (ticket, receiver),
        };
        let guard = QueueGuard { gate: self, ticket };
        let left = deadline.since(self.clock.now());
        let granted = tokio::time::timeout(left, receiver).await;
        drop(guard);
        match granted {
            Ok(Ok(grant)) => grant,
            _ => Err(self.lock().refuse(
                ResultCode::QueueDeadline,
                "the deadline passed in the waiting queue",
            )),
        }
    }

    /// Grants a permit if the limit allows it, and otherwise adds the request to the queue.
    fn enqueue(
        self: &Arc<Self>,
        class: PriorityClass,
        deadline: Millis,
        queue_limit: u32,
    ) -> Result<Admitted, AdmissionError> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.queue.is_empty() && state.limiter.allows(state.running) {
            state.running += 1;
            return Ok(Admitted::Granted(self.permit(now)));
        }
        let demand = demand(class, deadline);
        if now + state.expected_time(&demand, now) > deadline {
            return Err(state.refuse_push(Refusal::Late));
        }
        let (sender, receiver) = oneshot::channel();
        state.queue.set_limit(queue_limit as usize);
        let pushed = state.queue.push(demand, LatePolicy::Keep, sender, now);
        let (ticket, displaced) = match pushed {
            Pushed::Queued { ticket, displaced } => (ticket, displaced),
            Pushed::Refused { reason, .. } => return Err(state.refuse_push(reason)),
        };
        if let Some(sender) = displaced {
            let reason = "a more urgent request replaced it in the full queue";
            let refused = state.refuse(ResultCode::QueueFull, reason);
            drop(state);
            let _ = sender.send(Err(refused));
        }
        Ok(Admitted::Queued(ticket, receiver))
    }

    fn release(self: &Arc<Self>, granted: Millis, completion: Completion) {
        let now = self.clock.now();
        let mut state = self.lock();
        if completion == Completion::Answered {
            let running = state.running;
            state
                .limiter
                .record_completed(now.since(granted), running, now);
        }
        state.running -= 1;
        let mut grants: Vec<(oneshot::Sender<Grant>, Grant)> = Vec::new();
        while state.limiter.allows(state.running) {
            let Some((demand, sender)) = state.queue.pop(now) else {
                break;
            };
            let grant = if now + state.limiter.median_time() > demand.deadline {
                let reason = "the deadline cannot be met with the measured service time";
                Err(state.refuse(ResultCode::QueueDeadline, reason))
            } else {
                state.running += 1;
                Ok(self.permit(now))
            };
            grants.push((sender, grant));
        }
        drop(state);
        for (sender, grant) in grants {
            // If the request no longer waits, its permit is dropped here and admits the next one.
            let _ = sender.send(grant);
        }
    }

    fn permit(self: &Arc<Self>, granted: Millis) -> Permit {
        Permit {
            gate: Arc::clone(self),
            granted,
            completion: Completion::Other,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the runs in flight, the number of waiting requests and the limit.
    #[cfg(test)]
    pub(super) fn stats(&self) -> (u32, usize, f64) {
        let state = self.lock();
        (state.running, state.queue.len(), state.limiter.limit())
    }
}

enum Admitted {
    Granted(Permit),
    Queued(Ticket, oneshot::Receiver<Grant>),
}

/// Returns the demand of a request, all of whose order is its class and deadline.
fn demand(class: PriorityClass, deadline: Millis) -> Demand {
    Demand {
        priority: class as u64,
        repeatable: true,
        objective: deadline,
        deadline,
        work: Duration::ZERO,
        group: GroupId::new(0),
    }
}

impl State {
    /// Returns the expected time until a new request would be completed.
    fn expected_time(&self, demand: &Demand, now: Millis) -> Duration {
        let before = self.queue.ahead(demand, now);
        let before = f64::from(u32::try_from(before).unwrap_or(u32::MAX));
        let rounds = (before + 1.0) / self.limiter.limit() + 1.0;
        self.limiter.median_time().mul_f64(rounds)
    }

    /// Returns the refusal of a request that is not queued.
    fn refuse_push(&self, refusal: Refusal) -> AdmissionError {
        match refusal {
            Refusal::Late => {
                let reason = "the deadline cannot be met because of the requests queued ahead";
                self.refuse(ResultCode::QueueDeadline, reason)
            }
            Refusal::Full => self.refuse(ResultCode::QueueFull, "the waiting queue is full"),
        }
    }

    fn refuse(&self, code: ResultCode, reason: &'static str) -> AdmissionError {
        let (running, waiting) = (self.running, self.queue.len());
        let (limit, time) = (self.limiter.limit(), self.limiter.median_time().as_millis());
        AdmissionError {
            code,
            inputs: format!("running={running} limit={limit:.1} waiting={waiting} time={time}ms"),
            reason,
        }
    }
}
