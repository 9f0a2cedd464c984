//! The message that instances send each other periodically.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use tanager_core::{Incarnation, PublishedService};

use crate::{
    Cookie, Epoch, OfferedLoad, StoreRevision, Tally, TargetLoad, ViewVersion, ZoneDemand,
};

/// A report on another instance, as gossiped in a [`Beacon`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Address at which it receives beacons.
    pub address: SocketAddrV4,
    /// Position of its availability zone among the sorted zones of the fleet.
    pub zone: u8,
    /// Its processor share in thousandths of a core.
    pub capacity: u16,
    /// Whether it can read the store.
    #[serde(rename = "reads")]
    pub store_reachable: bool,
    /// Time since it last sent a beacon, in tenths of a second.
    pub age: u8,
}

/// Load that one or several instances place on a target, and the outcomes of their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The target.
    pub cookie: Cookie,
    /// Mean number of running requests, in units of [`Self::BUSY_UNIT`].
    busy: u16,
    /// Flows, including idle ones.
    flows: u16,
    /// Successful answers, in units of [`Self::ANSWER_UNIT`]; older ones count less.
    sound: u16,
    /// Failed requests, in the same unit.
    failures: u16,
    /// Requests that the target did not accept, in the same unit.
    misses: u16,
}

impl LoadReport {
    /// Resolution of the load, in running requests.
    pub const BUSY_UNIT: f64 = 0.01;

    /// Resolution of the counts of ended requests.
    pub const ANSWER_UNIT: f64 = 0.25;

    /// Creates a report, or returns `None` if all values are zero. Values outside the
    /// representable range are clamped.
    #[must_use]
    pub fn new(cookie: Cookie, load: &TargetLoad) -> Option<Self> {
        let report = Self {
            cookie,
            busy: units(load.busy, Self::BUSY_UNIT),
            flows: units(load.flows, 1.0),
            sound: units(load.tally.sound, Self::ANSWER_UNIT),
            failures: units(load.tally.failures, Self::ANSWER_UNIT),
            misses: units(load.tally.misses, Self::ANSWER_UNIT),
        };
        let numbers = [
            report.busy,
            report.flows,
            report.sound,
            report.failures,
            report.misses,
        ];
        numbers.iter().any(|n| *n != 0).then_some(report)
    }

    /// Returns the reported load.
    #[must_use]
    pub fn load(&self) -> TargetLoad {
        TargetLoad {
            busy: f64::from(self.busy) * Self::BUSY_UNIT,
            flows: f64::from(self.flows),
            tally: Tally {
                sound: f64::from(self.sound) * Self::ANSWER_UNIT,
                failures: f64::from(self.failures) * Self::ANSWER_UNIT,
                misses: f64::from(self.misses) * Self::ANSWER_UNIT,
            },
        }
    }

    /// Returns the number of failures of any kind. Beacons of limited size list targets with
    /// failures first.
    #[must_use]
    pub const fn trouble(&self) -> u16 {
        self.failures.saturating_add(self.misses)
    }
}

/// Converts a value to multiples of a unit, clamped to the range of a report.
fn units(value: f64, unit: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let units = (value / unit).round().clamp(0.0, f64::from(u16::MAX)) as u16;
    units
}

/// The part of a round's loads that a beacon carries. Former builds send no such field; they report
/// all loads in one beacon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPart {
    /// Counts the rounds of the sender.
    pub round: u16,
    /// Position of the part in its round.
    pub index: u8,
    /// Number of parts of the round.
    pub parts: u8,
    /// Number of rounds in which all loads are listed.
    pub rounds: u16,
}

/// Position of an instance among those of its availability zone, sorted by address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePosition {
    /// Number of instances with lower addresses.
    pub index: u16,
    /// Number of instances.
    pub count: u16,
}

/// Requests to a service that one or several instances of a zone were offered and have admitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The service.
    pub service: PublishedService,
    /// Position of the zone among the sorted zones of the fleet.
    pub zone: u8,
    /// Offered requests per second, in units of [`Self::RATE_UNIT`].
    offered: u32,
    /// Admitted requests per second, in the same unit.
    admitted: u32,
}

impl DemandReport {
    /// Resolution of the rates, in requests per second.
    const RATE_UNIT: f64 = 0.1;

    /// Creates a report. Rates outside the representable range are clamped.
    #[must_use]
    pub fn new(demand: &ZoneDemand) -> Self {
        Self {
            service: demand.service.clone(),
            zone: demand.zone,
            offered: rate_units(demand.load.offered),
            admitted: rate_units(demand.load.admitted),
        }
    }

    /// Returns the reported demand.
    #[must_use]
    pub fn demand(&self) -> ZoneDemand {
        ZoneDemand {
            service: self.service.clone(),
            zone: self.zone,
            load: OfferedLoad {
                offered: f64::from(self.offered) * Self::RATE_UNIT,
                admitted: f64::from(self.admitted) * Self::RATE_UNIT,
            },
        }
    }
}

/// Converts a rate to multiples of its unit, clamped to the range of a report.
fn rate_units(rate: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let units = (rate / DemandReport::RATE_UNIT)
        .round()
        .clamp(0.0, f64::from(u32::MAX)) as u32;
    units
}

/// The state that an instance periodically sends to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender's address.
    pub from: SocketAddrV4,
    /// The sender's incarnation, which changes when it restarts.
    pub incarnation: Incarnation,
    /// Position of its availability zone among the sorted zones of the fleet.
    pub zone: u8,
    /// Its processor share in thousandths of a core.
    pub capacity: u16,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it can read the store.
    #[serde(rename = "reads")]
    pub store_reachable: bool,
    /// Whether it acts as its zone's hub.
    pub hub: bool,
    /// The number of the revision up to which its view is complete.
    pub revision: u64,
    /// Time in milliseconds since its view was last verified to be complete.
    pub age_ms: u32,
    /// Other instances that the receiver may not know.
    pub members: Vec<MemberReport>,
    /// Load placed by the sender, or by its zone if it is the hub.
    pub loads: Vec<LoadReport>,
    /// The epoch of the revision. Older builds ignore what follows `loads`.
    pub epoch: Epoch,
    /// The version of its routes.
    pub routes: u64,
    /// Which part of the loads it carries.
    pub load_part: LoadPart,
    /// The receiver's position in its zone, if the sender is the hub of that zone.
    pub position: Option<ZonePosition>,
    /// Requests offered to the sender, or to each zone that it knows of if it is the hub.
    pub demands: Vec<DemandReport>,
}

impl Beacon {
    /// Returns the version of the sender's view.
    #[must_use]
    pub const fn view(&self) -> ViewVersion {
        ViewVersion {
            revision: StoreRevision::new(self.epoch, self.revision),
            routes: self.routes,
        }
    }
}
