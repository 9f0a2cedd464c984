//! Remembers requests and their answers, so that none runs twice.

use std::collections::VecDeque;
use std::time::Duration;

use tanager_core::{FastMap, Millis, ResultCode, RunState, invariant};
use tokio_util::sync::CancellationToken;

use crate::execution::expiry::Expiries;
use crate::execution::request::{Arrival, Lookup, RequestKey, RequestOutcome};

/// A deadline further ahead is refused, so that the request table stays bounded.
pub const DEADLINE_LIMIT: Duration = Duration::from_secs(30);
/// How long a request stays known after its deadline. Callers may still ask for its answer.
pub const KEEP_AFTER_DEADLINE: Duration = Duration::from_secs(30);

/// Bounds of a [`RequestTable`].
#[derive(Debug, Clone, Copy)]
pub struct TableLimits {
    /// Requests known at the same time. Further ones are not taken.
    pub entries: usize,
    /// Bytes of cached answers. The oldest answers are dropped first.
    pub bytes: usize,
}

impl Default for TableLimits {
    /// An entry with an answer of 64 bytes takes 281 bytes (measured by `tests/table_size.rs`), so
    /// a full table and its answers leave a fifth of the control memory of 128 MB to the rest.
    fn default() -> Self {
        Self {
            entries: 200_000,
            bytes: 32 << 20,
        }
    }
}

#[derive(Debug)]
enum Progress {
    /// The caller cancelled it before it arrived.
    CancelledEarly,
    /// It waits or runs.
    Pending {
        /// Whether a target received it and has not said that it did not start it.
        started: bool,
        cancel: CancellationToken,
    },
    Ended(RequestOutcome),
}

#[derive(Debug)]
struct Entry {
    progress: Progress,
    /// When it may be forgotten.
    ///
    /// Invariant: [`KEEP_AFTER_DEADLINE`] after the latest deadline seen, or later.
    keep_until: Millis,
    exclusive: bool,
}

/// The requests that this incarnation has taken as executor.
#[derive(Debug, Default)]
pub struct RequestTable {
    limits: TableLimits,
    entries: FastMap<RequestKey, Entry>,
    /// Invariant: holds each key of `entries` exactly once.
    expiries: Expiries,
    /// Cached answers from the oldest to the newest. Forgotten requests stay until their turn.
    cached: VecDeque<(RequestKey, u64)>,
    cached_bytes: usize,
    pending: usize,
    /// Latest reading of the clock seen. Readings taken before a pause may arrive late.
    now: Millis,
}

