//! Which instances exist: the platform's list, taken as a hint, and what heartbeats say.

mod list;
mod view;

pub use list::{InstanceList, InstanceState, ListedInstance};
pub use view::Membership;
