//! Runs a request on a target, and retries it on another one where that is safe.

use std::sync::Arc;

use bytes::Bytes;
use tanager_core::{Millis, ResultCode, RunState, TargetId};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::admission::{AdmissionError, Completion, Permit};
use crate::execution::executor::Job;
use crate::execution::{Execution, RETENTION_AFTER_DEADLINE, RequestOutcome};
use crate::routing::{Choice, Observation, WorkKind};
use crate::target::{RunOutcome, RunRequest, TargetLink};
use crate::telemetry::{Decision, DecisionKind, Part};
use crate::usage::UsageEvent;

/// Maximum number of targets tried for one request.
const ATTEMPT_LIMIT: usize = 3;

/// Result of one attempt to run a request on a target.
enum Attempt {
    Answered(Bytes),
    /// No target has started it; another may be tried. `free` if the attempt cost the targets
    /// nothing, so that the retry budget does not apply.
    NotStarted {
        code: ResultCode,
        free: bool,
    },
    /// A target may have started it.
    Unknown(ResultCode),
}

impl From<RunOutcome> for Attempt {
    fn from(outcome: RunOutcome) -> Self {
        match outcome {
            RunOutcome::Done(payload) => Self::Answered(payload),
            RunOutcome::Shed(code) => Self::NotStarted {
                code,
                free: code == ResultCode::TargetLeaving,
            },
            RunOutcome::NotSent(error) => Self::NotStarted {
                code: error.code(),
                free: true,
            },
            RunOutcome::Failed => Self::Unknown(ResultCode::RequestFailed),
            RunOutcome::Lost => Self::Unknown(ResultCode::OutcomeLost),
        }
    }
}

impl Execution {
    /// Runs the request on a target. It is sent to another one only if it is repeatable, was not
    /// sent, or the target reported that it did not start it.
    pub(super) async fn dispatch(&self, job: &Job, cancel: &CancellationToken) -> RequestOutcome {
        let not_run = |code| RequestOutcome::refused(code, RunState::NotRun);
        let admitted = self.admission.admit(job.key.service, job.deadline);
        let admitted = timeout(self.time_left(job.deadline), admitted);
        let permit = tokio::select! {
            biased;
            () = cancel.cancelled() => return not_run(ResultCode::RequestCancelled),
            permit = admitted => permit,
        };
        match permit {
            Ok(Ok(permit)) => self.try_targets(job, cancel, permit).await,
            Ok(Err(error)) => not_run(self.log_admission_refusal(job, error)),
            Err(_) => not_run(ResultCode::QueueDeadline),
        }
    }

    fn log_admission_refusal(&self, job: &Job, error: AdmissionError) -> ResultCode {
        let (service, id) = (job.key.service, job.key.request);
        let decision = Decision::request(Part::Admission, DecisionKind::Refuse, service, id);
        self.log
            .record_decision(decision.with_outcome(error.code, error.inputs, error.reason));
        error.code
    }

    async fn try_targets(
        &self,
        job: &Job,
        cancel: &CancellationToken,
        permit: Permit,
    ) -> RequestOutcome {
        let mut excluded: Vec<TargetId> = Vec::new();
        // Once an attempt was lost, a repeatable request may have run, whatever later attempts
        // report.
        let mut state = RunState::NotRun;
        let mut refusal = ResultCode::RequestNoTarget;
        for _ in 0..ATTEMPT_LIMIT {
            let attempt = match self.choose_target(job, cancel, &excluded).await {
                Ok(choice) => self.attempt(job, cancel, choice, &mut excluded).await,
                Err(ResultCode::RequestNoTarget) => break,
                Err(code) => return RequestOutcome::refused(code, state),
            };
            let free = match attempt {
                Attempt::Answered(payload) => {
                    permit.finish(Completion::Answered);
                    // Copied, because the payload may be a slice of a large read buffer.
                    let payload = Bytes::copy_from_slice(&payload);
                    let answer = rand::random::<u64>() | 1;
                    return RequestOutcome::Answered { answer, payload };
                }
                Attempt::NotStarted { code, free } => {
                    // A leaving target or a passed deadline does not indicate a lack of capacity.
                    if code == ResultCode::TargetShed {
                        permit.record_shed();
                    }
                    refusal = code;
                    free
                }
                Attempt::Unknown(code) if job.request.repeatable => {
                    (refusal, state) = (code, RunState::Unknown);
                    false
                }
                Attempt::Unknown(code) => return RequestOutcome::refused(code, RunState::Unknown),
            };
            if !free && !self.requests.retries.try_withdraw(job.key.service) {
                break;
            }
        }
        RequestOutcome::refused(refusal, state)
    }

