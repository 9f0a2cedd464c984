//! Tracks the other instances, and which of them read the store for their availability zone.
//!
//! Each zone has a hub: the largest reachable instance that can read the store. Hubs read the
//! store and propagate what they read, with the load of their zone, to the instances of their zone
//! and to the other hubs. An instance that receives no beacon from a hub becomes one itself, so
//! each side of a network partition has hubs. Two hubs in one zone are harmless.

mod loads;
mod outgoing;
mod parts;
mod position;

use std::net::SocketAddrV4;
use std::time::Duration;

use tanager_core::{FastMap, Incarnation, Millis};

use crate::{Beacon, MemberReport, StoreRevision, ViewVersion, ZoneStanding};
pub use loads::LoadSums;
use parts::{HeardLoads, LoadSender};
use position::HeardPosition;
pub use position::{RingPoint, ZonePositions};

/// Interval between beacons.
pub const BEACON_INTERVAL: Duration = Duration::from_millis(400);
/// An instance that has sent no beacon for this long is treated as terminated.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after its last beacon for which an instance is retained, to detect a restart.
const RETENTION: Duration = Duration::from_secs(10);
/// Age of the view from which a leaf no longer relies on its hub and reads the store itself.
const STALE_VIEW_AGE: Duration = Duration::from_millis(2_200);

/// This instance.
#[derive(Debug, Clone, Copy)]
pub struct OwnInstance {
    /// Address at which it receives beacons.
    pub address: SocketAddrV4,
    /// Its incarnation, which changes when it restarts.
    pub incarnation: Incarnation,
    /// Position of its availability zone among the sorted zones of the fleet.
    pub zone: u8,
    /// Its processor share in thousandths of a core.
    pub capacity: u16,
}

/// Another instance.
#[derive(Debug, Clone)]
pub struct Member {
    /// Position of its availability zone.
    pub zone: u8,
    /// Its processor share in thousandths of a core.
    pub capacity: u16,
    /// Whether it can read the store.
    pub store_reachable: bool,
    /// When it last sent a beacon to any instance.
    pub last_seen: Millis,
    /// Whether it has announced that it is about to stop.
    leaving: bool,
    /// What its own last beacon reported; `None` if it was only listed in beacons of others.
    direct: Option<DirectReport>,
}

#[derive(Debug, Clone)]
struct DirectReport {
    incarnation: Incarnation,
    last_seen: Millis,
    hub: bool,
    view: ViewVersion,
    /// When its view was last verified to be complete, on this instance's clock.
    verified: Millis,
    loads: HeardLoads,
}

/// Role of an instance in its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads the store for its zone.
    Hub,
    /// Receives updates from its zone's hub.
    Leaf,
}

/// The other instances of the fleet, as reported by their beacons.
#[derive(Debug)]
pub struct Membership {
    own: OwnInstance,
    seeds: Vec<SocketAddrV4>,
    next_seed: usize,
    last_seed_beacon: Option<Millis>,
    members: FastMap<SocketAddrV4, Member>,
    store_reachable: bool,
    leaving: bool,
    /// Number of the last round of beacons.
    round: u16,
    /// The loads of this instance last sent to the hub.
    to_hub: LoadSender,
    /// As a hub, the loads last sent to the instances of the zone.
    to_zone: LoadSender,
    /// As a hub, the loads last sent to the hubs of other zones.
    to_other_zones: LoadSender,
    /// The position that the hub told last.
    position: Option<HeardPosition>,
}

impl Membership {
    /// Creates a membership without members; the seeds are contacted first.
    #[must_use]
    pub fn new(own: OwnInstance, seeds: Vec<SocketAddrV4>) -> Self {
        let mut membership = Self {
            own,
            seeds: Vec::new(),
            next_seed: 0,
            last_seed_beacon: None,
            members: FastMap::default(),
            store_reachable: true,
            leaving: false,
            round: 0,
            to_hub: LoadSender::default(),
            to_zone: LoadSender::default(),
            to_other_zones: LoadSender::default(),
            position: None,
        };
        membership.set_seeds(seeds);
        membership
    }

    /// Replaces the seeds; the address of this instance is left out.
    pub fn set_seeds(&mut self, mut seeds: Vec<SocketAddrV4>) {
        seeds.retain(|seed| *seed != self.own.address);
        self.seeds = seeds;
    }

