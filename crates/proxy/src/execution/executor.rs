use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tanager_core::{
    Clock, FlowId, Generation, Millis, RequestId, ResultCode, RunState, ServiceId, TargetId,
};
use tanager_wire::{
    Answer, Cancel, DatagramBody, Deadline, KeyRing, Refusal, Request, Token, split_answer,
};

use crate::admission::{Admission, Ended};
use crate::execution::{Ending, Lookup, RequestTable};
use crate::flow::CallerSocket;
use crate::membership::Membership;
use crate::peer::{Peers, RelayReply, Relayed};
use crate::routing::{Observation, Placement, Router};
use crate::target::{RunOrder, RunOutcome};
use crate::telemetry::{Counters, Decision, DecisionKind, Log, Part};
use crate::usage::{Usage, UsageEvent};

/// Targets tried for one request.
const ATTEMPT_LIMIT: usize = 3;
/// A deadline further ahead is refused, so that the request table stays bounded.
const DEADLINE_LIMIT: Duration = Duration::from_secs(30);

/// Runs requests as their executor, or relays them to it.
pub struct Execution {
    /// Signs and verifies tokens.
    pub(crate) keys: KeyRing,
    /// The way to callers.
    pub(crate) callers: CallerSocket,
    /// Limits.
    pub(crate) admission: Arc<Admission>,
    /// Chooses targets.
    pub(crate) router: Arc<Router>,
    /// This instance and the fleet.
    pub(crate) membership: Arc<Membership>,
    /// Other instances.
    pub(crate) peers: Arc<Peers>,
    /// Usage by service.
    pub(crate) usage: Arc<Usage>,
    /// Counters of the instance.
    pub(crate) counters: Arc<Counters>,
    /// This instance's clock.
    pub(crate) clock: Clock,
    /// Log and decisions.
    pub(crate) log: Log,
    /// Requests taken as executor.
    pub(crate) table: Mutex<RequestTable>,
}

/// A request taken as its executor.
struct Job {
    service: ServiceId,
    request: Request,
    deadline: Millis,
    caller: SocketAddr,
}

impl Execution {
    /// Takes a request datagram from a caller. `datagram` is its encoded form, for relay.
    pub fn handle(
        self: &Arc<Self>,
        service: ServiceId,
        request: Request,
        caller: SocketAddr,
        datagram: &[u8],
    ) {
        match (&request.token, request.deadline) {
            (None, _) if !request.repeatable => {
                // Without an executor another instance may run it, so nobody can say "not run".
                let code = ResultCode::ExecutorMissing;
                self.refuse(service, request.request, code, RunState::Unknown, caller);
            }
            (None, Deadline::Budget(budget)) => {
                let deadline = self.clock.now() + Duration::from_millis(budget.into());
                self.take(Job {
                    service,
                    request,
                    deadline,
                    caller,
                });
            }
            (Some(sealed), Deadline::Executor(deadline)) => match Token::open(sealed, &self.keys) {
                Ok(token) if token.service == service => {
                    let job = Job {
                        service,
                        request,
                        deadline,
                        caller,
                    };
                    self.take_or_relay(&token, job, datagram);
                }
                _ => self.counters.tokens_refused.increment(),
            },
            _ => self.counters.datagrams_malformed.increment(),
        }
    }

    /// Drops a request that has not been sent to a target.
    pub fn cancel(&self, _service: ServiceId, _cancel: &Cancel, _caller: SocketAddr) {}

