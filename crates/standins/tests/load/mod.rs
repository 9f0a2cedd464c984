//! Fixtures: overloaded fleets, drawn seeds and what callers got.

#![allow(dead_code, reason = "each test file uses a part")]

use std::ops::Range;
use std::time::Duration;

use tanager_standins::model::{Burst, Report, Settings, goodput, simulate, two_routes};

/// Load before and after a burst, relative to the capacity.
pub const NORMAL_LOAD: f64 = 0.5;
/// Seconds from the first request to a burst.
const START: u64 = 2;
/// Seconds of a burst.
const LENGTH: u64 = 6;
/// The seconds of a burst.
pub const BURST: Range<u64> = START..START + LENGTH;
/// The seed to repeat, instead of drawn ones.
const SEED_VARIABLE: &str = "MODEL_SEED";

/// Returns a small fleet with an objective that leaves little time to wait.
pub fn small_fleet() -> Settings {
    Settings {
        routes: two_routes(Duration::from_millis(150)),
        ..Settings::default()
    }
}

/// Returns a constant load, relative to the capacity.
pub fn constant(fleet: Settings, load: f64, seconds: u64) -> Settings {
    Settings {
        rate: fleet.capacity() * load,
        length: Duration::from_secs(seconds),
        ..fleet
    }
}

/// Returns a burst by a factor, after which the normal load continues for some seconds.
pub fn burst(fleet: Settings, factor: f64, seconds_after: u64) -> Settings {
    let start = Duration::from_secs(START);
    let burst = Burst::new(start, Duration::from_secs(LENGTH), factor);
    Settings {
        bursts: vec![burst],
        ..constant(fleet, NORMAL_LOAD, BURST.end + seconds_after)
    }
}

/// Returns a load of a multiple of the capacity.
pub fn overload(fleet: Settings, load: f64) -> Settings {
    burst(fleet, load / NORMAL_LOAD, 0)
}

/// Draws seeds and prints them, so that the output of a failed test names them.
pub fn draw_seeds(count: usize) -> Vec<u64> {
    let repeated = std::env::var(SEED_VARIABLE).ok();
    let repeated = repeated.map(|s| s.parse().expect("a seed is a number"));
    let seeds: Vec<u64> = match repeated {
        Some(seed) => vec![seed],
        None => (0..count).map(|_| rand::random()).collect(),
    };
    for seed in &seeds {
        println!("{SEED_VARIABLE}={seed}");
    }
    seeds
}

/// Simulates settings with drawn seeds.
pub fn simulate_drawn(settings: &Settings, count: usize) -> Vec<Report> {
    let seeds = draw_seeds(count).into_iter();
    seeds.map(|seed| simulate(settings, seed)).collect()
}

/// Simulates settings with drawn seeds and adds up the reports.
pub fn simulate_sum(settings: &Settings, count: usize) -> Report {
    let mut sum = Report::default();
    for report in simulate_drawn(settings, count) {
        sum.add(&report);
    }
    sum
}

/// Returns the lowest goodput of drawn seeds during an overload.
pub fn lowest_goodput(fleet: Settings, load: f64, count: usize) -> f64 {
    let settings = overload(fleet, load);
    let reports = simulate_drawn(&settings, count);
    let goodputs = reports.iter().map(|r| goodput(r, &settings, BURST));
    goodputs.fold(f64::INFINITY, f64::min)
}
