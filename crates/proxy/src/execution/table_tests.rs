use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use tanager_core::{Clock, Millis, RequestId, ResultCode, RunState, ServiceId};

use crate::execution::{
    Arrival, Lookup, RETENTION_AFTER_DEADLINE, RequestKey, RequestOutcome, RequestTable,
    TableLimits,
};

const START: Millis = Clock::START;
const LIMITS: TableLimits = TableLimits {
    entries: 6,
    bytes: 1_000,
};

fn key(number: u8) -> RequestKey {
    RequestKey {
        service: ServiceId::new(1),
        request: RequestId::new([number; 16]),
    }
}

fn arrival(number: u8, deadline: Millis) -> Arrival {
    Arrival {
        key: key(number),
        deadline,
        listed: true,
        exclusive: true,
        leaving: false,
    }
}

fn answered(size: usize) -> RequestOutcome {
    RequestOutcome::Answered {
        answer: 1,
        payload: Bytes::from(vec![0; size]),
    }
}

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

/// One step of a random history.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A copy of a request arrives.
    Arrive { number: u8, leaving: bool },
    /// The pending request with the lowest number ends: answered, shed by all targets, or lost.
    End(u8),
    /// A cancel arrives.
    Cancel { number: u8 },
    /// Time passes.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..10, prop::bool::weighted(0.1))
            .prop_map(|(number, leaving)| Step::Arrive { number, leaving }),
        3 => (0u8..3).prop_map(Step::End),
        1 => (0u8..10).prop_map(|number| Step::Cancel { number }),
        2 => (0u64..40_000).prop_map(Step::Wait),
    ]
}

/// Reference model of the table, without bounds or expiry.
#[derive(Default)]
struct Model {
    ran: BTreeSet<u8>,
    refused: BTreeSet<u8>,
    pending: BTreeSet<u8>,
    /// Requests that ended, as the executor recorded them.
    ended: BTreeSet<u8>,
}

impl Model {
    fn arrive(&mut self, table: &mut RequestTable, arrival: Arrival, now: Millis) {
        let (number, deadline) = (arrival.key.request.as_bytes()[0], arrival.deadline);
        let lookup = table.begin(arrival, now);
        match lookup {
            Lookup::New(_) => {
                assert!(now < deadline, "accepted after its deadline");
                assert!(!arrival.leaving, "accepted while leaving");
                let recorded = self.ended.contains(&number) || self.pending.contains(&number);
                assert!(!recorded, "accepted twice");
                assert!(
                    !self.refused.contains(&number),
                    "accepted after it was reported as not run"
                );
                self.pending.insert(number);
            }
            Lookup::Pending => assert!(self.pending.contains(&number)),
            Lookup::Ended(RequestOutcome::Refused {
                state: RunState::NotRun,
                ..
            }) => {
                assert!(
                    !self.ran.contains(&number),
                    "reported as not run, but it ran"
                );
                assert!(
                    !self.pending.contains(&number),
                    "reported as not run, but pending"
                );
                self.refused.insert(number);
            }
            Lookup::Ended(_) | Lookup::Unrecorded(_) => {
                assert!(
                    !self.pending.contains(&number),
                    "a pending request was lost"
                );
                let kept = now < deadline + RETENTION_AFTER_DEADLINE;
                let recorded = matches!(lookup, Lookup::Ended(_));
                assert!(
                    recorded || !kept || !self.ended.contains(&number),
                    "expired too early"
                );
            }
        }
    }

