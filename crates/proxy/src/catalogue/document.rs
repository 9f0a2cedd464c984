//! The checked catalogue: owners, services, limits and targets.

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
    /// Newer catalogues have higher revisions.
    pub revision: Revision,
    /// BLAKE3 of the text, to tell two catalogues with one revision apart.
    pub digest: [u8; 16],
    /// The published text, passed on to peers as it is.
    pub text: Arc<str>,
    /// The owners by name.
    pub owners: FastMap<OwnerName, Owner>,
    /// The services by number.
    pub entries: FastMap<ServiceId, ServiceEntry>,
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
pub struct ServiceEntry {
    /// The number in datagrams.
    pub service: ServiceId,
    /// The name.
    pub name: ServiceName,
    /// The owner. Invariant: is in [`Catalogue::owners`].
    pub owner: OwnerName,
    /// The class of urgency.
    pub class: PriorityClass,
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
pub enum PriorityClass {
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
            text: Arc::from(""),
            owners: FastMap::default(),
            entries: FastMap::default(),
            services: FastMap::default(),
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

    /// Returns the service's entry.
    #[must_use]
    pub fn entry(&self, service: ServiceId) -> Option<&ServiceEntry> {
        self.entries.get(&service)
    }

    /// Returns a target and its service.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<(&ServiceEntry, &Target)> {
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
