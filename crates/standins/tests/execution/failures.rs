//! Requests while instances and targets are killed, frozen, cut off or stopped.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tanager_core::{RequestId, ResultCode, RunState};
use tanager_standins::caller::Outcome;
use tanager_standins::fabric::Faults;
use tanager_standins::fleet::Fleet;
use tanager_standins::network::PartitionableNetwork;
use tanager_standins::target::{Options, answer};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::{ANSWER_SIZE, caller, check, execute, fleet, fleet_on, records, runs};

/// Makes the fabric deliver all datagrams to one instance.
fn route_only_to(fleet: &Fleet, index: usize) {
    let address = fleet.nodes[index].node.callers_address().expect("address");
    fleet.fabric.set_balancers(vec![address]);
}

/// Guards against a second run after a target is killed, and against repeatable requests that are
/// not retried. The requests are still running when the target is killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_target_loses_only_non_repeatable_requests() {
    const BUDGET: Duration = Duration::from_secs(25);
    let slow = |options| Options {
        service_time: Duration::from_secs(4),
        ..options
    };
    let mut fleet = fleet(1, 2, slow).await;
    let caller = caller(&fleet).await;
    let session = caller.session().await.expect("session");
    let ids = [(); 2].map(|()| RequestId::random());
    let executed = ids.map(|id| {
        let (caller, session) = (caller.clone(), session.clone());
        tokio::spawn(async move { execute(&caller, &session, id, BUDGET).await })
    });
    let fetched = [(); 2].map(|()| {
        let (caller, id) = (caller.clone(), RequestId::random());
        tokio::spawn(async move { (id, caller.fetch(id, Bytes::new(), BUDGET).await) })
    });
    sleep(Duration::from_millis(800)).await;

    let killed = fleet.targets.remove(0).1.kill();

    let mut outcomes = Vec::new();
    for (id, outcome) in ids.into_iter().zip(executed) {
        outcomes.push((id, outcome.await.expect("outcome")));
    }
    for task in fetched {
        let (id, outcome) = task.await.expect("outcome");
        assert_eq!(
            outcome,
            Outcome::Answered(answer(id.as_bytes(), ANSWER_SIZE))
        );
    }
    let lost = Outcome::Refused(ResultCode::OutcomeLost, RunState::Unknown);
    let ran_at_killed = |id: &RequestId| killed.runs.contains_key(&id.to_string());
    for (id, outcome) in outcomes.iter().filter(|o| ran_at_killed(&o.0)) {
        assert_eq!(*outcome, lost, "{id}");
    }
    let mut records = records(&fleet);
    records.push(killed);
    check(&outcomes, &records);
}

/// Guards against work that is placed according to a stale view: while the instance is frozen, the
/// catalogue lists a target as leaving and requests arrive. Only the other instance can reach the
/// platform.
#[tokio::test(flavor = "multi_thread")]
async fn woken_instance_places_work_on_a_fresh_view() {
    let mut fleet = fleet(2, 2, |options| options).await;
    let caller = caller(&fleet).await;
    route_only_to(&fleet, 0);
    let session = caller.session().await.expect("session");
    // Shorter than the idle time-out of 3 s after which the instance closes its target links.
    fleet.nodes[0].freeze(Duration::from_millis(2_300));
    sleep(Duration::from_millis(300)).await;
    fleet.platform.block_zones(["a".to_owned()]);
    fleet.services[0].targets[0].state = "leaving";
    fleet.publish_services();
    let mut requests = JoinSet::new();
    for _ in 0..20 {
        let (caller, session) = (caller.clone(), session.clone());
        let id = RequestId::random();
        requests.spawn(async move {
            execute(&caller, &session, id, Duration::from_secs(20)).await;
        });
    }

    requests.join_all().await;

    let requests: Vec<u64> = records(&fleet).iter().map(|r| r.requests).collect();
    assert_eq!(requests[0], 0, "the leaving target got work");
    assert!(requests[1] > 0, "no request ran");
}

