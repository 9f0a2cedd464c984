//! Accepts callers' requests as their executor, or relays them to the instance that is.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use tanager_core::{Clock, Millis, RequestId, ResultCode, RunState, ServiceId};
use tanager_wire::{Cancel, Datagram, DatagramBody, Deadline, KeyRing, Refusal, Request, Token};

use crate::admission::Admission;
use crate::execution::answers::AnswerSender;
use crate::execution::retry::RetryBudget;
use crate::execution::{Arrival, Lookup, PauseGuard, RequestKey, RequestOutcome, RequestTable};
use crate::flow::CallerSocket;
use crate::membership::Membership;
use crate::peer::{Peers, RelayReply, Relayed};
use crate::routing::Router;
use crate::telemetry::{Counters, Decision, DecisionKind, Log, Part};
use crate::usage::UsageTable;

/// Executes the requests whose executor is this instance and relays the others.
pub struct Execution {
    /// Signs and verifies tokens.
    pub(crate) keys: KeyRing,
    /// Sends datagrams to callers.
    pub(crate) callers: CallerSocket,
    /// Enforces the limits on requests.
    pub(crate) admission: Arc<Admission>,
    /// Chooses targets.
    pub(crate) router: Arc<Router>,
    /// This instance's identity and state, and the other instances.
    pub(crate) membership: Arc<Membership>,
    /// Connections to other instances.
    pub(crate) peers: Arc<Peers>,
    /// Usage by service.
    pub(crate) usage: Arc<UsageTable>,
    /// Counters of the instance.
    pub(crate) counters: Arc<Counters>,
    /// This instance's clock.
    pub(crate) clock: Clock,
    /// Log and decisions.
    pub(crate) log: Log,
    /// Delays new work after a pause of the process until the view of the fleet is refreshed.
    pub(crate) pause_guard: Arc<PauseGuard>,
    /// Requests accepted as executor.
    pub(crate) requests: Requests,
}

/// The state of an instance as executor.
#[derive(Debug, Default)]
pub struct Requests {
    table: Mutex<RequestTable>,
    pub(super) retries: RetryBudget,
    pub(super) answers: AnswerSender,
    /// When a request last ended or was last repeated by its caller, on this instance's clock.
    last_activity: AtomicU64,
}

impl Requests {
    pub(super) fn lock_table(&self) -> MutexGuard<'_, RequestTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request accepted as its executor.
#[derive(Clone)]
pub(super) struct Job {
    pub(super) key: RequestKey,
    pub(super) request: Request,
    pub(super) deadline: Millis,
    pub(super) caller: SocketAddr,
}

impl Execution {
    /// Handles a request datagram from a caller. `datagram` is its encoded form, for relay.
    pub fn handle(
        self: &Arc<Self>,
        service: ServiceId,
        request: Request,
        caller: SocketAddr,
        datagram: &[u8],
    ) {
        let key = RequestKey {
            service,
            request: request.request,
        };
        let job = |deadline, request| Job {
            key,
            request,
            deadline,
            caller,
        };
        match (&request.token, request.deadline) {
            (None, _) if !request.repeatable => {
                // Without an executor, another instance may run it, so it is never reported as not
                // run.
                self.refuse(key, ResultCode::ExecutorMissing, RunState::Unknown, caller);
            }
            (None, Deadline::Budget(budget)) => {
                let deadline = self.clock.now() + Duration::from_millis(budget.into());
                self.accept(job(deadline, request));
            }
            (Some(token_bytes), Deadline::Executor(deadline)) => {
                if let Some(token) = self.verify_token(service, token_bytes) {
                    self.accept_or_relay(&token, job(deadline, request), datagram);
                }
            }
            _ => self.counters.datagrams_malformed.increment(),
        }
    }

    /// Drops a request that has not been sent to a target, or asks the target to drop it.
    pub fn cancel(self: &Arc<Self>, service: ServiceId, cancel: &Cancel, caller: SocketAddr) {
        let Some(token) = self.verify_token(service, &cancel.token) else {
            return;
        };
        let own = self.membership.identity().executor();
        if token.executor == own {
            let key = RequestKey {
                service,
                request: cancel.request,
            };
            let now = self.clock.now();
            let ended = self.requests.lock_table().cancel(key, now);
            // An answer is sent only when the caller repeats the request.
            if let Some(RequestOutcome::Refused { code, state }) = ended {
                self.refuse(key, code, state, caller);
            }
        } else if token.executor.address != own.address {
            let body = DatagramBody::Cancel(cancel.clone());
            if let Ok(datagram) = (Datagram { service, body }).encode() {
                let execution = Arc::clone(self);
                let relayed = Relayed {
                    executor: token.executor.incarnation,
                    caller,
                    datagram,
                };
                let address = token.executor.address;
                // The outcome is reported in reply to the request itself.
                tokio::spawn(async move { execution.peers.relay(address, relayed).await });
            }
        }
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.requests.lock_table().pending()
    }

    /// Returns whether requests are in progress, or callers have been answered within `linger` and
    /// may still request missing fragments.
    #[must_use]
    pub fn is_busy(&self, linger: Duration) -> bool {
        let last_activity = Millis::new(self.requests.last_activity.load(Ordering::Relaxed));
        self.pending() > 0
            || self.requests.answers.is_sending()
            || self.clock.now().since(last_activity) < linger
    }

