//! Flows: opening, forwarding by token, moving, ending, and the way back to callers.

mod callers;
mod flows;
mod pending;
mod placing;
mod return_path;

#[cfg(test)]
mod tests;

pub use callers::CallerSocket;
pub use flows::Flows;
pub use pending::{OpenOutcome, PendingOpens, PlacingMark};
pub use return_path::ReturnPath;
