//! Catalogue changes and usage across a fleet, with the platform down, stale or cut off.

mod common;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tanager_core::RequestId;
use tanager_standins::caller::{Caller, Outcome};
use tanager_standins::fleet::Fleet;
use tanager_standins::platform::Fault;
use tanager_standins::settings::catalogue;
use tanagerproxy::Node;
use tanagerproxy::peer::{Network, PeerStream, TcpNetwork};
use tokio::time::{Instant, sleep};

use crate::common::{
    IN_FORCE_LIMIT, all_reach_revision, block_zones, fetch_page, fleet, revisions, wait_until,
};

/// Time within which every instance must know that an instance leaves.
const LEAVING_KNOWN_LIMIT: Duration = Duration::from_secs(3);
/// Age below which usage may be lost with a killed instance.
const LOSS_WINDOW: Duration = Duration::from_secs(2);
/// Longest wait for totals to agree. It only bounds the test; no goal is set.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a change that does not reach every instance in time.
#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_everywhere_in_time() {
    let mut fleet = fleet(8).await;

    fleet.publish_services();

    assert!(
        all_reach_revision(&fleet, 2).await,
        "{:?}",
        revisions(&fleet)
    );
}

/// Guards against a change that is lost when the platform fails after only one instance has read
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn change_spreads_when_the_service_fails_after_one_read() {
    let mut fleet = fleet(7).await;
    let network = Arc::new(TcpNetwork);
    fleet.add_node("d", network).await.expect("node");
    let reader = Arc::clone(&fleet.nodes[7].node);
    assert!(all_reach_revision(&fleet, 1).await);
    block_zones(&fleet, &["a", "b", "c"]);

    fleet.publish_services();
    let read = wait_until(IN_FORCE_LIMIT, || reader.revision().number() == 2).await;
    fleet.platform.set_fault(Fault::Down);

    assert!(read, "the reading instance did not get the change");
    assert!(
        all_reach_revision(&fleet, 2).await,
        "{:?}",
        revisions(&fleet)
    );
}

/// Guards against an instance that has no services, or outdated ones, after it starts while the
/// platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn node_started_in_an_outage_is_ready_with_the_newest_revision() {
    let mut fleet = fleet(4).await;
    fleet.publish_services();
    assert!(all_reach_revision(&fleet, 2).await);
    fleet.platform.set_fault(Fault::Down);

    let network = Arc::new(TcpNetwork);
    fleet.add_node("a", network).await.expect("node");
    let node = Arc::clone(&fleet.nodes[4].node);
    let ready = wait_until(IN_FORCE_LIMIT, || node.is_ready()).await;

    assert!(ready, "not ready; revision {}", node.revision());
    assert_eq!(node.revision().number(), 2);
}

/// A network that delays connections to peers, so that the platform answers before any of them.
struct SlowNetwork;

impl Network for SlowNetwork {
    fn connect(
        &self,
        address: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = io::Result<Box<dyn PeerStream>>> + Send>> {
        Box::pin(async move {
            sleep(Duration::from_millis(120)).await;
            TcpNetwork.connect(address).await
        })
    }
}

/// Guards against changes that are reverted when the platform is restored from old data, also in
/// an instance that starts afterwards, which must not be ready with the old data.
#[tokio::test(flavor = "multi_thread")]
async fn stale_platform_reverts_nobody() {
    let mut fleet = fleet(4).await;
    fleet.publish_services();
    assert!(all_reach_revision(&fleet, 2).await);
    let old = catalogue(1, &fleet.services);
    fleet.platform.publish_catalogue(&old);
    fleet.platform.set_fault(Fault::Stale);

    fleet
        .add_node("a", Arc::new(SlowNetwork))
        .await
        .expect("node");
    let added = Arc::clone(&fleet.nodes[4].node);
    let mut lowest = u64::MAX;
    let reverted = wait_until(Duration::from_secs(5), || {
        lowest = lowest.min(
            fleet
                .running()
                .take(4)
                .map(|n| n.revision().number())
                .min()
                .unwrap_or(0),
        );
        lowest < 2 || (added.is_ready() && added.revision().number() < 2)
    })
    .await;

    assert!(!reverted, "{:?}", revisions(&fleet));
    assert!(added.is_ready());
}

/// Guards against edits that are ignored after the platform was restored from a copy, since their
/// numbers were used before, and against going back to the restored text meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn edits_after_a_restore_are_in_force_everywhere() {
    let mut fleet = fleet(4).await;
    let copy = fleet.platform.copy();
    fleet.publish_services();
    fleet.publish_services();
    assert!(all_reach_revision(&fleet, 3).await);

