//! The complete path from caller over fabric and balancers to targets and back, in one process.

use std::time::Duration;

use bytes::Bytes;
use tanager_core::RequestId;
use tanager_standins::caller::{Caller, Outcome};
use tanager_standins::fleet::{Fleet, FleetConfig, service};
use tanager_standins::target::answer;
use tokio::time::Instant;

fn config() -> FleetConfig {
    let services = vec![
        (service("buzz", 1, "abay"), 3),
        (service("print", 2, "abay"), 2),
    ];
    FleetConfig {
        nodes: 3,
        services,
        seed: 1,
    }
}

/// Guards against requests or feeds that fail anywhere between caller and target.
#[tokio::test(flavor = "multi_thread")]
async fn requests_and_feeds_are_served() {
    let fleet = Fleet::start(config()).await.expect("fleet");
    let caller = Caller::start(fleet.fabric.address(), 1)
        .await
        .expect("caller");
    let session = caller.session().await.expect("session");
    let (once, again) = (RequestId::random(), RequestId::random());
    let budget = Duration::from_secs(5);

    let feed = caller.hold_feed(Instant::now() + Duration::from_secs(3));
    let executed = caller
        .execute(&session, once, Bytes::from_static(b"lock"), budget)
        .await;
    let fetched = caller
        .fetch(again, Bytes::from_static(b"sheet"), budget)
        .await;
    let report = feed.await;

    assert_eq!(executed, Outcome::Answered(answer(once.as_bytes(), 64)));
    assert_eq!(fetched, Outcome::Answered(answer(again.as_bytes(), 64)));
    assert!(report.opened && report.updates > 2, "{report:?}");
    assert_eq!(report.broken, 0);
}
