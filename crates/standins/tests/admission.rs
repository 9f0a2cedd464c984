//! Limits, floods and misbehaving targets in a fleet. Each test compares figures of its own run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tanager_core::RequestId;
use tanager_standins::caller::{Caller, Outcome};
use tanager_standins::fleet::{Fleet, FleetConfig, any_port, service};
use tanager_standins::settings::{TargetEntry, catalogue};
use tanager_standins::target::{Options, Target};
use tanagerproxy::peer::TcpNetwork;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time for instances to discover each other before limits are measured.
const SETTLE_TIME: Duration = Duration::from_secs(1);
const SEND_INTERVAL: Duration = Duration::from_millis(20);

async fn fleet(
    services: Vec<(tanager_standins::settings::Service, usize)>,
    adapt: impl Fn(Options) -> Options,
) -> Fleet {
    let config = FleetConfig {
        nodes: 3,
        services,
        seed: 1,
    };
    let fleet = Fleet::start_with(config, Arc::new(TcpNetwork), adapt).await;
    let fleet = fleet.expect("fleet");
    tokio::time::sleep(SETTLE_TIME).await;
    fleet
}

/// Publishes the catalogue with a limit for every owner, and waits until it is in force.
async fn limit_owners(fleet: &mut Fleet, per_second: u32) {
    fleet.revision += 1;
    let text = catalogue(fleet.revision, &fleet.services);
    let limit = format!("requests: {per_second}/s, flows: 100000");
    let text = text.replace("requests: 100000/s, flows: 100000", &limit);
    fleet.platform.publish_catalogue(&text);
    wait_revision(fleet).await;
}

