//! Propagation of changes in a fleet in which only some instances watch the platform.

mod common;

use std::time::Duration;

use tanager_standins::fleet::{Fleet, ZONES, any_port};
use tanager_standins::platform::Fault;
use tanager_standins::settings::{Instance, instance_list};
use tokio::time::{Instant, sleep};

use crate::common::{
    IN_FORCE_LIMIT, all_reach_revision, block_zones, fetch_page, fleet, revisions, wait_until,
};

/// Number of instances: four in each zone, of which one does not watch.
const NODES: usize = 12;
/// Longest wait for roles to be assigned. It only bounds the test; no goal is set.
const ROLES_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a fleet, waits until roles are assigned, and returns it with the indices of the instances
/// that do not watch.
async fn fleet_with_roles() -> (Fleet, Vec<usize>) {
    let fleet = fleet(NODES).await;
    let end = Instant::now() + ROLES_TIMEOUT;
    while Instant::now() < end {
        let mut informed = Vec::new();
        let mut watchers = 0;
        for (index, node) in fleet.nodes.iter().enumerate() {
            let role = fetch_page(&node.node, "/status").await["watching"].clone();
            watchers += usize::from(role == "watcher");
            if role == "informed" {
                informed.push(index);
            }
        }
        if watchers == 9 && informed.len() == 3 {
            return (fleet, informed);
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("roles were not assigned within 30 s");
}

/// Returns the sum of a counter over the fleet.
async fn sum_counter(fleet: &Fleet, counter: &str) -> u64 {
    let mut sum = 0;
    for node in fleet.running() {
        sum += fetch_page(node, "/status").await["counters"][counter]
            .as_u64()
            .expect("counter");
    }
    sum
}

/// Guards against instances that all read the complete document from the platform for each
/// change.
#[tokio::test(flavor = "multi_thread")]
async fn instances_that_do_not_watch_receive_deltas() {
    let (mut fleet, _) = fleet_with_roles().await;
    let reads = sum_counter(&fleet, "platform_documents").await;
    let deltas = sum_counter(&fleet, "documents_delta").await;
    let (calls, start) = (fleet.platform.calls(), Instant::now());

    for revision in 2..=6 {
        fleet.publish_services();
        assert!(
            all_reach_revision(&fleet, revision).await,
            "{:?}",
            revisions(&fleet)
        );
    }

    let calls = fleet.platform.calls() - calls;
    let reads = sum_counter(&fleet, "platform_documents").await - reads;
    let deltas = sum_counter(&fleet, "documents_delta").await - deltas;
    let time = start.elapsed();
    println!("5 changes in {time:?}: {calls} calls, {reads} complete reads, {deltas} deltas");
    assert!(reads < 5 * NODES as u64, "{reads} complete reads");
    assert!(deltas > 0, "no delta was used");
}

/// Guards against a zone that does not receive a change because two of its watchers are killed and
/// the third is frozen when the change is published.
#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_a_zone_whose_watchers_fail() {
    let (mut fleet, informed) = fleet_with_roles().await;
    let is_watcher_in_first_zone =
        |i: &usize| i.is_multiple_of(ZONES.len()) && !informed.contains(i);
    let watchers: Vec<usize> = (0..NODES).filter(is_watcher_in_first_zone).collect();

    fleet.nodes[watchers[0]].kill();
    fleet.nodes[watchers[1]].kill();
    let frozen = std::sync::Arc::clone(&fleet.nodes[watchers[2]].node);
    fleet.nodes[watchers[2]].freeze(IN_FORCE_LIMIT);
    let resumed = Instant::now() + IN_FORCE_LIMIT;
    fleet.publish_services();
    let reachable = wait_until(IN_FORCE_LIMIT, || {
        let mut nodes = fleet.running();
        nodes.all(|n| n.revision().number() == 2 || n.peer_address() == frozen.peer_address())
    })
    .await;
    tokio::time::sleep_until(resumed).await;

    assert!(reachable, "{:?}", revisions(&fleet));
    assert!(
        all_reach_revision(&fleet, 2).await,
        "{:?}",
        revisions(&fleet)
    );
}

/// Guards against a change that does not reach zones that are cut off from the platform when the
/// platform fails after one instance has read it, and against a revision that decreases meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn change_propagates_from_the_only_zone_that_has_read_it() {
    let (mut fleet, _) = fleet_with_roles().await;
    block_zones(&fleet, &["a", "b"]);

    fleet.publish_services();
    let read = wait_until(IN_FORCE_LIMIT, || {
        fleet.running().any(|n| n.revision().number() == 2)
    })
    .await;
    fleet.platform.set_fault(Fault::Down);
    let mut highest = vec![0; NODES];
    let mut reverted = false;
    let propagated = wait_until(IN_FORCE_LIMIT, || {
        let now = revisions(&fleet);
        reverted |= now.iter().zip(&highest).any(|(now, before)| now < before);
        highest.clone_from(&now);
        now.iter().all(|revision| *revision == 2)
    })
    .await;

    assert!(read && propagated, "{:?}", revisions(&fleet));
    assert!(!reverted, "a revision decreased");
}

/// Guards against changes of the instance list that reach only the watchers, or only the zones
/// that can reach the platform.
#[tokio::test(flavor = "multi_thread")]
async fn list_change_propagates_like_a_catalogue_change() {
    let (fleet, _) = fleet_with_roles().await;
    block_zones(&fleet, &["a", "b"]);
    let instance = |i: usize| Instance {
        name: format!("node-{}", i + 1),
        zone: ZONES[i % ZONES.len()].to_owned(),
        callers: any_port(),
        peers: fleet.nodes[i].node.peer_address(),
        status: any_port(),
        state: "live",
    };
    let instances: Vec<Instance> = (0..NODES - 1).map(instance).collect();

    fleet
        .platform
        .publish_instances(&instance_list(100, &instances));
    let end = Instant::now() + IN_FORCE_LIMIT;
    let mut known = 0;
    while known < NODES && Instant::now() < end {
        known = 0;
        for node in fleet.running() {
            let list = fetch_page(node, "/status").await["list_revision"].clone();
            known += usize::from(list == 100);
        }
        sleep(Duration::from_millis(50)).await;
    }

    assert_eq!(known, NODES);
    assert!(sum_counter(&fleet, "documents_delta").await > 0);
}

/// Guards against an instance that waits for changes from peers when none of them is left.
#[tokio::test(flavor = "multi_thread")]
async fn last_instance_watches_the_platform_itself() {
    let (mut fleet, informed) = fleet_with_roles().await;

    for index in (0..NODES).filter(|i| *i != informed[0]) {
        fleet.nodes[index].kill();
    }
    fleet.publish_services();

    assert!(
        all_reach_revision(&fleet, 2).await,
        "{:?}",
        revisions(&fleet)
    );
}
