//! Limits of owners and services, waiting queues and concurrency.

mod bucket;
mod control;
mod flow_limits;
mod gate;
mod lending;
mod limiter;
mod loan;
mod rate_limits;

pub use control::{Admission, AdmissionError};
pub use gate::{Completion, Permit};
pub use lending::{Lending, ROWS_LIMIT};
pub use loan::{Demand, LimitKey, Loan};

#[cfg(test)]
mod gate_tests;
#[cfg(test)]
mod lending_tests;
#[cfg(test)]
mod tests;
