//! Orders request keys by the time at which they expire.

use std::collections::VecDeque;

use tanager_core::Millis;

use crate::execution::RequestKey;

/// Milliseconds that one bucket covers.
const BUCKET_MILLIS: u64 = 1_000;

/// Request keys in buckets of one second, ordered by expiry time. Adding and removing a key takes
/// constant time, which is cheaper than an ordered set with hundreds of thousands of keys.
#[derive(Debug, Default)]
pub(super) struct ExpiryQueue {
    /// Bucket number of the front bucket.
    first: u64,
    buckets: VecDeque<Vec<RequestKey>>,
}

impl ExpiryQueue {
    /// Adds a key that expires at `at` or up to one bucket later.
    pub(super) fn insert(&mut self, at: Millis, key: RequestKey) {
        let bucket = at.get().div_ceil(BUCKET_MILLIS);
        if self.buckets.is_empty() {
            self.first = bucket;
        }
        while bucket < self.first {
            self.buckets.push_front(Vec::new());
            self.first -= 1;
        }
        let index = usize::try_from(bucket - self.first).unwrap_or(usize::MAX);
        while self.buckets.len() <= index {
            self.buckets.push_back(Vec::new());
        }
        self.buckets[index].push(key);
    }

    /// Removes the first bucket if it has expired and returns its keys, else `None`.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<Vec<RequestKey>> {
        if self.first > now.get() / BUCKET_MILLIS {
            return None;
        }
        self.first += 1;
        self.buckets.pop_front()
    }
}
