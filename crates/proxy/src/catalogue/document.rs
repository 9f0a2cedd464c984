use std::net::SocketAddr;
use std::str::FromStr;

use tanager_core::{
    FastMap, FastSet, Incarnation, OwnerName, Rate, ResultCode, Revision, ServiceId, ServiceName,
    TargetId, TargetName, ZoneName,
};

use crate::catalogue::raw::{RawCatalogue, RawEntry, RawLimits, RawOwner, RawTarget};
use crate::settings::Problem;
use crate::{Error, Result};

const DOCUMENT: &str = "catalogue";

/// A checked catalogue.
#[derive(Debug, Clone)]
pub struct Catalogue {
    /// Newer catalogues have higher revisions.
    pub revision: Revision,
    /// BLAKE3 of the text, to tell two catalogues with one revision apart.
    pub digest: [u8; 16],
    /// The published text, passed on to peers as it is.
    pub text: String,
    /// The owners by name.
    pub owners: FastMap<OwnerName, Owner>,
    /// The services by number.
    pub entries: FastMap<ServiceId, Entry>,
    /// The service of each target.
    ///
    /// Invariant: has exactly the targets of `entries`.
    pub services: FastMap<TargetId, ServiceId>,
}

/// An owner.
#[derive(Debug, Clone, PartialEq)]
pub struct Owner {
    /// The owner's name.
    pub name: OwnerName,
    /// Requests a second over the fleet.
    pub requests: Rate,
    /// Open feeds over the fleet.
    pub flows: u64,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The number in datagrams.
    pub service: ServiceId,
    /// The name.
    pub name: ServiceName,
    /// The owner. Invariant: is in [`Catalogue::owners`].
    pub owner: OwnerName,
    /// The class of urgency.
    pub class: Class,
    /// The limits.
    pub limits: Limits,
    /// The targets. Invariant: numbers and addresses are unique in the catalogue.
    pub targets: Vec<Target>,
}

/// Limits of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Requests a second over the fleet.
    pub requests: Rate,
    /// Guaranteed requests a second. Invariant: at most `requests`.
    pub minimum: Rate,
    /// Open feeds over the fleet.
    pub flows: u64,
    /// Requests that may wait in one instance.
    pub queue: u32,
}

/// The class of urgency, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// People wait for it.
    Urgent,
    /// Ordinary work.
    Normal,
    /// Can wait.
    Background,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The number in tokens.
    pub id: TargetId,
    /// The name.
    pub name: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// The expected incarnation.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Requests that run at the same time. Invariant: at least 1.
    pub slots: u32,
    /// Open feeds that it takes.
    pub flows: u32,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// Takes new work.
    Active,
    /// Takes no new work.
    Leaving,
}

impl Catalogue {
    /// Returns the catalogue that is in force before any has been read. It has no services.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            revision: Revision::new(0),
            digest: [0; 16],
            text: String::new(),
            owners: FastMap::default(),
            entries: FastMap::default(),
            services: FastMap::default(),
        }
    }

    /// Reads and checks a published catalogue.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Document`] with every problem found.
    pub fn read(text: &str) -> Result<Self> {
        let raw: RawCatalogue = serde_saphyr::from_str(text).map_err(|e| {
            let problem = Problem::new(ResultCode::DocumentMalformed, DOCUMENT, e);
            Error::Document {
                document: DOCUMENT,
                problems: vec![problem],
            }
        })?;
        let mut catalogue = Self::try_from(raw)?;
        text.clone_into(&mut catalogue.text);
        catalogue.digest = digest(text);
        Ok(catalogue)
    }

    /// Returns the service's entry.
    #[must_use]
    pub fn entry(&self, service: ServiceId) -> Option<&Entry> {
        self.entries.get(&service)
    }

    /// Returns a target and its service.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<(&Entry, &Target)> {
        let entry = self.entries.get(self.services.get(&id)?)?;
        entry
            .targets
            .iter()
            .find(|t| t.id == id)
            .map(|t| (entry, t))
    }
}

/// Identifies the text of a document.
pub type Digest = [u8; 16];

/// Returns the first 16 bytes of the text's BLAKE3 hash.
#[must_use]
pub fn digest(text: &str) -> Digest {
    let mut digest = [0; 16];
    digest.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..16]);
    digest
}

/// Collects problems and remembers what must be unique.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
    owners: FastSet<OwnerName>,
    seen: FastSet<String>,
}

impl Checker {
    fn report(&mut self, code: ResultCode, key: &str, message: impl std::fmt::Display) {
        self.problems.push(Problem::new(code, key, message));
    }

    fn parse<T: FromStr<Err = tanager_core::Error>>(&mut self, key: &str, text: &str) -> Option<T> {
        text.parse()
            .map_err(|e: tanager_core::Error| self.report(e.code(), key, e))
            .ok()
    }

    fn unique(&mut self, key: &str, kind: &str, value: impl std::fmt::Display) {
        if !self.seen.insert(format!("{kind} {value}")) {
            let message = format!("{kind} {value} appears more than once");
            self.report(ResultCode::DocumentDuplicate, key, message);
        }
    }
}

impl TryFrom<RawCatalogue> for Catalogue {
    type Error = Error;

