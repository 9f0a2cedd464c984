//! Identifiers of instances, services, owners, zones, regions, targets, flows and requests.

use std::fmt;
use std::str::FromStr;

use rand::Rng as _;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

macro_rules! number_id {
    ($(#[doc = $doc:literal])+ $name:ident($inner:ty)) => {
        $(#[doc = $doc])+
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a number.
            #[must_use]
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                s.parse().map(Self).map_err(|_| {
                    Error::malformed(stringify!($name), s, "expected a decimal number")
                })
            }
        }
    };
}

number_id! {
    /// The number of a service, unique in the catalogue and carried in every datagram.
    ServiceId(u32)
}
number_id! {
    /// The number of a target, unique in the catalogue.
    TargetId(u32)
}
number_id! {
    /// Identifies one run of a process: a new process at the same address has another incarnation.
    Incarnation(u64)
}
number_id! {
    /// How many times a flow has been moved to another target.
    Generation(u32)
}

impl Incarnation {
    /// Generates a random, non-zero incarnation. Random values need no stored counter.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::rng().next_u64() | 1)
    }
}

impl Generation {
    /// Returns the generation after one more move.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

macro_rules! bytes_id {
    ($(#[doc = $doc:literal])+ $name:ident) => {
        $(#[doc = $doc])+
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name([u8; 16]);

        impl $name {
            /// Wraps 16 bytes.
            #[must_use]
            pub const fn new(bytes: [u8; 16]) -> Self {
                Self(bytes)
            }

            /// Generates a random identifier.
            #[must_use]
            pub fn random() -> Self {
                let mut bytes = [0; 16];
                rand::rng().fill_bytes(&mut bytes);
                Self(bytes)
            }

            /// Returns the bytes.
            #[must_use]
            pub const fn as_bytes(&self) -> &[u8; 16] {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", u128::from_be_bytes(self.0))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({self})", stringify!($name))
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                let malformed = || {
                    Error::malformed(stringify!($name), s, "expected 32 hexadecimal digits")
                };
                if s.len() != 32 {
                    return Err(malformed());
                }
                let number = u128::from_str_radix(s, 16).map_err(|_| malformed())?;
                Ok(Self(number.to_be_bytes()))
            }
        }

        impl TryFrom<&[u8]> for $name {
            type Error = Error;

            fn try_from(bytes: &[u8]) -> Result<Self> {
                bytes.try_into().map(Self).map_err(|_| {
                    Error::malformed(stringify!($name), "bytes", "expected 16 bytes")
                })
            }
        }
    };
}

bytes_id! {
    /// A flow's identifier, generated at random by the caller.
    FlowId
}
bytes_id! {
    /// A request's identifier, generated at random by the caller.
    RequestId
}

/// The longest name accepted, in bytes.
const NAME_LIMIT: usize = 64;

fn check_name(kind: &'static str, s: &str) -> Result<()> {
    if s.is_empty() || s.len() > NAME_LIMIT {
        return Err(Error::out_of_range(kind, s, "1 to 64 characters"));
    }
    let valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    if !s.bytes().all(valid) {
        return Err(Error::malformed(kind, s, "use a-z, 0-9, '-', '_' and '.'"));
    }
    Ok(())
}

/// Checks a name whose syntax is up to the users' platform.
fn check_published(kind: &'static str, s: &str) -> Result<()> {
    if s.is_empty() {
        return Err(Error::malformed(kind, s, "expected a name"));
    }
    Ok(())
}

macro_rules! name_id {
    ($(#[doc = $doc:literal])+ $name:ident, $check:ident) => {
        $(#[doc = $doc])+
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                $check(stringify!($name), s)?;
                Ok(Self(s.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(s: String) -> Result<Self> {
                $check(stringify!($name), &s)?;
                Ok(Self(s))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_id! {
    /// The name of an owner.
    OwnerName, check_name
}
name_id! {
    /// The name of a service.
    ServiceName, check_name
}
name_id! {
    /// The name of a target.
    TargetName, check_name
}
name_id! {
    /// The name of an entry instance.
    InstanceName, check_name
}
name_id! {
    /// The name of an availability zone.
    ZoneName, check_name
}
name_id! {
    /// The name of a region.
    RegionName, check_name
}

name_id! {
    /// The name of an entry instance, as the platform gives it. Invariant: not empty.
    PublishedInstance, check_published
}
name_id! {
    /// The name of a service, as the platform publishes it. Invariant: not empty.
    PublishedService, check_published
}
name_id! {
    /// The name of an availability zone, as the platform publishes it. Invariant: not empty.
    PublishedZone, check_published
}
