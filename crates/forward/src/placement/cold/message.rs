//! Messages by which instances request and receive grants for cold targets.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use tanager_core::{Incarnation, Millis};

use crate::Cookie;

/// Requests grants from the hub of the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupRequest {
    /// Address at which the sender receives beacons.
    pub from: SocketAddrV4,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Position of its zone among all zones.
    pub zone: u8,
    /// When it was sent, on the sender's clock.
    pub sent: Millis,
    /// Largest number of instances of the zone that the sender has recently known.
    pub zone_size: u32,
}

/// The hub's answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupGrant {
    /// The hub's address.
    pub from: SocketAddrV4,
    /// The incarnation that sent the request.
    pub to: Incarnation,
    /// The time in the request, on the clock of the receiver of the grant.
    pub requested: Millis,
    /// Largest number of instances of the zone that the hub has recently known.
    pub zone_size: u32,
    /// The granted targets with the minimum time in milliseconds between two openings.
    pub targets: Vec<(Cookie, u32)>,
}

/// A message about grants for cold targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WarmupMessage {
    /// Requests grants, or their renewal.
    Request(WarmupRequest),
    /// Answers a request.
    Grant(WarmupGrant),
}
