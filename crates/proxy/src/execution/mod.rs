//! Requests: one executor for each, at most one run, cached answers and truthful refusals.

mod executor;
mod table;

pub use executor::Execution;
pub use table::{Ending, Lookup, RequestTable};