    /// Returns the address at which this instance receives beacons.
    #[must_use]
    pub const fn own_address(&self) -> SocketAddrV4 {
        self.own.address
    }

    /// Sets whether this instance can read the store.
    pub const fn set_store_reachable(&mut self, store_reachable: bool) {
        self.store_reachable = store_reachable;
    }

    /// Announces in all further beacons that this instance is about to stop.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Applies a beacon of another instance.
    pub fn apply_beacon(&mut self, beacon: &Beacon, now: Millis) {
        if beacon.from == self.own.address {
            return;
        }
        for report in &beacon.members {
            self.apply_report(report, now);
        }
        self.apply_position(beacon, now);
        let age = Duration::from_millis(u64::from(beacon.age_ms));
        let mut loads = self.take_loads(beacon);
        loads.apply(beacon.load_part, &beacon.loads, &self.to_hub, now);
        let member = Member {
            zone: beacon.zone,
            capacity: beacon.capacity,
            store_reachable: beacon.store_reachable,
            last_seen: now,
            leaving: beacon.leaving,
            direct: Some(DirectReport {
                incarnation: beacon.incarnation,
                last_seen: now,
                hub: beacon.hub,
                view: beacon.view(),
                verified: now - age,
                loads,
            }),
        };
        self.members.insert(beacon.from, member);
    }

    /// Returns the loads that a beacon's sender has reported so far. They are void if it has restarted,
    /// or has become or ceased to be a hub, since a hub reports those of its zone.
    fn take_loads(&mut self, beacon: &Beacon) -> HeardLoads {
        let member = self.members.remove(&beacon.from);
        let same = |d: &DirectReport| d.incarnation == beacon.incarnation && d.hub == beacon.hub;
        let direct = member.and_then(|m| m.direct).filter(same);
        direct.map(|d| d.loads).unwrap_or_default()
    }

    fn apply_report(&mut self, report: &MemberReport, now: Millis) {
        let age = Duration::from_millis(u64::from(report.age) * 100);
        if report.address == self.own.address || age > MEMBER_TIMEOUT {
            return;
        }
        let last_seen = now - age;
        let member = self.members.get_mut(&report.address);
        if let Some(member) = member {
            if member.last_seen < last_seen {
                member.last_seen = last_seen;
                member.store_reachable = report.store_reachable;
            }
            return;
        }
        let member = Member {
            zone: report.zone,
            capacity: report.capacity,
            store_reachable: report.store_reachable,
            last_seen,
            leaving: false,
            direct: None,
        };
        self.members.insert(report.address, member);
    }

    /// Returns the instances that have sent a beacon within [`MEMBER_TIMEOUT`] and are not leaving.
    fn active(&self, now: Millis) -> impl Iterator<Item = (&SocketAddrV4, &Member)> {
        self.members
            .iter()
            .filter(move |(_, m)| !m.leaving && now.since(m.last_seen) <= MEMBER_TIMEOUT)
    }

    /// Returns the active instances of a zone, without this one.
    fn zone_members(
        &self,
        zone: u8,
        now: Millis,
    ) -> impl Iterator<Item = (&SocketAddrV4, &Member)> {
        self.active(now).filter(move |(_, m)| m.zone == zone)
    }

    /// Returns what this instance knows of its own zone.
    #[must_use]
    pub fn zone_standing(&self, now: Millis) -> ZoneStanding {
        let zone = self.zone_members(self.own.zone, now);
        let heard = |m: &Member| {
            let direct = m.direct.as_ref();
            direct.is_some_and(|d| now.since(d.last_seen) <= MEMBER_TIMEOUT)
        };
        ZoneStanding {
            own: self.own.address,
            incarnation: self.own.incarnation,
            zone: self.own.zone,
            hub: self.zone_hub(now),
            members: u32::try_from(zone.count())
                .unwrap_or(u32::MAX)
                .saturating_add(1),
            connected: self.seeds.is_empty() || self.members.values().any(heard),
        }
    }

