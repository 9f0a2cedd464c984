//! The identity of an instance.

use std::net::SocketAddr;

use tanager_core::{Incarnation, InstanceName, RegionName, ZoneName};
use tanager_wire::Executor;

/// The identity of this instance. It does not change while the process runs.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The name from the settings.
    pub name: InstanceName,
    /// The availability zone from the settings.
    pub zone: ZoneName,
    /// The region from the settings.
    pub region: RegionName,
    /// The incarnation, drawn at random at start.
    pub incarnation: Incarnation,
    /// The address at which peers reach this instance.
    pub address: SocketAddr,
}

impl Identity {
    /// Returns this instance as the executor to be named in a token.
    #[must_use]
    pub const fn executor(&self) -> Executor {
        Executor {
            address: self.address,
            incarnation: self.incarnation,
        }
    }
}
