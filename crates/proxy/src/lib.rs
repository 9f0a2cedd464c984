//! The load balancer as a library. An instance forwards flows by signed tokens, dispatches requests
//! at most once, keeps owners within their limits and counts their usage.
//!
//! [`Node`] assembles the modules. The daemon only reads settings, starts a node and waits for
//! the signal to stop.

pub mod accept;
pub mod admission;
pub mod catalogue;
pub mod execution;
pub mod flow;
pub mod http;
pub mod ingress;
pub mod membership;
pub mod peer;
pub mod routing;
pub mod settings;
pub mod status;
pub mod target;
pub mod telemetry;
pub mod usage;

mod error;
mod identity;
mod node;

pub use error::{Error, Result};
pub use identity::Identity;
pub use node::Node;

#[cfg(test)]
mod accept_tests;
