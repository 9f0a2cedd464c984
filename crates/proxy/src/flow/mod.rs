//! Flows: opening, forwarding by token, moving, ending, and the way back to callers.

mod callers;
mod flows;
mod pending;
mod return_path;

pub use callers::CallerSocket;
pub use flows::Flows;
pub use pending::{OpenOutcome, PendingOpens};
pub use return_path::ReturnPath;
