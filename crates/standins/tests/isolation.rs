//! Packets stay within their service and reach only the process for which they are intended, and
//! flows that cannot continue are reset.

mod support;

use std::time::Duration;

use support::{RawCaller, buzz, fleet, hold_feeds, sum_reports, wait_until};
use tanager_core::{FlowId, ResultCode};
use tanager_standins::fleet::{Fleet, any_port, service};
use tanager_standins::settings::TargetEntry;
use tanager_standins::target::{Options, Target};
use tanager_wire::{DatagramBody, Opened};
use tokio::time::sleep;

/// Time to wait before concluding that no packet was delivered wrongly.
const NO_DELIVERY_TIME: Duration = Duration::from_secs(1);

/// Guards against tokens that are accepted for another service or another flow.
#[tokio::test(flavor = "multi_thread")]
async fn tokens_are_worthless_for_other_services_and_flows() {
    let services = [
        (1, "buzz", "abay"),
        (2, "print", "abay"),
        (3, "bin-ledger", "kuiseb"),
    ];
    let services_and_targets =
        services.map(|(number, name, owner)| (service(name, number, owner), 2));
    let fleet = fleet(2, services_and_targets.to_vec(), 31).await;
    let caller = RawCaller::start(&fleet).await;
    let refused = || -> u64 {
        let nodes = fleet.running();
        nodes.map(|n| n.counters().tokens_refused.get()).sum()
    };

    let mut expected = 0;
    for (own, ..) in services {
        let flow = FlowId::random();
        let opened = caller.open(own, flow).await;
        for (other, ..) in services.into_iter().filter(|(s, ..)| *s != own) {
            caller.keepalive(other, flow, &opened.token, 0).await;
            caller.keepalive(other, flow, &opened.token, 9).await;
            caller.close(other, flow, &opened.token).await;
            expected += 3;
        }
        caller
            .keepalive(own, FlowId::random(), &opened.token, 0)
            .await;
        expected += 1;
    }
    let all = wait_until(Duration::from_secs(5), || refused() == expected).await;

    assert!(all, "{} of {expected} were refused", refused());
    // All three flows are still open, so no close reached a target.
    let open: usize = fleet.targets.iter().map(|(_, t)| t.open_feeds()).sum();
    assert_eq!(open, 3);
    let wrong: u64 = fleet
        .targets
        .iter()
        .map(|(_, t)| t.record().wrong_service)
        .sum();
    assert_eq!(wrong, 0);
}

/// Guards against packets for a target that are sent to another process at its address, before and
/// after the catalogue lists that process for another service under the same number.
#[tokio::test(flavor = "multi_thread")]
async fn a_reused_address_gets_no_packets_of_the_former_target() {
    let services_and_targets = vec![
        (service("buzz", 1, "abay"), 3),
        (service("print", 2, "abay"), 1),
    ];
    let mut fleet = fleet(3, services_and_targets, 32).await;
    let feeds = hold_feeds(&fleet, 1, 18, Duration::from_secs(11)).await;
    sleep(Duration::from_secs(2)).await;

    let (_, former) = fleet.targets.remove(0);
    let (address, feeds_before) = (former.address(), former.open_feeds());
    let _ = former.kill();
    let reused = start_at(Options::new(address, 2, 1)).await;
    let mismatched = wait_until(Duration::from_secs(5), || {
        fleet.running().all(|n| n.connected_targets() == 3)
    })
    .await;
    sleep(Duration::from_secs(2)).await;
    let unlisted = reused.record();
    let entry = fleet.services[0].targets.remove(0);
    fleet.services[1].targets.push(entry);
    fleet.publish_services();
    let listed = wait_until(Duration::from_secs(6), || {
        fleet.running().all(|n| n.connected_targets() == 4)
    })
    .await;
    let report = sum_reports(feeds).await;

    assert!(feeds_before > 0 && mismatched && listed);
    assert_eq!((report.opened, report.broken), (18, 0), "{report:?}");
    assert_eq!((unlisted.wrong_service, unlisted.flows_opened), (0, 0));
    let record = reused.record();
    assert_eq!((record.wrong_service, record.flows_opened), (0, 0));
}

/// Guards against a restarted target that receives packets for its former incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn another_incarnation_gets_no_packets_of_the_former_one() {
    let mut fleet = fleet(3, buzz(3), 33).await;
    let feeds = hold_feeds(&fleet, 1, 12, Duration::from_secs(8)).await;
    sleep(Duration::from_secs(2)).await;

    let (_, former) = fleet.targets.remove(0);
    let address = former.address();
    let _ = former.kill();
    let mut options = Options::new(address, 1, 1);
    options.incarnation = 2;
    let restarted = start_at(options).await;
    sleep(Duration::from_secs(2)).await;
    let unlisted = restarted.record();
    fleet.services[0].targets[0].incarnation = 2;
    fleet.publish_services();
    let report = sum_reports(feeds).await;

    assert_eq!((report.opened, report.broken), (12, 0), "{report:?}");
    assert_eq!((unlisted.wrong_service, unlisted.flows_opened), (0, 0));
    assert_eq!(restarted.record().wrong_service, 0);
}

