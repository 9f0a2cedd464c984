//! Loads in several datagrams of a round, and the positions that hubs tell the instances of their
//! zone.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use common::at;
use serde::Deserialize;
use tanager_core::Incarnation;
use tanager_forward::{
    Beacon, Cookie, Epoch, LoadReport, MemberReport, Membership, OwnInstance, RingPoint, Role,
    StoreRevision, TargetLoad, ViewVersion,
};

const RECENT: Option<Duration> = Some(Duration::from_millis(100));
const VIEW: ViewVersion = ViewVersion {
    revision: StoreRevision::new(Epoch::new(1), 7),
    routes: 1,
};

fn address(index: u16) -> SocketAddrV4 {
    let [high, low] = index.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7_720)
}

fn member(index: u16, capacity: u16) -> Membership {
    let own = OwnInstance {
        address: address(index),
        incarnation: Incarnation::new(1),
        zone: 0,
        capacity,
    };
    Membership::new(own, vec![])
}

fn reports(targets: impl Iterator<Item = u32>, busy: f64) -> Vec<LoadReport> {
    let load = TargetLoad {
        busy,
        flows: 3.0,
        ..TargetLoad::default()
    };
    let report = |n| LoadReport::new(Cookie::new(n), &load).expect("a load");
    targets.map(report).collect()
}

fn round(from: &mut Membership, to: u16, role: Role, loads: &[LoadReport], ms: u64) -> Vec<Beacon> {
    from.beacons(address(to), role, (VIEW, RECENT), loads, at(ms))
}

fn deliver(beacons: &[Beacon], to: &mut Membership, ms: u64) {
    for beacon in beacons {
        to.apply_beacon(beacon, at(ms));
    }
}

/// Returns a hub and a leaf that know each other.
fn pair() -> (Membership, Membership) {
    let (mut hub, mut leaf) = (member(1, 500), member(2, 38));
    let from_hub = round(&mut hub, 2, Role::Hub, &[], 0);
    deliver(&from_hub, &mut leaf, 0);
    let from_leaf = round(&mut leaf, 1, Role::Leaf, &[], 0);
    deliver(&from_leaf, &mut hub, 0);
    (hub, leaf)
}

/// Guards against the least loaded targets, often the fastest ones, missing from a beacon without
/// room for all, and against parts that erase each other.
#[test]
fn all_of_150_targets_are_reported_in_each_round() {
    let (mut hub, mut leaf) = pair();

    let beacons = round(&mut hub, 2, Role::Hub, &reports(0..150, 1.0), 400);
    deliver(&beacons, &mut leaf, 400);

    assert_eq!(leaf.peer_loads(Role::Leaf, at(410)).len(), 150);
    assert!(beacons.len() <= 4);
}

/// Guards against the load of a target that has become idle staying in force.
#[test]
fn a_target_that_is_no_longer_listed_counts_as_idle() {
    let (mut hub, mut leaf) = pair();
    let first = round(&mut hub, 2, Role::Hub, &reports(0..150, 1.0), 400);
    deliver(&first, &mut leaf, 400);

    let second = round(&mut hub, 2, Role::Hub, &reports(20..150, 1.0), 800);
    deliver(&second, &mut leaf, 800);

    let loads = leaf.peer_loads(Role::Leaf, at(810));
    assert!(!loads.contains_key(&Cookie::new(5)));
    assert_eq!(loads.len(), 130);
}

/// Guards against a lost or reordered datagram that makes busy targets look idle.
#[test]
fn a_lost_or_late_part_erases_nothing() {
    let (mut hub, mut leaf) = pair();
    let first = round(&mut hub, 2, Role::Hub, &reports(0..150, 1.0), 400);
    deliver(&first, &mut leaf, 400);

    let second = round(&mut hub, 2, Role::Hub, &reports(0..150, 2.0), 800);
    deliver(&second[..1], &mut leaf, 800);
    let after_loss = leaf.peer_loads(Role::Leaf, at(810));
    deliver(&second[1..], &mut leaf, 820);
    deliver(&first, &mut leaf, 830);
    let after_late = leaf.peer_loads(Role::Leaf, at(840));

    assert_eq!(after_loss.len(), 150);
    assert!(after_late.values().all(|l| (l.busy - 2.0).abs() < 0.01));
}

/// Guards against loads that an instance ignores after its hub has come to know it: until then the hub
/// takes it for one of another zone, whose rounds are counted further.
#[test]
fn loads_are_taken_from_a_hub_that_did_not_know_the_zone() {
    let (mut hub, mut leaf) = (member(1, 500), member(2, 38));
    for i in 0..10 {
        let beacons = round(&mut hub, 2, Role::Hub, &reports(0..9, 1.0), i);
        deliver(&beacons, &mut leaf, i);
    }
    let from_leaf = round(&mut leaf, 1, Role::Leaf, &[], 400);
    deliver(&from_leaf, &mut hub, 400);

    let beacons = round(&mut hub, 2, Role::Hub, &reports(0..9, 2.0), 400);
    deliver(&beacons, &mut leaf, 400);

    let loads = leaf.peer_loads(Role::Leaf, at(410));
    assert!(loads.values().all(|l| (l.busy - 2.0).abs() < 0.01));
}