    /// Returns the guard that delays new work after a pause of the process.
    #[must_use]
    pub const fn pause_guard(&self) -> &Arc<PauseGuard> {
        &self.pause_guard
    }

    fn verify_token(&self, service: ServiceId, token_bytes: &Bytes) -> Option<Token> {
        let token = Token::verify(token_bytes, &self.keys).ok();
        let token = token.filter(|t| t.service == service);
        if token.is_none() {
            self.counters.tokens_refused.increment();
        }
        token
    }

    fn accept_or_relay(self: &Arc<Self>, token: &Token, job: Job, datagram: &[u8]) {
        let own = self.membership.identity().executor();
        if token.executor == own {
            self.accept(job);
        } else if token.executor.address == own.address {
            let code = ResultCode::ExecutorReplaced;
            self.refuse(job.key, code, RunState::Unknown, job.caller);
        } else {
            let executor = token.executor;
            let relayed = Relayed {
                executor: executor.incarnation,
                caller: job.caller,
                datagram: datagram.to_vec(),
            };
            let execution = Arc::clone(self);
            let (key, caller) = (job.key, job.caller);
            tokio::spawn(async move {
                execution
                    .relay(executor.address, key, caller, relayed)
                    .await;
            });
        }
    }

    async fn relay(
        &self,
        address: SocketAddr,
        key: RequestKey,
        caller: SocketAddr,
        relayed: Relayed,
    ) {
        self.counters.requests_relayed.increment();
        let code = match self.peers.relay(address, relayed).await {
            Ok(RelayReply::Taken) => return,
            Ok(RelayReply::Replaced) => ResultCode::ExecutorReplaced,
            Err(_) => ResultCode::ExecutorUnreachable,
        };
        self.refuse(key, code, RunState::Unknown, caller);
    }

    fn accept(self: &Arc<Self>, job: Job) {
        let arrival = Arrival {
            key: job.key,
            deadline: job.deadline,
            listed: self.router.has_service(job.key.service),
            exclusive: job.request.token.is_some(),
            leaving: self.membership.is_leaving(),
        };
        let now = self.clock.now();
        let lookup = self.requests.lock_table().begin(arrival, now);
        match lookup {
            Lookup::New(cancel) => {
                self.requests.retries.deposit(job.key.service);
                let execution = Arc::clone(self);
                tokio::spawn(async move {
                    let outcome = outcome_of(execution.dispatch(&job, &cancel)).await;
                    // Recorded before the request ends, so that a leaving instance stays up to
                    // send the answer.
                    execution.record_activity();
                    let outcome = execution.requests.lock_table().finish(job.key, outcome);
                    execution.respond(job, outcome);
                });
            }
            Lookup::Pending => {}
            Lookup::Ended(outcome) => self.respond(job, outcome),
            Lookup::Unrecorded(code) => {
                self.refuse(job.key, code, RunState::Unknown, job.caller);
            }
        }
    }

    fn respond(self: &Arc<Self>, job: Job, outcome: RequestOutcome) {
        self.record_activity();
        match outcome {
            RequestOutcome::Answered { answer, payload } => self.send_answer(job, answer, &payload),
            RequestOutcome::Refused { code, state } => {
                self.refuse(job.key, code, state, job.caller);
            }
        }
    }

    fn record_activity(&self) {
        let now = self.clock.now();
        self.requests
            .last_activity
            .store(now.get(), Ordering::Relaxed);
    }

    fn refuse(&self, key: RequestKey, code: ResultCode, state: RunState, caller: SocketAddr) {
        let RequestKey { service, request } = key;
        match state {
            RunState::NotRun => self.counters.requests_not_run.increment(),
            RunState::Unknown => self.counters.requests_unknown.increment(),
        }
        if code == ResultCode::ServiceUnknown {
            self.counters.services_unknown.increment();
        }
        self.log_refusal(service, request, code, state);
        let refusal = Refusal {
            request,
            code,
            state,
        };
        self.callers
            .send(caller, service, DatagramBody::Refusal(refusal));
    }

    fn log_refusal(
        &self,
        service: ServiceId,
        request: RequestId,
        code: ResultCode,
        state: RunState,
    ) {
        let decision = Decision::request(Part::Execution, DecisionKind::Refuse, service, request);
        self.log.record_decision(decision.with_outcome(
            code,
            format_args!("{state:?}"),
            code.description().trim(),
        ));
    }
}

/// Waits for the outcome of a request. A panic, which may occur after the request was sent, yields
/// an unknown outcome: a request left pending would never be answered and would delay the exit of a
/// leaving instance.
pub(super) async fn outcome_of(dispatch: impl Future<Output = RequestOutcome>) -> RequestOutcome {
    // State shared with other requests is behind locks whose poisoning is ignored.
    let outcome = AssertUnwindSafe(dispatch).catch_unwind().await;
    outcome.unwrap_or(RequestOutcome::refused(
        ResultCode::ExecutorFailed,
        RunState::Unknown,
    ))
}
