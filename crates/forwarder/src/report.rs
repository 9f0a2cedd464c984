//! Logs and metrics of the process.

mod admission;

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use opentelemetry::metrics::Histogram;
use slog::{Logger, info, warn};
use tanager_core::{Clock, Millis};
use tanager_forward::{
    DropReason, Evacuation, Event, Gauges, QueueState, ResetReason, StoreRevision,
};
use tanagerproxy::counters;
use tanagerproxy::settings::LogSettings;
use tanagerproxy::telemetry::{Exporter, Log};

use crate::{Error, Result};
use admission::AdmissionMetrics;

/// Lines per second about the first placement of a flow. There is one for each flow.
const PLACED_RATE: u32 = 40;
/// Lines per second about all other decisions and about changes in the state of targets.
const OTHER_RATE: u32 = 60;
/// Number of lines that may be written at once, as a multiple of the lines per second.
const BURST: u32 = 4;
/// Bucket bounds of the histogram of answer times, in seconds.
const ANSWER_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.6, 3.2];

counters! {
/// Counters of the process.
#[derive(Default)]
pub struct Counters {
    /// Packets received from clients.
    pub packets_received: Counter,
    /// Packets sent to targets.
    pub packets_forwarded: Counter,
    /// Packets that cannot be decoded.
    pub packets_malformed: Counter,
    /// Packets that were not forwarded for a reason that the log names.
    pub packets_dropped: Counter,
    /// Packets that the network did not take at once.
    pub sends_failed: Counter,
    /// New flows placed on a target.
    pub flows_placed: Counter,
    /// Opening packets sent to another target because the first was silent.
    pub openings_replaced: Counter,
    /// Flows whose target was looked up because this instance did not receive their opening.
    pub flows_looked_up: Counter,
    /// Lookups that no peer answered.
    pub lookups_unanswered: Counter,
    /// Flows of which several targets had answered the opening, and were told the flow's target.
    pub half_open_corrected: Counter,
    /// Flows reset by this instance.
    pub flows_reset: Counter,
    /// Openings reset because their service was overloaded.
    pub openings_refused: Counter,
    /// Packets of requests dropped because their service was overloaded.
    pub packets_shed: Counter,
    /// Openings and requests held until their service had capacity.
    pub requests_held: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Entries of the store that were skipped as unusable.
    pub entries_skipped: Counter,
    /// Routes of configurations that were skipped as unusable.
    pub routes_skipped: Counter,
    /// Views read from peers.
    pub views_pulled: Counter,
    /// Beacons sent to other instances.
    pub beacons_sent: Counter,
    /// Beacons received from other instances.
    pub beacons_received: Counter,
    /// Beacons that cannot be decoded.
    pub beacons_malformed: Counter,
    /// Messages about single flows sent to other instances.
    pub flow_messages_sent: Counter,
    /// Messages about single flows received from other instances.
    pub flow_messages_received: Counter,
    /// Log lines left out because there were too many.
    pub log_lines_left_out: Counter,
}
}

/// The values of the gauges, as last set.
#[derive(Default)]
pub struct GaugeValues {
    flows: AtomicU64,
    waiting: AtomicU64,
    targets: AtomicU64,
    suspect: AtomicU64,
    lost: AtomicU64,
    failing: AtomicU64,
    evacuated: AtomicU64,
    held: AtomicU64,
    held_bytes: AtomicU64,
    peers: AtomicU64,
    ready: AtomicU64,
}

impl GaugeValues {
    /// Sets all values.
    pub fn set(&self, gauges: &Gauges, peers: usize, ready: bool) {
        let set = |gauge: &AtomicU64, value: usize| {
            gauge.store(value as u64, Ordering::Relaxed);
        };
        set(&self.flows, gauges.flows);
        set(&self.waiting, gauges.waiting);
        set(&self.targets, gauges.targets);
        set(&self.suspect, gauges.suspect);
        set(&self.lost, gauges.lost);
        set(&self.failing, gauges.failing);
        set(&self.evacuated, gauges.evacuated);
        set(&self.held, gauges.held);
        set(&self.held_bytes, gauges.held_bytes);
        set(&self.peers, peers);
        set(&self.ready, usize::from(ready));
    }
}

/// Name, description and accessor of one gauge.
type GaugeField = (&'static str, &'static str, fn(&GaugeValues) -> &AtomicU64);

const GAUGES: &[GaugeField] = &[
    ("flows", "Flows that are remembered.", |c| &c.flows),
    (
        "requests_waiting",
        "Requests without an answer so far.",
        |c| &c.waiting,
    ),
    ("targets", "Published targets.", |c| &c.targets),
    ("targets_suspect", "Targets that owe an answer.", |c| {
        &c.suspect
    }),
    (
        "targets_lost",
        "Targets that have stopped answering.",
        |c| &c.lost,
    ),
    ("targets_failing", "Targets that fail requests.", |c| {
        &c.failing
    }),
    ("zones_evacuated", "Evacuated zones.", |c| &c.evacuated),
    (
        "requests_held",
        "Requests held until their service has capacity.",
        |c| &c.held,
    ),
    ("held_bytes", "Size of the packets of held requests.", |c| {
        &c.held_bytes
    }),
    ("peers", "Other instances heard from.", |c| &c.peers),
    ("ready", "1 if the instance takes packets.", |c| &c.ready),
];

