//! Logs and metrics of the process.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use opentelemetry::metrics::Histogram;
use slog::{Logger, info, warn};
use tanager_core::{Clock, Millis};
use tanager_forward::{DropReason, Evacuation, Event, LookupSource, ResetReason, StoreRevision};
use tanagerproxy::settings::LogSettings;
use tanagerproxy::telemetry::{Exporter, Log};

use crate::metrics::{Counters, GAUGES, GaugeValues};
use crate::{Error, Result};

/// Lines per second about the first placement of a flow. There is one for each flow.
const PLACED_RATE: u32 = 40;
/// Lines per second about all other decisions and about changes in the state of targets.
const OTHER_RATE: u32 = 60;
/// Number of lines that may be written at once, as a multiple of the lines per second.
const BURST: u32 = 4;
/// Bucket bounds of the histogram of answer times, in seconds.
const ANSWER_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.6, 3.2];

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
            let read = move || gauges.read(*field);
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
        if is_withheld(event) {
            counters.openings_withheld.increment();
        }
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
            Event::LookedUp { source, .. } => {
                counters.flows_looked_up.increment();
                if *source == LookupSource::Assumed {
                    counters.lookups_unanswered.increment();
                }
            }
            Event::LookupAnswered { .. } => counters.lookups_answered.increment(),
            Event::HalfOpenCorrected { .. } => counters.half_open_corrected.increment(),
            Event::Liveness(_)
            | Event::Health(_)
            | Event::Evacuation(_)
            | Event::Limit(_)
            | Event::Grants { .. } => {}
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
                withheld,
                examined,
                attempt,
            } => info!(self.log, "[forward] placed";
                "flow" => %flow, "service" => %service, "target" => %target,
                "load" => rounded(*load), "candidates" => candidates, "withheld" => withheld,
                "examined" => examined,
                "attempt" => attempt, "revision" => %revision, "view_age_ms" => age_ms),
            Event::Reset {
                flow,
                target,
                reason,
            } => info!(self.log, "[forward] reset";
                "flow" => %flow, "target" => target.map(|t| t.to_string()),
                "reason" => %reason, "revision" => %revision, "view_age_ms" => age_ms),
            Event::Dropped {
                flow,
                cookie,
                reason,
            } => info!(self.log, "[forward] dropped";
                "flow" => %flow, "cookie" => %cookie, "reason" => %reason,
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::LookedUp {
                flow,
                target,
                source,
            } => info!(self.log, "[forward] looked up";
                "flow" => %flow, "target" => %target, "source" => %source,
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::LookupAnswered {
                flow,
                target,
                confirmed,
            } => info!(self.log, "[forward] lookup answered";
                "flow" => %flow, "target" => %target, "confirmed" => confirmed,
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
                "missed_ms" => change.since_last_missed.map(millis),
                "all_misses" => rounded(change.tally.misses),
                "all_sound" => rounded(change.tally.sound),
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::Health(change) => info!(self.log, "[forward] target health";
                "target" => %change.target, "failing" => change.failing,
                "rate" => rounded(change.rate), "sound" => rounded(change.tally.sound),
                "failures" => rounded(change.tally.failures),
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::Grants { granted, cold } => info!(self.log, "[forward] cold targets granted";
                "granted" => granted, "cold" => cold,
                "revision" => %revision, "view_age_ms" => age_ms),
            Event::Evacuation(evacuation) => {
                self.write_evacuation(evacuation, revision, age_ms, now);
            }
            Event::Limit(change) => info!(self.log, "[forward] service limit";
                "service" => %change.service, "limit" => change.limit.map(rounded),
                "running" => change.running, "late_share" => rounded(change.late_share),
                "revision" => %revision, "view_age_ms" => age_ms),
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

/// Returns whether an opening was not sent to a cold target because of its rate.
const fn is_withheld(event: &Event) -> bool {
    match event {
        Event::Placed { withheld, .. } => *withheld > 0,
        Event::Reset { reason, .. } => matches!(reason, ResetReason::ColdTargets),
        Event::Dropped { reason, .. } => matches!(reason, DropReason::ColdTarget),
        _ => false,
    }
}

/// Returns a number rounded to three decimal places, for the log.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Returns a time in milliseconds, for the log and the status page.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
