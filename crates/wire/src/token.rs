//! The signed token that names a flow's target and executor.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tanager_core::{FlowId, Generation, Incarnation, ServiceId, TargetId};

use crate::{Error, KeyRing, Result};

/// Part of the authentication code, so that a route is not accepted as a token.
const PURPOSE: u8 = 1;

/// The instance that alone may dispatch requests carrying a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Executor {
    /// The address at which peers reach the instance; relaying needs no membership view.
    pub address: SocketAddr,
    /// The incarnation; a later process at the same address is not the executor.
    pub incarnation: Incarnation,
}

/// The target that a feed is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TokenTarget {
    /// The target's number in the catalogue.
    pub id: TargetId,
    /// The incarnation; the flow is not bound to a later process at the same address.
    pub incarnation: Incarnation,
}

/// Identifies one placement of a flow: its generation and target. Never 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Binding(u64);

impl Binding {
    /// Wraps a received number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the placement of the given generation at a target.
    #[must_use]
    pub fn of(generation: Generation, target: Option<TargetId>) -> Self {
        let target = target.map_or(0, TargetId::get);
        Self((u64::from(generation.get()) + 1) << 32 | u64::from(target))
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Issued by an instance to a caller, so that any instance can forward the flow without keeping
/// state for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The only service for which the token is valid.
    pub service: ServiceId,
    /// The only flow for which the token is valid.
    pub flow: FlowId,
    /// Number of times the flow has been moved; callers keep the token with the highest.
    pub generation: Generation,
    /// Absent for a session, which is bound to an executor only.
    pub target: Option<TokenTarget>,
    /// The instance that issued the token.
    pub executor: Executor,
}

impl Token {
    /// Returns the placement that the token identifies.
    #[must_use]
    pub fn binding(&self) -> Binding {
        Binding::of(self.generation, self.target.map(|t| t.id))
    }

    /// Encodes and signs the token.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the token cannot be encoded.
    pub fn sign(&self, keys: &KeyRing) -> Result<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).map_err(|_| Error::malformed("token"))?;
        Ok(keys.sign(PURPOSE, bytes))
    }

    /// Verifies and decodes a token.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Forged`] if the bytes were not signed with a secret of `keys`, and
    /// [`Error::Malformed`] if they are not a token.
    pub fn verify(signed: &[u8], keys: &KeyRing) -> Result<Self> {
        let bytes = keys.verify(PURPOSE, "token", signed)?;
        postcard::from_bytes(bytes).map_err(|_| Error::malformed("token"))
    }
}
