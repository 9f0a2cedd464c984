//! Generates settings, catalogues and instance lists for tests, the demo and the load tool.

use std::fmt::Write as _;
use std::net::SocketAddr;

use tanager_wire::{KeyNumber, KeyRing, Secret};

/// The shared secret of test fleets.
const SECRET: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// Returns the keys of test fleets, with which tests decode tokens.
///
/// # Panics
///
/// Never; the secret is a constant.
#[must_use]
pub fn key_ring() -> KeyRing {
    let secret: Secret = SECRET.parse().expect("the secret has 64 digits");
    KeyRing::new((KeyNumber::new(1), secret), None)
}

/// An entry instance of a test fleet.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// UDP address on which it serves callers.
    pub callers: SocketAddr,
    /// TCP address on which it serves peers.
    pub peers: SocketAddr,
    /// TCP address of its status endpoint.
    pub status: SocketAddr,
    /// `live` or `leaving`, for the instance list.
    pub state: &'static str,
}

impl Instance {
    /// Returns the instance's settings as YAML.
    #[must_use]
    pub fn settings(&self, platform: SocketAddr, seeds: &[SocketAddr], level: &str) -> String {
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        format!(
            "instance: {{ name: {}, zone: {}, region: addis }}\n\
             listen: {{ callers: \"{}\", peers: \"{}\", status: \"{}\" }}\n\
             platform: {{ address: \"{platform}\", wait: 20s }}\n\
             peers: [{}]\n\
             keys: {{ current: {{ number: 1, secret: \"{SECRET}\" }} }}\n\
             log: {{ format: text, level: {level}, queue: 4096 }}\n",
            self.name,
            self.zone,
            self.callers,
            self.peers,
            self.status,
            seeds
                .iter()
                .map(|s| format!("\"{s}\""))
                .collect::<Vec<_>>()
                .join(", "),
        )
    }
}

/// Returns an instance list as YAML.
#[must_use]
pub fn instance_list(revision: u64, instances: &[Instance]) -> String {
    let mut text = format!("revision: {revision}\ninstances:\n");
    for i in instances {
        let _ = writeln!(
            text,
            "- {{ name: {}, zone: {}, region: addis, address: \"{}\", state: {} }}",
            i.name, i.zone, i.peers, i.state
        );
    }
    if instances.is_empty() {
        text = format!("revision: {revision}\ninstances: []\n");
    }
    text
}

/// A service of a test catalogue.
#[derive(Debug, Clone)]
pub struct Service {
    /// Unique name.
    pub name: &'static str,
    /// Unique number.
    pub number: u32,
    /// Owner.
    pub owner: &'static str,
    /// Priority class.
    pub class: &'static str,
    /// Limit of requests per second over the fleet.
    pub requests: u32,
    /// Guaranteed requests per second.
    pub minimum: u32,
    /// Limit of open feeds over the fleet.
    pub flows: u64,
    /// Limit of open feeds at each target.
    pub target_flows: u32,
    /// The targets.
    pub targets: Vec<TargetEntry>,
}

/// A target of a test catalogue.
#[derive(Debug, Clone)]
pub struct TargetEntry {
    /// Unique number.
    pub number: u32,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Expected incarnation.
    pub incarnation: u64,
    /// `active` or `leaving`.
    pub state: &'static str,
}

/// Default limit of requests per second of each owner.
pub const OWNER_REQUESTS: u32 = 100_000;

/// Returns a catalogue as YAML in which owners are limited to [`OWNER_REQUESTS`].
#[must_use]
pub fn catalogue(revision: u64, services: &[Service]) -> String {
    catalogue_with(revision, services, OWNER_REQUESTS)
}

/// Returns a catalogue as YAML with a request limit for owners. Their limit of feeds is 100,000, or
/// that of their largest service if it is higher.
#[must_use]
pub fn catalogue_with(revision: u64, services: &[Service], owner_requests: u32) -> String {
    let mut owners: Vec<&str> = services.iter().map(|s| s.owner).collect();
    owners.sort_unstable();
    owners.dedup();
    let mut text = format!("revision: {revision}\nowners:\n");
    for owner in owners {
        let of_owner = services.iter().filter(|s| s.owner == owner);
        let flows = of_owner.map(|s| s.flows).max().unwrap_or(0).max(100_000);
        let limits = format!("{{ requests: {owner_requests}/s, flows: {flows} }}");
        let _ = writeln!(text, "- {{ name: {owner}, limits: {limits} }}");
    }
    text.push_str("entries:\n");
    for s in services {
        let _ = write!(
            text,
            "- service: {}\n  number: {}\n  owner: {}\n  class: {}\n  limits: {{ requests: {}/s, \
             minimum: {}/s, flows: {}, queue: 256 }}\n  targets:\n",
            s.name, s.number, s.owner, s.class, s.requests, s.minimum, s.flows
        );
        for t in &s.targets {
            let _ = writeln!(
                text,
                "  - {{ name: {}-{}, number: {}, address: \"{}\", zone: {}, incarnation: {}, \
                 state: {}, slots: 2, flows: {} }}",
                s.name,
                t.number,
                t.number,
                t.address,
                t.zone,
                t.incarnation,
                t.state,
                s.target_flows
            );
        }
    }
    text
}
