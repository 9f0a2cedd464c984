//! Orders request keys by the time at which they are to be forgotten.

use std::collections::VecDeque;

use tanager_core::Millis;

use crate::execution::RequestKey;

/// Milliseconds that one bucket covers.
const BUCKET_MILLIS: u64 = 1_000;

/// Request keys in buckets of one second, ordered by the time at which they are due. Adding and
/// removing a key takes constant time, unlike an ordered set with hundreds of thousands of keys.
#[derive(Debug, Default)]
pub(super) struct Expiries {
    /// Bucket number of the front bucket.
    first: u64,
    buckets: VecDeque<Vec<RequestKey>>,
}

impl Expiries {
    /// Adds a key that is due at `at` or up to one bucket later.
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

    /// Removes and returns the keys of one bucket that is due, or `None` if no bucket is.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<Vec<RequestKey>> {
        if self.first > now.get() / BUCKET_MILLIS {
            return None;
        }
        self.first += 1;
        self.buckets.pop_front()
    }
}
