//! Hub election and beacons: instances of several zones discover each other through seeds, and one
//! instance of each zone reads the store for the others.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use common::{at, service};
use tanager_core::{Incarnation, Millis};
use tanager_forward::{
    Cookie, Epoch, LoadReport, Membership, OfferedLoad, OwnInstance, Role, StoreRevision, Tally,
    TargetLoad, ViewVersion,
};

/// Largest UDP payload in bytes that fits into an Ethernet frame of 1,500 bytes.
const UDP_PAYLOAD: usize = 1_472;
/// Age of a view that does not count as stale.
const RECENT: Option<Duration> = Some(Duration::from_millis(500));

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7_720)
}

/// Returns the version of a view with the first routes.
fn view(number: u64) -> ViewVersion {
    ViewVersion {
        revision: StoreRevision::new(Epoch::new(1), number),
        routes: 1,
    }
}

fn member(host: u8, zone: u8, capacity: u16) -> Membership {
    let own = OwnInstance {
        address: address(host),
        incarnation: Incarnation::new(u64::from(host)),
        zone,
        capacity,
    };
    Membership::new(own, vec![address(1), address(2)])
}

fn send(
    from: &mut Membership,
    to: &mut Membership,
    to_host: u8,
    loads: &[LoadReport],
    now: Millis,
) {
    let role = from.role(RECENT, now);
    let beacon = from.beacon(address(to_host), role, (view(7), RECENT), loads, now);
    to.apply_beacon(&beacon, now);
}

fn load(busy: f64, flows: f64) -> TargetLoad {
    TargetLoad {
        busy,
        flows,
        ..TargetLoad::default()
    }
}

fn report(cookie: u32, load: TargetLoad) -> LoadReport {
    LoadReport::new(Cookie::new(cookie), &load).expect("a load to report")
}

/// Guards against shares by the demand of a part of the fleet: hubs sum their zone, tell the other hubs,
/// and pass on what those tell. An instance's own demand is not among that of its peers.
#[test]
fn demands_of_all_zones_reach_every_instance() {
    let mut hub = member(1, 0, 500);
    let mut leaf = member(2, 0, 38);
    let mut foreign = member(3, 1, 500);
    for (instance, offered) in [(&mut hub, 10.0), (&mut leaf, 20.0), (&mut foreign, 40.0)] {
        let admitted = offered / 2.0;
        instance.set_demands(vec![(service("feeds"), OfferedLoad { offered, admitted })]);
    }

    // The second round passes on what the first one told.
    for round in 0..2 {
        let now = at(round * 400);
        send(&mut hub, &mut leaf, 2, &[], now);
        send(&mut leaf, &mut hub, 1, &[], now);
        send(&mut foreign, &mut hub, 1, &[], now);
        send(&mut hub, &mut foreign, 3, &[], now);
    }
    send(&mut hub, &mut leaf, 2, &[], at(800));

    let offered = |instance: &Membership, zone: u8| {
        let peers = instance.peer_demands(instance.role(RECENT, at(800)), at(800));
        let demands = peers.demands.iter().filter(|d| d.zone == zone);
        let sum = demands.fold(0.0, |sum, d| sum + d.load.offered);
        format!("{sum:.1}")
    };
    assert_eq!([offered(&hub, 0), offered(&hub, 1)], ["20.0", "40.0"]);
    assert_eq!([offered(&leaf, 0), offered(&leaf, 1)], ["10.0", "40.0"]);
    assert_eq!(
        [offered(&foreign, 0), offered(&foreign, 1)],
        ["30.0", "0.0"]
    );
}

/// Guards against every instance of the fleet reading the store.
#[test]
fn the_largest_instance_of_a_zone_reads() {
    let mut large = member(1, 0, 500);
    let mut small = member(2, 0, 38);
    send(&mut large, &mut small, 2, &[], at(0));
    send(&mut small, &mut large, 1, &[], at(0));

    assert_eq!(large.role(RECENT, at(100)), Role::Hub);
    assert_eq!(small.role(RECENT, at(100)), Role::Leaf);
}

