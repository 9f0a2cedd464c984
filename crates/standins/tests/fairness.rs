//! Who is served when callers ask for more than the targets can do.

mod load;

use load::{BURST, burst, constant, overload, simulate_sum};
use tanager_standins::model::{
    Cell, DOWNLOADS, FEEDS, ORDERS, Outcomes, Report, Settings, long_flows, short_flows,
};

/// Largest difference between the shares in time of zones with equal demand.
const MAX_ZONE_DIFFERENCE: f64 = 0.02;
/// Share in time of those who ask for no more than before, while others ask for five times as much.
const MIN_NEIGHBOUR_SHARE: f64 = 0.99;
/// Factor by which the others ask for more.
const NEIGHBOUR_FACTOR: f64 = 5.0;
/// Difference between two shares of some thousand requests that occurs by chance.
const CHANCE: f64 = 0.01;
/// Seeds for each load.
const SEEDS: usize = 1;

/// Returns small fleets of both deployments.
fn small_deployments() -> [Settings; 2] {
    [long_flows(8, 24), short_flows(8, 24)]
}

/// Returns the outcomes of the selected requests that started during the burst.
fn in_burst(report: &Report, selects: impl Fn(&Cell) -> bool) -> Outcomes {
    report.total(|cell| BURST.contains(&cell.second) && selects(cell))
}

fn share_of_route(report: &Report, route: usize) -> f64 {
    in_burst(report, |cell| cell.route == route).share()
}

fn share_of_zone(report: &Report, zone: u8) -> f64 {
    in_burst(report, |cell| cell.zone == zone).share()
}

/// Guards against serving the route worst whose requests are worth most, since its attempts cannot
/// be repeated once they run.
#[test]
fn requests_that_must_not_run_twice_are_served_first() {
    let mut shares = Vec::new();
    for fleet in small_deployments() {
        for load in [0.85, 1.3, 3.0, 6.0] {
            let report = simulate_sum(&overload(fleet.clone(), load), SEEDS);
            shares.push([ORDERS, FEEDS, DOWNLOADS].map(|r| share_of_route(&report, r)));
        }
    }

    let ordered = shares
        .iter()
        .all(|[orders, rest @ ..]| rest.iter().all(|r| *orders >= r - CHANCE));
    assert!(ordered, "orders, feeds and downloads: {shares:.3?}");
}

/// Guards against zones that are served worse since they have fewer instances.
#[test]
fn zones_of_equal_demand_are_served_equally() {
    let mut shares = Vec::new();
    for fleet in small_deployments() {
        for load in [1.3, 4.0] {
            let report = simulate_sum(&overload(fleet.clone(), load), SEEDS);
            let mut zones = [0, 1, 2].map(|zone| share_of_zone(&report, zone));
            zones.sort_by(f64::total_cmp);
            shares.push(zones);
        }
    }

    let equal = shares
        .iter()
        .all(|[least, _, most]| most - least <= MAX_ZONE_DIFFERENCE);
    assert!(equal, "zones: {shares:.3?}");
}

/// Guards against a zone that takes the capacity of the others.
#[test]
fn a_zone_within_its_share_is_served_while_another_asks_for_more() {
    let mut shares = Vec::new();
    for fleet in small_deployments() {
        let mut settings = burst(fleet, NEIGHBOUR_FACTOR, 0);
        settings.bursts[0].zone = Some(0);
        let report = simulate_sum(&settings, SEEDS);
        shares.push([1, 2].map(|zone| share_of_zone(&report, zone)));
    }

    let served = shares
        .as_flattened()
        .iter()
        .all(|s| *s >= MIN_NEIGHBOUR_SHARE);
    assert!(served, "zones that ask for no more: {shares:.3?}");
}

/// Guards against a route that takes the capacity of the others.
#[test]
fn a_route_within_its_share_is_served_while_another_asks_for_more() {
    let mut shares = Vec::new();
    for fleet in small_deployments() {
        let mut settings = burst(fleet, NEIGHBOUR_FACTOR, 0);
        settings.bursts[0].route = Some(FEEDS);
        let report = simulate_sum(&settings, SEEDS);
        shares.push([ORDERS, DOWNLOADS].map(|route| share_of_route(&report, route)));
    }

    let served = shares
        .as_flattened()
        .iter()
        .all(|s| *s >= MIN_NEIGHBOUR_SHARE);
    assert!(served, "routes that ask for no more: {shares:.3?}");
}

/// Guards against limits and queues that outlast a burst.
#[test]
fn a_second_after_a_burst_requests_are_served_as_before() {
    let mut shares = Vec::new();
    for fleet in small_deployments() {
        let report = simulate_sum(&burst(fleet, 6.0, 3), SEEDS);
        let share = |from, to| report.total(|c| (from..to).contains(&c.second)).share();
        shares.push([share(0, BURST.start), share(BURST.end + 1, BURST.end + 3)]);
    }

    let recovered = shares
        .iter()
        .all(|[before, after]| *after >= before - CHANCE);
    assert!(recovered, "before and after: {shares:.4?}");
}

/// Guards against instances that fill the queues of some targets while others are free.
#[test]
fn nothing_is_refused_below_the_capacity() {
    let mut counts = Vec::new();
    for fleet in small_deployments() {
        let sum = simulate_sum(&constant(fleet, 0.85, 5), SEEDS).sum();
        counts.push((sum.attempts, sum.refused, sum.resets));
    }

    let none = counts
        .iter()
        .all(|(_, refused, resets)| refused + resets == 0);
    assert!(
        none,
        "attempts, refused by targets, reset by instances: {counts:?}"
    );
}