    /// Returns whether the sender of a beacon is in the local zone and does not know the zone's hub.
    /// The hub does not know it either, so it has to be answered: it hears from nobody else. Only the
    /// first beacon of a round tells, since the others list no members.
    #[must_use]
    pub fn misses_hub(&self, beacon: &Beacon, now: Millis) -> bool {
        let hub = self.zone_hub(now);
        let known = beacon.members.iter().any(|m| m.address == hub);
        let tells = beacon.load_part.index == 0 && beacon.zone == self.own.zone;
        tells && beacon.from != hub && hub != self.own.address && !known
    }

    /// Returns the highest ranked instance of the local zone, perhaps this one.
    fn zone_hub(&self, now: Millis) -> SocketAddrV4 {
        let own_rank = rank(self.own.address, self.own.capacity);
        let own = (self.store_reachable, own_rank, self.own.address);
        let zone = self.zone_members(self.own.zone, now);
        let others = zone.map(|(address, m)| precedence(*address, m));
        let highest = others.max().unwrap_or(own);
        // The others of the zone no longer choose an instance that is leaving.
        if self.leaving {
            highest.2
        } else {
            highest.max(own).2
        }
    }

    /// Evicts instances that have sent no beacon within the retention time.
    pub fn expire(&mut self, now: Millis) {
        self.members
            .retain(|_, m| now.since(m.last_seen) <= RETENTION);
    }

    /// Returns the role of this instance. `view_age` is the time since its view was last verified
    /// to be complete.
    #[must_use]
    pub fn role(&self, view_age: Option<Duration>, now: Millis) -> Role {
        let stale = view_age.is_none_or(|age| age > STALE_VIEW_AGE);
        if self.is_outranked(now) && !stale {
            Role::Leaf
        } else {
            Role::Hub
        }
    }

    /// Returns whether an instance of the zone with a higher rank can read the store.
    #[must_use]
    pub fn is_outranked(&self, now: Millis) -> bool {
        let own = rank(self.own.address, self.own.capacity);
        self.active(now).any(|(address, m)| {
            m.zone == self.own.zone && m.store_reachable && rank(*address, m.capacity) > own
        })
    }

    /// Returns the peer with the newest view, if it is newer than one of version `than`.
    #[must_use]
    pub fn peer_with_newer_view(&self, than: ViewVersion, now: Millis) -> Option<SocketAddrV4> {
        let direct = |(address, m): (&SocketAddrV4, &Member)| {
            let direct = m.direct.as_ref()?;
            // Of equally recent views, one from the local zone costs less to read.
            let near = m.zone == self.own.zone;
            let newer = direct.view.is_newer_than(than);
            newer.then_some((direct.view.revision, near, *address))
        };
        let newest = self.active(now).filter_map(direct).max();
        newest.map(|(_, _, address)| address)
    }

    /// Returns the latest time at which a peer verified a view that is not newer than `revision`. A
    /// view of `revision` was complete at that time, too.
    #[must_use]
    pub fn last_verified(&self, revision: StoreRevision) -> Option<Millis> {
        let direct = self.members.values().filter_map(|m| m.direct.as_ref());
        let covered = direct.filter(|d| !d.view.revision.is_none() && d.view.revision <= revision);
        covered.map(|d| d.verified).max()
    }

    /// Returns the number of other instances that are reachable and not leaving.
    #[must_use]
    pub fn count(&self, now: Millis) -> usize {
        self.active(now).count()
    }

    /// Returns whether a beacon's sender is new or has restarted since its last beacon.
    #[must_use]
    pub fn is_new_incarnation(&self, beacon: &Beacon) -> bool {
        let member = self.members.get(&beacon.from);
        let incarnation = member
            .and_then(|m| m.direct.as_ref())
            .map(|d| d.incarnation);
        incarnation != Some(beacon.incarnation)
    }
}

/// Returns the key by which the members of a zone are ranked: those that can read the store first.
fn precedence(address: SocketAddrV4, member: &Member) -> (bool, (u16, u32), SocketAddrV4) {
    let rank = rank(address, member.capacity);
    (member.store_reachable, rank, address)
}

/// Returns the rank of an instance: larger ones are higher, and a hash of the address breaks ties.
fn rank(address: SocketAddrV4, capacity: u16) -> (u16, u32) {
    let hash = u32::from(*address.ip()).wrapping_mul(0x9e37_79b1);
    (capacity, hash)
}
