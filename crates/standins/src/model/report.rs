//! Results of a simulation, as callers observed them.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use tanager_forward::Kind;

/// Upper bound of the latency histogram in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;

/// Outcomes of the requests of one or more simulations.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Requests that callers started.
    pub asked: u64,
    /// Requests answered within the objective.
    pub within_goal: u64,
    /// Requests answered later than that.
    pub late: u64,
    /// Requests that got no answer before the deadline, used up their attempts, or were lost with
    /// their flow and must not be retried.
    pub failed: u64,
    /// Failed requests that are idempotent.
    pub failed_feeds: u64,
    /// Attempts that targets refused because their queues were full.
    pub refused: u64,
    /// Flows that instances reset although their targets were reachable.
    pub wrong_resets: u64,
    /// Latencies of answers in milliseconds.
    latencies: Histogram<u32>,
}

impl Default for Report {
    fn default() -> Self {
        Self {
            asked: 0,
            within_goal: 0,
            late: 0,
            failed: 0,
            failed_feeds: 0,
            refused: 0,
            wrong_resets: 0,
            latencies: Histogram::new_with_max(MAX_LATENCY_MS, 2).expect("valid bounds"),
        }
    }
}

impl Report {
    /// Records an answer with the time since its request started.
    pub(super) fn record_answer(&mut self, latency: Duration, objective: Duration) {
        if latency <= objective {
            self.within_goal += 1;
        } else {
            self.late += 1;
        }
        let millis = u64::try_from(latency.as_millis()).unwrap_or(MAX_LATENCY_MS);
        self.latencies.saturating_record(millis);
    }

    /// Records a failed request.
    pub(super) fn record_failure(&mut self, kind: Kind) {
        self.failed += 1;
        self.failed_feeds += u64::from(kind == Kind::Idempotent);
    }

    /// Adds the results of another simulation.
    ///
    /// # Panics
    ///
    /// Never: the histograms of all reports have the same bounds.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.within_goal += other.within_goal;
        self.late += other.late;
        self.failed += other.failed;
        self.failed_feeds += other.failed_feeds;
        self.refused += other.refused;
        self.wrong_resets += other.wrong_resets;
        self.latencies
            .add(&other.latencies)
            .expect("all histograms have the same bounds");
    }

    /// Returns a quantile of the latency of answers.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_millis(self.latencies.value_at_quantile(quantile))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests {} within goal {} late {} failed {} (feeds {}) refused attempts {} wrong resets {} p50 {:?} p99 {:?}",
            self.asked,
            self.within_goal,
            self.late,
            self.failed,
            self.failed_feeds,
            self.refused,
            self.wrong_resets,
            self.quantile(0.5),
            self.quantile(0.99),
        )
    }
}
