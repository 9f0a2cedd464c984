//! Which instances there are, and which of them reads the store for its availability zone.
//!
//! Each zone has a hub: the largest instance that is heard from and can read the store. Hubs
//! read the store and pass on what they read, with the load of their zone, to the instances of
//! their zone and to the other hubs. An instance that hears from no hub is one itself, so every
//! part of a divided fleet has hubs. Two hubs in a zone are harmless.

mod loads;

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
/// Members of another zone that a beacon names, so that hubs find each other.
const FOREIGN_MEMBERS: usize = 2;
/// How long a hub's reading may be in doubt before the next instance reads, too.
const VIEW_DOUBT: Duration = Duration::from_millis(2_200);
/// Members of the own zone that a beacon names at most. The first of them take over as hub.
const MEMBER_LIMIT: usize = 16;
/// Time between two beacons to a seed, which also joins the parts of a divided fleet again.
const SEED_INTERVAL: Duration = Duration::from_secs(2);

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
    pub heard: Millis,
    /// Whether it said that it is about to stop.
    left: bool,
    /// What it said itself, if it did.
    direct: Option<Direct>,
}

#[derive(Debug, Clone)]
struct Direct {
    incarnation: Incarnation,
    heard: Millis,
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
    pub fn hear(&mut self, beacon: &Beacon, now: Millis) {
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
            heard: now,
            left: beacon.leaving,
            direct: Some(Direct {
                incarnation: beacon.incarnation,
                heard: now,
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
        let heard = now - age;
        let known = self.members.get_mut(&report.address);
        if let Some(known) = known {
            if known.heard < heard {
                known.heard = heard;
                known.reads = report.reads;
            }
            return;
        }
        let member = Member {
            zone: report.zone,
            capacity: report.capacity,
            reads: report.reads,
            heard,
            left: false,
            direct: None,
        };
        self.members.insert(report.address, member);
    }

    /// Returns the instances that were heard from lately and stay.
    fn present(&self, now: Millis) -> impl Iterator<Item = (&SocketAddrV4, &Member)> {
        self.members
            .iter()
            .filter(move |(_, m)| !m.left && now.since(m.heard) <= MEMBER_LIFETIME)
    }

    /// Forgets instances that have not been heard from.
    pub fn expire(&mut self, now: Millis) {
        self.members.retain(|_, m| now.since(m.heard) <= REMEMBERED);
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
    pub fn newer_view(&self, revision: u64, now: Millis) -> Option<SocketAddrV4> {
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
    pub fn verified(&self, revision: u64) -> Option<Millis> {
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
    pub fn is_new(&self, beacon: &Beacon) -> bool {
        let known = self.members.get(&beacon.from);
        let life = known.and_then(|m| m.direct.as_ref()).map(|d| d.incarnation);
        life != Some(beacon.incarnation)
    }

    /// Returns whom to send a beacon now. An instance that is `searching` knows no view yet and
    /// asks all seeds.
    pub fn recipients(&mut self, role: Role, searching: bool, now: Millis) -> Vec<SocketAddrV4> {
        let mut recipients = match role {
            Role::Hub if !searching => self.hub_recipients(now),
            _ => self.first(self.own.zone, now).into_iter().collect(),
        };
        let due = self.seeded.is_none_or(|at| now.since(at) >= SEED_INTERVAL);
        let seeds = if searching {
            self.seeds.clone()
        } else if due || self.count(now) == 0 {
            self.seeded = Some(now);
            self.next_seed += 1;
            let next = self.next_seed.checked_rem(self.seeds.len());
            next.map(|i| self.seeds[i]).into_iter().collect()
        } else {
            Vec::new()
        };
        for seed in seeds {
            if !recipients.contains(&seed) {
                recipients.push(seed);
            }
        }
        recipients
    }

    fn hub_recipients(&self, now: Millis) -> Vec<SocketAddrV4> {
        let own = self.present(now).filter(|(_, m)| m.zone == self.own.zone);
        let mut recipients: Vec<_> = own.map(|(address, _)| *address).collect();
        for zone in self.foreign_zones(now) {
            recipients.extend(self.first(zone, now));
        }
        recipients
    }

    fn foreign_zones(&self, now: Millis) -> Vec<u8> {
        let mut zones: Vec<_> = self.present(now).map(|(_, m)| m.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.retain(|zone| *zone != self.own.zone);
        zones
    }

    /// Returns the highest ranked members of a zone, those that can read the store first.
    fn best(&self, zone: u8, count: usize, now: Millis) -> Vec<(SocketAddrV4, &Member)> {
        let members = self.present(now).filter(|(_, m)| m.zone == zone);
        let mut ranked: Vec<_> = members.map(|(address, m)| (*address, m)).collect();
        ranked.sort_unstable_by_key(|(address, m)| {
            std::cmp::Reverse((m.reads, rank(*address, m.capacity), *address))
        });
        ranked.truncate(count);
        ranked
    }

    /// Returns the highest ranked member of a zone.
    fn first(&self, zone: u8, now: Millis) -> Option<SocketAddrV4> {
        let best = self.best(zone, 1, now);
        best.first().map(|(address, _)| *address)
    }

    /// Returns the members that a receiver should know.
    fn reports(&self, now: Millis) -> Vec<MemberReport> {
        let mut reports = Vec::new();
        let foreign = self.foreign_zones(now);
        let foreign = foreign.iter().map(|zone| (*zone, FOREIGN_MEMBERS));
        for (zone, count) in foreign.chain([(self.own.zone, MEMBER_LIMIT)]) {
            let best = self.best(zone, count, now).into_iter();
            reports.extend(best.map(|(address, m)| report(address, m, now)));
        }
        reports
    }

    /// Returns whether a receiver is known to be in the own zone.
    #[must_use]
    pub fn is_near(&self, to: SocketAddrV4) -> bool {
        let member = self.members.get(&to);
        member.is_some_and(|m| m.zone == self.own.zone)
    }

    /// Creates a beacon for a receiver. It is the same for all receivers of the own zone, and for
    /// all others. `own_loads` are those of this instance alone.
    pub fn beacon(
        &mut self,
        to: SocketAddrV4,
        role: Role,
        (revision, view_age): (u64, Option<Duration>),
        own_loads: &[LoadReport],
        now: Millis,
    ) -> Beacon {
        let age = view_age.map_or(u128::from(u32::MAX), |age| age.as_millis());
        let loads = match role {
            Role::Leaf => {
                self.reported = own_loads.to_vec();
                own_loads.to_vec()
            }
            Role::Hub => self.summed(own_loads, self.is_near(to), now),
        };
        Beacon {
            from: self.own.address,
            incarnation: self.own.incarnation,
            zone: self.own.zone,
            capacity: self.own.capacity,
            leaving: self.leaving,
            reads: self.reads && !self.leaving,
            // Without a view it has nothing to pass on.
            hub: role == Role::Hub && revision > 0,
            revision,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            members: self.reports(now),
            loads,
        }
    }
}

/// Larger instances rank first; addresses decide between equal ones.
fn rank(address: SocketAddrV4, capacity: u16) -> (u16, u32) {
    let spread = u32::from(*address.ip()).wrapping_mul(0x9e37_79b1);
    (capacity, spread)
}

fn report(address: SocketAddrV4, member: &Member, now: Millis) -> MemberReport {
    let age = now.since(member.heard).as_millis() / 100;
    MemberReport {
        address,
        zone: member.zone,
        capacity: member.capacity,
        reads: member.reads,
        age: u8::try_from(age).unwrap_or(u8::MAX),
    }
}