    fn end(&mut self, table: &mut RequestTable, kind: u8) {
        let Some(number) = self.pending.pop_first() else {
            return;
        };
        self.ended.insert(number);
        assert!(table.try_start(key(number), false));
        let outcome = match kind {
            0 => answered(400),
            1 => {
                table.record_not_started(key(number));
                RequestOutcome::refused(ResultCode::TargetShed, RunState::NotRun)
            }
            _ => RequestOutcome::refused(ResultCode::OutcomeLost, RunState::Unknown),
        };
        if kind == 1 {
            self.refused.insert(number);
        } else {
            self.ran.insert(number);
        }
        assert_eq!(table.finish(key(number), outcome.clone()), outcome);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against requests that expire too early, are accepted twice, or are refused as "not
    /// run" before or after a run, and against limits that are exceeded.
    #[test]
    fn table_agrees_with_unbounded_model(
        deadlines in prop::collection::vec(0u64..90_000, 10),
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut table = RequestTable::new(LIMITS);
        let mut model = Model::default();
        let mut now = START;
        for step in steps {
            match step {
                Step::Arrive { number, leaving } => {
                    let deadline = START + Duration::from_millis(deadlines[usize::from(number)]);
                    let arrival = Arrival { leaving, ..arrival(number, deadline) };
                    model.arrive(&mut table, arrival, now);
                }
                Step::End(kind) => model.end(&mut table, kind),
                Step::Cancel { number } => {
                    let _ = table.cancel(key(number), now);
                }
                Step::Wait(millis) => now = now + Duration::from_millis(millis),
            }
            prop_assert!(table.len() <= LIMITS.entries);
            prop_assert!(table.cached_bytes() <= LIMITS.bytes);
            prop_assert_eq!(table.pending(), model.pending.len());
        }
    }
}

/// Guards against a task that read the clock before a long pause and then accepts a request whose
/// entry expired during the pause.
#[test]
fn late_clock_reading_takes_no_forgotten_request() {
    let mut table = RequestTable::new(LIMITS);
    let first = arrival(1, START + seconds(5));
    assert!(matches!(table.begin(first, START), Lookup::New(_)));
    table.finish(key(1), answered(10));
    table.begin(arrival(2, START + seconds(70)), START + seconds(60));

    let late = table.begin(first, START + seconds(1));

    assert!(matches!(
        late,
        Lookup::Unrecorded(ResultCode::DeadlinePassed)
    ));
}

/// Guards against a late cancel after which an expired request is reported as not run.
#[test]
fn cancel_after_an_expired_run_reports_no_outcome() {
    let mut table = RequestTable::new(LIMITS);
    let run = arrival(1, START + seconds(5));
    table.begin(run, START);
    table.finish(key(1), answered(10));

    let cancelled = table.cancel(key(1), START + seconds(40));
    let lookup = table.begin(run, START + seconds(41));

    assert_eq!(cancelled, None);
    assert!(matches!(
        lookup,
        Lookup::Unrecorded(ResultCode::DeadlinePassed)
    ));
}

/// Guards against made-up service numbers that fill the table, and against the loss of a recorded
/// outcome when its service is removed from the catalogue.
#[test]
fn requests_of_unlisted_services_are_not_recorded() {
    let mut table = RequestTable::new(LIMITS);
    let recorded = arrival(1, START + seconds(5));
    table.begin(recorded, START);
    table.finish(key(1), answered(10));
    let unlisted = |arrival| Arrival {
        listed: false,
        ..arrival
    };

    let made_up = table.begin(unlisted(arrival(2, START + seconds(5))), START);
    let repeated = table.begin(unlisted(recorded), START);

    assert!(matches!(
        made_up,
        Lookup::Unrecorded(ResultCode::ServiceUnknown)
    ));
    assert!(matches!(
        repeated,
        Lookup::Ended(RequestOutcome::Answered { .. })
    ));
    assert_eq!(table.pending(), 0);
}

/// Guards against "not run" for a request that another instance may run.
#[test]
fn shared_request_is_never_not_run() {
    let mut table = RequestTable::new(LIMITS);
    let shared = Arrival {
        exclusive: false,
        ..arrival(1, START + seconds(5))
    };
    table.begin(shared, START);

    let outcome = table.finish(
        key(1),
        RequestOutcome::refused(ResultCode::QueueFull, RunState::NotRun),
    );

    assert_eq!(
        outcome,
        RequestOutcome::refused(ResultCode::QueueFull, RunState::Unknown)
    );
}

/// Guards against requests that are evicted with their answers: only the payload may be dropped.
#[test]
fn oldest_answer_is_dropped_and_its_id_stays() {
    let mut table = RequestTable::new(LIMITS);
    for number in 1..=3 {
        table.begin(arrival(number, START + seconds(5)), START);
        table.finish(key(number), answered(400));
    }

    let oldest = table.begin(arrival(1, START + seconds(5)), START);
    let newest = table.begin(arrival(3, START + seconds(5)), START);

    let expired = RequestOutcome::refused(ResultCode::AnswerExpired, RunState::Unknown);
    assert!(matches!(oldest, Lookup::Ended(outcome) if outcome == expired));
    assert!(matches!(
        newest,
        Lookup::Ended(RequestOutcome::Answered { .. })
    ));
}

/// Guards against a second send of a request that a target may have started.
#[test]
#[should_panic(expected = "non-repeatable-starts-once")]
fn second_start_of_non_repeatable_request_is_refused() {
    let mut table = RequestTable::new(LIMITS);
    table.begin(arrival(1, START + seconds(5)), START);
    assert!(table.try_start(key(1), false));

    table.try_start(key(1), false);
}
