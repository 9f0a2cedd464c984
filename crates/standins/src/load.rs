//! Load on one service: feeds, non-repeatable and repeatable requests in open loop, and a tally
//! of how each ended.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, RequestId, ResultCode, RunState};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::{Caller, FeedBreak, Outcome, Session};
use crate::target::{answer, request_body};

/// Time that a request may take.
const BUDGET: Duration = Duration::from_secs(3);
/// Requests of one mix that wait at the same time; further ones are counted as skipped.
const WAITING_LIMIT: usize = 20_000;
/// Without an outcome for this long, later requests use another executor. The waiting request
/// stays with its own.
const PATIENCE: Duration = Duration::from_millis(700);
/// Sockets that the requests of one mix share.
const CALLERS: usize = 32;
/// Requests of one session. With few long sessions the choice of executors, which is the
/// fabric's and not the balancers', would decide the balance between targets.
const SESSION_REQUESTS: u32 = 4;

/// The load on one service.
#[derive(Debug, Clone, Default)]
pub struct Workload {
    /// Service name, for reports.
    pub name: String,
    /// Service number.
    pub service: u32,
    /// Feeds held for the whole time.
    pub feeds: usize,
    /// Non-repeatable requests a second.
    pub once: f64,
    /// Repeatable requests a second.
    pub repeatable: f64,
    /// Size of the answers of the service's targets in bytes.
    pub answer_size: usize,
}

/// How the requests of one kind ended.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused as "not run".
    pub not_run: u64,
    /// Requests with unknown outcome.
    pub unknown: u64,
    /// The codes of requests with unknown outcome and how often each came.
    pub unknown_codes: FastMap<String, u64>,
    /// Answers that belong to another request.
    pub wrong: u64,
    /// Requests not sent because too many were waiting, or no session opened.
    pub skipped: u64,
    /// Ids of non-repeatable requests refused as "not run".
    pub not_run_ids: Vec<String>,
    /// Latencies of answers in microseconds.
    #[serde(skip)]
    pub latency: Option<Histogram<u64>>,
}

/// How the load on one service ended.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Service name.
    pub name: String,
    /// Service number.
    pub service: u32,
    /// Feeds opened.
    pub feeds_opened: u64,
    /// Feeds that were reset, fell silent or never opened.
    pub feeds_broken: u64,
    /// The breaks of feeds that had opened.
    #[serde(skip)]
    pub breaks: Vec<FeedBreak>,
    /// Feed updates received in order.
    pub updates: u64,
    /// Feed updates of another service.
    pub wrong_updates: u64,
    /// Longest time of a feed without an update, in milliseconds.
    pub longest_gap_ms: u64,
    /// Non-repeatable requests.
    pub once: RequestCounts,
    /// Repeatable requests.
    pub repeatable: RequestCounts,
}

impl RequestCounts {
    fn record(&mut self, id: RequestId, outcome: &Outcome, size: usize, time: Duration) {
        match outcome {
            Outcome::Answered(body) if *body == answer(id.as_bytes(), size) => {
                self.answered += 1;
                let latency = self.latency.get_or_insert_with(histogram);
                latency.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
            }
            Outcome::Answered(_) => self.wrong += 1,
            Outcome::Refused(_, RunState::NotRun) => {
                self.not_run += 1;
                self.not_run_ids.push(id.to_string());
            }
            Outcome::Refused(code, RunState::Unknown) => {
                self.unknown += 1;
                *self.unknown_codes.entry(format!("{code:?}")).or_default() += 1;
            }
        }
    }

    /// Returns the 99th percentile of the latency in milliseconds.
    #[must_use]
    pub fn p99_ms(&self) -> f64 {
        let micros = self
            .latency
            .as_ref()
            .map_or(0, |h| h.value_at_quantile(0.99));
        Duration::from_micros(micros).as_secs_f64() * 1e3
    }
}

impl Tally {
    /// Returns the requests answered.
    #[must_use]
    pub const fn answered(&self) -> u64 {
        self.once.answered + self.repeatable.answered
    }

