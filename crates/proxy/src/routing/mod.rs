//! The choice of a target for new work.

mod router;

pub use router::{Choice, Observation, Placement, Router};
