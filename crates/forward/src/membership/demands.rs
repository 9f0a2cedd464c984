//! Offered and admitted requests of each zone, which hubs sum and pass on.

use std::net::SocketAddrV4;

use tanager_core::{FastMap, Millis, PublishedService};

use super::{Membership, Role};
use crate::load::REPORT_LIFETIME;
use crate::{DemandReport, OfferedLoad, PeerDemands, ZoneDemand};

/// Maximum number of demands in a beacon: those of 16 services in three zones.
const DEMAND_LIMIT: usize = 48;

/// Sums of demands by service and zone.
type DemandSums = FastMap<(PublishedService, u8), OfferedLoad>;

impl Membership {
    /// Sets the rates of requests that this instance was offered and has admitted, for the next
    /// beacons.
    pub fn set_demands(&mut self, demands: Vec<(PublishedService, OfferedLoad)>) {
        let zone = self.own.zone;
        let demands = demands.into_iter().map(|(service, load)| ZoneDemand {
            service,
            zone,
            load,
        });
        self.own_demands = demands.collect();
    }

    /// Returns the demands that a beacon reports: those of this instance; of a hub those of its zone,
    /// and to its own zone those of the others as well.
    pub(super) fn demand_reports(
        &mut self,
        role: Role,
        to: SocketAddrV4,
        now: Millis,
    ) -> Vec<DemandReport> {
        if role == Role::Leaf {
            self.reported_demands.clone_from(&self.own_demands);
            return self.own_demands.iter().map(DemandReport::new).collect();
        }
        let mut sums = self.zone_demands(now);
        if self.is_same_zone(to) {
            add(&mut sums, &self.foreign_demands(now), 1.0);
        }
        add(&mut sums, &self.own_demands, 1.0);
        let mut demands = listed(sums);
        demands.sort_by(|a, b| b.load.offered.total_cmp(&a.load.offered));
        demands.truncate(DEMAND_LIMIT);
        demands.iter().map(DemandReport::new).collect()
    }

    /// Returns the recently reported demands of all instances except this one.
    #[must_use]
    pub fn peer_demands(&self, role: Role, now: Millis) -> PeerDemands {
        let sums = match role {
            Role::Hub => {
                let mut sums = self.zone_demands(now);
                add(&mut sums, &self.foreign_demands(now), 1.0);
                sums
            }
            Role::Leaf => self.hub_demands(now),
        };
        PeerDemands {
            own_zone: self.own.zone,
            demands: listed(sums),
        }
    }

    /// Sums the demands that the leaves of the zone reported.
    fn zone_demands(&self, now: Millis) -> DemandSums {
        let members = self.members.values().filter(|m| m.zone == self.own.zone);
        let reports = members.filter_map(|m| m.direct.as_ref());
        let mut sums = DemandSums::default();
        // A second hub of the zone reports the demands of the same instances again.
        for report in reports.filter(|d| !d.hub && now.since(d.last_seen) < REPORT_LIFETIME) {
            let demands: Vec<_> = report.demands.iter().map(DemandReport::demand).collect();
            add(&mut sums, &demands, 1.0);
        }
        sums
    }

    /// Returns the demands of the other zones, as their hubs reported them last.
    fn foreign_demands(&self, now: Millis) -> Vec<ZoneDemand> {
        let foreign = self.members.values().filter(|m| m.zone != self.own.zone);
        let reports = foreign.filter_map(|m| Some((m.zone, m.direct.as_ref()?)));
        let mut latest: FastMap<u8, &super::DirectReport> = FastMap::default();
        for (zone, report) in reports {
            let newer = latest
                .get(&zone)
                .is_none_or(|l| l.last_seen < report.last_seen);
            if report.hub && newer && now.since(report.last_seen) < REPORT_LIFETIME {
                latest.insert(zone, report);
            }
        }
        let demands = latest.into_iter().flat_map(|(zone, report)| {
            let of_zone = report.demands.iter().filter(move |d| d.zone == zone);
            of_zone.map(DemandReport::demand)
        });
        demands.collect()
    }

    /// Returns what the hub of the zone reported last, without this instance's own part.
    fn hub_demands(&self, now: Millis) -> DemandSums {
        let own = self.members.values().filter(|m| m.zone == self.own.zone);
        let hubs = own.filter_map(|m| m.direct.as_ref()).filter(|d| d.hub);
        let mut sums = DemandSums::default();
        if let Some(hub) = hubs.max_by_key(|d| d.last_seen)
            && now.since(hub.last_seen) < REPORT_LIFETIME
        {
            let demands: Vec<_> = hub.demands.iter().map(DemandReport::demand).collect();
            add(&mut sums, &demands, 1.0);
            add(&mut sums, &self.reported_demands, -1.0);
        }
        sums
    }
}

/// Adds demands to sums, or subtracts them if `sign` is negative.
fn add(sums: &mut DemandSums, demands: &[ZoneDemand], sign: f64) {
    for demand in demands {
        let key = (demand.service.clone(), demand.zone);
        sums.entry(key).or_default().add(demand.load, sign);
    }
}

fn listed(sums: DemandSums) -> Vec<ZoneDemand> {
    let demands = sums.into_iter().map(|((service, zone), load)| ZoneDemand {
        service,
        zone,
        load,
    });
    demands.collect()
}
