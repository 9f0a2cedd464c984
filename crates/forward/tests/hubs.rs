//! Pattern: instances of several zones find each other through seeds, and one of each zone reads
//! the store for the others.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use common::at;
use tanager_core::{Incarnation, Millis};
use tanager_forward::{Cookie, LoadReport, Membership, OwnInstance, Role, Tally, TargetLoad};

/// Bytes of a datagram that an Ethernet frame of 1,500 bytes carries.
const UDP_PAYLOAD: usize = 1_472;
/// A view age that casts no doubt.
const FRESH: Option<Duration> = Some(Duration::from_millis(500));

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7_720)
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
    let role = from.role(FRESH, now);
    let beacon = from.beacon(address(to_host), role, (7, FRESH), loads, now);
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

/// Guards against a fleet in which every instance reads the store.
#[test]
fn the_largest_instance_of_a_zone_reads() {
    let mut large = member(1, 0, 500);
    let mut small = member(2, 0, 38);
    send(&mut large, &mut small, 2, &[], at(0));
    send(&mut small, &mut large, 1, &[], at(0));

    assert_eq!(large.role(FRESH, at(100)), Role::Hub);
    assert_eq!(small.role(FRESH, at(100)), Role::Leaf);
}

/// Guards against waiting for a hub that has gone, or that cannot read the store.
#[test]
fn the_next_instance_takes_over() {
    let mut large = member(1, 0, 500);
    let mut small = member(2, 0, 38);
    send(&mut large, &mut small, 2, &[], at(0));
    let silent = small.role(FRESH, at(1_600));
    large.set_reads(false);
    send(&mut large, &mut small, 2, &[], at(2_000));
    let blind = small.role(FRESH, at(2_100));
    large.set_reads(true);
    send(&mut large, &mut small, 2, &[], at(2_400));
    let back = small.role(FRESH, at(2_500));
    large.leave();
    send(&mut large, &mut small, 2, &[], at(2_800));
    let left = small.role(FRESH, at(2_900));

    assert_eq!((silent, blind), (Role::Hub, Role::Hub));
    assert_eq!((back, left), (Role::Leaf, Role::Hub));
}

/// Guards against trusting a hub whose view nobody has confirmed for long.
#[test]
fn an_instance_reads_itself_when_its_view_is_in_doubt() {
    let mut large = member(1, 0, 500);
    let mut small = member(2, 0, 38);
    send(&mut large, &mut small, 2, &[], at(0));

    assert_eq!(small.role(Some(Duration::from_secs(3)), at(100)), Role::Hub);
    assert_eq!(small.role(None, at(100)), Role::Hub);
}

/// Guards against hubs of other zones that are never found.
#[test]
fn hubs_learn_of_other_zones_through_a_seed() {
    let mut seed = member(1, 0, 500);
    let mut second = member(2, 1, 500);
    let mut third = member(3, 2, 500);
    send(&mut second, &mut seed, 1, &[], at(0));
    send(&mut third, &mut seed, 1, &[], at(10));

    send(&mut seed, &mut third, 3, &[], at(20));
    let recipients = third.recipients(Role::Hub, false, at(30));

    assert!(recipients.contains(&address(2)), "{recipients:?}");
}

/// Guards against counting an instance's own work, or a zone's, twice.
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

/// Guards against leaving a failing or silent target out of a beacon that cannot name all
/// targets: it is idle, since nobody who has seen it fail sends work there.
#[test]
fn a_beacon_names_failing_and_silent_targets_before_busy_ones() {
    let mut hub = member(1, 0, 500);
    let mut leaf = member(2, 0, 38);
    let mut loads: Vec<_> = (1..=200).map(|n| report(n, load(3.0, 20.0))).collect();
    let failing = Tally {
        failures: 4.0,
        ..Tally::default()
    };
    let silent = Tally {
        misses: 4.0,
        ..Tally::default()
    };
    for (number, tally) in [(999, failing), (1_000, silent)] {
        let idle = load(0.0, 1.0);
        loads.push(report(number, TargetLoad { tally, ..idle }));
    }

    send(&mut hub, &mut leaf, 2, &loads, at(0));

    let heard = leaf.peer_loads(Role::Leaf, at(10));
    assert_eq!(heard[&Cookie::new(999)].tally, failing);
    assert_eq!(heard[&Cookie::new(1_000)].tally, silent);
}

/// Guards against beacons whose number grows with the fleet for an ordinary instance.
#[test]
fn a_leaf_sends_one_beacon_a_round() {
    let mut leaf = member(9, 0, 38);
    for host in 3..30 {
        let mut other = member(host, 0, 38 + u16::from(host));
        send(&mut other, &mut leaf, 9, &[], at(0));
    }
    leaf.recipients(Role::Leaf, false, at(10));

    assert_eq!(leaf.recipients(Role::Leaf, false, at(410)).len(), 1);
}

/// Guards against an instance of a large fleet that asks one seed every 400 ms for a view while
/// clients wait (0.54 s from the start to the first view).
#[test]
fn an_instance_without_a_view_asks_all_seeds_and_its_hub() {
    let mut started = member(9, 0, 38);
    let mut hub = member(3, 0, 500);
    send(&mut hub, &mut started, 9, &[], at(0));

    let recipients = started.recipients(Role::Leaf, true, at(10));

    for host in [1, 2, 3] {
        assert!(recipients.contains(&address(host)), "{recipients:?}");
    }
}

/// Guards against a view that counts as confirmed by a peer that has read nothing: log lines told
/// an age of 1,000 s instead of none.
#[test]
fn a_peer_without_a_view_confirms_nothing() {
    let mut started = member(1, 0, 500);
    let mut other = member(2, 0, 38);
    let beacon = started.beacon(address(2), Role::Hub, (0, None), &[], at(0));

    other.apply_beacon(&beacon, at(10));

    assert_eq!(other.last_verified(5), None);
    assert_eq!(other.peer_with_newer_view(0, at(10)), None);
}

/// Guards against beacons that networks have to split: a part that is lost loses the whole.
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

    let beacon = hub.beacon(address(2), Role::Hub, (1 << 40, FRESH), &loads, at(0));

    let bytes = postcard::to_stdvec(&beacon).expect("a beacon");
    assert!(bytes.len() <= UDP_PAYLOAD, "{} bytes", bytes.len());
}
