//! Pattern: many instances place new flows on the same targets and hear of each other's choices
//! only every 400 ms.

mod common;

use common::{FEED_PORT, at, open_flow, seeded_forwarder, target, zone};
use tanager_forward::{Forwarder, TargetLoad, TargetNumber};

/// Instances of one availability zone.
const INSTANCES: u16 = 29;
/// Targets of each of three availability zones.
const TARGETS: u64 = 40;
/// Rounds over which the mean is taken.
const ROUNDS: u16 = 20;
/// New flows of one instance between two reports.
const FLOWS: u16 = 4;
/// A target's slots and the requests that it queues.
const ROOM: u32 = 10;
/// The one target without load.
const EMPTY: TargetNumber = TargetNumber::new(1);

fn loaded_instance(seed: u64) -> Forwarder {
    let zones = ["a", "b", "c"].iter().zip(0u64..);
    let targets = zones.flat_map(|(zone, i)| {
        (1..=TARGETS).map(move |number| target(number + i * TARGETS, "feeds", zone))
    });
    let mut forwarder = seeded_forwarder(targets, seed);
    for number in 2..=3 * TARGETS {
        let cookie = TargetNumber::new(number).cookie();
        let load = TargetLoad {
            busy: 1.5,
            flows: 20.0,
            ..TargetLoad::default()
        };
        forwarder.apply_peer_load(cookie, &load, at(1_000));
    }
    forwarder
}

/// Guards against all instances choosing the one idle target until they hear of each other: it
/// got 20 to 50 flows in 100 ms and refused most of them.
#[test]
fn an_idle_target_is_not_flooded_before_its_load_is_reported() {
    let mut placed = 0;
    for seed in 0..ROUNDS * INSTANCES {
        let mut forwarder = loaded_instance(u64::from(seed));
        for i in 0..FLOWS {
            let client = open_flow(&mut forwarder, 1_000 + i, FEED_PORT, at(1_100));
            placed += u32::from(client.cookie == EMPTY.cookie());
        }
    }

    let mean = placed / u32::from(ROUNDS);
    assert!(mean <= ROOM, "{mean} flows at once");
}

/// Guards against leaving the own zone while its targets have room.
#[test]
fn flows_stay_in_the_zone_at_equal_load() {
    let mut forwarder = loaded_instance(1);
    let mut near = 0;
    for i in 0..100 {
        let client = open_flow(&mut forwarder, 1_000 + i, FEED_PORT, at(1_100));
        let number = TargetNumber::new(u64::from(client.cookie.get()));
        let known = forwarder.view().get(number).expect("a published target");
        near += u32::from(known.target.zone == zone("a"));
    }

    assert!(near >= 95, "{near} of 100");
}
