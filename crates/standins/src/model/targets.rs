//! Targets with slots and a short queue.

use std::collections::VecDeque;
use std::time::Duration;

use super::callers::{ConnectionId, RequestId};

/// Requests that a target runs at the same time.
pub const SLOTS: u16 = 2;
/// Requests that a target queues; further ones are refused.
const QUEUE_LENGTH: usize = 8;

/// A request and the flow on which it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    pub connection: ConnectionId,
    pub request: RequestId,
}

/// The result of submitting a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResult {
    /// It runs at once.
    Started,
    /// It is queued, or is a copy of a request that is running or queued.
    Queued,
    /// All slots are busy and the queue is full.
    Refused,
}

/// A target.
#[derive(Debug)]
pub struct Target {
    pub zone: u8,
    /// Work per time. Invariant: above 0.
    speed: f64,
    /// The factor by which requests take longer for a while.
    pub slowdown: f64,
    /// Whether it has become unreachable; it then neither receives nor sends packets.
    pub unreachable: bool,
    /// Invariant: at most [`SLOTS`] requests.
    running: Vec<Work>,
    /// Invariant: at most [`QUEUE`] requests, and none while a slot is free.
    waiting: VecDeque<Work>,
}

impl Target {
    pub const fn new(zone: u8, speed: f64) -> Self {
        Self {
            zone,
            speed,
            slowdown: 1.0,
            unreachable: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Returns the time that work takes.
    pub fn time(&self, work: Duration) -> Duration {
        work.mul_f64(self.slowdown / self.speed)
    }

    /// Starts, queues or refuses a request.
    pub fn submit(&mut self, work: Work) -> SubmitResult {
        if self.running.contains(&work) || self.waiting.contains(&work) {
            SubmitResult::Queued
        } else if self.running.len() < usize::from(SLOTS) {
            self.running.push(work);
            SubmitResult::Started
        } else if self.waiting.len() < QUEUE_LENGTH {
            self.waiting.push_back(work);
            SubmitResult::Queued
        } else {
            SubmitResult::Refused
        }
    }

    /// Ends a running request. Returns the queued request that runs next, if there is one.
    pub fn finish(&mut self, work: Work) -> Option<Work> {
        self.running.retain(|w| *w != work);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }
}