    /// Returns the requests in progress.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.lock_table().pending()
    }

    fn take_or_relay(self: &Arc<Self>, token: &Token, job: Job, datagram: &[u8]) {
        let own = self.membership.identity().executor();
        if token.executor == own {
            self.take(job);
        } else if token.executor.address == own.address {
            let (service, request) = (job.service, job.request.request);
            let code = ResultCode::ExecutorReplaced;
            self.refuse(service, request, code, RunState::Unknown, job.caller);
        } else {
            let executor = token.executor;
            let relayed = Relayed {
                executor: executor.incarnation,
                caller: job.caller,
                datagram: datagram.to_vec(),
            };
            let execution = Arc::clone(self);
            tokio::spawn(async move { execution.relay(executor.address, job, relayed).await });
        }
    }

    async fn relay(&self, address: SocketAddr, job: Job, relayed: Relayed) {
        self.counters.requests_relayed.increment();
        let code = match self.peers.relay(address, relayed).await {
            Ok(RelayReply::Taken) => return,
            Ok(RelayReply::Replaced) => ResultCode::ExecutorReplaced,
            Err(_) => ResultCode::ExecutorUnreachable,
        };
        self.refuse(
            job.service,
            job.request.request,
            code,
            RunState::Unknown,
            job.caller,
        );
    }

    fn take(self: &Arc<Self>, job: Job) {
        let now = self.clock.now();
        let id = job.request.request;
        if job.deadline > now + DEADLINE_LIMIT {
            // A later copy could be in range and run, so this is not "not run".
            let code = ResultCode::DeadlineTooFar;
            self.refuse(job.service, id, code, RunState::Unknown, job.caller);
            return;
        }
        let lookup = self.lock_table().begin(id, job.deadline, now);
        match lookup {
            Lookup::New => {
                let execution = Arc::clone(self);
                tokio::spawn(async move { execution.execute(job).await });
            }
            Lookup::Pending => {}
            Lookup::Ended(ending) => self.respond(&job, &ending),
            // Not recorded, so a later copy could run.
            Lookup::Full => {
                let code = ResultCode::TableFull;
                self.refuse(job.service, id, code, RunState::Unknown, job.caller);
            }
        }
    }

    async fn execute(&self, job: Job) {
        let ending = self.dispatch(&job).await;
        self.lock_table().end(job.request.request, ending.clone());
        self.respond(&job, &ending);
    }

    /// Runs the request on a target. Nothing is sent twice unless it is repeatable or the target
    /// said that it did not start it.
    async fn dispatch(&self, job: &Job) -> Ending {
        let not_run = |code| Ending::Refused {
            code,
            state: RunState::NotRun,
        };
        if self.membership.is_leaving() {
            return not_run(ResultCode::ExecutorLeaving);
        }
        let permit = match self.admission.admit(job.service, job.deadline).await {
            Ok(permit) => permit,
            Err(refused) => {
                let id = job.request.request;
                let kind = DecisionKind::Refuse;
                let decision = Decision::request(Part::Admission, kind, job.service, id);
                self.log
                    .decide(decision.because(refused.code, refused.inputs, refused.reason));
                return not_run(refused.code);
            }
        };
        let mut excluded: Vec<TargetId> = Vec::new();
        let mut refusal = ResultCode::RequestNoTarget;
        for _ in 0..ATTEMPT_LIMIT {
            if self.clock.now() >= job.deadline {
                return not_run(ResultCode::DeadlinePassed);
            }
            match self.attempt(job, &mut excluded).await {
                Ok(RunOutcome::Done(payload)) => {
                    permit.finish(Ended::Done);
                    return Ending::Answered {
                        answer: rand::random::<u64>() | 1,
                        payload,
                    };
                }
                Ok(RunOutcome::Shed(code)) => {
                    // A leaving target or a passed deadline says nothing about capacity.
                    if code == ResultCode::TargetShed {
                        permit.shed();
                    }
                    refusal = code;
                }
                Err(code) => refusal = code,
                Ok(RunOutcome::NotSent(error)) => refusal = error.code(),
                Ok(RunOutcome::Failed) => {
                    let code = ResultCode::RequestFailed;
                    return Ending::Refused {
                        code,
                        state: RunState::Unknown,
                    };
                }
                Ok(RunOutcome::Lost) if job.request.repeatable => {
                    refusal = ResultCode::OutcomeLost;
                }
                Ok(RunOutcome::Lost) => {
                    let code = ResultCode::OutcomeLost;
                    return Ending::Refused {
                        code,
                        state: RunState::Unknown,
                    };
                }
            }
        }
        not_run(refusal)
    }

    async fn attempt(
        &self,
        job: &Job,
        excluded: &mut Vec<TargetId>,
    ) -> Result<RunOutcome, ResultCode> {
        let choice = self
            .router
            .choose(job.service, Placement::Request, excluded)?;
        let link = choice.link;
        let id = job.request.request;
        let decision = Decision::request(Part::Execution, DecisionKind::Dispatch, job.service, id);
        self.log
            .decide(decision.because(&link.target.name, choice.inputs, choice.reason));
        excluded.push(link.target.id);
        self.counters.requests_dispatched.increment();
        let started = self.clock.now();
        let outcome = link
            .run(RunOrder {
                request: id,
                repeatable: job.request.repeatable,
                deadline: job.deadline,
                body: job.request.body.clone(),
            })
            .await;
        let time = self.clock.now().since(started);
        match &outcome {
            RunOutcome::Done(_) => {
                self.usage.record(job.service, UsageEvent::Run(time));
                self.router.observe(&link, Observation::Done(time));
            }
            RunOutcome::Shed(_) => self.router.observe(&link, Observation::Shed),
            RunOutcome::NotSent(_) => {}
            RunOutcome::Failed | RunOutcome::Lost => {
                self.router.observe(&link, Observation::Failed);
            }
        }
        Ok(outcome)
    }

    fn respond(&self, job: &Job, ending: &Ending) {
        match ending {
            Ending::Answered { answer, payload } => self.send_answer(job, *answer, payload),
            Ending::Refused { code, state } => {
                self.refuse(job.service, job.request.request, *code, *state, job.caller);
            }
        }
    }

    /// Sends the fragments that the caller does not have.
    fn send_answer(&self, job: &Job, answer: u64, payload: &Bytes) {
        self.counters.requests_answered.increment();
        let request = job.request.request;
        let Some(token) = self.answer_token(job) else {
            return;
        };
        let parts = split_answer(payload);
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        for (index, payload) in (0u32..).zip(parts) {
            let known = job.request.answer == answer && job.request.have.contains(index);
            if !known {
                let token = token.clone();
                let fragment = Answer {
                    request,
                    answer,
                    index,
                    count,
                    token,
                    payload,
                };
                self.callers
                    .send(job.caller, job.service, DatagramBody::Answer(fragment));
            }
        }
        self.usage
            .record(job.service, UsageEvent::Bytes(payload.len() as u64));
    }

    /// Returns the request's own token, or one that names this instance for asking again.
    fn answer_token(&self, job: &Job) -> Option<Bytes> {
        if let Some(token) = &job.request.token {
            return Some(token.clone());
        }
        let token = Token {
            service: job.service,
            flow: FlowId::new(*job.request.request.as_bytes()),
            generation: Generation::new(0),
            target: None,
            executor: self.membership.identity().executor(),
        };
        token.seal(&self.keys).ok().map(Bytes::from)
    }

    fn refuse(
        &self,
        service: ServiceId,
        request: RequestId,
        code: ResultCode,
        state: RunState,
        caller: SocketAddr,
    ) {
        match state {
            RunState::NotRun => self.counters.requests_not_run.increment(),
            RunState::Unknown => self.counters.requests_unknown.increment(),
        }
        let decision = Decision::request(Part::Execution, DecisionKind::Refuse, service, request);
        self.log.decide(decision.because(
            code,
            format_args!("{state:?}"),
            code.description().trim(),
        ));
        let refusal = Refusal {
            request,
            code,
            state,
        };
        self.callers
            .send(caller, service, DatagramBody::Refusal(refusal));
    }

    fn lock_table(&self) -> MutexGuard<'_, RequestTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
