//! Validated settings of an instance that forwards packets.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;

use tanager_core::{PublishedInstance, PublishedZone, ResultCode};

use crate::Result;
use crate::settings::balancer::check_log;
use crate::settings::tree::{Tree, Value};
use crate::settings::{Checker, LogSettings, Section};

const DOCUMENT: &str = "settings";
/// Minimum capacity in cores. A smaller value indicates a wrong unit.
const MIN_CAPACITY: f64 = 0.001;
/// Maximum capacity in cores, that of the largest instance.
const MAX_CAPACITY: f64 = 64.0;

/// Factor by which the openings to a cold target may exceed its rate within a second, if none is set.
const DEFAULT_OVERAGE: f64 = 1.5;
/// Openings to a cold target beyond that, if none are set.
const DEFAULT_SLACK: f64 = 5.0;
/// Maximum of both values. A larger one indicates a wrong unit.
const MAX_WARMUP_VALUE: f64 = 1_000.0;

/// Bounds on the openings that a cold target receives within a second: its rate times `overage` plus
/// `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupSettings {
    /// Factor applied to the rate. Invariant: finite and not negative.
    pub overage: f64,
    /// Openings beyond that. Invariant: finite and not negative.
    pub slack: f64,
}

impl Default for WarmupSettings {
    fn default() -> Self {
        Self {
            overage: DEFAULT_OVERAGE,
            slack: DEFAULT_SLACK,
        }
    }
}

/// Validated settings of an instance that forwards packets.
#[derive(Debug, Clone)]
pub struct ForwarderSettings {
    /// Unique name of the instance.
    pub name: PublishedInstance,
    /// Its availability zone.
    pub zone: PublishedZone,
    /// All availability zones, sorted. Invariant: contains `zone`.
    pub zones: Vec<PublishedZone>,
    /// Its processor capacity in thousandths of a core.
    pub capacity: u16,
    /// UDP address for packets of clients.
    pub clients: SocketAddrV4,
    /// TCP address for the readiness check.
    pub ready: SocketAddrV4,
    /// TCP address from which other instances read this one's view.
    pub views: SocketAddrV4,
    /// UDP address for beacons of other instances.
    pub beacons: SocketAddrV4,
    /// Address to which other instances send beacons. It differs from `beacons` where addresses are
    /// translated between the instances. Views are read from the same host.
    pub advertised: SocketAddrV4,
    /// TCP address for metrics.
    pub metrics: SocketAddrV4,
    /// `views` addresses of some of the instances.
    pub seeds: Vec<SocketAddrV4>,
    /// HTTP address of the store.
    pub store: SocketAddrV4,
    /// Bounds on the openings to cold targets.
    pub warmup: WarmupSettings,
    /// Log settings.
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

fn check_settings(top: &Section<'_>, checker: &mut Checker) -> Option<ForwarderSettings> {
    let required = ["instance", "listen", "zones", "store"];
    top.check_keys(checker, &required, &["advertise", "seeds", "warmup", "log"]);
    let instance = top
        .section(checker, "instance")
        .and_then(|section| check_instance(&section, checker));
    let listen = top
        .section(checker, "listen")
        .and_then(|section| check_listen(&section, checker));
    let zones = check_zones(top, checker);
    let store = check_address(top, checker, "store");
    let seeds = check_seeds(top, checker);
    let host: Option<Ipv4Addr> = top.parse(checker, "advertise");
    let log = match top.section(checker, "log") {
        Some(section) => check_log(&section, checker),
        None => Some(LogSettings::default()),
    };
    let warmup = check_warmup(top, checker);
    let (name, zone, capacity) = instance?;
    let [clients, ready, views, beacons, metrics] = listen?;
    if !zones.contains(&zone) {
        let message = format!("{zone} is not one of the zones");
        let code = ResultCode::DocumentReference;
        checker.report(code, "instance.zone", top.span_of("instance"), message);
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
        warmup: warmup?,
        log: log?,
    })
}

fn check_instance(
    section: &Section<'_>,
    checker: &mut Checker,
) -> Option<(PublishedInstance, PublishedZone, u16)> {
    section.check_keys(checker, &["name", "zone", "capacity"], &[]);
    let name = section.parse(checker, "name");
    let zone = section.parse(checker, "zone");
    let capacity = check_capacity(section, checker);
    Some((name?, zone?, capacity?))
}

