//! The part of a service's capacity to which an instance is entitled.
//!
//! Zones share the capacity fairly by what is offered in them, and an instance has the part of its
//! zone's share that it has of its zone's offers. Reports of other instances come in beacons.

use std::time::Duration;

use tanager_admission::{FairShares, GroupId};
use tanager_core::{FastMap, Millis, PublishedService};

use crate::load::REPORT_LIFETIME;

/// Factor by which a zone may exceed its present demand within its share. A share of no more than the
/// demand would hold back some of its requests whenever a few come at the same time.
const HEADROOM: f64 = 1.3;
/// Requests per second below which a load is not reported.
const MIN_RATE: f64 = 0.05;
/// Time for which reports are used.
const LIFETIME: Duration = REPORT_LIFETIME;

/// Rates of requests to a service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct OfferedLoad {
    /// Requests offered per second, admitted or not, retries included.
    pub offered: f64,
    /// Requests admitted per second.
    pub admitted: f64,
}

impl OfferedLoad {
    /// Returns whether the load is worth reporting.
    #[must_use]
    pub fn is_significant(&self) -> bool {
        self.offered >= MIN_RATE
    }

    /// Adds another load times `factor`, which may be negative.
    pub(crate) fn add(&mut self, other: Self, factor: f64) {
        self.offered = (self.offered + other.offered * factor).max(0.0);
        self.admitted = (self.admitted + other.admitted * factor).max(0.0);
    }
}

/// The load that one zone offers to a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneDemand {
    /// The service.
    pub service: PublishedService,
    /// Position of the zone among the sorted zones of the fleet.
    pub zone: u8,
    /// Its load.
    pub load: OfferedLoad,
}

/// The loads that all other instances offer, by service and zone.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerDemands {
    /// Position of the zone of this instance.
    pub own_zone: u8,
    /// The loads. That of the own zone leaves out this instance.
    pub demands: Vec<ZoneDemand>,
}

/// What other instances have reported.
#[derive(Debug, Default)]
pub struct ZoneShares {
    own_zone: u8,
    /// By service and zone, with the time of the report.
    zones: FastMap<PublishedService, FastMap<u8, (OfferedLoad, Millis)>>,
}

impl ZoneShares {
    /// Applies new reports. What they leave out remains until it is [`LIFETIME`] old: the hub or the
    /// path to it may have failed.
    pub fn set(&mut self, demands: PeerDemands, now: Millis) {
        self.own_zone = demands.own_zone;
        for demand in demands.demands {
            let zones = self.zones.entry(demand.service).or_default();
            zones.insert(demand.zone, (demand.load, now));
        }
        self.zones.retain(|_, zones| {
            zones.retain(|_, (_, received)| now.since(*received) < LIFETIME);
            !zones.is_empty()
        });
    }

    /// Returns the part of the capacity of a service to which this instance is entitled, 0 to 1. Without
    /// reports it is all of it.
    pub fn fraction(&self, service: &PublishedService, own: OfferedLoad, now: Millis) -> f64 {
        let reported = self.zones.get(service).into_iter().flatten();
        let recent = reported.filter(|(_, (_, received))| now.since(*received) < LIFETIME);
        let mut zones: FastMap<u8, _> = recent.map(|(zone, (load, _))| (*zone, *load)).collect();
        let own_zone: &mut OfferedLoad = zones.entry(self.own_zone).or_default();
        own_zone.add(own, 1.0);
        if own_zone.offered <= 0.0 {
            return 0.0;
        }
        let of_zone = own.offered / own_zone.offered;
        let group = |zone: u8| GroupId::new(u64::from(zone));
        // While a service is beyond its capacity, what it is sent is its capacity.
        let capacity = zones.values().map(|load| load.admitted).sum();
        let demands = zones.iter().map(|(z, l)| (group(*z), l.offered * HEADROOM));
        let shares = FairShares::new(capacity, demands);
        shares.fraction(group(self.own_zone)) * of_zone
    }
}
