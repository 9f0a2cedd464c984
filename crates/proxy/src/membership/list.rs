use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tanager_core::{InstanceName, RegionName, ResultCode, Revision, ZoneName};

use crate::settings::Problem;
use crate::{Error, Result};

const DOCUMENT: &str = "instance list";

/// The platform's list of instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// Counts up with every change.
    pub revision: Revision,
    /// The instances.
    pub instances: Vec<ListedInstance>,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
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
    /// Reads a published instance list.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Document`] if it is not valid.
    pub fn read(text: &str) -> Result<Self> {
        serde_saphyr::from_str(text).map_err(|e| {
            let problem = Problem::new(ResultCode::DocumentMalformed, DOCUMENT, e);
            Error::Document {
                document: DOCUMENT,
                problems: vec![problem],
            }
        })
    }
}
