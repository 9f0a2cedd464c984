//! Splits answers into fragments and reassembles them.

use bytes::{Bytes, BytesMut};

use crate::{Answer, Error, Result};

/// Payload bytes in one fragment. Together with the token and header it stays below the
/// datagram limit.
pub const FRAGMENT_PAYLOAD: usize = 1_100;

/// The largest answer in bytes.
pub const ANSWER_LIMIT: usize = 1 << 20;

/// The largest number of fragments in an answer.
const FRAGMENT_LIMIT: usize = ANSWER_LIMIT.div_ceil(FRAGMENT_PAYLOAD);

/// A set of fragment positions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FragmentMap {
    /// Invariant: no trailing zero bytes.
    bits: Vec<u8>,
}

impl FragmentMap {
    /// Creates a set from a bitmap, least significant bit first. Bytes beyond the fragments of the
    /// largest answer are ignored.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Self {
        let limit = FRAGMENT_LIMIT.div_ceil(8);
        let mut bits = bytes[..bytes.len().min(limit)].to_vec();
        while bits.last() == Some(&0) {
            bits.pop();
        }
        Self { bits }
    }

    /// Returns the set as a bitmap, least significant bit first.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        Bytes::copy_from_slice(&self.bits)
    }

    /// Adds a position.
    pub fn insert(&mut self, index: u32) {
        let byte = index as usize / 8;
        if byte >= self.bits.len() {
            self.bits.resize(byte + 1, 0);
        }
        self.bits[byte] |= 1 << (index % 8);
    }

    /// Returns whether the position is in the set.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        self.bits
            .get(index as usize / 8)
            .is_some_and(|b| b & (1 << (index % 8)) != 0)
    }
}

/// Splits an answer into fragments of at most [`FRAGMENT_PAYLOAD`] bytes. An empty answer has one
/// empty fragment.
#[must_use]
pub fn split_answer(payload: &Bytes) -> Vec<Bytes> {
    if payload.is_empty() {
        return vec![Bytes::new()];
    }
    let offsets = (0..payload.len()).step_by(FRAGMENT_PAYLOAD);
    offsets
        .map(|start| payload.slice(start..payload.len().min(start + FRAGMENT_PAYLOAD)))
        .collect()
}

/// Collects the fragments of one answer in any order.
#[derive(Debug)]
pub struct Assembly {
    answer: u64,
    /// Invariant: its length is the fragment count of the answer.
    parts: Vec<Option<Bytes>>,
    missing: usize,
}

impl Assembly {
    /// Creates an empty assembly for the answer that `first` belongs to. `first` itself still has
    /// to be inserted.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if the answer would exceed [`ANSWER_LIMIT`].
    pub fn try_new(first: &Answer) -> Result<Self> {
        let count = first.count as usize;
        if count > FRAGMENT_LIMIT {
            let size = count.saturating_mul(FRAGMENT_PAYLOAD);
            return Err(Error::TooLarge {
                size,
                limit: ANSWER_LIMIT,
            });
        }
        Ok(Self {
            answer: first.answer,
            parts: vec![None; count],
            missing: count,
        })
    }

    /// Returns which answer is being assembled.
    #[must_use]
    pub const fn answer(&self) -> u64 {
        self.answer
    }

    /// Returns the fragments received so far.
    #[must_use]
    pub fn have(&self) -> FragmentMap {
        let mut map = FragmentMap::default();
        for (index, _) in (0u32..).zip(&self.parts).filter(|(_, part)| part.is_some()) {
            map.insert(index);
        }
        map
    }

    /// Adds a fragment and returns the answer once it is complete. Duplicates and fragments
    /// of another answer are ignored.
    pub fn insert(&mut self, fragment: Answer) -> Option<Bytes> {
        let same_answer =
            fragment.answer == self.answer && fragment.count as usize == self.parts.len();
        let part = self.parts.get_mut(fragment.index as usize)?;
        if !same_answer || part.is_some() {
            return None;
        }
        *part = Some(fragment.payload);
        self.missing -= 1;
        (self.missing == 0).then(|| self.join())
    }

    fn join(&self) -> Bytes {
        let mut answer = BytesMut::new();
        for part in self.parts.iter().flatten() {
            answer.extend_from_slice(part);
        }
        answer.freeze()
    }
}
