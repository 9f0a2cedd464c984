//! A seeded model of callers, instances and targets in simulated time, to compare policies over
//! many bursts within seconds. Instances run the real forwarder and membership code; callers and
//! targets are minimal models. Equal settings and seeds give equal arrivals and faults. Choices
//! among equal targets may differ, since the hash maps of the forwarders get a new random seed in
//! each process.

mod baseline;
mod callers;
mod deployments;
mod instances;
mod packet;
mod report;
mod settings;
mod steps;
mod targets;
mod world;

pub use deployments::{DOWNLOADS, FEEDS, ORDERS, long_flows, short_flows, two_routes};
pub use report::{Cell, Outcomes, Report};
pub use settings::{Burst, Evacuation, Policy, RouteSettings, Settings, Slowdown, Spread};
pub use steps::{goodput, goodput_by_step};
use world::World;

/// Runs a simulation with a seed.
#[must_use]
pub fn simulate(settings: &Settings, seed: u64) -> Report {
    World::new(settings.clone(), seed).simulate()
}