/// Guards against waiting for a hub that has terminated, is leaving, or cannot read the store.
#[test]
fn the_next_instance_becomes_hub() {
    let mut large = member(1, 0, 500);
    let mut small = member(2, 0, 38);
    send(&mut large, &mut small, 2, &[], at(0));
    let after_timeout = small.role(RECENT, at(1_600));
    large.set_store_reachable(false);
    send(&mut large, &mut small, 2, &[], at(2_000));
    let without_store = small.role(RECENT, at(2_100));
    large.set_store_reachable(true);
    send(&mut large, &mut small, 2, &[], at(2_400));
    let recovered = small.role(RECENT, at(2_500));
    large.leave();
    send(&mut large, &mut small, 2, &[], at(2_800));
    let leaving = small.role(RECENT, at(2_900));

    assert_eq!((after_timeout, without_store), (Role::Hub, Role::Hub));
    assert_eq!((recovered, leaving), (Role::Leaf, Role::Hub));
}

/// Guards against relying on a hub whose view has not been verified for a long time.
#[test]
fn an_instance_with_a_stale_view_reads_the_store() {
    let mut large = member(1, 0, 500);
    let mut small = member(2, 0, 38);
    send(&mut large, &mut small, 2, &[], at(0));

    assert_eq!(small.role(Some(Duration::from_secs(3)), at(100)), Role::Hub);
    assert_eq!(small.role(None, at(100)), Role::Hub);
}

/// Guards against hubs of other zones that are never discovered.
#[test]
fn hubs_discover_other_zones_through_a_seed() {
    let mut seed = member(1, 0, 500);
    let mut second = member(2, 1, 500);
    let mut third = member(3, 2, 500);
    send(&mut second, &mut seed, 1, &[], at(0));
    send(&mut third, &mut seed, 1, &[], at(10));

    send(&mut seed, &mut third, 3, &[], at(20));
    let recipients = third.recipients(Role::Hub, false, at(30));

    assert!(recipients.contains(&address(2)), "{recipients:?}");
}

/// Guards against counting the load of an instance or of a zone twice.
#[test]
fn loads_are_counted_once() {
    let cookie = Cookie::new(9);
    let load = |busy, flows| [report(9, load(busy, flows))];
    let mut hub = member(1, 0, 500);
    let mut leaf = member(2, 0, 38);
    let mut far = member(3, 1, 500);
    send(&mut hub, &mut leaf, 2, &load(1.0, 10.0), at(0));
    send(&mut leaf, &mut hub, 1, &load(0.5, 5.0), at(10));
    send(&mut far, &mut hub, 1, &load(0.25, 3.0), at(20));

    send(&mut hub, &mut leaf, 2, &load(1.0, 10.0), at(30));
    send(&mut hub, &mut far, 3, &load(1.0, 10.0), at(30));

    let of = |m: &Membership, role| {
        let load = m.peer_loads(role, at(40))[&cookie];
        (load.busy, load.flows)
    };
    assert_eq!(of(&hub, Role::Hub), (0.75, 8.0));
    assert_eq!(of(&leaf, Role::Leaf), (1.25, 13.0));
    assert_eq!(of(&far, Role::Hub), (1.5, 15.0));
}

/// Guards against omitting a failing or unresponsive target from a beacon that has no room for all
/// targets. Such a target has little load, since instances that detected the fault avoid it.
#[test]
fn a_beacon_lists_failing_and_unresponsive_targets_before_busy_ones() {
    let mut hub = member(1, 0, 500);
    let mut leaf = member(2, 0, 38);
    let mut loads: Vec<_> = (1..=200).map(|n| report(n, load(3.0, 20.0))).collect();
    let failing = Tally {
        failures: 4.0,
        ..Tally::default()
    };
    let unresponsive = Tally {
        misses: 4.0,
        ..Tally::default()
    };
    for (number, tally) in [(999, failing), (1_000, unresponsive)] {
        let idle = load(0.0, 1.0);
        loads.push(report(number, TargetLoad { tally, ..idle }));
    }

    send(&mut hub, &mut leaf, 2, &loads, at(0));

    let loads = leaf.peer_loads(Role::Leaf, at(10));
    assert_eq!(loads[&Cookie::new(999)].tally, failing);
    assert_eq!(loads[&Cookie::new(1_000)].tally, unresponsive);
}

