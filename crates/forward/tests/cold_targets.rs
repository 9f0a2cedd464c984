//! Cold targets whose service publishes a rate: openings are sent to them only by instances that hold
//! a grant, and each of these openings counts, whatever its cause.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use common::{Client, FEED_PORT, ORDER_PORT, REVISION, at, routes, sent_to, service, target, zone};
use serde::{Deserialize, Serialize};
use tanager_core::{Incarnation, Millis};
use tanager_forward::{
    Action, Change, DropReason, EvacuationChange, Event, Exclusion, Forwarder, ResetReason,
    RingPoint, Route, RouteTable, ServiceRate, StoreRevision, Target, TargetNumber, ViewVersion,
    WarmupRate, WarmupRates, ZoneStanding,
};

/// Time after which an instance that is alone has granted its targets to itself.
const GRANTED: u64 = 6_000;
const OWN: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7_720);

fn cold(number: u64, zone_name: &str) -> Target {
    Target {
        warmup: Duration::from_mins(1),
        ..target(number, "feeds", zone_name)
    }
}

fn rate(service_name: &str, per_second: f64) -> ServiceRate {
    ServiceRate {
        service: service(service_name),
        rate: WarmupRate::try_from(per_second).expect("a valid rate"),
    }
}

fn rates(per_second: f64) -> WarmupRates {
    WarmupRates::new(vec![rate("feeds", per_second)], false)
}

/// Returns an instance of zone `a` whose service publishes a rate.
fn instance(targets: impl IntoIterator<Item = Target>, per_second: f64) -> Forwarder {
    let mut forwarder = Forwarder::new(zone("a"), 7);
    for target in targets {
        forwarder.apply(Change::published(target, REVISION), at(0));
    }
    forwarder.apply_routes(routes(1).with_rates(rates(per_second)));
    forwarder.advance(REVISION);
    forwarder.record_verified(at(0));
    forwarder
}

/// Lets an instance that is alone in its fleet grant its targets to itself, until a time.
fn grant(forwarder: &mut Forwarder, until: u64) {
    let standing = ZoneStanding {
        own: OWN,
        incarnation: Incarnation::new(1),
        zone: 0,
        hub: OWN,
        members: 1,
        connected: true,
    };
    for round in (0..=until).step_by(400) {
        assert_eq!(forwarder.renew_grants(&standing, at(round)), None);
    }
}

/// Opens a flow and returns its target.
fn open(forwarder: &mut Forwarder, port: u16, now: Millis) -> Option<TargetNumber> {
    match Client::new(port, FEED_PORT).opening(forwarder, 0, now) {
        Action::Forward(forward) => Some(forward.target),
        _ => None,
    }
}

/// Guards against a changed behaviour of deployments that publish no rate.
#[test]
fn without_a_rate_cold_targets_need_no_grant() {
    let mut forwarder = instance([cold(1, "a")], 0.0);

    assert_eq!(open(&mut forwarder, 1, at(0)), Some(TargetNumber::new(1)));
    assert_eq!(forwarder.gauges(at(0)).cold, 0);
}

/// Guards against openings to a cold target from an instance that holds no grant.
#[test]
fn without_a_grant_cold_targets_receive_nothing() {
    let mut mixed = instance([cold(1, "a"), target(2, "feeds", "b")], 4.0);
    let mut only_cold = instance([cold(1, "a"), cold(2, "b")], 4.0);

    for port in 1..50 {
        assert_eq!(open(&mut mixed, port, at(100)), Some(TargetNumber::new(2)));
    }
    let refused = open(&mut only_cold, 1, at(100));

    assert_eq!(refused, None);
    let events = only_cold.take_events(at(100));
    let reset = |e: &Event| {
        let cause = |reason: &ResetReason| *reason == ResetReason::ColdTargets;
        matches!(e, Event::Reset { reason, .. } if cause(reason))
    };
    assert!(events.iter().any(reset), "{events:?}");
    let withheld = |e: &Event| matches!(e, Event::Placed { withheld: 1, .. });
    assert!(mixed.take_events(at(100)).iter().all(withheld));
}

/// Guards against a service that cannot be served because all of its targets are cold, and against
/// more openings than its rate while it is served.
#[test]
fn a_service_of_cold_targets_is_served_at_its_rate() {
    let mut forwarder = instance([cold(1, "a"), cold(2, "a")], 4.0);
    grant(&mut forwarder, GRANTED);

    let mut openings = 0;
    for i in 0..100 {
        openings +=
            u32::from(open(&mut forwarder, 1 + i, at(GRANTED + 10 * u64::from(i))).is_some());
    }

    // Two targets for one second.
    assert_eq!(openings, 8);
}