    /// Chooses a target from an up-to-date view of the fleet, unless the request was cancelled or
    /// its deadline has passed.
    async fn choose_target(
        &self,
        job: &Job,
        cancel: &CancellationToken,
        excluded: &[TargetId],
    ) -> Result<Choice, ResultCode> {
        self.pause_guard.wait_for_refresh().await;
        if cancel.is_cancelled() {
            return Err(ResultCode::RequestCancelled);
        }
        if self.clock.now() >= job.deadline {
            return Err(ResultCode::DeadlinePassed);
        }
        let service = job.key.service;
        self.router.choose(service, WorkKind::Request, excluded)
    }

    async fn attempt(
        &self,
        job: &Job,
        cancel: &CancellationToken,
        choice: Choice,
        excluded: &mut Vec<TargetId>,
    ) -> Attempt {
        let link = Arc::clone(&choice.link);
        excluded.push(link.target.id);
        self.log_dispatch(job, choice);
        let repeatable = job.request.repeatable;
        if !self.requests.lock_table().try_start(job.key, repeatable) {
            return Attempt::Unknown(ResultCode::OutcomeLost);
        }
        self.counters.requests_dispatched.increment();
        let started = self.clock.now();
        let request = RunRequest {
            request: job.request.request,
            repeatable,
            deadline: job.deadline,
            body: job.request.body.clone(),
        };
        // A target that started the request just before the deadline may still need time to run
        // it; one that never answers must not keep the request pending forever.
        let limit = self.time_left(job.deadline) + RETENTION_AFTER_DEADLINE;
        let run = timeout(limit, link.run(request, cancel.cancelled()));
        let outcome = run.await.unwrap_or(RunOutcome::Lost);
        self.observe(job, &link, &outcome, started);
        if matches!(outcome, RunOutcome::Shed(_) | RunOutcome::NotSent(_)) {
            self.requests.lock_table().record_not_started(job.key);
        }
        outcome.into()
    }

    fn log_dispatch(&self, job: &Job, choice: Choice) {
        let (service, id) = (job.key.service, job.key.request);
        let decision = Decision::request(Part::Execution, DecisionKind::Dispatch, service, id);
        let name = &choice.link.target.name;
        self.log
            .record_decision(decision.with_outcome(name, choice.inputs, choice.reason));
    }

    fn observe(&self, job: &Job, link: &TargetLink, outcome: &RunOutcome, started: Millis) {
        let time = self.clock.now().since(started);
        match outcome {
            RunOutcome::Done(_) => {
                self.usage.record(job.key.service, UsageEvent::Run(time));
                self.router.observe(link, Observation::Completed(time));
            }
            // A cancellation by the caller does not indicate a fault of the target.
            RunOutcome::Shed(ResultCode::RequestCancelled) | RunOutcome::NotSent(_) => {}
            RunOutcome::Shed(_) => self.router.observe(link, Observation::Shed),
            RunOutcome::Failed | RunOutcome::Lost => {
                self.router.observe(link, Observation::Failed);
            }
        }
    }

    fn time_left(&self, deadline: Millis) -> std::time::Duration {
        deadline.since(self.clock.now())
    }
}
