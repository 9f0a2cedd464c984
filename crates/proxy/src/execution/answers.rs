//! Sends answers to callers in fragments, and again those that are missing.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tanager_core::{FastSet, FlowId, Generation};
use tanager_wire::{Answer, DatagramBody, Token, split_answer};
use tokio::sync::Semaphore;

use crate::execution::executor::Job;
use crate::execution::{Execution, RequestKey};
use crate::usage::UsageEvent;

/// Fragments sent at once. A caller's socket with the usual receive buffer of 208 KiB holds some
/// 90 datagrams of this size.
const BURST: usize = 16;
/// Time between bursts; an answer of 1 MiB takes some 100 ms.
const BURST_INTERVAL: Duration = Duration::from_millis(1);
/// Long answers sent at the same time. Further ones wait for their turn.
const SENDER_LIMIT: usize = 64;

/// Keeps the sending of long answers within bounds.
#[derive(Debug)]
pub(super) struct AnswerSender {
    /// Long answers waiting or being sent. Repeated asks for them are ignored.
    sending: Mutex<FastSet<RequestKey>>,
    turns: Semaphore,
}

impl Default for AnswerSender {
    fn default() -> Self {
        Self {
            sending: Mutex::default(),
            turns: Semaphore::new(SENDER_LIMIT),
        }
    }
}

impl AnswerSender {
    /// Returns whether long answers are being sent.
    pub(super) fn is_sending(&self) -> bool {
        !self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, FastSet<RequestKey>> {
        self.sending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Execution {
    /// Sends the fragments that the caller does not have.
    pub(super) fn send_answer(self: &Arc<Self>, job: Job, answer: u64, payload: &Bytes) {
        self.counters.requests_answered.increment();
        let Some(token) = self.answer_token(&job) else {
            return;
        };
        let fragments = missing_fragments(&job, answer, &token, payload);
        if fragments.len() <= BURST {
            self.send_burst(&job, fragments);
            return;
        }
        if !self.requests.answers.lock().insert(job.key) {
            return;
        }
        let execution = Arc::clone(self);
        tokio::spawn(async move {
            let turn = execution.requests.answers.turns.acquire().await;
            let mut fragments = fragments;
            while !fragments.is_empty() {
                let rest = fragments.split_off(fragments.len().min(BURST));
                execution.send_burst(&job, fragments);
                fragments = rest;
                tokio::time::sleep(BURST_INTERVAL).await;
            }
            drop(turn);
            execution.requests.answers.lock().remove(&job.key);
        });
    }

    fn send_burst(&self, job: &Job, fragments: Vec<Answer>) {
        let service = job.key.service;
        let bytes: usize = fragments.iter().map(|f| f.payload.len()).sum();
        for fragment in fragments {
            let body = DatagramBody::Answer(fragment);
            self.callers.send(job.caller, service, body);
        }
        self.usage.record(service, UsageEvent::Bytes(bytes as u64));
    }

    /// Returns the request's own token, or one that names this instance for asking again.
    fn answer_token(&self, job: &Job) -> Option<Bytes> {
        if let Some(token) = &job.request.token {
            return Some(token.clone());
        }
        let token = Token {
            service: job.key.service,
            flow: FlowId::new(*job.key.request.as_bytes()),
            generation: Generation::new(0),
            target: None,
            executor: self.membership.identity().executor(),
        };
        token.sign(&self.keys).ok().map(Bytes::from)
    }
}

fn missing_fragments(job: &Job, answer: u64, token: &Bytes, payload: &Bytes) -> Vec<Answer> {
    let parts = split_answer(payload);
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let fragment = |(index, payload)| Answer {
        request: job.key.request,
        answer,
        index,
        count,
        token: token.clone(),
        payload,
    };
    (0u32..)
        .zip(parts)
        .filter(|(index, _)| job.request.answer != answer || !job.request.have.contains(*index))
        .map(fragment)
        .collect()
}
