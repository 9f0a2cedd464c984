//! How changes spread in a fleet where only some instances watch the platform.

mod common;

use std::time::Duration;

use tanager_standins::fleet::{Fleet, ZONES, any_port};
use tanager_standins::platform::Fault;
use tanager_standins::settings::{Instance, instance_list};
use tokio::time::{Instant, sleep};

use crate::common::{IN_FORCE, all_have, cut, fleet, page, revisions, within};

/// Instances of the fleet: four in each zone, so that one of each zone does not watch.
const NODES: usize = 12;
/// Longest wait for roles; it bounds the test, not a goal.
const SETTLED: Duration = Duration::from_secs(30);

/// Starts a fleet and returns it with the indices of the instances that do not watch.
async fn settled_fleet() -> (Fleet, Vec<usize>) {
    let fleet = fleet(NODES).await;
    let end = Instant::now() + SETTLED;
    while Instant::now() < end {
        let mut informed = Vec::new();
        let mut watchers = 0;
        for (index, node) in fleet.nodes.iter().enumerate() {
            let role = page(&node.node, "/status").await["watching"].clone();
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
    panic!("roles are not assigned");
}

/// Returns the sum of a counter over the fleet.
async fn total(fleet: &Fleet, counter: &str) -> u64 {
    let mut sum = 0;
    for node in fleet.running() {
        sum += page(node, "/status").await["counters"][counter]
            .as_u64()
            .expect("counter");
    }
    sum
}

/// Guards against every instance reading every change from the platform as a whole.
#[tokio::test(flavor = "multi_thread")]
async fn instances_that_do_not_watch_follow_by_deltas() {
    let (mut fleet, _) = settled_fleet().await;
    let reads = total(&fleet, "platform_documents").await;
    let deltas = total(&fleet, "documents_delta").await;
    let (calls, start) = (fleet.platform.calls(), Instant::now());

    for revision in 2..=6 {
        fleet.publish_services();
        assert!(all_have(&fleet, revision).await, "{:?}", revisions(&fleet));
    }

    let calls = fleet.platform.calls() - calls;
    let reads = total(&fleet, "platform_documents").await - reads;
    let deltas = total(&fleet, "documents_delta").await - deltas;
    let time = start.elapsed();
    println!("5 changes in {time:?}: {calls} calls, {reads} whole reads, {deltas} deltas");
    assert!(reads < 5 * NODES as u64, "{reads} whole reads");
    assert!(deltas > 0, "no delta was used");
}

/// Guards against a zone that waits for its watchers when two are killed and the third is frozen
/// at the moment of the change.
#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_a_zone_whose_watchers_fail() {
    let (mut fleet, informed) = settled_fleet().await;
    let others = |i: &usize| i.is_multiple_of(ZONES.len()) && !informed.contains(i);
    let watchers: Vec<usize> = (0..NODES).filter(others).collect();

    fleet.nodes[watchers[0]].kill();
    fleet.nodes[watchers[1]].kill();
    let frozen = std::sync::Arc::clone(&fleet.nodes[watchers[2]].node);
    fleet.nodes[watchers[2]].freeze(IN_FORCE);
    let resumed = Instant::now() + IN_FORCE;
    fleet.publish_services();
    let reachable = within(IN_FORCE, || {
        let mut nodes = fleet.running();
        nodes.all(|n| n.revision().get() == 2 || n.peer_address() == frozen.peer_address())
    })
    .await;
    tokio::time::sleep_until(resumed).await;

    assert!(reachable, "{:?}", revisions(&fleet));
    assert!(all_have(&fleet, 2).await, "{:?}", revisions(&fleet));
}

/// Guards against a change lost in zones that are cut from the platform, when the platform fails
/// after one instance has read the change, and against a revision that goes back meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn change_leaves_the_only_zone_that_has_read_it() {
    let (mut fleet, _) = settled_fleet().await;
    cut(&fleet, &["a", "b"]);

    fleet.publish_services();
    let read = within(IN_FORCE, || {
        fleet.running().any(|n| n.revision().get() == 2)
    })
    .await;
    fleet.platform.set_fault(Fault::Down);
    let mut highest = vec![0; NODES];
    let mut reverted = false;
    let spread = within(IN_FORCE, || {
        let now = revisions(&fleet);
        reverted |= now.iter().zip(&highest).any(|(now, before)| now < before);
        highest.clone_from(&now);
        now.iter().all(|revision| *revision == 2)
    })
    .await;

    assert!(read && spread, "{:?}", revisions(&fleet));
    assert!(!reverted, "a revision went back");
}

/// Guards against list changes that reach only the watchers, or only zones with the platform.
#[tokio::test(flavor = "multi_thread")]
async fn list_change_spreads_like_a_catalogue_change() {
    let (fleet, _) = settled_fleet().await;
    cut(&fleet, &["a", "b"]);
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
    let end = Instant::now() + IN_FORCE;
    let mut known = 0;
    while known < NODES && Instant::now() < end {
        known = 0;
        for node in fleet.running() {
            let list = page(node, "/status").await["list_revision"].clone();
            known += usize::from(list == 100);
        }
        sleep(Duration::from_millis(50)).await;
    }

    assert_eq!(known, NODES);
    assert!(total(&fleet, "documents_delta").await > 0);
}

/// Guards against an instance without peers that waits for them to tell it of changes.
#[tokio::test(flavor = "multi_thread")]
async fn last_instance_watches_for_itself() {
    let (mut fleet, informed) = settled_fleet().await;

    for index in (0..NODES).filter(|i| *i != informed[0]) {
        fleet.nodes[index].kill();
    }
    fleet.publish_services();

    assert!(all_have(&fleet, 2).await, "{:?}", revisions(&fleet));
}
