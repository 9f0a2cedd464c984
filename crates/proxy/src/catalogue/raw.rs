use serde::{Deserialize, Serialize};

/// The catalogue as published in YAML, not yet checked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCatalogue {
    /// Counts up with every accepted edit.
    pub revision: u64,
    /// The owners and their limits.
    pub owners: Vec<RawOwner>,
    /// One entry per service.
    pub entries: Vec<RawEntry>,
}

/// An owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOwner {
    /// Unique name.
    pub name: String,
    /// Limits on all services of the owner together.
    pub limits: RawOwnerLimits,
}

/// Limits of an owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOwnerLimits {
    /// Requests a second over the fleet, such as `4000/s`.
    pub requests: String,
    /// Open feeds over the fleet.
    pub flows: u64,
}

/// A service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntry {
    /// Unique name.
    pub service: String,
    /// Unique number, carried in datagrams.
    pub number: u32,
    /// Name of an owner of this catalogue.
    pub owner: String,
    /// `urgent`, `normal` or `background`.
    pub class: String,
    /// Limits of the service.
    pub limits: RawLimits,
    /// The targets.
    pub targets: Vec<RawTarget>,
}

/// Limits of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLimits {
    /// Requests a second over the fleet.
    pub requests: String,
    /// Requests a second that other services of the owner cannot take away.
    pub minimum: String,
    /// Open feeds over the fleet.
    pub flows: u64,
    /// Requests that may wait in one instance.
    pub queue: u32,
}

/// A target.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTarget {
    /// Unique name.
    pub name: String,
    /// Unique number.
    pub number: u32,
    /// TCP address and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Changes when another process takes the address over.
    pub incarnation: u64,
    /// `active` or `leaving`.
    pub state: String,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Open feeds that the target takes.
    pub flows: u32,
}