impl RequestTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: TableLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Looks a request up and records it if it is new.
    pub fn begin(&mut self, arrival: Arrival, now: Millis) -> Lookup {
        let now = self.advance(now);
        let keep_until = arrival.deadline + KEEP_AFTER_DEADLINE;
        if arrival.deadline > now + DEADLINE_LIMIT {
            return self.known(&arrival.key).unwrap_or(
                // A later copy could be in range and run.
                Lookup::Unrecorded(ResultCode::DeadlineTooFar),
            );
        }
        if let Some(entry) = self.entries.get_mut(&arrival.key) {
            entry.keep_until = entry.keep_until.max(keep_until);
        }
        if let Some(lookup) = self.known(&arrival.key) {
            return lookup;
        }
        if keep_until <= now {
            // It may have run and been forgotten.
            return Lookup::Unrecorded(ResultCode::DeadlinePassed);
        }
        if let Some(entry) = self.entries.get_mut(&arrival.key) {
            let state = refused_state(arrival.exclusive);
            let outcome = RequestOutcome::refused(ResultCode::RequestCancelled, state);
            entry.progress = Progress::Ended(outcome.clone());
            entry.exclusive = arrival.exclusive;
            return Lookup::Ended(outcome);
        }
        if !arrival.listed {
            return Lookup::Unrecorded(ResultCode::ServiceUnknown);
        }
        if self.entries.len() >= self.limits.entries {
            return Lookup::Unrecorded(ResultCode::TableFull);
        }
        self.record(&arrival, keep_until, now)
    }

    /// Cancels a request and returns its outcome if it has already ended. A request that has not
    /// arrived is recorded, so that it is refused when it does.
    pub fn cancel(&mut self, key: RequestKey, now: Millis) -> Option<RequestOutcome> {
        let now = self.advance(now);
        match self.entries.get(&key).map(|e| &e.progress) {
            Some(Progress::Pending { cancel, .. }) => cancel.cancel(),
            Some(Progress::Ended(outcome)) => return Some(outcome.clone()),
            None if self.entries.len() < self.limits.entries => {
                // Not answered as "not run" before the request shows its deadline: only then is
                // it certain that the id has not been forgotten already.
                let keep_until = now + DEADLINE_LIMIT + KEEP_AFTER_DEADLINE;
                self.insert(key, Progress::CancelledEarly, keep_until, true);
            }
            Some(Progress::CancelledEarly) | None => {}
        }
        None
    }

    /// Asks to send the request to a target and returns whether that is allowed.
    pub fn start(&mut self, key: RequestKey, repeatable: bool) -> bool {
        let Some(Entry {
            progress: Progress::Pending { started, .. },
            ..
        }) = self.entries.get_mut(&key)
        else {
            invariant!(false, "only-pending-requests-start", "{key:?}");
            return false;
        };
        let allowed = repeatable || !*started;
        invariant!(allowed, "non-repeatable-starts-once", "{key:?}");
        *started = true;
        allowed
    }

    /// Records that no target has started the request, nor will.
    pub fn not_started(&mut self, key: RequestKey) {
        if let Some(Entry {
            progress: Progress::Pending { started, .. },
            ..
        }) = self.entries.get_mut(&key)
        {
            *started = false;
        }
    }

    /// Records how a request ended and returns the outcome for the caller. A request that other
    /// instances may run as well is never "not run".
    pub fn finish(&mut self, key: RequestKey, outcome: RequestOutcome) -> RequestOutcome {
        let Some(entry) = self.entries.get_mut(&key) else {
            invariant!(false, "pending-requests-stay-known", "{key:?}");
            return outcome;
        };
        let started = matches!(entry.progress, Progress::Pending { started: true, .. });
        let outcome = match outcome {
            RequestOutcome::Refused { code, state } => {
                invariant!(
                    !(started && state == RunState::NotRun),
                    "not-run-means-not-started",
                    "{key:?} is refused with {code}"
                );
                let not_run = state == RunState::NotRun && entry.exclusive && !started;
                RequestOutcome::refused(code, refused_state(not_run))
            }
            answered @ RequestOutcome::Answered { .. } => answered,
        };
        invariant!(
            matches!(entry.progress, Progress::Pending { .. }),
            "requests-end-once",
            "{key:?}"
        );
        entry.progress = Progress::Ended(outcome.clone());
        self.pending -= 1;
        if let RequestOutcome::Answered { answer, .. } = &outcome {
            self.cached.push_back((key, *answer));
            self.cached_bytes += outcome.bytes();
            self.drop_answers();
        }
        outcome
    }

    /// Returns how many requests are in progress.
    #[must_use]
    pub const fn pending(&self) -> usize {
        self.pending
    }

    /// Returns how many requests are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of all cached answers.
    #[must_use]
    pub const fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    fn known(&self, key: &RequestKey) -> Option<Lookup> {
        match &self.entries.get(key)?.progress {
            Progress::CancelledEarly => None,
            Progress::Pending { .. } => Some(Lookup::Pending),
            Progress::Ended(outcome) => Some(Lookup::Ended(outcome.clone())),
        }
    }

    fn record(&mut self, arrival: &Arrival, keep_until: Millis, now: Millis) -> Lookup {
        let refusal = if now >= arrival.deadline {
            Some(ResultCode::DeadlinePassed)
        } else if arrival.leaving {
            Some(ResultCode::ExecutorLeaving)
        } else {
            None
        };
        let (progress, lookup) = if let Some(code) = refusal {
            let outcome = RequestOutcome::refused(code, refused_state(arrival.exclusive));
            (Progress::Ended(outcome.clone()), Lookup::Ended(outcome))
        } else {
            self.pending += 1;
            let cancel = CancellationToken::new();
            let started = false;
            let lookup = Lookup::New(cancel.clone());
            (Progress::Pending { started, cancel }, lookup)
        };
        self.insert(arrival.key, progress, keep_until, arrival.exclusive);
        lookup
    }

    fn insert(&mut self, key: RequestKey, progress: Progress, keep_until: Millis, exclusive: bool) {
        let entry = Entry {
            progress,
            keep_until,
            exclusive,
        };
        self.entries.insert(key, entry);
        self.expiries.insert(keep_until, key);
    }

    /// Forgets what is due and returns the latest reading of the clock. A task that read the
    /// clock before a pause must not take a request whose id was forgotten meanwhile.
    fn advance(&mut self, now: Millis) -> Millis {
        self.now = self.now.max(now);
        while let Some(keys) = self.expiries.pop_due(self.now) {
            for key in keys {
                self.expire(key);
            }
        }
        self.now
    }

    fn expire(&mut self, key: RequestKey) {
        let Some(entry) = self.entries.get_mut(&key) else {
            invariant!(false, "expiries-match-entries", "{key:?}");
            return;
        };
        if matches!(entry.progress, Progress::Pending { .. }) {
            entry.keep_until = entry.keep_until.max(self.now + KEEP_AFTER_DEADLINE);
        }
        if entry.keep_until > self.now {
            self.expiries.insert(entry.keep_until, key);
        } else if let Some(entry) = self.entries.remove(&key)
            && let Progress::Ended(outcome) = entry.progress
        {
            self.cached_bytes -= outcome.bytes();
        }
        while let Some((key, answer)) = self.cached.front()
            && !self.is_cached(key, *answer)
        {
            self.cached.pop_front();
        }
    }

    /// Drops the oldest answers until the rest is within the limit. The ids stay known.
    fn drop_answers(&mut self) {
        while self.cached_bytes > self.limits.bytes {
            let Some((key, answer)) = self.cached.pop_front() else {
                invariant!(false, "cached-bytes-match-answers", "{}", self.cached_bytes);
                return;
            };
            if self.is_cached(&key, answer)
                && let Some(entry) = self.entries.get_mut(&key)
                && let Progress::Ended(outcome) = &mut entry.progress
            {
                self.cached_bytes -= outcome.bytes();
                *outcome = RequestOutcome::refused(ResultCode::AnswerExpired, RunState::Unknown);
            }
        }
    }

    fn is_cached(&self, key: &RequestKey, number: u64) -> bool {
        matches!(
            self.entries.get(key).map(|e| &e.progress),
            Some(Progress::Ended(RequestOutcome::Answered { answer, .. })) if *answer == number
        )
    }
}

/// Returns "not run" only if no other instance may run the request.
const fn refused_state(not_run: bool) -> RunState {
    if not_run {
        RunState::NotRun
    } else {
        RunState::Unknown
    }
}
