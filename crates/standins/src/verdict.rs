//! Compares what callers were told with what targets did, and names every broken promise.

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, FastSet};

use crate::load::Tally;
use crate::target::Record;

/// Everything known about a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Truth {
    /// What callers saw.
    pub tallies: Vec<Tally>,
    /// What targets did, with their service numbers; killed targets included.
    pub records: Vec<(u32, Record)>,
    /// Violated invariants that balancers reported.
    pub invariant_violations: u64,
}

impl Truth {
    /// Returns the sum of a figure over all tallies.
    pub fn sum(&self, figure: impl Fn(&Tally) -> u64) -> u64 {
        self.tallies.iter().map(figure).sum()
    }

    /// Returns the sum of a figure over all records.
    pub fn did(&self, figure: impl Fn(&Record) -> u64) -> u64 {
        self.records.iter().map(|(_, r)| figure(r)).sum()
    }

    /// Returns the non-repeatable requests that ran more than once.
    #[must_use]
    pub fn ran_twice(&self) -> u64 {
        self.runs().values().filter(|n| **n > 1).count() as u64
    }

    /// Returns the requests that ran although a caller was told "not run".
    #[must_use]
    pub fn ran_after_not_run(&self) -> u64 {
        let runs = self.runs();
        let told: FastSet<&str> = self
            .tallies
            .iter()
            .flat_map(|t| t.once.not_run_ids.iter().map(String::as_str))
            .collect();
        told.iter().filter(|id| runs.contains_key(**id)).count() as u64
    }

    /// Returns packets that reached another service.
    #[must_use]
    pub fn wrong_service(&self) -> u64 {
        self.did(|r| r.wrong_service) + self.sum(|t| t.wrong_updates)
    }

    /// Names the broken promises of section 1.1 of the design that hold under every fault.
    #[must_use]
    pub fn breaches(&self) -> Vec<String> {
        let checks = [
            (self.ran_twice(), "non-repeatable requests ran twice"),
            (self.ran_after_not_run(), "requests ran after \"not run\""),
            (self.wrong_service(), "packets reached another service"),
            (
                self.sum(|t| t.once.wrong + t.repeatable.wrong),
                "answers belong to another request",
            ),
            (
                self.did(|r| r.new_work_after_leave),
                "pieces of work arrived 3 s after a target left",
            ),
            (
                self.did(|r| r.late_starts),
                "requests started after their deadline",
            ),
            (self.invariant_violations, "invariants were violated"),
        ];
        let broken = checks.iter().filter(|(count, _)| *count > 0);
        broken
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
