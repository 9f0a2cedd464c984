//! A request runs at most once, "not run" is true and answers are complete while datagrams are
//! lost, duplicated and delayed by seconds, and instances and targets are killed and frozen.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tanager_core::{FastMap, RequestId, ResultCode, RunState, violations};
use tanager_standins::caller::{Caller, Outcome, Session};
use tanager_standins::fabric::Faults;
use tanager_standins::fleet::{Fleet, FleetConfig, service};
use tanager_standins::target::{Options, Record, answer, body_with_latest_start};
use tanagerproxy::peer::{Network, TcpNetwork};
use tokio::task::JoinSet;
use tokio::time::sleep;

#[path = "execution/failures.rs"]
mod failures;

const ANSWER_SIZE: usize = 64;

async fn fleet(nodes: usize, targets: usize, adapt: impl Fn(Options) -> Options) -> Fleet {
    fleet_on(Arc::new(TcpNetwork), nodes, targets, adapt).await
}

async fn fleet_on(
    network: Arc<dyn Network>,
    nodes: usize,
    targets: usize,
    adapt: impl Fn(Options) -> Options,
) -> Fleet {
    let config = FleetConfig {
        nodes,
        services: vec![(service("buzz", 1, "abay"), targets)],
        seed: 1,
    };
    Fleet::start_with(config, network, adapt)
        .await
        .expect("fleet")
}

async fn caller(fleet: &Fleet) -> Caller {
    Caller::start(fleet.fabric.address(), 1)
        .await
        .expect("caller")
}

async fn execute(caller: &Caller, session: &Session, id: RequestId, budget: Duration) -> Outcome {
    let body = || body_with_latest_start(budget);
    caller.execute_with(session, id, body, budget).await
}

fn records(fleet: &Fleet) -> Vec<Record> {
    fleet.targets.iter().map(|(_, t)| t.record()).collect()
}

fn runs(records: &[Record], id: RequestId) -> u32 {
    let id = id.to_string();
    records.iter().filter_map(|r| r.runs.get(&id)).sum()
}

/// Compares the outcomes that callers received with the records of the targets.
fn check(outcomes: &[(RequestId, Outcome)], records: &[Record]) {
    let mut total: FastMap<&str, u32> = FastMap::default();
    for (id, count) in records.iter().flat_map(|r| &r.runs) {
        *total.entry(id).or_default() += count;
    }
    assert!(total.values().all(|runs| *runs == 1), "a request ran twice");
    for (id, outcome) in outcomes {
        match outcome {
            Outcome::Answered(payload) => {
                assert_eq!(*payload, answer(id.as_bytes(), ANSWER_SIZE), "wrong answer");
                assert_eq!(runs(records, *id), 1, "answered without a run");
            }
            Outcome::Refused(code, RunState::NotRun) => {
                assert_eq!(runs(records, *id), 0, "ran after not run, {code}");
            }
            Outcome::Refused(_, RunState::Unknown) => {}
        }
    }
    let late: u64 = records.iter().map(|r| r.late_starts).sum();
    assert_eq!(late, 0, "started after the deadline");
    assert_eq!(violations(), 0, "an invariant is violated");
}

/// Sends requests one after the other until `stop` is set, and cancels some of them.
async fn make_requests(
    caller: Caller,
    seed: u64,
    stop: Arc<AtomicBool>,
) -> Vec<(RequestId, Outcome)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut outcomes = Vec::new();
    let mut session = None;
    while !stop.load(Ordering::Relaxed) {
        let Some(current) = session.clone() else {
            session = caller.session().await.ok();
            continue;
        };
        let id = RequestId::random();
        let budget = Duration::from_millis(rng.random_range(100..1_500));
        let cancel_after = Duration::from_millis(rng.random_range(0..100));
        let cancels = rng.random_bool(0.2);
        let outcome = tokio::join!(execute(&caller, &current, id, budget), async {
            if cancels {
                sleep(cancel_after).await;
                caller.cancel(&current, id).await;
            }
        });
        if matches!(outcome.0, Outcome::Refused(_, RunState::Unknown)) {
            session = None;
        }
        outcomes.push((id, outcome.0));
    }
    outcomes
}

