//! Pattern: targets are replaced one after the other; a new one is slow for some seconds and has
//! none of the long flows that the others hold, while the one that it replaces sheds its flows.

mod common;

use std::time::Duration;

use common::{FEED_PORT, ORDER_PORT, REVISION, at, forwarder, open_flow, published, target};
use tanager_core::FastMap;
use tanager_forward::{Forwarder, TargetLoad, TargetNumber};

/// Long flows that the other targets hold.
const FEEDS: u16 = 100;
/// Long flows of the target that leaves.
const SHED: u16 = 24;
/// Number of the new target.
const NEW: TargetNumber = TargetNumber::new(9);

/// Returns a forwarder with five loaded targets and one that starts at 1 s.
fn releasing() -> Forwarder {
    let mut forwarder = forwarder(5);
    for i in 0..FEEDS {
        open_flow(&mut forwarder, 1_000 + i, FEED_PORT, at(u64::from(i)));
    }
    let mut cold = target(NEW.get(), "feeds", "a");
    cold.warmup = Duration::from_secs(2);
    forwarder.apply(published(cold, REVISION + 1), at(1_000));
    forwarder
}

/// Opens the shed flows again, 20 ms apart, and counts those of the new target.
fn reopen(forwarder: &mut Forwarder, from: u64) -> u32 {
    let mut placed: FastMap<u32, u32> = FastMap::default();
    for i in 0..SHED {
        let now = at(from + 20 * u64::from(i));
        let client = open_flow(forwarder, 5_000 + i, FEED_PORT, now);
        *placed.entry(client.cookie.get()).or_default() += 1;
    }
    placed.get(&NEW.cookie().get()).copied().unwrap_or(0)
}

/// Guards against each instance filling a new target before it hears of the others' work there:
/// none may give a cold target more requests at once than it has slots.
#[test]
fn one_instance_fills_no_cold_target_beyond_its_slots() {
    let mut forwarder = releasing();
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

/// Guards against moving all flows of a leaving target to one that has just started, because it
/// holds none yet.
#[test]
fn a_cold_target_gets_no_more_than_its_part() {
    let mut forwarder = releasing();

    let part = reopen(&mut forwarder, 1_010);

    assert!(part <= u32::from(SHED) / 6, "{part} of {SHED}");
}

/// Guards against avoiding a target for good that has been slow at first.
#[test]
fn a_warm_target_catches_up() {
    let mut forwarder = releasing();

    let part = reopen(&mut forwarder, 3_100);

    // More than an equal part of six targets, so that it catches up.
    assert!(part > u32::from(SHED) / 6, "{part} of {SHED}");
}
