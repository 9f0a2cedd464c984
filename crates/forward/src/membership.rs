//! Which instances there are, and which of them reads the store for its availability zone.
//!
//! Each zone has a hub: the largest instance that is heard from and can read the store. Hubs
//! read the store and pass on what they read, with the load of their zone, to the instances of
//! their zone and to the other hubs. An instance that hears from no hub is one itself, so every
//! part of a divided fleet has hubs. Two hubs in a zone are harmless.

mod loads;
mod outgoing;

use std::net::SocketAddrV4;
use std::time::Duration;

use tanager_core::{FastMap, Incarnation, Millis};

use crate::{Beacon, LoadReport, MemberReport};
pub use loads::LoadSums;

/// Time between two beacons.
pub const BEACON_INTERVAL: Duration = Duration::from_millis(400);
/// An instance that has not been heard from for this long is taken as gone.
const MEMBER_LIFETIME: Duration = Duration::from_millis(1_500);
/// How long an instance is remembered after it was last heard from, to tell its next life.
const REMEMBERED: Duration = Duration::from_secs(10);
/// How long a hub's reading may be in doubt before the next instance reads, too.
const VIEW_DOUBT: Duration = Duration::from_millis(2_200);

/// The instance itself.
#[derive(Debug, Clone, Copy)]
pub struct OwnInstance {
    /// Where it receives beacons.
    pub address: SocketAddrV4,
    /// This life of it.
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
    pub reads: bool,
    /// When it was last heard from, by anyone.
    pub last_seen: Millis,
    /// Whether it said that it is about to stop.
    left: bool,
    /// What it said itself, if it did.
    direct: Option<Direct>,
}

#[derive(Debug, Clone)]
struct Direct {
    incarnation: Incarnation,
    last_seen: Millis,
    hub: bool,
    revision: u64,
    /// When its view was known to be complete, on this instance's clock.
    verified: Millis,
    loads: Vec<LoadReport>,
}

/// What the instance does for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It reads the store for its zone.
    Hub,
    /// It learns from its zone's hub.
    Leaf,
}

/// What is known of the other instances.
#[derive(Debug)]
pub struct Membership {
    own: OwnInstance,
    seeds: Vec<SocketAddrV4>,
    next_seed: usize,
    seeded: Option<Millis>,
    members: FastMap<SocketAddrV4, Member>,
    reads: bool,
    leaving: bool,
    /// The own loads that the hub was last told.
    reported: Vec<LoadReport>,
}

impl Membership {
    /// Creates the membership of an instance that knows only seeds.
    #[must_use]
    pub fn new(own: OwnInstance, seeds: Vec<SocketAddrV4>) -> Self {
        let mut membership = Self {
            own,
            seeds: Vec::new(),
            next_seed: 0,
            seeded: None,
            members: FastMap::default(),
            reads: true,
            leaving: false,
            reported: Vec::new(),
        };
        membership.set_seeds(seeds);
        membership
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, mut seeds: Vec<SocketAddrV4>) {
        seeds.retain(|seed| *seed != self.own.address);
        self.seeds = seeds;
    }

    /// Notes whether this instance can read the store.
    pub const fn set_reads(&mut self, reads: bool) {
        self.reads = reads;
    }

    /// Notes that this instance is about to stop.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes a beacon of another instance.
    pub fn apply_beacon(&mut self, beacon: &Beacon, now: Millis) {
        if beacon.from == self.own.address {
            return;
        }
        for report in &beacon.members {
            self.hear_of(report, now);
        }
        let age = Duration::from_millis(u64::from(beacon.age_ms));
        let member = Member {
            zone: beacon.zone,
            capacity: beacon.capacity,
            reads: beacon.reads,
            last_seen: now,
            left: beacon.leaving,
            direct: Some(Direct {
                incarnation: beacon.incarnation,
                last_seen: now,
                hub: beacon.hub,
                revision: beacon.revision,
                verified: now - age,
                loads: beacon.loads.clone(),
            }),
        };
        self.members.insert(beacon.from, member);
    }

