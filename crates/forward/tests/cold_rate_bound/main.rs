//! The bound on the openings that all instances together send to a cold target, while instances
//! start, stop, pause and are cut off, and their memberships differ and lag.
//!
//! Every instance sends each cold target as many openings as its limiter allows. Proptest prints the
//! failing fleet with its seed.

mod fleet;

use std::ops::Range;

use fleet::{Cut, Fleet, Pause, SEEDS, busiest_second, simulate};
use proptest::prelude::*;
use tanager_forward::WarmupBounds;

fn bound(rate: f64) -> usize {
    let bounds = WarmupBounds::default();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    let bound = (rate * bounds.overage + bounds.slack).floor() as usize;
    bound
}

fn time() -> impl Strategy<Value = Range<u64>> {
    (2_000..20_000_u64, 500..12_000_u64).prop_map(|(start, length)| start..start + length)
}

/// Returns an instance that is cut off, paused or restarted, often a hub.
fn affected(instances: usize) -> impl Strategy<Value = usize> {
    prop_oneof![0..SEEDS, 0..instances]
}

fn fleet(instances: usize, targets: u64) -> impl Strategy<Value = Fleet> {
    let cut = prop_oneof![
        time().prop_map(Cut::Zones),
        (affected(instances), time()).prop_map(|(i, time)| Cut::Instance(i, time)),
    ];
    let pause = (affected(instances), time()).prop_map(|(index, time)| Pause { index, time });
    let restart = (affected(instances), 3_000..20_000_u64);
    (
        prop_oneof![Just(0.7), Just(2.0), Just(4.0), Just(25.0)],
        prop_oneof![Just(0_u64), Just(2_000), Just(12_000)],
        prop::collection::vec(restart, 0..8),
        prop::collection::vec(cut, 0..5),
        prop::collection::vec(pause, 0..4),
        any::<u64>(),
    )
        .prop_map(
            move |(rate, start_ms, restarts, cuts, pauses, seed)| Fleet {
                instances,
                targets,
                rate,
                start_ms,
                restarts,
                cuts,
                pauses,
                duration_ms: 30_000,
                seed,
            },
        )
}

fn quiet(instances: usize, targets: u64, rate: f64) -> Fleet {
    Fleet {
        instances,
        targets,
        rate,
        start_ms: 1_000,
        restarts: Vec::new(),
        cuts: Vec::new(),
        pauses: Vec::new(),
        duration_ms: 30_000,
        seed: 1,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against too many openings to a cold target in the smallest deployment, whose zones have
    /// two or three instances.
    #[test]
    fn eight_instances_stay_within_the_bound(fleet in fleet(8, 3)) {
        prop_assert!(busiest_second(simulate(&fleet)) <= bound(fleet.rate));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Guards against too many openings to a cold target of a deployment with 90 instances.
    #[test]
    fn ninety_instances_stay_within_the_bound(fleet in fleet(90, 6)) {
        prop_assert!(busiest_second(simulate(&fleet)) <= bound(fleet.rate));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3))]

    /// Guards against too many openings to a cold target of the largest deployment, whose leaves know
    /// a small part of their zone.
    #[test]
    fn all_instances_of_the_largest_fleet_stay_within_the_bound(fleet in fleet(667, 6)) {
        prop_assert!(busiest_second(simulate(&fleet)) <= bound(fleet.rate));
    }
}

/// Guards against both halves of a divided zone using the whole rate.
#[test]
fn halves_of_a_zone_stay_within_the_bound() {
    let fleet = Fleet {
        cuts: vec![Cut::Halves(12_000..30_000)],
        ..quiet(90, 6, 4.0)
    };

    assert!(busiest_second(simulate(&fleet)) <= bound(fleet.rate));
}

/// Guards against cold targets that receive nothing: the rate is safe but useless then.
#[test]
fn cold_targets_receive_most_of_their_rate() {
    for instances in [3, 8, 90, 667] {
        let fleet = quiet(instances, 6, 4.0);

        let openings = simulate(&fleet);

        assert_eq!(openings.arrivals.len(), 18, "{instances} instances");
        for (target, times) in &openings.arrivals {
            let settled = times.iter().filter(|at| **at >= 10_000).count();
            assert!(
                settled >= 40,
                "{target}: {settled} in 20 s, {instances} instances"
            );
        }
    }
}

/// Guards against a service whose targets are all cold and that only few instances can serve.
#[test]
fn each_instance_can_open_flows_if_all_targets_are_cold() {
    let fleet = Fleet {
        duration_ms: 12_000,
        ..quiet(90, 40, 4.0)
    };

    let openings = simulate(&fleet);

    assert_eq!(openings.arrivals.len(), 120);
    assert!(openings.sent.values().all(|sent| *sent > 0));
    assert_eq!(openings.sent.len(), 90);
}
