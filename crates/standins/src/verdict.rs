//! Compares the outcomes that callers received with what targets executed, and lists violated
//! guarantees.

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, FastSet};

use crate::load::Tally;
use crate::target::Record;

/// What was recorded during a run by all parts of the fleet.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RunObservations {
    /// Results at the callers.
    pub tallies: Vec<Tally>,
    /// Records of the targets, killed ones included, each with the number of its service.
    pub records: Vec<(u32, Record)>,
    /// Invariant violations that balancers reported.
    pub invariant_violations: u64,
}

impl RunObservations {
    /// Returns the sum of a figure over all tallies.
    pub fn sum_tallies(&self, figure: impl Fn(&Tally) -> u64) -> u64 {
        self.tallies.iter().map(figure).sum()
    }

    /// Returns the sum of a figure over all records.
    pub fn sum_records(&self, figure: impl Fn(&Record) -> u64) -> u64 {
        self.records.iter().map(|(_, r)| figure(r)).sum()
    }

    /// Returns the number of non-repeatable requests that ran more than once.
    #[must_use]
    pub fn ran_twice(&self) -> u64 {
        self.runs().values().filter(|n| **n > 1).count() as u64
    }

    /// Returns the number of requests that ran although a caller received "not run" for them.
    #[must_use]
    pub fn ran_after_not_run(&self) -> u64 {
        let runs = self.runs();
        let refused: FastSet<&str> = self
            .tallies
            .iter()
            .flat_map(|t| t.once.not_run_ids.iter().map(String::as_str))
            .collect();
        refused.iter().filter(|id| runs.contains_key(**id)).count() as u64
    }

    /// Returns the number of packets that reached another service.
    #[must_use]
    pub fn wrong_service(&self) -> u64 {
        self.sum_records(|r| r.wrong_service) + self.sum_tallies(|t| t.wrong_updates)
    }

    /// Describes each violated guarantee, of those that section 1.1 of the design gives under every
    /// fault.
    #[must_use]
    pub fn breaches(&self) -> Vec<String> {
        let checks = [
            (self.ran_twice(), "non-repeatable requests ran twice"),
            (self.ran_after_not_run(), "requests ran after \"not run\""),
            (self.wrong_service(), "packets reached another service"),
            (
                self.sum_tallies(|t| t.once.wrong + t.repeatable.wrong),
                "answers belong to another request",
            ),
            (
                self.sum_records(|r| r.new_work_after_leave),
                "pieces of work arrived 3 s after a target left",
            ),
            (
                self.sum_records(|r| r.late_starts),
                "requests started after their deadline",
            ),
            (self.invariant_violations, "invariants were violated"),
        ];
        let violated = checks.iter().filter(|(count, _)| *count > 0);
        violated
            .map(|(count, what)| format!("{count} {what}"))
            .collect()
    }

    fn runs(&self) -> FastMap<&str, u32> {
        let mut runs: FastMap<&str, u32> = FastMap::default();
        for (id, count) in self.records.iter().flat_map(|(_, r)| &r.runs) {
            *runs.entry(id).or_default() += count;
        }
        runs
    }
}