    fn hear_of(&mut self, report: &MemberReport, now: Millis) {
        let age = Duration::from_millis(u64::from(report.age) * 100);
        if report.address == self.own.address || age > MEMBER_LIFETIME {
            return;
        }
        let last_seen = now - age;
        let known = self.members.get_mut(&report.address);
        if let Some(known) = known {
            if known.last_seen < last_seen {
                known.last_seen = last_seen;
                known.reads = report.reads;
            }
            return;
        }
        let member = Member {
            zone: report.zone,
            capacity: report.capacity,
            reads: report.reads,
            last_seen,
            left: false,
            direct: None,
        };
        self.members.insert(report.address, member);
    }

    /// Returns the instances that were heard from lately and stay.
    fn present(&self, now: Millis) -> impl Iterator<Item = (&SocketAddrV4, &Member)> {
        self.members
            .iter()
            .filter(move |(_, m)| !m.left && now.since(m.last_seen) <= MEMBER_LIFETIME)
    }

    /// Forgets instances that have not been heard from.
    pub fn expire(&mut self, now: Millis) {
        self.members
            .retain(|_, m| now.since(m.last_seen) <= REMEMBERED);
    }

    /// Returns the role of this instance. `view_age` is the time since its view was known to be
    /// complete.
    #[must_use]
    pub fn role(&self, view_age: Option<Duration>, now: Millis) -> Role {
        let doubtful = view_age.is_none_or(|age| age > VIEW_DOUBT);
        if self.is_outranked(now) && !doubtful {
            Role::Leaf
        } else {
            Role::Hub
        }
    }

    /// Returns whether a higher ranked instance of the zone can read the store.
    #[must_use]
    pub fn is_outranked(&self, now: Millis) -> bool {
        let own = rank(self.own.address, self.own.capacity);
        self.present(now).any(|(address, m)| {
            m.zone == self.own.zone && m.reads && rank(*address, m.capacity) > own
        })
    }

    /// Returns the peer with the newest view, if it is newer than `revision`.
    #[must_use]
    pub fn peer_with_newer_view(&self, revision: u64, now: Millis) -> Option<SocketAddrV4> {
        let direct = |(address, m): (&SocketAddrV4, &Member)| {
            let direct = m.direct.as_ref()?;
            // Of equal views, one of the own zone costs less to read.
            let near = m.zone == self.own.zone;
            (direct.revision > revision).then_some((direct.revision, near, *address))
        };
        let newest = self.present(now).filter_map(direct).max();
        newest.map(|(_, _, address)| address)
    }

    /// Returns the latest time at which a peer's view was complete that is no newer than this
    /// revision. A view of this revision was complete at that time, too.
    #[must_use]
    pub fn last_verified(&self, revision: u64) -> Option<Millis> {
        let direct = self.members.values().filter_map(|m| m.direct.as_ref());
        let covered = direct.filter(|d| d.revision > 0 && d.revision <= revision);
        covered.map(|d| d.verified).max()
    }

    /// Returns the number of other instances that were heard from lately.
    #[must_use]
    pub fn count(&self, now: Millis) -> usize {
        self.present(now).count()
    }

    /// Returns whether a beacon's sender was not known in this life of it.
    #[must_use]
    pub fn is_new_incarnation(&self, beacon: &Beacon) -> bool {
        let known = self.members.get(&beacon.from);
        let life = known.and_then(|m| m.direct.as_ref()).map(|d| d.incarnation);
        life != Some(beacon.incarnation)
    }
}

/// Larger instances rank first; addresses decide between equal ones.
fn rank(address: SocketAddrV4, capacity: u16) -> (u16, u32) {
    let spread = u32::from(*address.ip()).wrapping_mul(0x9e37_79b1);
    (capacity, spread)
}
