//! The signed return route to the caller of a flow.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tanager_core::{FlowId, ServiceId};

use crate::{Binding, Error, KeyRing, Result};

/// Part of the authentication code, so that a token is not accepted as a route.
const PURPOSE: u8 = 2;

/// The return route to the caller of a flow. The target copies it into its frames without reading
/// it, so any instance can deliver them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The caller's address as seen by the instance that received its last datagram.
    pub caller: SocketAddr,
    /// Frames are delivered only if the target serves this service.
    pub service: ServiceId,
    /// Frames are delivered only for this flow.
    pub flow: FlowId,
    /// The placement, reported to the caller when the target resets the flow.
    pub binding: Binding,
}

impl Route {
    /// Encodes and signs the route.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the route cannot be encoded.
    pub fn sign(&self, keys: &KeyRing) -> Result<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).map_err(|_| Error::malformed("route"))?;
        Ok(keys.sign(PURPOSE, bytes))
    }

    /// Verifies and decodes a route.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Forged`] if the bytes were not signed with a secret of `keys`, and
    /// [`Error::Malformed`] if they are not a route.
    pub fn verify(signed: &[u8], keys: &KeyRing) -> Result<Self> {
        let bytes = keys.verify(PURPOSE, "route", signed)?;
        postcard::from_bytes(bytes).map_err(|_| Error::malformed("route"))
    }
}
