//! Which instances exist: the platform's list, taken as a hint, and what heartbeats say.

mod gossip;
mod heard;
mod list;
mod pull;
mod view;
mod watchers;

pub use gossip::Gossip;
pub use heard::{MEMBERS_LIMIT, Member};
pub use list::{InstanceList, InstanceState, ListedInstance};
pub use pull::Pulls;
pub use view::Membership;
pub use watchers::Watching;

#[cfg(test)]
mod gossip_tests;
#[cfg(test)]
mod pull_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod watchers_tests;