/// Guards against grants that outlast the connection to the hub.
#[test]
fn grants_end_if_they_are_not_renewed() {
    let mut forwarder = instance([cold(1, "a")], 4.0);
    grant(&mut forwarder, GRANTED);

    assert_eq!(forwarder.gauges(at(GRANTED + 1_400)).granted, 1);
    assert_eq!(forwarder.gauges(at(GRANTED + 1_600)).granted, 0);
    assert_eq!(open(&mut forwarder, 1, at(GRANTED + 1_600)), None);
}

/// Guards against copies of an opening that the target receives beyond its rate.
#[test]
fn repeated_openings_count() {
    let mut forwarder = instance([cold(1, "a")], 4.0);
    grant(&mut forwarder, GRANTED);
    let client = Client::new(1, FEED_PORT);

    let first = client.opening(&mut forwarder, 0, at(GRANTED));
    let early = client.opening(&mut forwarder, 1, at(GRANTED + 60));
    let late = client.opening(&mut forwarder, 2, at(GRANTED + 600));
    let other = open(&mut forwarder, 2, at(GRANTED + 610));

    assert_eq!(sent_to(first), TargetNumber::new(1));
    assert_eq!(early, Action::Drop(DropReason::ColdTarget));
    assert_eq!(sent_to(late), TargetNumber::new(1));
    assert_eq!(other, None);
}

/// Guards against second targets that are cold and receive openings beyond their rate.
#[test]
fn openings_to_second_targets_count() {
    let mut forwarder = instance([target(1, "feeds", "a"), cold(2, "a")], 1.0);
    grant(&mut forwarder, GRANTED);
    let mut second = 0;
    for port in 1..40 {
        open(&mut forwarder, port, at(GRANTED));
    }

    for now in [GRANTED + 75, GRANTED + 150, GRANTED + 225] {
        let due = forwarder.take_due(at(now));
        second += due
            .iter()
            .filter(|d| sent_to(d.action) == TargetNumber::new(2))
            .count();
    }

    assert!(second <= 1, "{second} openings");
}

/// Guards against openings that tell a cold target where a flow is open and are not counted.
#[test]
fn corrections_of_half_open_connections_count() {
    let mut forwarder = instance([target(1, "feeds", "b"), cold(2, "a")], 1.0);
    grant(&mut forwarder, GRANTED);
    let mut client = Client::new(1, ORDER_PORT);
    let mut now = GRANTED;
    let mut first = sent_to(client.opening(&mut forwarder, 0, at(now)));
    // The second target is the cold one if the first is not.
    let second = forwarder.take_due(at(now + 75));
    if first == TargetNumber::new(2) {
        first = sent_to(second[0].action);
    }
    now += 100;
    client.accept_opening(first);
    client.send(&mut forwarder, 100, at(now));
    client.acknowledge(&mut forwarder, 2_000, at(now));

    let corrections = forwarder.take_due(at(now + 1));

    assert_eq!(corrections, []);
}

/// The routes that an earlier build sends.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierTable {
    version: u64,
    revision: StoreRevision,
    idle_timeout: Duration,
    routes: Vec<Route>,
}

fn earlier_table() -> EarlierTable {
    EarlierTable {
        version: 1,
        revision: REVISION,
        idle_timeout: Duration::from_secs(15),
        routes: vec![common::route(
            FEED_PORT,
            tanager_forward::Kind::Idempotent,
            "feeds",
        )],
    }
}

/// Guards against routes that builds with and without rates cannot exchange, and against an instance
/// that never learns the rates after it has read the routes from an earlier build.
#[test]
fn routes_are_exchanged_with_earlier_builds() {
    let bytes = postcard::to_stdvec(&earlier_table()).expect("a table");
    let received: RouteTable = postcard::from_bytes(&bytes).expect("a table");
    let mut forwarder = Forwarder::new(zone("a"), 7);
    forwarder.apply_routes(received);
    let read = forwarder.view().version_to_read();

    let applied = forwarder.apply_routes(routes(1).with_rates(rates(4.0)));

    assert_eq!(read, ViewVersion::default());
    assert!(applied);
    assert!(forwarder.view().routes().has_rates());
    assert_eq!(forwarder.view().version_to_read().routes, 1);
    let bytes = postcard::to_stdvec(&**forwarder.view().routes()).expect("a table");
    let earlier: EarlierTable = postcard::from_bytes(&bytes).expect("an earlier table");
    assert_eq!(earlier.routes.len(), 2);
}

/// Guards against rates that get lost between instances, and because one service cannot be read.
#[test]
fn rates_travel_with_the_routes_and_outlast_unreadable_ones() {
    let mut forwarder = instance([cold(1, "a")], 4.0);
    let unread = WarmupRates::new(vec![rate("orders", 2.0)], true);

    forwarder.apply_routes(routes(2).with_rates(unread));
    let bytes = postcard::to_stdvec(&forwarder.view().delta(ViewVersion::default()));
    let mut peer = Forwarder::new(zone("a"), 8);
    let delta = postcard::from_bytes(&bytes.expect("a delta")).expect("a delta");
    peer.merge(delta, at(100));

    let received = |name: &str| peer.view().routes().warmup_rate(&service(name)).to_string();
    assert_eq!(["feeds", "orders"].map(received), ["4/s", "2/s"]);
}