/// Guards against a leaf whose number of beacons grows with the fleet.
#[test]
fn a_leaf_sends_one_beacon_per_round() {
    let mut leaf = member(9, 0, 38);
    for host in 3..30 {
        let mut other = member(host, 0, 38 + u16::from(host));
        send(&mut other, &mut leaf, 9, &[], at(0));
    }
    leaf.recipients(Role::Leaf, false, at(10));

    assert_eq!(leaf.recipients(Role::Leaf, false, at(410)).len(), 1);
}

/// Guards against contacting only one seed every 400 ms for a view while clients wait. In a large
/// fleet this took 0.54 s from the start to the first view.
#[test]
fn an_instance_without_a_view_contacts_all_seeds_and_its_hub() {
    let mut started = member(9, 0, 38);
    let mut hub = member(3, 0, 500);
    send(&mut hub, &mut started, 9, &[], at(0));

    let recipients = started.recipients(Role::Leaf, true, at(10));

    for host in [1, 2, 3] {
        assert!(recipients.contains(&address(host)), "{recipients:?}");
    }
}

/// Guards against treating a view as verified by a peer that has no view itself. Log lines then
/// showed a view age of 1,000 s instead of none.
#[test]
fn a_peer_without_a_view_verifies_nothing() {
    let mut started = member(1, 0, 500);
    let mut other = member(2, 0, 38);
    let beacon = started.beacon(
        address(2),
        Role::Hub,
        (ViewVersion::default(), None),
        &[],
        at(0),
    );

    other.apply_beacon(&beacon, at(10));

    assert_eq!(other.last_verified(view(5).revision), None);
    assert_eq!(
        other.peer_with_newer_view(ViewVersion::default(), at(10)),
        None
    );
}

/// Guards against beacons that are fragmented by the network, where the loss of one fragment loses
/// the whole beacon.
#[test]
fn a_beacon_of_a_large_fleet_fits_into_one_packet() {
    let mut hub = member(1, 0, 500);
    for host in 2..=120 {
        let mut other = member(host, host % 4, 38 + u16::from(host));
        send(&mut other, &mut hub, 1, &[], at(0));
    }
    let tally = Tally {
        sound: 30.0,
        failures: 2.0,
        misses: 20.0,
    };
    let busy = TargetLoad {
        tally,
        ..load(3.0, 150.0)
    };
    let loads: Vec<_> = (0..200).map(|n| report(u32::MAX - n, busy)).collect();

    let beacon = hub.beacon(
        address(2),
        Role::Hub,
        (view(1 << 40), RECENT),
        &loads,
        at(0),
    );

    let bytes = postcard::to_stdvec(&beacon).expect("a beacon");
    assert!(bytes.len() <= UDP_PAYLOAD, "{} bytes", bytes.len());
}

/// Guards against going back to the history that a restored store has left: its numbers are higher
/// than those of the new one.
#[test]
fn a_view_of_a_later_epoch_is_newer_whatever_its_number() {
    let mut receiver = member(1, 0, 500);
    let restored = ViewVersion {
        revision: StoreRevision::new(Epoch::new(2), 22),
        routes: 1,
    };
    for (host, version) in [(2, view(23)), (3, restored)] {
        let mut peer = member(host, 0, 100);
        let beacon = peer.beacon(address(1), Role::Leaf, (version, RECENT), &[], at(0));
        receiver.apply_beacon(&beacon, at(0));
    }

    let from_old = receiver.peer_with_newer_view(view(22), at(10));
    let from_new = receiver.peer_with_newer_view(restored, at(10));

    assert_eq!(from_old, Some(address(3)));
    assert_eq!(from_new, None);
}

/// Guards against old routes after a start: a restored store has old ones until the operator writes
/// the newest again, while a peer with a view of the same revision has the newest.
#[test]
fn a_view_with_newer_routes_is_newer_at_the_same_revision() {
    let mut receiver = member(1, 0, 500);
    let mut peer = member(2, 0, 100);
    let newer = ViewVersion {
        routes: 2,
        ..view(7)
    };
    let beacon = peer.beacon(address(1), Role::Leaf, (newer, RECENT), &[], at(0));

    receiver.apply_beacon(&beacon, at(0));

    assert_eq!(
        receiver.peer_with_newer_view(view(7), at(10)),
        Some(address(2))
    );
    assert_eq!(receiver.peer_with_newer_view(newer, at(10)), None);
}