async fn wait_revision(fleet: &Fleet) {
    for _ in 0..500 {
        if fleet
            .running()
            .all(|n| n.revision().number() >= fleet.revision)
        {
            return;
        }
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    panic!("revision {} is not in force", fleet.revision);
}

/// Result of requests that were sent at a steady rate.
#[derive(Debug, Default)]
struct Report {
    sent: usize,
    answered: usize,
    /// Response times of the answered requests in ascending order.
    times: Vec<Duration>,
}

impl Report {
    fn goodput(&self) -> f64 {
        ratio(self.answered as u64, self.sent as u64)
    }

    fn p99(&self) -> Duration {
        self.times[(self.times.len() - 1) * 99 / 100]
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    let to_f64 = |n| f64::from(u32::try_from(n).expect("small"));
    to_f64(part) / to_f64(whole)
}

/// Sends requests at a steady rate without waiting for answers, then waits for all answers.
async fn load(fleet: &Fleet, service: u32, per_tick: usize, time: Duration) -> Report {
    let caller = Caller::start(fleet.fabric.address(), service).await;
    let caller = caller.expect("caller");
    let mut tasks = JoinSet::new();
    let mut ticks = tokio::time::interval(SEND_INTERVAL);
    let mut report = Report::default();
    for _ in 0..time.as_millis() / SEND_INTERVAL.as_millis() {
        ticks.tick().await;
        for _ in 0..per_tick {
            let caller = caller.clone();
            report.sent += 1;
            tasks.spawn(async move {
                let start = Instant::now();
                let budget = Duration::from_secs(1);
                let outcome = caller
                    .fetch(RequestId::random(), Bytes::new(), budget)
                    .await;
                matches!(outcome, Outcome::Answered(_)).then(|| start.elapsed())
            });
        }
    }
    while let Some(ended) = tasks.join_next().await {
        report.times.extend(ended.expect("no panic"));
    }
    report.answered = report.times.len();
    report.times.sort_unstable();
    report
}

/// Guards against a flood of an owner's most or least urgent class of work that uses up the rate,
/// the queue or the concurrency of the owner's other class.
#[tokio::test(flavor = "multi_thread")]
async fn a_flood_leaves_the_other_service_its_goodput() {
    for (flooded_class, other_class) in [("urgent", "background"), ("background", "urgent")] {
        let (mut flooded, mut other) = (service("buzz", 1, "abay"), service("print", 2, "abay"));
        (flooded.class, flooded.minimum) = (flooded_class, 0);
        (other.class, other.minimum) = (other_class, 300);
        let slow = |options| Options {
            service_time: Duration::from_millis(100),
            ..options
        };
        let mut fleet = fleet(vec![(flooded, 1), (other, 6)], slow).await;
        limit_owners(&mut fleet, 330).await;
        let before = load(&fleet, 2, 1, Duration::from_secs(4)).await;
        // Two slots of 100 ms are 20 requests a second; the flood is 400.
        let flood = load(&fleet, 1, 8, Duration::from_secs(5));
        let other = load(&fleet, 2, 1, Duration::from_secs(4));
        let (flood, during) = tokio::join!(flood, other);
        let kept = during.goodput() / before.goodput();
        assert!(
            flood.answered < flood.sent / 2,
            "the load is too low for a flood"
        );
        assert!(before.goodput() > 0.9, "{}", before.goodput());
        assert!(kept >= 0.95, "goodput kept: {kept:.3}");
        let (was, is) = (before.p99(), during.p99());
        assert!(is <= was * 2, "p99 {was:?} before, {is:?} during the flood");
    }
}

/// Guards against requests that starve open and new feeds of the same service by using up the
/// links, the queues or the owner's rate.
#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_requests_leaves_feeds_alive() {
    let slow = |options| Options {
        service_time: Duration::from_millis(100),
        ..options
    };
    let mut buzz = service("buzz", 1, "abay");
    buzz.minimum = 0;
    let mut fleet = fleet(vec![(buzz, 2)], slow).await;
    limit_owners(&mut fleet, 60).await;
    let caller = Caller::start(fleet.fabric.address(), 1).await;
    let caller = caller.expect("caller");
    let mut feeds = JoinSet::new();
    let end = Instant::now() + Duration::from_secs(8);
    for i in 0..30 {
        let caller = caller.clone();
        feeds.spawn(async move {
            let wait = Duration::from_millis(150 * i);
            tokio::time::sleep(wait).await;
            (8 - wait.as_secs(), caller.hold_feed(end).await)
        });
    }
    // Four slots of 100 ms are 40 requests a second; the flood is 400.
    let flood = load(&fleet, 1, 8, Duration::from_secs(6)).await;
    while let Some(report) = feeds.join_next().await {
        let (seconds, report) = report.expect("no panic");
        assert!(report.opened && report.broken == 0, "{report:?}");
        // Two updates a second; a feed that opened late has fewer.
        assert!(report.updates >= seconds, "{seconds} s: {report:?}");
    }
    assert!(
        flood.answered < flood.sent / 2,
        "the load is too low for a flood"
    );
}

/// Guards against a target that receives too much work because it reports no load.
#[tokio::test(flavor = "multi_thread")]
async fn a_lying_target_gets_no_more_than_the_others() {
    let misreporting = |options: Options| Options {
        misleading: options.number == 1,
        service_time: Duration::from_millis(20),
        ..options
    };
    let mut fleet = fleet(vec![(service("buzz", 1, "abay"), 6)], misreporting).await;
    // With all targets in one zone, every instance uses all of them and depends on their load
    // reports.
    for target in &mut fleet.services[0].targets {
        "a".clone_into(&mut target.zone);
    }
    fleet.publish_services();
    wait_revision(&fleet).await;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.wait_connected().await;
    let report = load(&fleet, 1, 6, Duration::from_secs(7)).await;
    let records: Vec<_> = fleet.targets.iter().map(|(_, t)| t.record()).collect();
    let slot_time: Vec<u64> = records.iter().map(|r| r.slot_ms).collect();
    let busiest = slot_time[0] * 6;
    let over = ratio(busiest, slot_time.iter().sum());
    assert!(report.goodput() > 0.9, "{}", report.goodput());
    assert!(over <= 1.1, "{over:.3} times the mean: {slot_time:?}");
}

/// Guards against a cold target that immediately gets a full share of the work.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_target_starts_slowly() {
    let mut fleet = fleet(vec![(service("buzz", 1, "abay"), 6)], |o| o).await;
    // A target counts as new once the instances have run for some seconds.
    load(&fleet, 1, 4, Duration::from_secs(6)).await;
    let cold = Options {
        cold_start: Duration::from_secs(30),
        ..Options::new(any_port(), 1, 7)
    };
    let target = Target::start(cold).await.expect("target");
    fleet.services[0].targets.push(TargetEntry {
        number: 7,
        address: target.address(),
        zone: "a".to_owned(),
        incarnation: 1,
        state: "active",
    });
    fleet.targets.push((0, target));
    fleet.publish_services();
    wait_revision(&fleet).await;
    fleet.wait_connected().await;
    let before: Vec<u64> = requests(&fleet);
    load(&fleet, 1, 8, Duration::from_secs(3)).await;
    let after = requests(&fleet);
    let received: Vec<u64> = after.iter().zip(&before).map(|(a, b)| a - b).collect();
    let share = ratio(received[6] * 7, received.iter().sum());
    assert!(
        received[6] > 0 && share < 0.5,
        "{share:.2} of a mean share: {received:?}"
    );
}