/// Makes an instance one of 20 in its zone, so that it uses a subset of many targets.
fn use_subset(forwarder: &mut Forwarder) {
    forwarder.set_ring_point(RingPoint {
        point: 0.3,
        instances: 20,
    });
}

/// Opens 600 flows with a request each, which fill all warm targets, and returns their targets.
fn busy_flows(forwarder: &mut Forwarder, now: Millis) -> Vec<TargetNumber> {
    let open = |port| {
        let mut client = common::open_flow(forwarder, port, FEED_PORT, now);
        sent_to(client.send(forwarder, 500, now))
    };
    (1..=600).map(open).collect()
}

/// Guards against a choice in a subset, or beyond it when its targets are full, that sends flows to
/// cold targets without a grant.
#[test]
fn subsets_contain_no_cold_target_without_a_grant() {
    let warm = (1..=30).map(|n| target(n, "feeds", "a"));
    let cold = (31..=60).map(|n| self::cold(n, "a"));
    let mut forwarder = instance(warm.chain(cold), 4.0);
    use_subset(&mut forwarder);

    let opened = busy_flows(&mut forwarder, at(100));

    assert!(opened.iter().all(|t| *t <= TargetNumber::new(30)));
}

/// Guards against a service that is refused although one of its many cold targets has warmed up or
/// another zone has a target.
#[test]
fn the_only_target_that_needs_no_grant_is_found() {
    let cold = (2..=60).map(|n| self::cold(n, "a"));
    let early = Target {
        warmup: Duration::from_secs(1),
        ..target(61, "feeds", "a")
    };
    let far = target(1, "feeds", "b");
    let mut forwarder = instance(cold.chain([early, far]), 4.0);
    use_subset(&mut forwarder);

    assert_eq!(open(&mut forwarder, 1, at(900)), Some(TargetNumber::new(1)));
    assert_eq!(
        open(&mut forwarder, 2, at(1_000)),
        Some(TargetNumber::new(61))
    );
}

/// Guards against grants that remain unused while the instance's subset is full, and against more
/// openings than the rate.
#[test]
fn granted_targets_are_used_while_the_subset_is_full() {
    let warm = (1..=30).map(|n| target(n, "feeds", "a"));
    let cold = (31..=60).map(|n| self::cold(n, "a"));
    let mut forwarder = instance(warm.chain(cold), 4.0);
    use_subset(&mut forwarder);
    grant(&mut forwarder, GRANTED);

    let opened = busy_flows(&mut forwarder, at(GRANTED + 10));
    let mut cold: Vec<_> = opened
        .into_iter()
        .filter(|t| *t > TargetNumber::new(30))
        .collect();
    cold.sort_unstable();
    let openings = cold.len();
    cold.dedup();

    assert_eq!((openings, cold.len()), (30, 30));
}

/// Guards against a grant that outweighs an evacuation, and against a wrong cause of the reset, with
/// or without a target elsewhere that needs a grant, too.
#[test]
fn granted_targets_of_an_evacuated_zone_receive_nothing() {
    for (others, cause) in [
        (vec![], ResetReason::NoTarget),
        (vec![cold(2, "b")], ResetReason::ColdTargets),
    ] {
        let mut forwarder = instance([cold(1, "a")].into_iter().chain(others), 4.0);
        grant(&mut forwarder, GRANTED);
        let evacuation = EvacuationChange {
            zone: zone("a"),
            revision: common::later(1),
            ended: false,
        };
        forwarder.apply_evacuation(evacuation, at(GRANTED));

        assert_eq!(open(&mut forwarder, 1, at(GRANTED)), None);
        let events = forwarder.take_events(at(GRANTED));
        let is_reset = |e: &Event| matches!(e, Event::Reset { reason, .. } if *reason == cause);
        assert!(events.iter().any(is_reset), "{events:?}");
        let explanation = forwarder.explain(&common::flow(2, FEED_PORT), at(GRANTED));
        let mut excluded = explanation.candidates.iter().map(|c| c.excluded);
        assert!(excluded.any(|e| e == Some(Exclusion::Evacuated)));
        assert_eq!(explanation.chosen, None);
    }
}

/// Guards against an explanation that hides why a cold target is left out.
#[test]
fn a_cold_target_without_a_grant_is_explained() {
    let mut forwarder = instance([cold(1, "a")], 4.0);
    let flow = common::flow(1, FEED_PORT);

    let before = forwarder.explain(&flow, at(0));
    grant(&mut forwarder, GRANTED);
    let after = forwarder.explain(&flow, at(GRANTED));

    assert_eq!(before.candidates[0].excluded, Some(Exclusion::Cold));
    assert_eq!(before.refusal.as_deref(), Some("cold-targets"));
    assert_eq!((after.candidates[0].excluded, after.admitted), (None, true));
}
