//! Small stand-ins for the systems around the balancer: platform, targets, fabric and callers.
//!
//! Each is a library type that tests start in their own process, and a thin program. They record
//! what ran and what arrived where; checks compare the balancer's guarantees with these records.
//! The crate also has a seeded simulation of a fleet ([`model`]).

pub mod caller;
pub mod control;
pub mod fabric;
pub mod feed;
pub mod fleet;
pub mod load;
pub mod model;
pub mod network;
pub mod platform;
pub mod ports;
pub mod process;
pub mod program;
pub mod settings;
pub mod target;
pub mod verdict;
