//! Positions of the instances in their availability zone, from which each derives its subset of
//! the targets.

use std::net::SocketAddrV4;
use std::time::Duration;

use tanager_core::Millis;

use super::{Membership, Role, rank};
use crate::hash::hash_fraction;
use crate::{Beacon, ZonePosition};

/// Time for which a position told by a hub is used without another one.
const POSITION_LIFETIME: Duration = Duration::from_secs(5);
/// Time after its last position from which a hub no longer has precedence over others.
const HUB_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The position that a hub told this instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeardPosition {
    position: ZonePosition,
    hub_rank: (u16, u32),
    at: Millis,
}

/// The instances of a zone, sorted by address.
#[derive(Debug, Clone)]
pub struct ZonePositions(Vec<SocketAddrV4>);

impl ZonePositions {
    /// Returns the position of an instance, if it is in the zone.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<ZonePosition> {
        let index = self.0.binary_search(&address).ok()?;
        Some(ZonePosition {
            index: u16::try_from(index).ok()?,
            count: u16::try_from(self.0.len()).ok()?,
        })
    }
}

/// Where the subset of an instance begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RingPoint {
    /// Fraction of the ring before the instance. Invariant: at least 0 and less than 1.
    pub point: f64,
    /// Number of instances that share the ring. Invariant: at least 1.
    pub instances: u16,
}

impl Default for RingPoint {
    fn default() -> Self {
        Self {
            point: 0.0,
            instances: 1,
        }
    }
}

impl From<ZonePosition> for RingPoint {
    fn from(position: ZonePosition) -> Self {
        let instances = position.count.max(1);
        Self {
            point: f64::from(position.index.min(instances - 1)) / f64::from(instances),
            instances,
        }
    }
}

impl Membership {
    /// Returns the positions of this instance and the members of its zone.
    #[must_use]
    pub fn zone_positions(&self, now: Millis) -> ZonePositions {
        let zone = self.zone_members(self.own.zone, now);
        let mut addresses: Vec<_> = zone.map(|(address, _)| *address).collect();
        if !self.leaving {
            addresses.push(self.own.address);
        }
        addresses.sort_unstable();
        ZonePositions(addresses)
    }

    /// Takes over the position that a beacon tells. While several hubs tell different ones, that of
    /// the highest ranked hub counts.
    pub(super) fn apply_position(&mut self, beacon: &Beacon, now: Millis) {
        let Some(position) = beacon.position else {
            return;
        };
        if !beacon.hub || beacon.zone != self.own.zone || position.index >= position.count {
            return;
        }
        let hub_rank = rank(beacon.from, beacon.capacity);
        let outranked = |p: &HeardPosition| p.hub_rank > hub_rank && now.since(p.at) < HUB_TIMEOUT;
        if !self.position.as_ref().is_some_and(outranked) {
            self.position = Some(HeardPosition {
                position,
                hub_rank,
                at: now,
            });
        }
    }

    /// Returns where this instance's subset of its zone's targets begins. Without a position from a
    /// hub it follows from a hash of the address and the known members.
    #[must_use]
    pub fn ring_point(&self, role: Role, now: Millis) -> RingPoint {
        let positions = || self.zone_positions(now);
        let position = match role {
            Role::Hub => positions().get(self.own.address),
            Role::Leaf => {
                let recent = |p: &HeardPosition| now.since(p.at) < POSITION_LIFETIME;
                self.position.filter(recent).map(|p| p.position)
            }
        };
        position.map_or_else(|| self.hashed_point(&positions()), RingPoint::from)
    }

    fn hashed_point(&self, positions: &ZonePositions) -> RingPoint {
        RingPoint {
            point: hash_fraction(self.own.address),
            instances: u16::try_from(positions.0.len()).unwrap_or(u16::MAX).max(1),
        }
    }
}
