//! Shared secrets, and the signing of tokens and routes with them.

use std::fmt;
use std::str::FromStr;

use crate::{Error, Result};

/// Length of a shared secret in bytes.
pub const SECRET_LENGTH: usize = 32;

/// Length of a message authentication code in bytes. Guessing 128 bits is not feasible.
const CODE_LENGTH: usize = 16;

/// Identifies a secret, so that keys can be rotated without invalidating tokens in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyNumber(u8);

impl KeyNumber {
    /// Wraps a key number.
    #[must_use]
    pub const fn new(number: u8) -> Self {
        Self(number)
    }
}

impl fmt::Display for KeyNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A secret shared by all instances. Its value is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; SECRET_LENGTH]);

impl Secret {
    /// Wraps the bytes of a secret.
    #[must_use]
    pub const fn new(bytes: [u8; SECRET_LENGTH]) -> Self {
        Self(bytes)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl FromStr for Secret {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let malformed = || Error::malformed("secret (64 hexadecimal digits)");
        if s.len() != 2 * SECRET_LENGTH || !s.is_ascii() {
            return Err(malformed());
        }
        let mut bytes = [0; SECRET_LENGTH];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).map_err(|_| malformed())?;
        }
        Ok(Self(bytes))
    }
}

/// The secrets that sign and verify tokens and routes.
#[derive(Debug, Clone)]
pub struct KeyRing {
    /// Signs and verifies.
    current: (KeyNumber, Secret),
    /// Only verifies; kept until the tokens that it signed are no longer in use.
    previous: Option<(KeyNumber, Secret)>,
}

impl KeyRing {
    /// Creates a key ring. `previous` stays valid for verification.
    #[must_use]
    pub const fn new(current: (KeyNumber, Secret), previous: Option<(KeyNumber, Secret)>) -> Self {
        Self { current, previous }
    }

    /// Appends the key number and an authentication code to `bytes`, which stay readable.
    /// `purpose` separates the kinds of signed data, so that a route is not accepted as a token.
    pub(crate) fn sign(&self, purpose: u8, mut bytes: Vec<u8>) -> Vec<u8> {
        let (number, secret) = &self.current;
        bytes.push(number.0);
        let code = authentication_code(secret, purpose, &bytes);
        bytes.extend_from_slice(&code);
        bytes
    }

    /// Verifies signed bytes and returns the content.
    pub(crate) fn verify<'a>(
        &self,
        purpose: u8,
        part: &'static str,
        bytes: &'a [u8],
    ) -> Result<&'a [u8]> {
        let forged = Error::Forged { part };
        let Some(end) = bytes.len().checked_sub(CODE_LENGTH) else {
            return Err(Error::malformed(part));
        };
        let (signed, received) = bytes.split_at(end);
        let Some((&number, content)) = signed.split_last() else {
            return Err(Error::malformed(part));
        };
        let secret = self.secret(KeyNumber(number)).ok_or(forged.clone())?;
        let received: [u8; CODE_LENGTH] = received.try_into().map_err(|_| forged.clone())?;
        // blake3::Hash compares in constant time; the code is padded to the length of a hash.
        let equal = blake3::Hash::from(pad_to_hash(authentication_code(secret, purpose, signed)))
            == blake3::Hash::from(pad_to_hash(received));
        if equal { Ok(content) } else { Err(forged) }
    }

    fn secret(&self, number: KeyNumber) -> Option<&Secret> {
        let previous = self.previous.as_ref();
        std::iter::once(&self.current)
            .chain(previous)
            .find(|(n, _)| *n == number)
            .map(|(_, secret)| secret)
    }
}

fn authentication_code(secret: &Secret, purpose: u8, bytes: &[u8]) -> [u8; CODE_LENGTH] {
    let mut hasher = blake3::Hasher::new_keyed(&secret.0);
    hasher.update(&[purpose]).update(bytes);
    let mut code = [0; CODE_LENGTH];
    code.copy_from_slice(&hasher.finalize().as_bytes()[..CODE_LENGTH]);
    code
}

fn pad_to_hash(code: [u8; CODE_LENGTH]) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..CODE_LENGTH].copy_from_slice(&code);
    bytes
}