    fleet.platform.restore(copy);
    let network = Arc::new(TcpNetwork);
    fleet.add_node("a", network).await.expect("node");
    let added = Arc::clone(&fleet.nodes[4].node);
    let reverted = wait_until(Duration::from_secs(2), || {
        let mut running = fleet.running();
        added.is_ready() && running.any(|n| n.revision().number() < 3)
    })
    .await;
    let edit = format!("epoch: 1\n{}", catalogue(2, &fleet.services));
    fleet.platform.publish_catalogue(&edit);
    let in_force = wait_until(IN_FORCE_LIMIT, || {
        fleet.running().all(|n| n.revision().epoch() == 1)
    })
    .await;

    assert!(!reverted, "{:?}", revisions(&fleet));
    assert!(in_force, "{:?}", revisions(&fleet));
}

/// Guards against an invalid catalogue that removes services or blocks the next catalogue.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_catalogue_changes_nothing() {
    let mut fleet = fleet(4).await;
    let faulty = catalogue(2, &fleet.services).replace("owner: abay", "owner: nobody");
    let node = Arc::clone(&fleet.nodes[0].node);

    fleet.platform.publish_catalogue(&faulty);
    let changed = wait_until(Duration::from_secs(3), || {
        fleet.running().any(|n| n.revision().number() != 1)
    })
    .await;
    let status = fetch_page(&node, "/status").await;
    fleet.revision = 2;
    fleet.publish_services();

    assert!(!changed, "{:?}", revisions(&fleet));
    let problem = status["catalogue_problems"][0].as_str().unwrap_or("");
    assert!(
        problem.contains("TP112") && problem.contains("line"),
        "{problem}"
    );
    assert!(
        all_reach_revision(&fleet, 3).await,
        "{:?}",
        revisions(&fleet)
    );
}

/// Guards against two concurrent edits that are both accepted, which leaves one editor with a
/// change that is not in force.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_edits_wins_everywhere() {
    let fleet = fleet(4).await;
    let client = reqwest::Client::new();
    let url = format!(
        "http://{}/v1/catalogue?expected=1",
        fleet.platform.address()
    );
    let edits = [50_001, 50_002].map(|requests| {
        let text = catalogue(2, &fleet.services);
        text.replace("requests: 50000/s", &format!("requests: {requests}/s"))
    });

    let [first, second] = edits.map(|text| client.put(&url).body(text).send());
    let (first, second) = tokio::join!(first, second);
    let accepted = [first, second].map(|r| r.expect("reply").status().is_success());
    let propagated = all_reach_revision(&fleet, 2).await;

    assert_eq!(accepted.iter().filter(|a| **a).count(), 1, "{accepted:?}");
    assert!(propagated, "{:?}", revisions(&fleet));
    let mut digests = BTreeSet::new();
    for node in fleet.running() {
        digests.insert(fetch_page(node, "/status").await["digest"].to_string());
    }
    assert_eq!(digests.len(), 1, "{digests:?}");
}