/// Freezes two instances, kills one, and kills a target. Returns the target's record.
async fn inject_faults(fleet: &mut Fleet, seed: u64) -> Record {
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..2 {
        sleep(Duration::from_millis(rng.random_range(200..800))).await;
        let index = rng.random_range(0..fleet.nodes.len());
        fleet.nodes[index].freeze(Duration::from_millis(rng.random_range(700..2_500)));
    }
    sleep(Duration::from_millis(rng.random_range(200..800))).await;
    let index = rng.random_range(0..fleet.nodes.len());
    fleet.nodes[index].kill();
    sleep(Duration::from_millis(rng.random_range(200..800))).await;
    let index = rng.random_range(0..fleet.targets.len());
    let (_, target) = fleet.targets.swap_remove(index);
    let record = target.kill();
    sleep(Duration::from_millis(rng.random_range(500..1_500))).await;
    fleet.route_to_running_nodes();
    sleep(Duration::from_secs(2)).await;
    record
}

async fn run_with_random_faults(seed: u64) {
    let mut fleet = fleet(4, 5, |options| Options {
        service_time: Duration::from_millis(150),
        ..options
    })
    .await;
    fleet.fabric.set_faults(Faults {
        loss: 0.05,
        duplicates: 0.3,
        delayed: 0.2,
        delay: Duration::from_secs(3),
    });
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..16 {
        let requests = make_requests(
            caller(&fleet).await,
            seed * 1_000 + number,
            Arc::clone(&stop),
        );
        callers.spawn(requests);
    }

    let killed = inject_faults(&mut fleet, seed).await;
    stop.store(true, Ordering::Relaxed);
    let outcomes: Vec<_> = callers.join_all().await.concat();
    // The latest copies arrive 3 s after they were sent.
    sleep(Duration::from_secs(4)).await;

    let mut records = records(&fleet);
    records.push(killed);
    check(&outcomes, &records);
    let count = |wanted: fn(&Outcome) -> bool| outcomes.iter().filter(|o| wanted(&o.1)).count();
    let answered = count(|o| matches!(o, Outcome::Answered(_)));
    let not_run = count(|o| matches!(o, Outcome::Refused(_, RunState::NotRun)));
    let all = outcomes.len();
    println!("seed {seed}: {all} requests, {answered} answered, {not_run} not run");
    assert!(answered > 0, "no request was answered");
}

/// Guards against second runs, runs after "not run", late starts and wrong answers under random
/// faults.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_break_no_promise() {
    tokio::join!(run_with_random_faults(1), run_with_random_faults(2));
    tokio::join!(run_with_random_faults(3), run_with_random_faults(4));
}

/// Guards against a cancelled request that is started by a later copy of it.
#[tokio::test(flavor = "multi_thread")]
async fn request_after_its_cancel_never_runs() {
    let fleet = fleet(2, 2, |options| options).await;
    let caller = caller(&fleet).await;
    let session = caller.session().await.expect("session");
    let id = RequestId::random();
    caller.cancel(&session, id).await;
    sleep(Duration::from_secs(1)).await;
    fleet.fabric.set_faults(Faults {
        duplicates: 1.0,
        delayed: 0.5,
        delay: Duration::from_secs(2),
        ..Faults::default()
    });

    let outcome = execute(&caller, &session, id, Duration::from_secs(5)).await;
    sleep(Duration::from_secs(3)).await;

    let expected = Outcome::Refused(ResultCode::RequestCancelled, RunState::NotRun);
    assert_eq!(outcome, expected);
    check(&[(id, outcome)], &records(&fleet));
}

