//! The choice of a target for new work.

mod health;
mod locality;
mod picker;
mod router;
mod weight;

pub use health::Observation;
pub use picker::{Candidate, Pick, Picker, Tuning, WorkKind};
pub use router::{Choice, Router};

#[cfg(test)]
mod measure_tests;
#[cfg(test)]
mod tests;
