//! Links to targets: one TCP connection with a verified identity for each target of the catalogue.

mod connection;
mod error;
mod link;
mod ping;
mod pool;
mod run;
mod session;

#[cfg(test)]
mod link_tests;
#[cfg(test)]
mod session_tests;
#[cfg(test)]
mod tests;

pub use error::LinkError;
pub use link::{LoadView, TargetLink};
pub use pool::TargetPool;
pub use run::{RunOutcome, RunRequest};
