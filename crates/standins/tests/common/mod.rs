//! Fixtures shared by the tests of changes in a fleet.

use std::time::Duration;

use serde_json::Value;
use tanager_standins::fleet::{Fleet, FleetConfig, service};
use tanagerproxy::Node;
use tokio::time::{Instant, sleep};

/// Goal for an accepted change to be in force everywhere.
pub const IN_FORCE: Duration = Duration::from_secs(6);

pub async fn fleet(nodes: usize) -> Fleet {
    let plan = FleetConfig {
        nodes,
        services: vec![
            (service("buzz", 1, "abay"), 2),
            (service("print", 2, "kuiseb"), 2),
        ],
        seed: 3,
    };
    Fleet::start(plan).await.expect("fleet")
}

/// Waits until `done` holds and returns whether it did within `limit`.
pub async fn within(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !done() {
        if Instant::now() > end {
            return false;
        }
        sleep(Duration::from_millis(20)).await;
    }
    true
}

pub async fn all_have(fleet: &Fleet, revision: u64) -> bool {
    within(IN_FORCE, || {
        fleet.running().all(|n| n.revision().get() >= revision)
    })
    .await
}

pub fn revisions(fleet: &Fleet) -> Vec<u64> {
    fleet.running().map(|n| n.revision().get()).collect()
}

pub async fn page(node: &Node, path: &str) -> Value {
    let url = format!("http://{}{path}", node.status_address());
    let reply = reqwest::get(url).await.expect("reply");
    reply.json().await.expect("json")
}

pub fn cut(fleet: &Fleet, zones: &[&str]) {
    let zones = zones.iter().map(|z| (*z).to_owned());
    fleet.platform.block_zones(zones);
}
