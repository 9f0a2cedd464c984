//! The platform's list of instances.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tanager_core::{InstanceName, RegionName, Revision, ZoneName};

use crate::Result;
use crate::catalogue::{Digest, digest};
use crate::settings::{Checker, Section};

const DOCUMENT: &str = "instance list";
/// Larger revisions are taken for errors; one of them would hide all later lists.
const REVISIONS: RangeInclusive<u64> = 1..=1_000_000_000_000;

/// The platform's list of instances.
#[derive(Debug, Clone)]
pub struct InstanceList {
    /// Counts up with every change.
    pub revision: Revision,
    /// The instances.
    pub instances: Vec<ListedInstance>,
    /// Digest of the text.
    pub digest: Digest,
    /// The published text, passed on to peers as it is.
    pub text: Arc<str>,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Unique name.
    pub name: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub state: InstanceState,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Takes new work.
    Live,
    /// Is about to stop.
    Leaving,
}

impl InstanceList {
    /// Returns the list that is known before any has been read.
    pub(super) fn empty() -> Self {
        Self {
            revision: Revision::new(0),
            instances: Vec::new(),
            digest: [0; 16],
            text: Arc::from(""),
        }
    }

    /// Reads a published instance list.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Document`] with every problem found.
    pub fn read(text: &str) -> Result<Self> {
        let mut list = Checker::read_document(text, DOCUMENT, check_list)?;
        list.digest = digest(text);
        list.text = Arc::from(text);
        Ok(list)
    }
}

fn check_list(top: &Section<'_>, check: &mut Checker) -> Option<InstanceList> {
    top.check_keys(check, &["revision", "instances"], &[]);
    let revision = top.number(check, "revision", REVISIONS);
    let sections = top.sections(check, "instances");
    let instances = sections.iter().filter_map(|s| check_instance(s, check));
    let instances = instances.collect();
    Some(InstanceList {
        revision: Revision::new(revision?),
        instances,
        ..InstanceList::empty()
    })
}

fn check_instance(section: &Section<'_>, check: &mut Checker) -> Option<ListedInstance> {
    let keys = ["name", "zone", "region", "address", "state"];
    section.check_keys(check, &keys, &[]);
    let name: Option<InstanceName> = section.parse(check, "name");
    let zone = section.parse(check, "zone");
    let region = section.parse(check, "region");
    let address = section.address(check, "address");
    let states = [
        ("live", InstanceState::Live),
        ("leaving", InstanceState::Leaving),
    ];
    let state = section.choice(check, "state", &states);
    let (name, address) = (name?, address?);
    let place = section.span_of("name");
    check.unique("instance", &section.path("name"), place, name.as_str());
    let place = section.span_of("address");
    let path = section.path("address");
    check.unique("instance address", &path, place, &address.to_string());
    Some(ListedInstance {
        name,
        zone: zone?,
        region: region?,
        address,
        state: state?,
    })
}
