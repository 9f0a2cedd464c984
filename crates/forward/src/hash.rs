//! Hashes that are the same on every instance.

use std::hash::{BuildHasher as _, BuildHasherDefault, DefaultHasher, Hash};

/// Returns a hash that distributes values evenly.
pub fn stable_hash(value: impl Hash) -> u32 {
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(value);
    u32::try_from(hash >> 32).unwrap_or(0)
}

/// Returns the hash of a value as a fraction, at least 0 and less than 1.
pub fn hash_fraction(value: impl Hash) -> f64 {
    f64::from(stable_hash(value)) / (f64::from(u32::MAX) + 1.0)
}
