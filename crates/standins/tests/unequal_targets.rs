//! Targets of unequal speed, each of which should get work according to its speed.

mod load;

use load::{BURST, burst, constant, simulate_drawn, simulate_sum};
use tanager_standins::model::{Cell, ORDERS, Report, Settings, short_flows};

/// Busy time of the busiest target relative to the mean.
const MAX_BUSIEST: f64 = 1.15;
/// Share of the non-repeatable requests that have to be answered in time.
const MIN_SHARE: f64 = 0.95;
/// Share of their attempts that targets may refuse.
const MAX_REFUSED: f64 = 0.01;
/// Load before the burst of non-repeatable requests, which brings it to 0.8 of the capacity.
const LOAD: f64 = 0.4;
/// Factor by which the non-repeatable requests become more.
const FACTOR: f64 = 6.0;

/// Returns a burst of non-repeatable requests alone.
fn burst_of_orders(fleet: Settings) -> Settings {
    let mut settings = burst(fleet, FACTOR, 0);
    settings.bursts[0].route = Some(ORDERS);
    settings.rate = settings.capacity() * LOAD;
    settings
}

/// Guards against slow targets with full queues while fast ones have free slots.
#[test]
fn a_burst_of_one_route_below_the_capacity_is_served() {
    let mut shares = Vec::new();
    for fleet in [short_flows(8, 24), short_flows(63, 120)] {
        let report = simulate_sum(&burst_of_orders(fleet), 1);
        let in_burst = |c: &Cell| BURST.contains(&c.second);
        let orders = report.total(|c| c.route == ORDERS && in_burst(c));
        shares.push([orders.share(), report.total(in_burst).refused_share()]);
    }

    let served = |[share, refused]: &[f64; 2]| *share >= MIN_SHARE && *refused <= MAX_REFUSED;
    let all_served = shares.iter().all(served);
    assert!(all_served, "in time and refused: {shares:.4?}");
}

fn busiest(report: &Report, settings: &Settings) -> f64 {
    let targets = usize::from(settings.targets - settings.second);
    report.busiest(&(1..11), 0..targets)
}

/// Guards against targets that get more work than others in proportion to their speed.
#[test]
fn work_is_distributed_by_speed() {
    let settings = constant(short_flows(8, 24), 0.7, 11);

    let reports = simulate_drawn(&settings, 2);

    let busiest: Vec<_> = reports.iter().map(|r| busiest(r, &settings)).collect();
    let even = busiest.iter().all(|b| *b <= MAX_BUSIEST);
    assert!(even, "busiest over mean by seed: {busiest:.3?}");
}

/// The same with many instances, each of which knows little of the load.
#[test]
fn work_of_many_instances_is_distributed_by_speed() {
    let settings = constant(short_flows(63, 120), 0.7, 11);

    let reports = simulate_drawn(&settings, 1);

    let busiest = busiest(&reports[0], &settings);
    assert!(busiest <= MAX_BUSIEST, "busiest over mean: {busiest:.3}");
}
