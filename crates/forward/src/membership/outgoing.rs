//! What an instance tells others, and whom.

use std::net::SocketAddrV4;
use std::time::Duration;

use tanager_core::Millis;

use super::{Member, Membership, Role, rank};
use crate::{Beacon, LoadReport, MemberReport};

/// Members of another zone that a beacon names, so that hubs find each other.
const FOREIGN_MEMBERS: usize = 2;
/// Members of the own zone that a beacon names at most. The first of them take over as hub.
const MEMBER_LIMIT: usize = 16;
/// Time between two beacons to a seed, which also joins the parts of a divided fleet again.
const SEED_INTERVAL: Duration = Duration::from_secs(2);

impl Membership {
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
    pub fn is_same_zone(&self, to: SocketAddrV4) -> bool {
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
            Role::Hub => self.summed(own_loads, self.is_same_zone(to), now),
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

fn report(address: SocketAddrV4, member: &Member, now: Millis) -> MemberReport {
    let age = now.since(member.last_seen).as_millis() / 100;
    MemberReport {
        address,
        zone: member.zone,
        capacity: member.capacity,
        reads: member.reads,
        age: u8::try_from(age).unwrap_or(u8::MAX),
    }
}
