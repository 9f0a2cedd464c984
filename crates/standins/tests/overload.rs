//! Overload: callers ask for more than the targets can do, so that all queues fill up.

mod load;

use load::{draw_seeds, lowest_goodput, overload, simulate_drawn, small_fleet};
use tanager_standins::model::{Settings, goodput_by_step, long_flows, short_flows};

/// Share of the targets' capacity that answers within the objective have to reach.
const MIN_GOODPUT: f64 = 0.8;
/// Seeds for a small fleet.
const SEEDS: usize = 4;

/// Guards against queues that turn all answers late just beyond the capacity.
#[test]
fn goodput_holds_just_beyond_the_capacity() {
    let goodput = lowest_goodput(small_fleet(), 1.3, SEEDS);

    assert!(goodput >= MIN_GOODPUT, "{goodput}");
}

/// The same far beyond the capacity.
#[test]
fn goodput_holds_at_three_times_the_capacity() {
    let goodput = lowest_goodput(small_fleet(), 3.0, SEEDS);

    assert!(goodput >= MIN_GOODPUT, "{goodput}");
}

/// Guards against attempts in vain that take the more of the capacity, the more is asked for.
#[test]
fn goodput_of_a_small_fleet_holds_far_beyond_the_capacity() {
    let loads = [4.0, 6.0, 8.0];
    let goodputs = loads.map(|load| lowest_goodput(small_fleet(), load, 1));

    let holds = goodputs.iter().all(|g| *g >= MIN_GOODPUT);
    assert!(holds, "at {loads:?} times the capacity: {goodputs:.3?}");
}

/// Asserts that the goodput of a fleet holds at several multiples of its capacity.
fn assert_goodput(fleet: &Settings, loads: &[f64]) {
    let goodputs = goodput_by_step(fleet, loads, 1, draw_seeds(1)[0]);

    println!("at {loads:?} times the capacity: {goodputs:.3?}");
    assert!(goodputs.iter().all(|g| *g >= MIN_GOODPUT));
}

/// Guards against targets whose queues are filled by many instances with few requests each, on flows
/// for each request and with targets of unequal speed.
#[test]
fn goodput_of_63_instances_holds_beyond_the_capacity() {
    assert_goodput(&short_flows(63, 120), &[1.3, 3.0, 4.0]);
}

/// The same far beyond the capacity.
#[test]
fn goodput_of_63_instances_holds_far_beyond_the_capacity() {
    assert_goodput(&short_flows(63, 120), &[6.0, 8.0]);
}

/// Guards against the same on long flows, whose requests cannot be placed elsewhere.
#[test]
fn goodput_of_90_instances_holds_beyond_the_capacity() {
    assert_goodput(&long_flows(90, 120), &[1.3, 3.0, 4.0]);
}

/// The same far beyond the capacity.
#[test]
fn goodput_of_90_instances_holds_far_beyond_the_capacity() {
    assert_goodput(&long_flows(90, 120), &[6.0, 8.0]);
}

/// Guards against serving the fewer in time, the more is asked for.
#[test]
fn goodput_does_not_fall_with_more_load() {
    let fleet = small_fleet();
    let beyond = lowest_goodput(fleet.clone(), 1.3, SEEDS);
    let far_beyond = lowest_goodput(fleet, 4.0, SEEDS);

    assert!(far_beyond >= beyond, "{beyond} and {far_beyond}");
}

/// Guards against shedding that lets a fleet below its capacity lose requests.
#[test]
fn no_request_below_the_capacity_fails() {
    let settings = overload(small_fleet(), 0.85);

    let reports = simulate_drawn(&settings, 2 * SEEDS);

    let failed: Vec<_> = reports.iter().map(|r| r.sum().failed).collect();
    assert!(failed.iter().all(|f| *f == 0), "failed by seed: {failed:?}");
}