/// Reads a number of cores, such as `0.055`, as thousandths of a core.
fn check_capacity(section: &Section<'_>, checker: &mut Checker) -> Option<u16> {
    let cores = parse_within(
        section,
        checker,
        "capacity",
        (MIN_CAPACITY..=MAX_CAPACITY, " cores"),
    )?;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "range is checked"
    )]
    Some((cores * 1_000.0).round() as u16)
}

/// Reads the bounds for cold targets. All of them are optional, so the section may be empty.
fn check_warmup(top: &Section<'_>, checker: &mut Checker) -> Option<WarmupSettings> {
    let is_empty = |tree: &Tree| matches!(tree.value, Value::Null);
    if top.get("warmup").is_none_or(is_empty) {
        return Some(WarmupSettings::default());
    }
    let section = &top.section(checker, "warmup")?;
    section.check_keys(checker, &[], &["overage", "slack"]);
    let overage = check_warmup_value(section, checker, "overage", DEFAULT_OVERAGE);
    let slack = check_warmup_value(section, checker, "slack", DEFAULT_SLACK);
    Some(WarmupSettings {
        overage: overage?,
        slack: slack?,
    })
}

fn check_warmup_value(
    section: &Section<'_>,
    checker: &mut Checker,
    key: &str,
    default: f64,
) -> Option<f64> {
    if section.get(key).is_none() {
        return Some(default);
    }
    parse_within(section, checker, key, (0.0..=MAX_WARMUP_VALUE, ""))
}

/// Reads a number and reports it if it is outside a range, which the message names with its unit.
fn parse_within(
    section: &Section<'_>,
    checker: &mut Checker,
    key: &str,
    (range, unit): (RangeInclusive<f64>, &str),
) -> Option<f64> {
    let value: f64 = section.parse(checker, key)?;
    if range.contains(&value) {
        return Some(value);
    }
    let (least, most) = (range.start(), range.end());
    let message = format!("{value} is outside the range {least} to {most}{unit}");
    let (path, span) = (section.path(key), section.span_of(key));
    checker.report(ResultCode::ValueOutOfRange, &path, span, message);
    None
}

fn check_listen(section: &Section<'_>, checker: &mut Checker) -> Option<[SocketAddrV4; 5]> {
    let keys = ["clients", "ready", "views", "beacons", "metrics"];
    section.check_keys(checker, &keys, &[]);
    let [clients, ready, views, beacons, metrics] =
        keys.map(|key| check_address(section, checker, key));
    for (key, address) in [("ready", ready), ("views", views), ("metrics", metrics)] {
        if let Some(address) = address {
            let (path, span) = (section.path(key), section.span_of(key));
            checker.unique("TCP address", &path, span, &address.to_string());
        }
    }
    for (key, address) in [("clients", clients), ("beacons", beacons)] {
        if let Some(address) = address {
            let (path, span) = (section.path(key), section.span_of(key));
            checker.unique("UDP address", &path, span, &address.to_string());
        }
    }
    Some([clients?, ready?, views?, beacons?, metrics?])
}

fn check_address(section: &Section<'_>, checker: &mut Checker, key: &str) -> Option<SocketAddrV4> {
    match section.address(checker, key)? {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(address) => {
            let (path, span) = (section.path(key), section.span_of(key));
            let message = format!("{address} is not an IPv4 address");
            checker.report(ResultCode::ValueMalformed, &path, span, message);
            None
        }
    }
}

fn check_zones(top: &Section<'_>, checker: &mut Checker) -> Vec<PublishedZone> {
    let mut zones = top.parse_list::<PublishedZone>(checker, "zones");
    zones.sort_unstable();
    zones.dedup();
    zones
}

fn check_seeds(top: &Section<'_>, checker: &mut Checker) -> Vec<SocketAddrV4> {
    let mut seeds = Vec::new();
    for (i, tree) in top.list(checker, "seeds").iter().enumerate() {
        if let Some(SocketAddr::V4(seed)) = tree.address(checker, &format!("seeds[{i}]")) {
            seeds.push(seed);
        }
    }
    seeds
}
