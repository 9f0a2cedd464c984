//! Results of a simulation, as callers observed them.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::{AddAssign, Range};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Upper bound of the latency histogram in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;

/// What outcomes are counted by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cell {
    /// The second in which the request started, from the first request of the simulation.
    pub second: u64,
    /// The position of its route.
    pub route: usize,
    /// The zone of its client.
    pub zone: u8,
}

/// Outcomes of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Outcomes {
    /// Requests that callers started.
    pub asked: u64,
    /// Requests answered within the objective, from the first attempt.
    pub in_time: u64,
    /// Requests answered later than that.
    pub late: u64,
    /// Requests that got no answer before the deadline, used up their attempts, or were lost with
    /// their flow and must not be retried.
    pub failed: u64,
    /// Attempts, each on a flow of its own or on one that its caller kept open.
    pub attempts: u64,
    /// Attempts that targets refused because their queues were full.
    pub refused: u64,
    /// Flows with a request that instances reset.
    pub resets: u64,
}

impl Outcomes {
    /// Returns the share of requests that were answered within the objective.
    #[must_use]
    pub fn share(&self) -> f64 {
        ratio(self.in_time, self.asked)
    }

    /// Returns the share of attempts that targets refused.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        ratio(self.refused, self.attempts)
    }
}

impl AddAssign for Outcomes {
    fn add_assign(&mut self, other: Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.failed += other.failed;
        self.attempts += other.attempts;
        self.refused += other.refused;
        self.resets += other.resets;
    }
}

/// Outcomes of the requests of one or more simulations.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Outcomes by start, route and zone.
    outcomes: BTreeMap<Cell, Outcomes>,
    /// Answers within the objective, by the second of the answer.
    served: BTreeMap<u64, u64>,
    /// Busy time of the slots of targets in seconds, which is work divided by speed, by the second in
    /// which the request began to run.
    busy: BTreeMap<(u64, usize), f64>,
    /// Flows that instances reset although their targets were reachable.
    pub wrong_resets: u64,
    /// Openings that reached a target of an evacuated zone too late.
    pub evacuated_openings: u64,
    /// Latencies of answers in milliseconds.
    latencies: Histogram<u32>,
}

impl Default for Report {
    fn default() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            served: BTreeMap::new(),
            busy: BTreeMap::new(),
            wrong_resets: 0,
            evacuated_openings: 0,
            latencies: Histogram::new_with_max(MAX_LATENCY_MS, 2).expect("valid bounds"),
        }
    }
}

impl Report {
    pub(super) fn outcomes_mut(&mut self, cell: Cell) -> &mut Outcomes {
        self.outcomes.entry(cell).or_default()
    }

    /// Records an answer that took `latency` and arrived in a second of the simulation.
    pub(super) fn record_answer(&mut self, cell: Cell, latency: Duration, in_time: bool, at: u64) {
        let outcomes = self.outcomes_mut(cell);
        outcomes.in_time += u64::from(in_time);
        outcomes.late += u64::from(!in_time);
        *self.served.entry(at).or_default() += u64::from(in_time);
        let millis = u64::try_from(latency.as_millis()).unwrap_or(MAX_LATENCY_MS);
        self.latencies.saturating_record(millis);
    }

    /// Records that a slot of a target is busy.
    pub(super) fn record_busy(&mut self, second: u64, target: usize, time: Duration) {
        *self.busy.entry((second, target)).or_default() += time.as_secs_f64();
    }

    /// Adds the results of another simulation.
    ///
    /// # Panics
    ///
    /// Never: the histograms of all reports have the same bounds.
    pub fn add(&mut self, other: &Self) {
        for (cell, outcomes) in &other.outcomes {
            *self.outcomes_mut(*cell) += *outcomes;
        }
        for (second, count) in &other.served {
            *self.served.entry(*second).or_default() += count;
        }
        for (key, time) in &other.busy {
            *self.busy.entry(*key).or_default() += time;
        }
        self.wrong_resets += other.wrong_resets;
        self.evacuated_openings += other.evacuated_openings;
        self.latencies
            .add(&other.latencies)
            .expect("all histograms have the same bounds");
    }

    /// Returns the outcomes of the selected requests.
    pub fn total(&self, selects: impl Fn(&Cell) -> bool) -> Outcomes {
        let mut total = Outcomes::default();
        for (_, outcomes) in self.outcomes.iter().filter(|(cell, _)| selects(cell)) {
            total += *outcomes;
        }
        total
    }

    /// Returns the outcomes of all requests.
    #[must_use]
    pub fn sum(&self) -> Outcomes {
        self.total(|_| true)
    }

    /// Returns the answers within the objective per second in a window.
    #[must_use]
    pub fn served(&self, window: Range<u64>) -> f64 {
        let length = window.end - window.start;
        ratio(self.served.range(window).map(|(_, n)| n).sum(), length)
    }

    /// Returns the busy time of each of the targets in a window, in seconds.
    #[must_use]
    pub fn busy(&self, window: &Range<u64>, targets: Range<usize>) -> Vec<f64> {
        let seconds = |t| window.clone().filter_map(move |s| self.busy.get(&(s, t)));
        targets.map(|t| seconds(t).sum()).collect()
    }

    /// Returns the busy time of the busiest of the targets, relative to their mean.
    #[must_use]
    pub fn busiest(&self, window: &Range<u64>, targets: Range<usize>) -> f64 {
        let busy = self.busy(window, targets);
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let mean = busy.iter().sum::<f64>() / busy.len() as f64;
        busy.into_iter().fold(0.0, f64::max) / mean
    }

    /// Returns a quantile of the latency of answers.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_millis(self.latencies.value_at_quantile(quantile))
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    let ratio = part as f64 / whole.max(1) as f64;
    ratio
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum = self.sum();
        write!(
            f,
            "requests {} in time {} late {} failed {} attempts {} refused {} reset {} wrong resets {} p50 {:?} p99 {:?}",
            sum.asked,
            sum.in_time,
            sum.late,
            sum.failed,
            sum.attempts,
            sum.refused,
            sum.resets,
            self.wrong_resets,
            self.quantile(0.5),
            self.quantile(0.99),
        )
    }
}
