//! Checked settings of an instance that forwards packets.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use tanager_core::{InstanceName, ResultCode, ZoneName};

use crate::Result;
use crate::settings::checked::check_log;
use crate::settings::{Checker, LogSettings, Section};

const DOCUMENT: &str = "settings";
/// A share of a processor below this is taken as a mistake in the unit.
const CAPACITY_MINIMUM: f64 = 0.001;
/// Cores of the largest instance.
const CAPACITY_LIMIT: f64 = 64.0;

/// Checked settings of an instance that forwards packets.
#[derive(Debug, Clone)]
pub struct ForwarderSettings {
    /// Unique name of the instance.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// All availability zones, sorted. Invariant: contains `zone`.
    pub zones: Vec<ZoneName>,
    /// Its processor share in thousandths of a core.
    pub capacity: u16,
    /// UDP address for packets of clients.
    pub clients: SocketAddrV4,
    /// TCP address for the readiness check.
    pub ready: SocketAddrV4,
    /// TCP address from which other instances read this one's view.
    pub views: SocketAddrV4,
    /// UDP address for beacons of other instances.
    pub beacons: SocketAddrV4,
    /// Where other instances send beacons. It differs from `beacons` where their packets pass
    /// through something that translates addresses. Their calls for views go to the same host.
    pub advertised: SocketAddrV4,
    /// TCP address for metrics.
    pub metrics: SocketAddrV4,
    /// Addresses of `views` of some instances.
    pub seeds: Vec<SocketAddrV4>,
    /// HTTP address of the store.
    pub store: SocketAddrV4,
    /// How to log.
    pub log: LogSettings,
}

impl ForwarderSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Document`] with every problem found.
    pub fn read(text: &str) -> Result<Self> {
        Checker::read_document(text, DOCUMENT, check_settings)
    }
}

fn check_settings(top: &Section<'_>, check: &mut Checker) -> Option<ForwarderSettings> {
    let required = ["instance", "listen", "zones", "store"];
    top.check_keys(check, &required, &["advertise", "seeds", "log"]);
    let instance = top
        .section(check, "instance")
        .and_then(|section| check_instance(&section, check));
    let listen = top
        .section(check, "listen")
        .and_then(|section| check_listen(&section, check));
    let zones = check_zones(top, check);
    let store = check_address(top, check, "store");
    let seeds = check_seeds(top, check);
    let host: Option<Ipv4Addr> = top.parse(check, "advertise");
    let log = match top.section(check, "log") {
        Some(section) => check_log(&section, check),
        None => Some(LogSettings::default()),
    };
    let (name, zone, capacity) = instance?;
    let [clients, ready, views, beacons, metrics] = listen?;
    if !zones.contains(&zone) {
        let message = format!("{zone} is not one of the zones");
        let code = ResultCode::DocumentReference;
        check.report(code, "instance.zone", top.span_of("instance"), message);
        return None;
    }
    Some(ForwarderSettings {
        name,
        zone,
        zones,
        capacity,
        clients,
        ready,
        views,
        beacons,
        advertised: SocketAddrV4::new(host.unwrap_or(*beacons.ip()), beacons.port()),
        metrics,
        seeds,
        store: store?,
        log: log?,
    })
}

fn check_instance(
    section: &Section<'_>,
    check: &mut Checker,
) -> Option<(InstanceName, ZoneName, u16)> {
    section.check_keys(check, &["name", "zone", "capacity"], &[]);
    let name = section.parse(check, "name");
    let zone = section.parse(check, "zone");
    let capacity = check_capacity(section, check);
    Some((name?, zone?, capacity?))
}

/// Reads a number of cores, such as `0.055`, as thousandths of a core.
fn check_capacity(section: &Section<'_>, check: &mut Checker) -> Option<u16> {
    let cores: f64 = section.parse(check, "capacity")?;
    if !(CAPACITY_MINIMUM..=CAPACITY_LIMIT).contains(&cores) {
        let message = format!("{cores} is not {CAPACITY_MINIMUM} to {CAPACITY_LIMIT} cores");
        let (path, span) = (section.path("capacity"), section.span_of("capacity"));
        check.report(ResultCode::ValueOutOfRange, &path, span, message);
        return None;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "range is checked"
    )]
    Some((cores * 1_000.0).round() as u16)
}

fn check_listen(section: &Section<'_>, check: &mut Checker) -> Option<[SocketAddrV4; 5]> {
    let keys = ["clients", "ready", "views", "beacons", "metrics"];
    section.check_keys(check, &keys, &[]);
    let [clients, ready, views, beacons, metrics] =
        keys.map(|key| check_address(section, check, key));
    for (key, address) in [("ready", ready), ("views", views), ("metrics", metrics)] {
        if let Some(address) = address {
            let (path, span) = (section.path(key), section.span_of(key));
            check.unique("TCP address", &path, span, &address.to_string());
        }
    }
    for (key, address) in [("clients", clients), ("beacons", beacons)] {
        if let Some(address) = address {
            let (path, span) = (section.path(key), section.span_of(key));
            check.unique("UDP address", &path, span, &address.to_string());
        }
    }
    Some([clients?, ready?, views?, beacons?, metrics?])
}

fn check_address(section: &Section<'_>, check: &mut Checker, key: &str) -> Option<SocketAddrV4> {
    match section.address(check, key)? {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(address) => {
            let (path, span) = (section.path(key), section.span_of(key));
            let message = format!("{address} is not an IPv4 address");
            check.report(ResultCode::ValueMalformed, &path, span, message);
            None
        }
    }
}

fn check_zones(top: &Section<'_>, check: &mut Checker) -> Vec<ZoneName> {
    let mut zones = top.parse_list::<ZoneName>(check, "zones");
    zones.sort_unstable();
    zones.dedup();
    zones
}

fn check_seeds(top: &Section<'_>, check: &mut Checker) -> Vec<SocketAddrV4> {
    let mut seeds = Vec::new();
    for (i, tree) in top.list(check, "seeds").iter().enumerate() {
        if let Some(SocketAddr::V4(seed)) = tree.address(check, &format!("seeds[{i}]")) {
            seeds.push(seed);
        }
    }
    seeds
}
