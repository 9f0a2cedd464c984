//! Goodput over the load, from simulations whose load changes step by step.

use std::ops::Range;
use std::time::Duration;

use super::{Burst, Report, Settings, simulate};

/// Load before the first step, relative to the capacity.
const NORMAL_LOAD: f64 = 0.5;
/// Seconds from the first request to the first step.
const START: u64 = 2;

/// Returns the goodput of a window in seconds: the answers within the objective per second, relative
/// to the capacity.
#[must_use]
pub fn goodput(report: &Report, settings: &Settings, window: Range<u64>) -> f64 {
    report.served(window) / settings.capacity()
}

/// Simulates a fleet under several loads in turn, relative to its capacity, each for some seconds.
/// Returns the goodput under each.
#[must_use]
pub fn goodput_by_step(fleet: &Settings, loads: &[f64], seconds: u64, seed: u64) -> Vec<f64> {
    let starts = (START..).step_by(usize::try_from(seconds).unwrap_or(usize::MAX));
    let steps: Vec<_> = starts.map(|s| s..s + seconds).zip(loads).collect();
    let burst = |(step, load): &(Range<u64>, &f64)| {
        let start = Duration::from_secs(step.start);
        Burst::new(start, Duration::from_secs(seconds), *load / NORMAL_LOAD)
    };
    let settings = Settings {
        rate: fleet.capacity() * NORMAL_LOAD,
        length: Duration::from_secs(START + seconds * loads.len() as u64),
        bursts: steps.iter().map(burst).collect(),
        ..fleet.clone()
    };
    let report = simulate(&settings, seed);
    let goodputs = steps.into_iter();
    let goodputs = goodputs.map(|(step, _)| goodput(&report, &settings, step));
    goodputs.collect()
}
