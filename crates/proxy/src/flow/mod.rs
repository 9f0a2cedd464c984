//! Flows of callers: opening, forwarding by token, moving, closing, and the return path to callers.

mod callers;
mod flows;
mod pending;
mod placement;
mod return_path;

#[cfg(test)]
mod tests;

pub use callers::CallerSocket;
pub use flows::Flows;
pub use pending::{OpenOutcome, PendingOpens, PlacementGuard};
pub use return_path::ReturnPath;
