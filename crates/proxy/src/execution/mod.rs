//! Requests: one executor for each, at most one run, cached answers and truthful refusals.

mod answers;
mod dispatch;
mod executor;
mod expiry;
mod pause;
mod request;
mod retry;
mod table;

pub use executor::{Execution, Requests};
pub use pause::{PauseGuard, Refresh};
pub use request::{Arrival, Lookup, RequestKey, RequestOutcome};
pub use table::{DEADLINE_LIMIT, KEEP_AFTER_DEADLINE, RequestTable, TableLimits};

#[cfg(test)]
mod executor_tests;
#[cfg(test)]
mod pause_tests;
#[cfg(test)]
mod retry_tests;
#[cfg(test)]
mod table_tests;