    fn try_from(raw: RawCatalogue) -> Result<Self> {
        let mut check = Checker::default();
        if raw.revision == 0 {
            check.report(ResultCode::ValueOutOfRange, "revision", "at least 1");
        }
        let mut owners = FastMap::default();
        for (i, raw) in raw.owners.iter().enumerate() {
            if let Some(owner) = check_owner(&format!("owners[{i}]"), raw, &mut check) {
                owners.insert(owner.name.clone(), owner);
            }
        }
        check.owners = owners.keys().cloned().collect();
        let mut entries = FastMap::default();
        let mut services = FastMap::default();
        for (i, raw) in raw.entries.iter().enumerate() {
            if let Some(entry) = check_entry(&format!("entries[{i}]"), raw, &mut check) {
                services.extend(entry.targets.iter().map(|t| (t.id, entry.service)));
                entries.insert(entry.service, entry);
            }
        }
        if !check.problems.is_empty() {
            return Err(Error::Document {
                document: DOCUMENT,
                problems: check.problems,
            });
        }
        let revision = Revision::new(raw.revision);
        Ok(Self {
            revision,
            owners,
            entries,
            services,
            ..Self::empty()
        })
    }
}

fn check_owner(key: &str, raw: &RawOwner, check: &mut Checker) -> Option<Owner> {
    check.unique(key, "owner", &raw.name);
    let name = check.parse(&format!("{key}.name"), &raw.name);
    let requests = check.parse(&format!("{key}.limits.requests"), &raw.limits.requests);
    Some(Owner {
        name: name?,
        requests: requests?,
        flows: raw.limits.flows,
    })
}

fn check_entry(key: &str, raw: &RawEntry, check: &mut Checker) -> Option<Entry> {
    check.unique(key, "service", &raw.service);
    check.unique(key, "service number", raw.number);
    let name = check.parse(&format!("{key}.service"), &raw.service);
    let owner: Option<OwnerName> = check.parse(&format!("{key}.owner"), &raw.owner);
    if owner.as_ref().is_some_and(|o| !check.owners.contains(o)) {
        let message = format!("owner {} is not defined", raw.owner);
        check.report(
            ResultCode::DocumentReference,
            &format!("{key}.owner"),
            message,
        );
    }
    let class = match raw.class.as_str() {
        "urgent" => Some(Class::Urgent),
        "normal" => Some(Class::Normal),
        "background" => Some(Class::Background),
        _ => None,
    };
    if class.is_none() {
        let message = "expected urgent, normal or background";
        check.report(ResultCode::ValueMalformed, &format!("{key}.class"), message);
    }
    let limits = check_limits(&format!("{key}.limits"), &raw.limits, check);
    let mut targets = Vec::new();
    for (i, raw) in raw.targets.iter().enumerate() {
        targets.extend(check_target(&format!("{key}.targets[{i}]"), raw, check));
    }
    Some(Entry {
        service: ServiceId::new(raw.number),
        name: name?,
        owner: owner?,
        class: class?,
        limits: limits?,
        targets,
    })
}

fn check_limits(key: &str, raw: &RawLimits, check: &mut Checker) -> Option<Limits> {
    let requests: Option<Rate> = check.parse(&format!("{key}.requests"), &raw.requests);
    let minimum: Option<Rate> = check.parse(&format!("{key}.minimum"), &raw.minimum);
    if raw.queue == 0 {
        check.report(
            ResultCode::ValueOutOfRange,
            &format!("{key}.queue"),
            "at least 1",
        );
    }
    let (requests, minimum) = (requests?, minimum?);
    if minimum > requests {
        let message = format!("minimum {minimum} exceeds requests {requests}");
        check.report(
            ResultCode::DocumentLimits,
            &format!("{key}.minimum"),
            message,
        );
    }
    Some(Limits {
        requests,
        minimum,
        flows: raw.flows,
        queue: raw.queue,
    })
}

fn check_target(key: &str, raw: &RawTarget, check: &mut Checker) -> Option<Target> {
    check.unique(key, "target", &raw.name);
    check.unique(key, "target number", raw.number);
    check.unique(key, "target address", &raw.address);
    let name = check.parse(&format!("{key}.name"), &raw.name);
    let zone = check.parse(&format!("{key}.zone"), &raw.zone);
    let address: Option<SocketAddr> = raw.address.parse().ok();
    if address.is_none() {
        let message = "expected an IP address and a port";
        check.report(
            ResultCode::ValueMalformed,
            &format!("{key}.address"),
            message,
        );
    }
    let state = match raw.state.as_str() {
        "active" => Some(TargetState::Active),
        "leaving" => Some(TargetState::Leaving),
        _ => None,
    };
    if state.is_none() {
        let message = "expected active or leaving";
        check.report(ResultCode::ValueMalformed, &format!("{key}.state"), message);
    }
    if raw.slots == 0 {
        check.report(
            ResultCode::ValueOutOfRange,
            &format!("{key}.slots"),
            "at least 1",
        );
    }
    Some(Target {
        id: TargetId::new(raw.number),
        name: name?,
        address: address?,
        zone: zone?,
        incarnation: Incarnation::new(raw.incarnation),
        state: state?,
        slots: raw.slots,
        flows: raw.flows,
    })
}
