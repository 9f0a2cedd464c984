//! Fixtures for tests of catalogue and list changes in a fleet.

use std::time::Duration;

use serde_json::Value;
use tanager_standins::fleet::{Fleet, FleetConfig, service};
use tanagerproxy::Node;
use tokio::time::{Instant, sleep};

/// Time within which an accepted change must be in force in every instance.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);

pub async fn fleet(nodes: usize) -> Fleet {
    let config = FleetConfig {
        nodes,
        services: vec![
            (service("buzz", 1, "abay"), 2),
            (service("print", 2, "kuiseb"), 2),
        ],
        seed: 3,
    };
    Fleet::start(config).await.expect("fleet")
}

/// Waits until `done` returns true, for at most `limit`. Returns whether it did.
pub async fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !done() {
        if Instant::now() > end {
            return false;
        }
        sleep(Duration::from_millis(20)).await;
    }
    true
}

pub async fn all_reach_revision(fleet: &Fleet, revision: u64) -> bool {
    wait_until(IN_FORCE_LIMIT, || {
        fleet.running().all(|n| n.revision().number() >= revision)
    })
    .await
}

pub fn revisions(fleet: &Fleet) -> Vec<u64> {
    fleet.running().map(|n| n.revision().number()).collect()
}

pub async fn fetch_page(node: &Node, path: &str) -> Value {
    let url = format!("http://{}{path}", node.status_address());
    let reply = reqwest::get(url).await.expect("reply");
    reply.json().await.expect("json")
}

pub fn block_zones(fleet: &Fleet, zones: &[&str]) {
    let zones = zones.iter().map(|z| (*z).to_owned());
    fleet.platform.block_zones(zones);
}
