//! Order, bounds and fair shares of requests that wait for the capacity of a service.
//!
//! The load that this crate addresses is more requests than a service can complete in time. It
//! decides which of them are served first, which are refused at once and which are displaced. It
//! knows neither packets nor clocks: callers pass in what they demand and the present time.

mod demand;
mod groups;
mod meter;
mod order;
mod queue;
mod shares;

pub use demand::{Demand, GroupId};
pub use meter::RateMeter;
pub use queue::{LatePolicy, Pushed, Refusal, Ticket, WaitQueue};
pub use shares::FairShares;
