//! Which instances exist: the platform's list, taken as a hint, and what heartbeats say.

mod gossip;
mod heard;
mod list;
mod view;

pub use gossip::Gossip;
pub use heard::{MEMBERS_LIMIT, Member};
pub use list::{InstanceList, InstanceState, ListedInstance};
pub use view::Membership;

#[cfg(test)]
mod gossip_tests;
#[cfg(test)]
mod tests;
