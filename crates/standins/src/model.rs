//! A seeded model of callers, instances and targets in simulated time, to compare policies over
//! many bursts within seconds. Instances run the real forwarder and membership code; callers and
//! targets are minimal models. Equal settings and seeds give equal arrivals and faults. Choices
//! among equal targets may differ, since the hash maps of the forwarders get a new random seed in
//! each process.

mod callers;
mod instances;
mod report;
mod targets;
mod world;

use std::time::Duration;

pub use report::Report;
use world::World;

/// Settings of a simulation.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Availability zones.
    pub zones: u8,
    /// Instances, distributed over the zones.
    pub instances: u16,
    /// Targets, distributed over the zones.
    pub targets: u16,
    /// Requests per second.
    pub rate: f64,
    /// Time within which callers want their answers.
    pub objective: Duration,
    /// Simulated time during which requests arrive.
    pub length: Duration,
    /// Start and length of a burst, and the factor by which it multiplies the rate.
    pub burst: Option<(Duration, Duration, f64)>,
    /// When targets become unreachable, and the share of targets that do, 0 to 1.
    pub vanish: Option<(Duration, f64)>,
    /// Share of packets that each network path loses, 0 to 1.
    pub loss: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zones: 3,
            instances: 8,
            targets: 18,
            rate: 300.0,
            objective: Duration::from_millis(400),
            length: Duration::from_secs(6),
            burst: None,
            vanish: None,
            loss: 0.0,
        }
    }
}

/// Runs a simulation with a seed.
#[must_use]
pub fn simulate(settings: &Settings, seed: u64) -> Report {
    World::new(settings.clone(), seed).simulate()
}
