//! The instances of the fleet, from the platform's list, which may lag, and from heartbeats.

mod gossip;
mod instance_table;
mod list;
mod pull;
mod view;
mod watchers;

pub use gossip::Gossip;
pub use instance_table::{MEMBERS_LIMIT, Member};
pub use list::{InstanceList, InstanceState, ListedInstance};
pub use pull::Pulls;
pub use view::Membership;
pub use watchers::WatchRole;

#[cfg(test)]
mod gossip_tests;
#[cfg(test)]
mod pull_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod watchers_tests;