/// Token bucket that limits the rate of log lines.
struct LineLimiter {
    /// Lines per second.
    rate: u32,
    tokens: Cell<f64>,
    last_refill: Cell<Millis>,
}

impl LineLimiter {
    fn new(rate: u32) -> Self {
        Self {
            rate,
            tokens: Cell::new(f64::from(rate * BURST)),
            last_refill: Cell::new(Clock::START),
        }
    }

    /// Consumes a token for one line. Returns whether there was one.
    fn try_consume(&self, now: Millis) -> bool {
        let rate = f64::from(self.rate);
        let gained = now.since(self.last_refill.get()).as_secs_f64() * rate;
        let tokens = (self.tokens.get() + gained).min(rate * f64::from(BURST));
        self.last_refill.set(now);
        let granted = tokens >= 1.0;
        self.tokens.set(if granted { tokens - 1.0 } else { tokens });
        granted
    }
}

/// Writes log lines and updates metrics.
pub struct Reporter {
    /// The log; every line is one JSON object.
    pub log: Logger,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Gauges.
    pub gauges: Arc<GaugeValues>,
    exporter: Exporter,
    answer_times: Histogram<f64>,
    admission: AdmissionMetrics,
    /// For the first placement of each flow.
    placed: LineLimiter,
    /// For all other events.
    other: LineLimiter,
    /// Lines suppressed since the number was last logged.
    suppressed_lines: Cell<u64>,
    /// The store's failure that was last logged; `None` while the store answers. Only changes are
    /// logged.
    store_failure: RefCell<Option<String>>,
}

impl Reporter {
    /// Creates a reporter.
    pub fn try_new(settings: &LogSettings, clock: Clock) -> Result<Self> {
        let exporter = Exporter::new("forwarder").map_err(|e| Error::Metrics(e.to_string()))?;
        let counters = Arc::new(Counters::default());
        exporter.counters(&counters, Counters::ALL);
        let gauges = Arc::new(GaugeValues::default());
        for (name, description, field) in GAUGES {
            let gauges = Arc::clone(&gauges);
            let read = move || {
                let value = field(&gauges).load(Ordering::Relaxed);
                f64::from(u32::try_from(value).unwrap_or(u32::MAX))
            };
            exporter.gauge(name, description, Box::new(read));
        }
        let answer_times = exporter.histogram(
            "answer_time",
            "Time from a request to the first acknowledged bytes of its answer.",
            ANSWER_BOUNDS.to_vec(),
        );
        Ok(Self {
            log: Log::new(settings, clock).logger().clone(),
            counters,
            gauges,
            admission: AdmissionMetrics::new(&exporter),
            exporter,
            answer_times,
            placed: LineLimiter::new(PLACED_RATE),
            other: LineLimiter::new(OTHER_RATE),
            suppressed_lines: Cell::new(0),
            store_failure: RefCell::new(None),
        })
    }

    /// Returns the metrics page.
    pub fn metrics(&self) -> Result<String> {
        self.exporter
            .text()
            .map_err(|e| Error::Metrics(e.to_string()))
    }

    /// Records answer times in the histogram.
    pub fn record_answer_times(&self, times: &[Duration]) {
        for time in times {
            self.answer_times.record(time.as_secs_f64(), &[]);
        }
    }

    /// Counts and logs decisions and changes in the state of targets, with the revision and age of
    /// the view on which they are based.
    pub fn log_events(
        &self,
        events: &[Event],
        revision: StoreRevision,
        age: Option<Duration>,
        now: Millis,
    ) {
        let age = age.map(millis);
        for event in events {
            self.count(event);
            if matches!(event, Event::Admission(_)) {
                // Counted only: there may be several for each request.
                continue;
            }
            let first = matches!(event, Event::Placed { attempt: 0, .. });
            let limiter = if first { &self.placed } else { &self.other };
            if limiter.try_consume(now) {
                self.write(event, revision, age, now);
            } else {
                self.counters.log_lines_left_out.increment();
                self.suppressed_lines.set(self.suppressed_lines.get() + 1);
            }
        }
    }

    /// Logs the number of lines suppressed since the last call.
    pub fn log_suppressed_lines(&self) {
        let suppressed = self.suppressed_lines.take();
        if suppressed > 0 {
            warn!(self.log, "[forward] lines left out"; "count" => suppressed);
        }
    }

