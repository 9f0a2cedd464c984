//! What callers saw.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use tanager_forward::Kind;

/// Time in which a caller wants its answer.
const GOAL: Duration = Duration::from_millis(400);
/// The longest time that the histogram holds, in milliseconds.
const LONGEST: u64 = 60_000;

/// How requests ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Requests by callers.
    pub asked: u64,
    /// Answered within the aim.
    pub within_goal: u64,
    /// Answered later.
    pub late: u64,
    /// Not answered before the deadline, or ended where they must not run twice.
    pub failed: u64,
    /// Those of the failed ones that may run twice.
    pub failed_feeds: u64,
    /// Tries that targets refused because they were full.
    pub refused: u64,
    /// Flows that instances reset although their targets live.
    pub wrong_resets: u64,
    /// Times to the answers in milliseconds.
    times: Histogram<u32>,
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
            times: Histogram::new_with_max(LONGEST, 2).expect("valid bounds"),
        }
    }
}

impl Report {
    /// Counts an answer.
    pub(super) fn answered(&mut self, time: Duration) {
        if time <= GOAL {
            self.within_goal += 1;
        } else {
            self.late += 1;
        }
        let millis = u64::try_from(time.as_millis()).unwrap_or(LONGEST);
        self.times.saturating_record(millis);
    }

    /// Counts a request that got no answer.
    pub(super) fn failed(&mut self, kind: Kind) {
        self.failed += 1;
        self.failed_feeds += u64::from(kind == Kind::Idempotent);
    }

    /// Adds another play.
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
        self.times
            .add(&other.times)
            .expect("all histograms have the same bounds");
    }

    /// Returns the time within which a part of the answers came.
    #[must_use]
    pub fn quantile(&self, part: f64) -> Duration {
        Duration::from_millis(self.times.value_at_quantile(part))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "asked {} in aim {} late {} failed {} (feeds {}) refused tries {} wrong resets {} p50 {:?} p99 {:?}",
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
