//! A seeded model of callers, instances and targets in simulated time, to compare policies over
//! many bursts in seconds. Instances are real forwarders and memberships; callers and targets
//! are as simple as they can be. Equal settings and seeds give equal arrivals and faults; choices among
//! equal targets may differ, since hash maps of the forwarders are seeded anew in each process.

mod callers;
mod instances;
mod report;
mod targets;
mod world;

use std::time::Duration;

pub use report::Report;
use world::World;

/// What a model plays.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Availability zones.
    pub zones: u8,
    /// Instances, spread over the zones.
    pub instances: u16,
    /// Targets, spread over the zones.
    pub targets: u16,
    /// Requests a second.
    pub rate: f64,
    /// Length of the play.
    pub length: Duration,
    /// From when on, and for how long, the rate is how many times as high.
    pub burst: Option<(Duration, Duration, f64)>,
    /// When, and what part of the targets vanishes.
    pub vanish: Option<(Duration, f64)>,
    /// Part of packets that each path loses.
    pub loss: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zones: 3,
            instances: 8,
            targets: 18,
            rate: 300.0,
            length: Duration::from_secs(6),
            burst: None,
            vanish: None,
            loss: 0.0,
        }
    }
}

/// Plays settings with a seed.
#[must_use]
pub fn simulate(settings: &Settings, seed: u64) -> Report {
    World::new(settings.clone(), seed).simulate()
}
