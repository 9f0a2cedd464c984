//! Bounds the runs in flight of one service, and orders those that wait.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tanager_core::{Clock, Millis, ResultCode};
use tokio::sync::oneshot;

use crate::admission::AdmissionError;
use crate::admission::limiter::Limiter;
use crate::catalogue::PriorityClass;

/// Order of waiting requests: class, deadline, arrival.
type Place = (PriorityClass, Millis, u64);
type Grant = Result<Permit, AdmissionError>;

/// Bounds the runs in flight of one service, and lets further requests wait.
#[derive(Debug)]
pub(super) struct Gate {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limiter: Limiter,
    running: u32,
    queue: BTreeMap<Place, oneshot::Sender<Grant>>,
    next: u64,
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// A target answered.
    Answered,
    /// It ended in another way, which says nothing about the service's capacity.
    Other,
}

/// Leave to run one request. Its end admits the next one.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    granted: Millis,
    ended: Completion,
}

impl Permit {
    /// Tells that a target shed the request for lack of room.
    pub fn record_shed(&self) {
        self.gate.lock().limiter.shed(self.gate.clock.now());
    }

    /// Ends the request.
    pub fn finish(mut self, ended: Completion) {
        self.ended = ended;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.release(self.granted, self.ended);
    }
}

/// Gives up a place in the queue when the wait ends in any way.
struct Waiting<'a> {
    gate: &'a Gate,
    place: Place,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gate.lock().queue.remove(&self.place);
    }
}

impl Gate {
    pub(super) fn new(clock: Clock, limiter: Limiter) -> Self {
        let state = State {
            limiter,
            running: 0,
            queue: BTreeMap::new(),
            next: 0,
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Sets the smallest and the largest limit that can be of use.
    pub(super) fn bound(&self, bounds: (f64, f64)) {
        self.lock().limiter.bound(bounds);
    }

    /// Waits until the request may run, at most until its deadline. A wait that ends in a
    /// refusal leaves no permit behind: one that was granted meanwhile goes to the next request.
    pub(super) async fn admit(
        self: &Arc<Self>,
        class: PriorityClass,
        deadline: Millis,
        bound: u32,
    ) -> Grant {
        let (place, receiver) = match self.enter(class, deadline, bound)? {
            Entered::Granted(permit) => return Ok(permit),
            Entered::Waiting(place, receiver) => (place, receiver),
        };
        let waiting = Waiting { gate: self, place };
        let left = deadline.since(self.clock.now());
        let granted = tokio::time::timeout(left, receiver).await;
        drop(waiting);
        match granted {
            Ok(Ok(grant)) => grant,
            _ => Err(self.lock().refuse(
                ResultCode::QueueDeadline,
                "the deadline passed in the waiting queue",
            )),
        }
    }

    fn enter(
        self: &Arc<Self>,
        class: PriorityClass,
        deadline: Millis,
        bound: u32,
    ) -> Result<Entered, AdmissionError> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.queue.is_empty() && state.limiter.allows(state.running) {
            state.running += 1;
            return Ok(Entered::Granted(self.permit(now)));
        }
        let place = (class, deadline, state.next);
        state.next += 1;
        if now + state.wait_before(&place) > deadline {
            let reason = "the deadline cannot be met after those that wait before";
            return Err(state.refuse(ResultCode::QueueDeadline, reason));
        }
        let evicted = state.make_room(&place, bound)?;
        let (sender, receiver) = oneshot::channel();
        state.queue.insert(place, sender);
        if let Some(sender) = evicted {
            let reason = "a more urgent request took the place in the full queue";
            let refused = state.refuse(ResultCode::QueueFull, reason);
            drop(state);
            let _ = sender.send(Err(refused));
        }
        Ok(Entered::Waiting(place, receiver))
    }

    fn release(self: &Arc<Self>, granted: Millis, ended: Completion) {
        let now = self.clock.now();
        let mut state = self.lock();
        if ended == Completion::Answered {
            let running = state.running;
            state.limiter.done(now.since(granted), running, now);
        }
        state.running -= 1;
        let mut grants: Vec<(oneshot::Sender<Grant>, Grant)> = Vec::new();
        while state.limiter.allows(state.running) {
            let Some(((_, deadline, _), sender)) = state.queue.pop_first() else {
                break;
            };
            let grant = if now + state.limiter.typical() > deadline {
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
            // A permit whose request is gone is dropped here and admits the next one.
            let _ = sender.send(grant);
        }
    }

    fn permit(self: &Arc<Self>, granted: Millis) -> Permit {
        Permit {
            gate: Arc::clone(self),
            granted,
            ended: Completion::Other,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the runs in flight, the requests that wait and the limit.
    #[cfg(test)]
    pub(super) fn figures(&self) -> (u32, usize, f64) {
        let state = self.lock();
        (state.running, state.queue.len(), state.limiter.limit())
    }
}

enum Entered {
    Granted(Permit),
    Waiting(Place, oneshot::Receiver<Grant>),
}

impl State {
    /// Returns the time until a request at the place would be done.
    fn wait_before(&self, place: &Place) -> std::time::Duration {
        let before = self.queue.range(..place).count();
        let before = f64::from(u32::try_from(before).unwrap_or(u32::MAX));
        let rounds = (before + 1.0) / self.limiter.limit() + 1.0;
        self.limiter.typical().mul_f64(rounds)
    }

    /// Returns the waiting request that has to go, if the queue is full.
    fn make_room(
        &mut self,
        place: &Place,
        bound: u32,
    ) -> Result<Option<oneshot::Sender<Grant>>, AdmissionError> {
        if self.queue.len() < bound as usize {
            return Ok(None);
        }
        match self.queue.last_entry() {
            Some(last) if last.key() > place => Ok(Some(last.remove())),
            _ => Err(self.refuse(ResultCode::QueueFull, "the waiting queue is full")),
        }
    }

    fn refuse(&self, code: ResultCode, reason: &'static str) -> AdmissionError {
        let (running, waiting) = (self.running, self.queue.len());
        let (limit, time) = (self.limiter.limit(), self.limiter.typical().as_millis());
        AdmissionError {
            code,
            inputs: format!("running={running} limit={limit:.1} waiting={waiting} time={time}ms"),
            reason,
        }
    }
}