    /// Returns the requests not sent.
    #[must_use]
    pub const fn skipped(&self) -> u64 {
        self.once.skipped + self.repeatable.skipped
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(60_000_000, 3).expect("the bounds are constant and valid")
}

/// Puts all mixes on the fabric at the same time and returns their tallies in the same order.
///
/// # Errors
///
/// Returns an error if a caller's socket cannot be opened.
pub async fn generate_load(
    fabric: SocketAddr,
    mixes: &[Workload],
    time: Duration,
) -> std::io::Result<Vec<Tally>> {
    let end = Instant::now() + time;
    let drives = mixes.iter().map(|mix| {
        let mix = mix.clone();
        tokio::spawn(async move { generate_workload(fabric, mix, end).await })
    });
    let mut tallies = Vec::new();
    for drive in drives.collect::<Vec<_>>() {
        tallies.push(drive.await.map_err(std::io::Error::other)??);
    }
    Ok(tallies)
}

async fn generate_workload(
    fabric: SocketAddr,
    mix: Workload,
    end: Instant,
) -> std::io::Result<Tally> {
    let mut feeds = JoinSet::new();
    for _ in 0..mix.feeds {
        let caller = Caller::start(fabric, mix.service).await?;
        feeds.spawn(async move { caller.hold_feed(end).await });
    }
    let once = Generator::start(fabric, &mix, false, end).await?;
    let repeatable = Generator::start(fabric, &mix, true, end).await?;
    let (once, repeatable) =
        tokio::join!(once.generate(mix.once), repeatable.generate(mix.repeatable));
    let mut tally = Tally {
        name: mix.name,
        service: mix.service,
        once,
        repeatable,
        ..Tally::default()
    };
    while let Some(report) = feeds.join_next().await {
        let report = report.map_err(std::io::Error::other)?;
        tally.feeds_opened += u64::from(report.opened);
        tally.feeds_broken += u64::from(report.broken) + u64::from(!report.opened);
        tally.breaks.extend(report.breaks);
        tally.updates += report.updates;
        tally.wrong_updates += report.wrong;
        let gap = u64::try_from(report.longest_gap.as_millis()).unwrap_or(u64::MAX);
        tally.longest_gap_ms = tally.longest_gap_ms.max(gap);
    }
    Ok(tally)
}

/// Sends requests at a fixed rate, whatever becomes of the earlier ones.
struct Generator {
    callers: Vec<Arc<SessionCaller>>,
    service: u32,
    answer_size: usize,
    repeatable: bool,
    end: Instant,
    requests: Arc<Mutex<RequestCounts>>,
}

impl Generator {
    async fn start(
        fabric: SocketAddr,
        mix: &Workload,
        repeatable: bool,
        end: Instant,
    ) -> std::io::Result<Self> {
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            callers.push(Arc::new(SessionCaller {
                caller: Caller::start(fabric, mix.service).await?,
                session: tokio::sync::Mutex::new(None),
            }));
        }
        Ok(Self {
            callers,
            service: mix.service,
            answer_size: mix.answer_size,
            repeatable,
            end,
            requests: Arc::default(),
        })
    }

    async fn generate(self, rate: f64) -> RequestCounts {
        if rate <= 0.0 {
            return RequestCounts::default();
        }
        let start = Instant::now();
        let waiting = Arc::new(Semaphore::new(WAITING_LIMIT));
        let mut tasks = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_millis(5));
        let (mut due, mut number) = (0.0, 0);
        while Instant::now() < self.end {
            ticks.tick().await;
            let target = start.elapsed().as_secs_f64() * rate;
            while due < target {
                due += 1.0;
                number += 1;
                let Ok(permit) = Arc::clone(&waiting).try_acquire_owned() else {
                    lock(&self.requests).skipped += 1;
                    continue;
                };
                let request = self.request(number);
                tasks.spawn(async move {
                    request.await;
                    drop(permit);
                });
            }
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        lock(&self.requests).clone()
    }

    fn request(&self, number: usize) -> impl Future<Output = ()> + use<> {
        let caller = Arc::clone(&self.callers[number % self.callers.len()]);
        let requests = Arc::clone(&self.requests);
        let (size, body) = (self.answer_size, request_body(self.service));
        let repeatable = self.repeatable;
        async move {
            let id = RequestId::random();
            let started = Instant::now();
            let outcome = if repeatable {
                Some(caller.caller.fetch(id, body, BUDGET).await)
            } else {
                caller.execute(id, body).await
            };
            let mut requests = lock(&requests);
            let Some(outcome) = outcome else {
                requests.skipped += 1;
                return;
            };
            requests.sent += 1;
            requests.record(id, &outcome, size, started.elapsed());
        }
    }
}

fn lock(requests: &Mutex<RequestCounts>) -> std::sync::MutexGuard<'_, RequestCounts> {
    requests.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A caller that opens a new session when the executor of the old one is gone.
struct SessionCaller {
    caller: Caller,
    /// The session with a number of its own and the requests that it still serves.
    session: tokio::sync::Mutex<Option<(u64, u32, Session)>>,
}

impl SessionCaller {
    /// Runs a new request; `None` if no session opened, so that nothing was sent.
    async fn execute(&self, id: RequestId, body: Bytes) -> Option<Outcome> {
        let (number, session) = self.session().await?;
        let execute = self.caller.execute(&session, id, body, BUDGET);
        tokio::pin!(execute);
        let early = tokio::time::timeout(PATIENCE, &mut execute).await;
        if early.is_err() {
            self.end_session(number).await;
        }
        let outcome = match early {
            Ok(outcome) => outcome,
            Err(_) => execute.await,
        };
        if let Outcome::Refused(code, _) = outcome
            && is_executor_gone(code)
        {
            self.end_session(number).await;
        }
        Some(outcome)
    }

    /// Makes later requests open a new session.
    async fn end_session(&self, number: u64) {
        let mut current = self.session.lock().await;
        if current.as_ref().is_some_and(|(n, ..)| *n == number) {
            *current = None;
        }
    }

    async fn session(&self) -> Option<(u64, Session)> {
        let mut current = self.session.lock().await;
        if current.as_ref().is_none_or(|(_, left, _)| *left == 0) {
            let session = self.caller.session().await.ok()?;
            *current = Some((rand::random(), SESSION_REQUESTS, session));
        }
        let (number, left, session) = current.as_mut()?;
        *left -= 1;
        Some((*number, session.clone()))
    }
}

const fn is_executor_gone(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::ExecutorLeaving
            | ResultCode::ExecutorReplaced
            | ResultCode::ExecutorUnreachable
            | ResultCode::OutcomeLost
    )
}
