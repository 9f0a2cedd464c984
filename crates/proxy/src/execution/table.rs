use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use tanager_core::{FastMap, Millis, RequestId, ResultCode, RunState};

/// Requests known at the same time. Further ones are not taken.
const TABLE_LIMIT: usize = 200_000;
/// How long a request stays known after its deadline. Callers may still ask for its answer.
const KEEP_AFTER_DEADLINE: Duration = Duration::from_secs(30);

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// It was answered.
    Answered {
        /// Distinguishes this run's answer.
        answer: u64,
        /// The answer.
        payload: Bytes,
    },
    /// It was refused or lost.
    Refused {
        /// The reason.
        code: ResultCode,
        /// Whether it may have run.
        state: RunState,
    },
}

/// What the table knows of a request that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// It is new and now recorded as in progress.
    New,
    /// It is in progress.
    Pending,
    /// It has ended.
    Ended(Ending),
    /// It is new and the table has no room.
    Full,
}

/// The requests that this incarnation has taken as executor.
#[derive(Debug, Default)]
pub struct RequestTable {
    /// `None` while the request is in progress.
    requests: FastMap<RequestId, Option<Ending>>,
    /// When each request may be forgotten.
    ///
    /// Invariant: never before the request's deadline.
    expiries: BTreeSet<(Millis, RequestId)>,
}

impl RequestTable {
    /// Looks a request up and records it if it is new.
    pub fn begin(&mut self, request: RequestId, deadline: Millis, now: Millis) -> Lookup {
        self.expire(now);
        match self.requests.get(&request) {
            Some(None) => Lookup::Pending,
            Some(Some(ending)) => Lookup::Ended(ending.clone()),
            None if self.requests.len() >= TABLE_LIMIT => Lookup::Full,
            None => {
                self.requests.insert(request, None);
                self.expiries
                    .insert((deadline + KEEP_AFTER_DEADLINE, request));
                Lookup::New
            }
        }
    }

    /// Records how a request ended.
    pub fn end(&mut self, request: RequestId, ending: Ending) {
        if let Some(entry) = self.requests.get_mut(&request) {
            *entry = Some(ending);
        }
    }

    /// Returns how many requests are in progress.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.requests.values().filter(|e| e.is_none()).count()
    }

    fn expire(&mut self, now: Millis) {
        while let Some(&(at, request)) = self.expiries.first() {
            if at > now {
                break;
            }
            self.expiries.pop_first();
            self.requests.remove(&request);
        }
    }
}
