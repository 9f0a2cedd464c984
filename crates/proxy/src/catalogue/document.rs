//! The checked catalogue: owners and services with their limits and targets.

use std::net::SocketAddr;
use std::sync::Arc;

use tanager_core::{
    FastMap, Incarnation, OwnerName, Rate, Revision, ServiceId, ServiceName, TargetId, TargetName,
    ZoneName,
};

use crate::Result;
use crate::catalogue::check::check_catalogue;
use crate::settings::Checker;

pub(super) const DOCUMENT: &str = "catalogue";

/// A checked catalogue.
#[derive(Debug, Clone)]
pub struct Catalogue {
    /// Increases with every published change.
    pub revision: Revision,
    /// Digest of the text, to distinguish two catalogues with the same revision.
    pub digest: [u8; 16],
    /// The published text, forwarded to peers unchanged.
    pub text: Arc<str>,
    /// The owners by name.
    pub owners: FastMap<OwnerName, Owner>,
    /// The services by number.
    pub entries: FastMap<ServiceId, ServiceEntry>,
    /// The service of each target.
    ///
    /// Invariant: has exactly the targets of `entries`.
    pub service_of_target: FastMap<TargetId, ServiceId>,
}

/// An owner (client account) and its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Owner {
    /// The owner's name.
    pub name: OwnerName,
    /// Requests per second over the fleet.
    pub requests: Rate,
    /// Open feeds over the fleet.
    pub flows: u64,
}

/// A service with its limits and targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// The number that identifies the service in datagrams.
    pub service: ServiceId,
    /// The name.
    pub name: ServiceName,
    /// The owner. Invariant: is in [`Catalogue::owners`].
    pub owner: OwnerName,
    /// The priority class.
    pub class: PriorityClass,
    /// The limits.
    pub limits: Limits,
    /// The targets. Invariant: numbers and addresses are unique in the catalogue.
    pub targets: Vec<Target>,
}

/// Limits of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Requests per second over the fleet.
    pub requests: Rate,
    /// Guaranteed requests per second. Invariant: at most `requests`.
    pub minimum: Rate,
    /// Open feeds over the fleet.
    pub flows: u64,
    /// Requests that may wait in the admission queue of one instance.
    pub queue: u32,
}

/// The priority class of a service, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PriorityClass {
    /// A person waits for the result.
    Urgent,
    /// Ordinary work.
    Normal,
    /// Work that may be delayed.
    Background,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The number that identifies the target in tokens.
    pub id: TargetId,
    /// The name.
    pub name: TargetName,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// The incarnation that is expected to answer at the address.
    pub incarnation: Incarnation,
    /// Whether it accepts new work.
    pub state: TargetState,
    /// Requests that run at the same time. Invariant: at least 1.
    pub slots: u32,
    /// Feeds that may be open at the same time.
    pub flows: u32,
}

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// Accepts new work.
    Active,
    /// Accepts no new work.
    Leaving,
}

impl Catalogue {
    /// Returns the empty catalogue that is in force before any was read.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            revision: Revision::new(0),
            digest: [0; 16],
            text: Arc::from(""),
            owners: FastMap::default(),
            entries: FastMap::default(),
            service_of_target: FastMap::default(),
        }
    }

    /// Reads and checks a published catalogue.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Document`] with every problem found.
    pub fn read(text: &str) -> Result<Self> {
        let mut catalogue = Checker::read_document(text, DOCUMENT, check_catalogue)?;
        catalogue.text = Arc::from(text);
        catalogue.digest = digest(text);
        Ok(catalogue)
    }

    /// Returns the entry of a service.
    #[must_use]
    pub fn entry(&self, service: ServiceId) -> Option<&ServiceEntry> {
        self.entries.get(&service)
    }

    /// Returns a target and its service.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<(&ServiceEntry, &Target)> {
        let entry = self.entries.get(self.service_of_target.get(&id)?)?;
        entry
            .targets
            .iter()
            .find(|t| t.id == id)
            .map(|t| (entry, t))
    }
}

/// Identifies the text of a document: the first 16 bytes of its BLAKE3 hash.
pub type Digest = [u8; 16];

/// Returns the digest of a text.
#[must_use]
pub fn digest(text: &str) -> Digest {
    let mut digest = [0; 16];
    digest.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..16]);
    digest
}
