//! Rolling release: targets are replaced one after the other. A new one is slow for some seconds
//! and has none of the long flows that the others have, while the target that it replaces closes
//! its flows.

mod common;

use std::time::Duration;

use common::{FEED_PORT, ORDER_PORT, at, forwarder, later, open_flow, published, target};
use tanager_core::FastMap;
use tanager_forward::{Forwarder, TargetLoad, TargetNumber};

/// Long flows on the other targets.
const FEEDS: u16 = 100;
/// Long flows of the replaced target, which are opened again.
const REOPENED: u16 = 24;
/// Number of the new target.
const NEW: TargetNumber = TargetNumber::new(9);

/// Returns a forwarder with five loaded targets and one that starts at 1 s.
fn forwarder_during_release() -> Forwarder {
    let mut forwarder = forwarder(5);
    for i in 0..FEEDS {
        open_flow(&mut forwarder, 1_000 + i, FEED_PORT, at(u64::from(i)));
    }
    let mut cold = target(NEW.get(), "feeds", "a");
    cold.warmup = Duration::from_secs(2);
    forwarder.apply(published(cold, later(1)), at(1_000));
    forwarder
}

/// Opens the closed flows again at intervals of 20 ms, and returns the number placed on the new
/// target.
fn reopen(forwarder: &mut Forwarder, from: u64) -> u32 {
    let mut placed: FastMap<u32, u32> = FastMap::default();
    for i in 0..REOPENED {
        let now = at(from + 20 * u64::from(i));
        let client = open_flow(forwarder, 5_000 + i, FEED_PORT, now);
        *placed.entry(client.cookie.get()).or_default() += 1;
    }
    placed.get(&NEW.cookie().get()).copied().unwrap_or(0)
}

/// Guards against each instance filling a new target before it receives the loads of the others.
/// None may place more concurrent requests on a cold target than it has slots.
#[test]
fn one_instance_fills_no_cold_target_beyond_its_slots() {
    let mut forwarder = forwarder_during_release();
    for number in 1..=5 {
        let cookie = TargetNumber::new(number).cookie();
        let load = TargetLoad {
            busy: 3.0,
            flows: 20.0,
            ..TargetLoad::default()
        };
        forwarder.apply_peer_load(cookie, &load, at(1_005));
    }

    let mut running = 0;
    for i in 0..6 {
        let mut client = open_flow(&mut forwarder, 5_000 + i, ORDER_PORT, at(1_010));
        client.send(&mut forwarder, 900, at(1_010));
        running += u32::from(client.cookie == NEW.cookie());
    }

    assert!(running <= 2, "{running} requests at 2 slots");
}

/// Guards against moving all flows of a replaced target to the new one because it has none yet.
#[test]
fn a_cold_target_gets_no_more_than_its_share() {
    let mut forwarder = forwarder_during_release();

    let share = reopen(&mut forwarder, 1_010);

    assert!(share <= u32::from(REOPENED) / 6, "{share} of {REOPENED}");
}

/// Guards against avoiding a target forever because it was slow at its start.
#[test]
fn a_warm_target_catches_up() {
    let mut forwarder = forwarder_during_release();

    let share = reopen(&mut forwarder, 3_100);

    // More than an equal share among six targets, so that it catches up.
    assert!(share > u32::from(REOPENED) / 6, "{share} of {REOPENED}");
}