/// Guards against a cancel that does not reach the target, or is answered before the target has
/// confirmed it. The first two requests occupy the slots, the third waits at the target.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_of_sent_request_follows_the_target() {
    let fleet = fleet(1, 1, |options| Options {
        service_time: Duration::from_secs(2),
        ..options
    })
    .await;
    let caller = caller(&fleet).await;
    let session = caller.session().await.expect("session");
    let ids = [(); 3].map(|()| RequestId::random());
    let budget = Duration::from_secs(20);
    let run = |id| {
        let (caller, session) = (caller.clone(), session.clone());
        tokio::spawn(async move { execute(&caller, &session, id, budget).await })
    };
    let running = [run(ids[0]), run(ids[1])];
    sleep(Duration::from_millis(500)).await;
    let waiting = run(ids[2]);
    sleep(Duration::from_millis(500)).await;

    for id in ids {
        caller.cancel(&session, id).await;
    }

    let cancelled = Outcome::Refused(ResultCode::RequestCancelled, RunState::NotRun);
    assert_eq!(waiting.await.expect("outcome"), cancelled);
    for (id, outcome) in ids.into_iter().zip(running) {
        let expected = Outcome::Answered(answer(id.as_bytes(), ANSWER_SIZE));
        assert_eq!(outcome.await.expect("outcome"), expected);
    }
    check(&[(ids[2], cancelled)], &records(&fleet));
}

/// Guards against a request that a frozen executor starts after its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_executor_starts_nothing_late() {
    let fleet = fleet(1, 2, |options| options).await;
    let caller = caller(&fleet).await;
    let session = caller.session().await.expect("session");
    fleet.nodes[0].freeze(Duration::from_millis(1_800));
    sleep(Duration::from_millis(300)).await;
    let id = RequestId::random();

    let outcome = execute(&caller, &session, id, Duration::from_secs(1)).await;

    let expected = Outcome::Refused(ResultCode::DeadlinePassed, RunState::NotRun);
    assert_eq!(outcome, expected);
    sleep(Duration::from_secs(1)).await;
    check(&[(id, outcome)], &records(&fleet));
}

/// Guards against starts just after the deadline, which rounded clock readings caused. Requests
/// wait at the only target until close to their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn start_near_the_deadline_is_never_late() {
    let fleet = fleet(2, 1, |options| Options {
        service_time: Duration::from_millis(25),
        queue: 30,
        ..options
    })
    .await;
    let mut callers = JoinSet::new();
    for seed in 0..24 {
        let caller = caller(&fleet).await;
        callers.spawn(async move {
            let mut rng = StdRng::seed_from_u64(seed);
            let session = caller.session().await.expect("session");
            for _ in 0..60 {
                let budget = Duration::from_millis(rng.random_range(50..330));
                execute(&caller, &session, RequestId::random(), budget).await;
            }
        });
    }

    callers.join_all().await;

    check(&[], &records(&fleet));
}

/// Guards against long answers with missing fragments or fragments of another answer.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_arrive_whole() {
    const SIZE: usize = 1_000_000;
    let fleet = fleet(3, 3, |options| Options {
        answer_size: SIZE,
        ..options
    })
    .await;
    fleet.fabric.set_faults(Faults {
        loss: 0.05,
        duplicates: 0.05,
        delayed: 0.1,
        delay: Duration::from_millis(300),
    });
    let mut requests = JoinSet::new();
    for _ in 0..6 {
        let caller = caller(&fleet).await;
        requests.spawn(async move {
            let id = RequestId::random();
            let body = Bytes::from_static(b"sheet");
            (id, caller.fetch(id, body, Duration::from_secs(25)).await)
        });
    }

    let outcomes = requests.join_all().await;

    for (id, outcome) in outcomes {
        let complete = outcome == Outcome::Answered(answer(id.as_bytes(), SIZE));
        assert!(complete, "the answer to {id} is incomplete or wrong");
    }
}
