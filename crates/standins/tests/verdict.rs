//! The verdict on a run must report every violated guarantee.

use tanager_standins::load::Tally;
use tanager_standins::target::{Record, request_body};
use tanager_standins::verdict::RunObservations;

fn record(runs: &[(&str, u32)]) -> (u32, Record) {
    let runs = runs.iter().map(|(id, n)| ((*id).to_owned(), *n));
    let record = Record {
        runs: runs.collect(),
        ..Record::default()
    };
    (1, record)
}

/// Guards against a request that ran at two targets without being reported.
#[test]
fn runs_at_two_targets_are_a_breach() {
    let observations = RunObservations {
        records: vec![record(&[("a", 1), ("b", 1)]), record(&[("a", 1)])],
        ..RunObservations::default()
    };

    assert_eq!(observations.ran_twice(), 1);
    assert_eq!(
        observations.breaches(),
        ["1 non-repeatable requests ran twice"]
    );
}

/// Guards against accepting "not run" without comparing it with the records of the targets.
#[test]
fn run_after_not_run_is_a_breach() {
    let mut tally = Tally::default();
    tally.once.not_run_ids = vec!["a".to_owned(), "c".to_owned()];
    let observations = RunObservations {
        tallies: vec![tally],
        records: vec![record(&[("a", 1), ("b", 1)])],
        invariant_violations: 0,
    };

    assert_eq!(observations.ran_after_not_run(), 1);
    assert_eq!(observations.breaches().len(), 1);
}

/// Guards against a correct run that is reported as a violation.
#[test]
fn correct_run_has_no_breach() {
    let observations = RunObservations {
        tallies: vec![Tally::default()],
        records: vec![record(&[("a", 1)])],
        invariant_violations: 0,
    };

    assert!(observations.breaches().is_empty());
}

/// Guards against equal request bodies of two services, which would hide a wrong delivery.
#[test]
fn bodies_name_their_service() {
    assert_ne!(request_body(1), request_body(2));
}