/// Guards against a "not run" from an instance that cannot reach the executor, while the executor
/// is frozen and after it is killed.
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_executor_means_unknown() {
    let mut fleet = fleet(2, 2, |options| options).await;
    let caller = caller(&fleet).await;
    route_only_to(&fleet, 0);
    let session = caller.session().await.expect("session");
    route_only_to(&fleet, 1);
    let ids = [(); 2].map(|()| RequestId::random());
    let budget = Duration::from_secs(1);

    fleet.nodes[0].freeze(Duration::from_secs(6));
    sleep(Duration::from_millis(300)).await;
    let frozen = execute(&caller, &session, ids[0], budget).await;
    sleep(Duration::from_secs(5)).await;
    let runs_after_resume = runs(&records(&fleet), ids[0]);
    fleet.nodes[0].kill();
    let killed = execute(&caller, &session, ids[1], budget).await;

    let unknown = Outcome::Refused(ResultCode::ExecutorUnreachable, RunState::Unknown);
    assert_eq!((&frozen, &killed), (&unknown, &unknown));
    assert_eq!(runs_after_resume, 0, "started after its deadline");
}

/// Guards against an instance that cannot reach the executor and runs the request itself or
/// answers "not run".
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_executor_runs_once_after_the_cut() {
    let network = PartitionableNetwork::default();
    let fleet = fleet_on(Arc::new(network.clone()), 2, 2, |o| o).await;
    let caller = caller(&fleet).await;
    route_only_to(&fleet, 0);
    let session = caller.session().await.expect("session");
    route_only_to(&fleet, 1);
    let (short, long) = (RequestId::random(), RequestId::random());

    network.block(fleet.nodes.iter().map(|n| n.node.peer_address()));
    let cut = execute(&caller, &session, short, Duration::from_secs(1)).await;
    let before = runs(&records(&fleet), short);
    // The cut and the answer are within one deadline: a copy that arrives after the deadline would
    // correctly be refused as "not run".
    let (healed, ()) = tokio::join!(
        execute(&caller, &session, long, Duration::from_secs(20)),
        async {
            sleep(Duration::from_secs(1)).await;
            network.unblock_all();
        }
    );

    let unknown = Outcome::Refused(ResultCode::ExecutorUnreachable, RunState::Unknown);
    assert_eq!((cut, before), (unknown, 0));
    assert!(matches!(healed, Outcome::Answered(_)), "{healed:?}");
    check(&[(long, healed)], &records(&fleet));
}

/// Guards against requests that are lost in a graceful stop. They run for longer than the shortest
/// stop, and their first answers are lost, so that callers must ask the leaving instance again.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_cuts_no_request_off() {
    let mut fleet = fleet(3, 12, |options| Options {
        service_time: Duration::from_millis(3_500),
        ..options
    })
    .await;
    let loss = |loss| Faults {
        loss,
        ..Faults::default()
    };
    route_only_to(&fleet, 0);
    let mut requests = JoinSet::new();
    for _ in 0..12 {
        let caller = caller(&fleet).await;
        let session = caller.session().await.expect("session");
        requests.spawn(async move {
            let id = RequestId::random();
            (
                id,
                execute(&caller, &session, id, Duration::from_secs(20)).await,
            )
        });
    }
    sleep(Duration::from_secs(1)).await;
    fleet.route_to_running_nodes();
    fleet.fabric.set_faults(loss(1.0));

    let stopped = fleet.nodes[0].leave().expect("running");
    sleep(Duration::from_secs(3)).await;
    fleet.fabric.set_faults(loss(0.1));
    stopped.await.expect("stopped");
    fleet.nodes[0].kill();

    let outcomes = requests.join_all().await;
    for (id, outcome) in &outcomes {
        assert!(matches!(outcome, Outcome::Answered(_)), "{id}: {outcome:?}");
    }
    check(&outcomes, &records(&fleet));
}

/// Guards against a leaving executor that accepts new requests, or refuses them with an unknown
/// outcome.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_executor_refuses_new_requests_as_not_run() {
    let fleet = fleet(1, 2, |options| options).await;
    let caller = caller(&fleet).await;
    let session = caller.session().await.expect("session");
    let stopping = fleet.nodes[0].leave();
    sleep(Duration::from_millis(300)).await;
    let id = RequestId::random();

    let outcome = execute(&caller, &session, id, Duration::from_secs(5)).await;

    let expected = Outcome::Refused(ResultCode::ExecutorLeaving, RunState::NotRun);
    assert_eq!(outcome, expected);
    check(&[(id, outcome)], &records(&fleet));
    drop(stopping);
}