/// Guards against packets for a former target that reach the one that the catalogue now lists
/// under the same number and address, for another service or with another incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn a_relisted_target_gets_no_packets_of_the_former_one() {
    for (number, incarnation) in [(2, 1), (1, 2)] {
        let services_and_targets = vec![
            (service("buzz", 1, "abay"), 2),
            (service("print", 2, "abay"), 1),
        ];
        let mut fleet = fleet(1, services_and_targets, 37).await;
        let caller = RawCaller::start(&fleet).await;
        let (flow, opened) = open_at_first_target(&fleet, &caller).await;

        let (_, former) = fleet.targets.remove(0);
        let mut options = Options::new(former.address(), number, 1);
        options.incarnation = incarnation;
        let _ = former.kill();
        let current = start_at(options).await;
        let mut entry = fleet.services[0].targets.remove(0);
        entry.incarnation = incarnation;
        fleet.services[number as usize - 1].targets.push(entry);
        fleet.publish_services();
        sleep(NO_DELIVERY_TIME).await;
        let node = &fleet.nodes[0].node;
        let connected = wait_until(Duration::from_secs(6), || node.connected_targets() == 3).await;
        caller.keepalive(1, flow, &opened.token, 0).await;
        caller.close(1, flow, &opened.token).await;
        sleep(NO_DELIVERY_TIME).await;

        assert!(connected);
        let record = current.record();
        assert_eq!((record.wrong_service, record.unknown_flows), (0, 0));
    }
}

/// Opens flows of service 1 until one is at the first target.
async fn open_at_first_target(fleet: &Fleet, caller: &RawCaller) -> (FlowId, Opened) {
    for _ in 0..100 {
        let flow = FlowId::random();
        let opened = caller.open(1, flow).await;
        if fleet.targets[0].1.open_feeds() > 0 {
            return (flow, opened);
        }
    }
    panic!("no flow is placed on the first target");
}

/// Guards against callers that wait for their time-out although no target is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_flow_without_a_target_is_reset() {
    let mut fleet = fleet(2, buzz(1), 34).await;
    let caller = RawCaller::start(&fleet).await;
    let flow = FlowId::random();
    let opened = caller.open(1, flow).await;

    let (_, target) = fleet.targets.remove(0);
    let _ = target.kill();
    let down = wait_until(Duration::from_secs(5), || {
        fleet.running().all(|n| n.connected_targets() == 0)
    })
    .await;
    caller.keepalive(1, flow, &opened.token, 8).await;
    let reset = caller
        .receive(Duration::from_secs(5), |b| reset_of(&b))
        .await;

    assert!(down);
    let (code, binding) = reset.expect("a reset");
    assert_eq!(
        (code, binding),
        (ResultCode::FlowNoTarget, Some(opened.binding))
    );
}

/// Guards against a flow that is never reset although its target answers only others, and against
/// a flow that stays open at the target after the reset.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_flow_on_a_live_target_is_reset() {
    let fleet = fleet(1, buzz(1), 35).await;
    let caller = RawCaller::start(&fleet).await;
    let flow = FlowId::random();
    let opened = caller.open(1, flow).await;

    caller.keepalive(1, flow, &opened.token, 8).await;
    let reset = caller
        .receive(Duration::from_secs(5), |b| reset_of(&b))
        .await;
    let target = &fleet.targets[0].1;
    let closed = wait_until(Duration::from_secs(2), || target.open_feeds() == 0).await;

    assert_eq!(reset, Some((ResultCode::FlowSilent, Some(opened.binding))));
    assert!(closed);
    let again = caller.receive(NO_DELIVERY_TIME, |b| reset_of(&b)).await;
    assert_eq!(again, None);
}

/// Guards against flows that stay at a suspended target, and links to it that stay open, for
/// longer than callers wait.
#[test]
fn feeds_survive_a_stopped_target() {
    let suspended = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("runtime");
    let main = tokio::runtime::Runtime::new().expect("runtime");
    main.block_on(async {
        let mut fleet = fleet(4, buzz(2), 36).await;
        let target = suspended
            .spawn(Target::start(Options::new(any_port(), 1, 3)))
            .await
            .expect("task")
            .expect("target");
        fleet.services[0].targets.push(TargetEntry {
            number: 3,
            address: target.address(),
            zone: "a".to_owned(),
            incarnation: 1,
            state: "active",
        });
        fleet.publish_services();
        fleet.targets.push((0, target));
        fleet.wait_connected().await;
        let feeds = hold_feeds(&fleet, 1, 18, Duration::from_secs(11)).await;
        sleep(Duration::from_secs(2)).await;

        let before = fleet.targets[2].1.open_feeds();
        suspended.spawn(async { std::thread::sleep(Duration::from_secs(8)) });
        let disconnected = wait_until(Duration::from_secs(7), || {
            fleet.running().all(|n| n.connected_targets() == 2)
        })
        .await;
        let report = sum_reports(feeds).await;

        assert!(before > 0 && disconnected);
        assert_eq!((report.opened, report.broken), (18, 0), "{report:?}");
        assert!(report.moves as usize >= before, "{report:?}");
    });
    suspended.shutdown_background();
}

fn reset_of(body: &DatagramBody) -> Option<(ResultCode, Option<tanager_wire::Binding>)> {
    match body {
        DatagramBody::Reset(reset) => Some((reset.code, reset.binding)),
        _ => None,
    }
}

/// Starts a target at the address of one that was just killed, and retries until it is free.
async fn start_at(options: Options) -> Target {
    for _ in 0..100 {
        if let Ok(target) = Target::start(options.clone()).await {
            return target;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the address {} is still in use after 2 s", options.address);
}