/// Guards against availability zones that miss changes while they cannot reach the platform, and
/// after they can again.
#[tokio::test(flavor = "multi_thread")]
async fn cut_zones_follow_through_peers_and_heal() {
    let mut fleet = fleet(6).await;
    block_zones(&fleet, &["b", "c"]);

    fleet.publish_services();
    let during = all_reach_revision(&fleet, 2).await;
    block_zones(&fleet, &[]);
    fleet.publish_services();
    let after = all_reach_revision(&fleet, 3).await;

    assert!(during && after, "{:?}", revisions(&fleet));
}

/// Guards against work that is sent to an instance that is stopping but still listed as live.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_is_known_everywhere_before_it_is_listed() {
    let fleet = fleet(8).await;

    let left = fleet.nodes[3].leave().expect("running");
    let mut known = BTreeSet::new();
    let end = Instant::now() + LEAVING_KNOWN_LIMIT;
    while known.len() < 7 && Instant::now() < end {
        for node in fleet.running() {
            if fetch_page(node, "/status").await["instances_leaving"] == 1 {
                known.insert(node.peer_address());
            }
        }
        sleep(Duration::from_millis(50)).await;
    }

    assert_eq!(known.len(), 7, "{known:?}");
    left.await.expect("stopped");
}

async fn fetch_and_count(fleet: &Fleet, service: u32, count: usize) -> u64 {
    let caller = Caller::start(fleet.fabric.address(), service)
        .await
        .expect("caller");
    for _ in 0..count {
        let budget = Duration::from_secs(5);
        let outcome = caller
            .fetch(RequestId::random(), Bytes::from_static(b"x"), budget)
            .await;
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
    let of_service = |t: &&(usize, _)| t.0 + 1 == service as usize;
    let targets = fleet.targets.iter().filter(of_service);
    targets.map(|(_, t)| t.record().requests).sum()
}

async fn fleet_requests(node: &Node, owner: &str) -> u64 {
    let usage = fetch_page(node, "/usage").await;
    usage["fleet"]["owners"][owner]["requests"]
        .as_u64()
        .unwrap_or(0)
}

/// Guards against usage that is lost with the instance that counted it, and against instances
/// that report different totals for the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn killed_instance_loses_little_usage_and_totals_agree() {
    let mut fleet = fleet(6).await;
    let abay = fetch_and_count(&fleet, 1, 60).await;
    let kuiseb = fetch_and_count(&fleet, 2, 40).await;
    sleep(LOSS_WINDOW).await;

    fleet.nodes[1].kill();
    let end = Instant::now() + AGREEMENT_TIMEOUT;
    let mut totals = BTreeSet::new();
    while Instant::now() < end && totals != BTreeSet::from([(abay, kuiseb)]) {
        totals.clear();
        for node in fleet.running() {
            let total = (
                fleet_requests(node, "abay").await,
                fleet_requests(node, "kuiseb").await,
            );
            totals.insert(total);
        }
        sleep(Duration::from_millis(100)).await;
    }

    assert_eq!(totals, BTreeSet::from([(abay, kuiseb)]));
    let usage = fetch_page(fleet.running().next().expect("node"), "/usage").await;
    assert!(usage["fleet"]["oldest_ms"].is_u64(), "{usage}");
}

/// Guards against status pages that answer an invalid request with anything but an error code.
#[tokio::test(flavor = "multi_thread")]
async fn status_pages_answer_with_expected_status_codes() {
    let fleet = fleet(1).await;
    fetch_and_count(&fleet, 1, 1).await;
    let address = fleet.nodes[0].node.status_address();
    let unknown = RequestId::random();

    for (path, expected) in [
        ("/ready", 200),
        ("/status", 200),
        ("/usage", 200),
        ("/metrics", 200),
        ("/explain?last=10", 200),
        ("/explain", 400),
        ("/explain?flow=12", 400),
        ("/explain?last=0", 400),
        ("/usage?owner=abay", 400),
        (&format!("/explain?request={unknown}"), 404),
        ("/elsewhere", 404),
    ] {
        let url = format!("http://{address}{path}");
        let reply = reqwest::get(url).await.expect("reply");
        assert_eq!(reply.status().as_u16(), expected, "{path}");
    }
}
