//! Contents and recipients of beacons.

use std::net::SocketAddrV4;
use std::time::Duration;

use tanager_core::Millis;

use super::parts::MAX_PARTS;
use super::{Member, Membership, Role, precedence};
use crate::{Beacon, LoadReport, MemberReport, ViewVersion};

/// Members of each other zone that a beacon lists at most, so that hubs discover each other.
const FOREIGN_MEMBER_LIMIT: usize = 2;
/// Members of the local zone that a beacon lists at most. The highest ranked become hub next.
const MEMBER_LIMIT: usize = 16;
/// Maximum number of instances to which an instance itself sends a message about a flow. The hub
/// relays it to the rest of the zone.
const FLOW_PEER_LIMIT: usize = 32;
/// Number of datagrams that a hub sends its zone in a round at most, as long as each instance gets
/// [`MIN_PARTS`]. An instance of a large fleet then receives less than 8 KB/s.
const ZONE_DATAGRAMS: usize = 320;
/// Datagrams in which a hub may always report loads to an instance in one round.
const MIN_PARTS: usize = 2;
/// Interval between beacons to a seed. They also reconnect the fleet after a network partition.
const SEED_INTERVAL: Duration = Duration::from_secs(2);

impl Membership {
    /// Returns the addresses to send a beacon to now. An instance that is `searching` has no view
    /// yet and contacts all seeds.
    pub fn recipients(&mut self, role: Role, searching: bool, now: Millis) -> Vec<SocketAddrV4> {
        let mut recipients = match role {
            Role::Hub if !searching => self.hub_recipients(now),
            _ => self.preferred_hub(self.own.zone, now).into_iter().collect(),
        };
        let due = self
            .last_seed_beacon
            .is_none_or(|at| now.since(at) >= SEED_INTERVAL);
        let seeds = if searching {
            self.seeds.clone()
        } else if due || self.count(now) == 0 {
            self.last_seed_beacon = Some(now);
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

    /// Returns the receivers of a message about a flow: the hub of the zone, if there is another one,
    /// and all other known instances, first those of the zone. Instances that are stopping or silent
    /// are among them, since they may be the only ones that know the flow.
    #[must_use]
    pub fn flow_peers(&self, now: Millis) -> (Option<SocketAddrV4>, Vec<SocketAddrV4>) {
        let hub = self.preferred_hub(self.own.zone, now);
        let others = self.members.iter().filter(|(a, _)| Some(**a) != hub);
        let mut others: Vec<_> = others
            .map(|(address, m)| (m.zone != self.own.zone, *address))
            .collect();
        others.sort_unstable();
        others.truncate(FLOW_PEER_LIMIT);
        let others = others.into_iter().map(|(_, address)| address);
        (hub, others.collect())
    }

    /// Returns the instances of the zone, apart from one, to which a hub relays that one's message.
    #[must_use]
    pub fn zone_peers(&self, except: SocketAddrV4) -> Vec<SocketAddrV4> {
        let zone = self.members.iter().filter(|(_, m)| m.zone == self.own.zone);
        let addresses = zone.map(|(address, _)| *address);
        addresses.filter(|a| *a != except).collect()
    }

    fn hub_recipients(&self, now: Millis) -> Vec<SocketAddrV4> {
        let own = self.zone_members(self.own.zone, now);
        let mut recipients: Vec<_> = own.map(|(address, _)| *address).collect();
        for zone in self.foreign_zones(now) {
            recipients.extend(self.preferred_hub(zone, now));
        }
        recipients
    }

    fn foreign_zones(&self, now: Millis) -> Vec<u8> {
        let mut zones: Vec<_> = self.active(now).map(|(_, m)| m.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.retain(|zone| *zone != self.own.zone);
        zones
    }

    /// Returns the highest ranked members of a zone, those that can read the store first.
    fn highest_ranked(&self, zone: u8, count: usize, now: Millis) -> Vec<(SocketAddrV4, &Member)> {
        let members = self.zone_members(zone, now);
        let mut ranked: Vec<_> = members.map(|(address, m)| (*address, m)).collect();
        ranked.sort_unstable_by_key(|(address, m)| std::cmp::Reverse(precedence(*address, m)));
        ranked.truncate(count);
        ranked
    }

    /// Returns the highest ranked member of a zone, which normally is its hub.
    fn preferred_hub(&self, zone: u8, now: Millis) -> Option<SocketAddrV4> {
        let members = self.zone_members(zone, now);
        let highest = members.map(|(address, m)| precedence(*address, m)).max();
        highest.map(|(_, _, address)| address)
    }

    /// Returns the members that a beacon lists.
    fn reports(&self, now: Millis) -> Vec<MemberReport> {
        let mut reports = Vec::new();
        let foreign = self.foreign_zones(now);
        let foreign = foreign.iter().map(|zone| (*zone, FOREIGN_MEMBER_LIMIT));
        for (zone, count) in foreign.chain([(self.own.zone, MEMBER_LIMIT)]) {
            let members = self.highest_ranked(zone, count, now).into_iter();
            reports.extend(members.map(|(address, m)| report(address, m, now)));
        }
        reports
    }

    /// Returns whether a receiver is a known member of the local zone.
    #[must_use]
    pub fn is_same_zone(&self, to: SocketAddrV4) -> bool {
        let member = self.members.get(&to);
        member.is_some_and(|m| m.zone == self.own.zone)
    }

    /// Creates the beacons of a round for a receiver: one with all parts of the loads that fit into
    /// it, and further ones with the rest of the loads. Apart from the position, they are the same for
    /// all receivers in the local zone, and for all receivers in other zones. `own_loads` are those
    /// of this instance alone.
    pub fn beacons(
        &mut self,
        to: SocketAddrV4,
        role: Role,
        (view, view_age): (ViewVersion, Option<Duration>),
        own_loads: &[LoadReport],
        now: Millis,
    ) -> Vec<Beacon> {
        let age = view_age.map_or(u128::from(u32::MAX), |age| age.as_millis());
        let near = self.is_same_zone(to);
        let max_parts = self.max_parts(now);
        self.round = self.round.wrapping_add(1);
        let round = self.round;
        let parts = match role {
            Role::Leaf => self.to_hub.next_round(round, own_loads.to_vec(), MAX_PARTS),
            Role::Hub => {
                let loads = self.hub_loads(own_loads, near, now);
                let sender = if near {
                    &mut self.to_zone
                } else {
                    &mut self.to_other_zones
                };
                sender.next_round(round, loads, max_parts)
            }
        };
        let members = self.reports(now);
        let beacons = parts.into_iter().map(|(load_part, loads)| Beacon {
            from: self.own.address,
            incarnation: self.own.incarnation,
            zone: self.own.zone,
            capacity: self.own.capacity,
            leaving: self.leaving,
            store_reachable: self.store_reachable && !self.leaving,
            // Without a view it has nothing to propagate.
            hub: role == Role::Hub && !view.revision.is_none(),
            revision: view.revision.number,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            members: if load_part.index == 0 {
                members.clone()
            } else {
                Vec::new()
            },
            loads,
            epoch: view.revision.epoch,
            routes: view.routes,
            load_part,
            position: None,
        });
        beacons.collect()
    }

    /// Returns the number of datagrams in which a hub reports loads to each receiver in a round.
    fn max_parts(&self, now: Millis) -> usize {
        let zone = self.zone_members(self.own.zone, now);
        let parts = ZONE_DATAGRAMS.checked_div(zone.count());
        parts.unwrap_or(MAX_PARTS).clamp(MIN_PARTS, MAX_PARTS)
    }
}

fn report(address: SocketAddrV4, member: &Member, now: Millis) -> MemberReport {
    let age = now.since(member.last_seen).as_millis() / 100;
    MemberReport {
        address,
        zone: member.zone,
        capacity: member.capacity,
        store_reachable: member.store_reachable,
        age: u8::try_from(age).unwrap_or(u8::MAX),
    }
}