/// Guards against subtracting from a hub's sum what this instance reported after the sum was made.
#[test]
fn a_leaf_subtracts_what_the_sum_includes() {
    let (mut hub, mut leaf) = pair();
    let report = |busy| reports(9..10, busy);
    let from_leaf = round(&mut leaf, 1, Role::Leaf, &report(0.5), 400);
    deliver(&from_leaf, &mut hub, 400);
    let from_hub = round(&mut hub, 2, Role::Hub, &report(1.0), 410);
    deliver(&from_hub, &mut leaf, 410);

    round(&mut leaf, 1, Role::Leaf, &report(1.5), 800);

    let busy = leaf.peer_loads(Role::Leaf, at(810))[&Cookie::new(9)].busy;
    assert!((busy - 1.0).abs() < 0.001, "{busy}");
}

/// Guards against beacons of a large fleet that fill the links of small instances, and against
/// targets that are never listed.
#[test]
fn a_large_fleet_lists_all_targets_in_turn_within_8_kb_per_second() {
    let mut hub = member(1, 500);
    for index in 2..=223 {
        let mut leaf = member(index, 38);
        let beacons = round(&mut leaf, 1, Role::Leaf, &[], 0);
        deliver(&beacons, &mut hub, 0);
    }
    let loads = reports(1 << 31..(1 << 31) + 3_400, 2.5);

    let (mut bytes, mut listed) = (0, std::collections::BTreeSet::new());
    for _ in 0..25 {
        for beacon in round(&mut hub, 2, Role::Hub, &loads, 400) {
            bytes += postcard::to_stdvec(&beacon).expect("a beacon").len();
            listed.extend(beacon.loads.iter().map(|l| l.cookie));
        }
    }

    assert_eq!(listed.len(), 3_400);
    assert!(bytes < 8_000 * 10, "{bytes} bytes in 10 s");
}

/// The beacon of the build before loads came in parts.
#[derive(Debug, Deserialize)]
struct FormerBeacon {
    from: SocketAddrV4,
    _incarnation: Incarnation,
    _zone: u8,
    _capacity: u16,
    _leaving: bool,
    _reads: bool,
    _hub: bool,
    _revision: u64,
    _age_ms: u32,
    _members: Vec<MemberReport>,
    loads: Vec<LoadReport>,
    _epoch: Epoch,
    routes: u64,
}

/// Guards against beacons that former builds cannot decode during a release.
#[test]
fn a_former_build_decodes_each_part() {
    let (mut hub, _) = pair();
    for beacon in round(&mut hub, 2, Role::Hub, &reports(0..150, 1.0), 400) {
        let bytes = postcard::to_stdvec(&beacon).expect("a beacon");

        let former: FormerBeacon = postcard::from_bytes(&bytes).expect("a former beacon");

        assert_eq!((former.from, former.routes), (beacon.from, beacon.routes));
        assert_eq!(former.loads, beacon.loads);
    }
}

/// Sends a round from a hub that tells the receiver its position.
fn tell(hub: &mut Membership, index: u16, to: &mut Membership, ms: u64) {
    let positions = hub.zone_positions(at(ms));
    for mut beacon in round(hub, index, Role::Hub, &[], ms) {
        beacon.position = positions.get(address(index));
        to.apply_beacon(&beacon, at(ms));
    }
}

/// Guards against subsets that overlap at random although a hub knows all instances of the zone, and
/// against positions that change when the hub is silent for a moment.
#[test]
fn an_instance_keeps_the_position_that_its_hub_told() {
    let (mut hub, mut leaf) = pair();
    for index in 3..=4 {
        let mut other = member(index, 38);
        deliver(&round(&mut other, 1, Role::Leaf, &[], 0), &mut hub, 0);
    }

    tell(&mut hub, 2, &mut leaf, 100);

    let told = RingPoint {
        point: 0.25,
        instances: 4,
    };
    assert_eq!(leaf.ring_point(Role::Leaf, at(4_900)), told);
    assert_ne!(leaf.ring_point(Role::Leaf, at(5_200)), told);
    assert_eq!(hub.ring_point(Role::Hub, at(200)).instances, 4);
}

/// Guards against subsets that change with each beacon while two hubs know different instances.
#[test]
fn the_position_of_the_higher_ranked_hub_counts() {
    let (mut hub, mut leaf) = pair();
    let mut second = member(7, 90);
    tell(&mut hub, 2, &mut leaf, 100);

    for other in 2..=3 {
        let mut other = member(other, 38);
        deliver(
            &round(&mut other, 7, Role::Leaf, &[], 200),
            &mut second,
            200,
        );
    }
    tell(&mut second, 2, &mut leaf, 200);
    let while_both = leaf.ring_point(Role::Leaf, at(210));
    tell(&mut second, 2, &mut leaf, 1_700);
    let afterwards = leaf.ring_point(Role::Leaf, at(1_710));

    assert_eq!(while_both.instances, 2);
    assert_eq!(afterwards.instances, 3);
}