/// Guards against new work at targets that leave, either according to the catalogue or because
/// they announce it.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_targets_get_no_new_work() {
    // Two targets in each zone, so that a leaving target has a share of the work that it could keep.
    let mut fleet = fleet(vec![(service("buzz", 1, "abay"), 6)], |o| o).await;
    fleet.targets[0].1.drain();
    fleet.targets[1].1.expect_no_new_work();
    fleet.services[0].targets[1].state = "leaving";
    fleet.publish_services();
    let caller = Caller::start(fleet.fabric.address(), 1).await;
    let caller = caller.expect("caller");
    let mut feeds = JoinSet::new();
    for i in 0..30 {
        let caller = caller.clone();
        feeds.spawn(async move {
            tokio::time::sleep(Duration::from_millis(200 * i)).await;
            let end = Instant::now() + Duration::from_millis(100);
            caller.hold_feed(end).await.opened
        });
    }
    let report = load(&fleet, 1, 2, Duration::from_secs(6)).await;
    while let Some(opened) = feeds.join_next().await {
        assert!(opened.expect("no panic"));
    }
    let late = |i: usize| fleet.targets[i].1.record().new_work_after_leave;
    assert_eq!((late(0), late(1)), (0, 0));
    assert!(report.goodput() > 0.9, "{}", report.goodput());
}

fn requests(fleet: &Fleet) -> Vec<u64> {
    let records = fleet.targets.iter().map(|(_, t)| t.record());
    records.map(|r| r.requests).collect()
}

/// Guards against instances that each grant an owner its complete limit.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_limit_holds_over_the_fleet() {
    let services = vec![
        (service("buzz", 1, "abay"), 3),
        (service("print", 2, "abay"), 3),
    ];
    let mut fleet = fleet(services, |options| options).await;
    for service in &mut fleet.services {
        service.minimum = 0;
    }
    limit_owners(&mut fleet, 90).await;
    let start = Instant::now();
    let time = Duration::from_secs(5);
    let (first, second) = tokio::join!(load(&fleet, 1, 4, time), load(&fleet, 2, 4, time));
    let elapsed = start.elapsed().as_secs_f64();
    let ran = requests(&fleet).iter().sum();
    let limit = 90.0 * (elapsed + 0.1) + 3.0;
    assert!(
        ratio(ran, 1) <= limit,
        "{ran} ran in {elapsed:.1} s, limit {limit:.0}"
    );
    assert!(
        first.answered + second.answered >= 225,
        "half of the limit must be usable"
    );
}