    /// Logs that the store fails or has recovered. A failure with the same text as the last one is
    /// only counted.
    pub fn log_store_outcome(&self, outcome: std::result::Result<StoreRevision, &Error>) {
        let mut last_failure = self.store_failure.borrow_mut();
        match outcome {
            Ok(revision) => {
                if last_failure.take().is_some() {
                    info!(self.log, "[store] regained"; "revision" => %revision);
                }
            }
            Err(error) => {
                self.counters.store_failures.increment();
                let text = error.to_string();
                if last_failure.as_ref() != Some(&text) {
                    warn!(self.log, "[store] lost"; "error" => &text);
                    *last_failure = Some(text);
                }
            }
        }
    }

    fn count(&self, event: &Event) {
        let counters = &self.counters;
        match event {
            Event::Placed { attempt: 0, .. } => counters.flows_placed.increment(),
            Event::Placed { .. } => counters.openings_replaced.increment(),
            Event::Reset { reason, .. } => {
                counters.flows_reset.increment();
                if *reason == ResetReason::Overloaded {
                    counters.openings_refused.increment();
                }
            }
            Event::Dropped { reason, .. } => {
                counters.packets_dropped.increment();
                if *reason == DropReason::Overloaded {
                    counters.packets_shed.increment();
                }
            }
            Event::LookedUp { told, .. } => {
                counters.flows_looked_up.increment();
                if !told {
                    counters.lookups_unanswered.increment();
                }
            }
            Event::HalfOpenCorrected { .. } => counters.half_open_corrected.increment(),
            Event::Held { .. } => counters.requests_held.increment(),
            Event::Admission(step) => self.admission.record(step),
            Event::Liveness(_) | Event::Health(_) | Event::Evacuation(_) | Event::Limit(_) => {}
        }
    }

    fn write(&self, event: &Event, revision: StoreRevision, age_ms: Option<u64>, now: Millis) {
        match event {
            Event::Placed {
                flow,
                service,
                target,
                load,
                candidates,
                examined,
                attempt,
            } => info!(self.log, "[forward] placed";
                "flow" => %flow, "service" => %service, "target" => %target,
                "load" => rounded(*load), "candidates" => candidates, "examined" => examined,
                "attempt" => attempt, "revision" => %revision, "view_age_ms" => age_ms),
            Event::Reset {
                flow,
                target,
                reason,
                state,
            } => info!(self.log, "[forward] reset";
                "flow" => %flow, "target" => target.map(|t| t.to_string()),
                "reason" => %reason, "waiting" => state.map(|s| s.waiting),
                "limit" => state.and_then(limit), "running" => state.map(|s| s.running),
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::Dropped {
                flow,
                cookie,
                reason,
                state,
            } => info!(self.log, "[forward] dropped";
                "flow" => %flow, "cookie" => %cookie, "reason" => %reason,
                "waiting" => state.map(|s| s.waiting), "limit" => state.and_then(limit),
                "running" => state.map(|s| s.running),
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::LookedUp { flow, target, told } => info!(self.log, "[forward] looked up";
                "flow" => %flow, "target" => %target, "told" => told,
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::HalfOpenCorrected {
                flow,
                target,
                others,
            } => info!(self.log, "[forward] half-open connections corrected";
                "flow" => %flow, "target" => %target, "others" => others,
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::Liveness(change) => info!(self.log, "[forward] target standing";
                "target" => %change.target, "standing" => %change.liveness,
                "misses" => change.misses,
                "silent_ms" => change.since_last_response.map(millis),
                "all_misses" => rounded(change.tally.misses),
                "all_sound" => rounded(change.tally.sound),
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::Health(change) => info!(self.log, "[forward] target health";
                "target" => %change.target, "failing" => change.failing,
                "rate" => rounded(change.rate), "sound" => rounded(change.tally.sound),
                "failures" => rounded(change.tally.failures),
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::Evacuation(evacuation) => {
                self.write_evacuation(evacuation, revision, age_ms, now);
            }
            Event::Limit(change) => info!(self.log, "[forward] service limit";
                "service" => %change.service, "limit" => change.limit.map(rounded),
                "running" => change.running, "others" => rounded(change.others),
                "slots" => rounded(change.slots),
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::Held { flow, state } => info!(self.log, "[forward] held";
                "flow" => %flow, "waiting" => state.waiting, "limit" => limit(*state),
                "running" => state.running,
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::Admission(_) => {}
        }
    }

    fn write_evacuation(
        &self,
        evacuation: &Evacuation,
        revision: StoreRevision,
        age_ms: Option<u64>,
        now: Millis,
    ) {
        let change = if evacuation.ended.is_some() {
            "ended"
        } else {
            "began"
        };
        info!(self.log, "[catalogue] evacuation {}", change; "zone" => %evacuation.zone,
            "published" => %evacuation.revision,
            "followed_ms" => millis(now.since(evacuation.since)),
            "revision" => %revision, "view_age_ms" => age_ms);
    }
}

/// Returns a number rounded to three decimal places, for the log.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

fn limit(state: QueueState) -> Option<f64> {
    state.limit.map(rounded)
}

/// Returns a time in milliseconds, for the log and the status page.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
