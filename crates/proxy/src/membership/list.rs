//! The platform's list of instances.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tanager_core::{InstanceName, RegionName, Revision, ZoneName};

use crate::Result;
use crate::catalogue::{Digest, check_revision, digest};
use crate::settings::{Checker, Section};

const DOCUMENT: &str = "instance list";

/// The platform's list of instances.
#[derive(Debug, Clone)]
pub struct InstanceList {
    /// Increases with every change.
    pub revision: Revision,
    /// The instances.
    pub instances: Vec<ListedInstance>,
    /// Digest of the text.
    pub digest: Digest,
    /// The published text, forwarded to peers unchanged.
    pub text: Arc<str>,
}

/// An instance as listed or as described in its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The name, unique in the list.
    pub name: InstanceName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The region.
    pub region: RegionName,
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub state: InstanceState,
}

/// Whether an instance accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Accepts new work.
    Live,
    /// Accepts no new work and is about to stop.
    Leaving,
}

impl InstanceList {
    /// Returns the empty list that is in force before any list was read.
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

fn check_list(top: &Section<'_>, checker: &mut Checker) -> Option<InstanceList> {
    top.check_keys(checker, &["revision", "instances"], &["epoch"]);
    let revision = check_revision(top, checker);
    let sections = top.sections(checker, "instances");
    let instances = sections.iter().filter_map(|s| check_instance(s, checker));
    let instances = instances.collect();
    Some(InstanceList {
        revision: revision?,
        instances,
        ..InstanceList::empty()
    })
}

fn check_instance(section: &Section<'_>, checker: &mut Checker) -> Option<ListedInstance> {
    let keys = ["name", "zone", "region", "address", "state"];
    section.check_keys(checker, &keys, &[]);
    let name: Option<InstanceName> = section.parse(checker, "name");
    let zone = section.parse(checker, "zone");
    let region = section.parse(checker, "region");
    let address = section.address(checker, "address");
    let states = [
        ("live", InstanceState::Live),
        ("leaving", InstanceState::Leaving),
    ];
    let state = section.choice(checker, "state", &states);
    let (name, address) = (name?, address?);
    let span = section.span_of("name");
    checker.unique("instance", &section.path("name"), span, name.as_str());
    let span = section.span_of("address");
    let path = section.path("address");
    checker.unique("instance address", &path, span, &address.to_string());
    Some(ListedInstance {
        name,
        zone: zone?,
        region: region?,
        address,
        state: state?,
    })
}
