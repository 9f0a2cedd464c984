//! Divides the capacity of a saturated receive loop among services.

use tanager_core::{FastMap, ServiceId};

use super::class::DatagramClass;

/// Maximum number of datagrams in a batch.
pub(super) const BATCH_LIMIT: usize = 256;
/// Consecutive full batches after which the loop is treated as saturated. A shorter burst fits the
/// socket's buffer and is processed completely.
const SATURATED_AFTER: u32 = 4;
/// Minimum quota of a service. With it, nearly all time is spent on emptying the socket's buffer.
const MIN_QUOTA: usize = 8;
/// Increase of the quota after a batch that was not full.
const QUOTA_STEP: usize = 16;
/// Quota of a service for keepalives, as a multiple of its quota for other datagrams.
const KEEPALIVE_FACTOR: usize = 4;

/// Decides which datagrams of a batch are processed.
///
/// While batches are full, datagrams arrive faster than they are processed, and the socket would
/// drop those of all services alike. The quota of each service is then halved with each batch until
/// the loop empties the socket again, so that only services above their quota lose datagrams.
#[derive(Debug)]
pub(super) struct Shares {
    /// Datagrams of one service that are processed per batch.
    quota: usize,
    full_batches: u32,
    used: FastMap<ServiceId, usize>,
}

impl Shares {
    pub(super) fn new() -> Self {
        Self {
            quota: BATCH_LIMIT,
            full_batches: 0,
            used: FastMap::default(),
        }
    }

    /// Sets `keep` to whether each datagram of a batch is processed. Datagrams without a class are
    /// refused by the decoder at little cost and share one quota.
    pub(super) fn plan(&mut self, batch: &[Option<DatagramClass>], keep: &mut Vec<bool>) {
        keep.clear();
        keep.resize(batch.len(), true);
        if batch.len() < BATCH_LIMIT {
            self.full_batches = 0;
            self.quota = BATCH_LIMIT.min(self.quota + QUOTA_STEP);
        } else {
            self.full_batches += 1;
            // Until the quota has recovered, the flood is assumed to continue: a few batches
            // processed completely would fill the socket's buffer again.
            if self.quota < BATCH_LIMIT || self.full_batches >= SATURATED_AFTER {
                self.quota = MIN_QUOTA.max(self.quota / 2);
            }
        }
        if self.quota == BATCH_LIMIT {
            return;
        }
        self.used.clear();
        // Keepalives use up the quota first, so that they are dropped last.
        self.mark(batch, keep, true, self.quota * KEEPALIVE_FACTOR);
        self.mark(batch, keep, false, self.quota);
    }

    fn mark(
        &mut self,
        batch: &[Option<DatagramClass>],
        keep: &mut [bool],
        keepalive: bool,
        quota: usize,
    ) {
        for (class, keep) in batch.iter().zip(keep) {
            let (service, kind) = match class {
                Some(class) => (class.service, class.keepalive),
                None => (ServiceId::new(0), false),
            };
            if kind == keepalive {
                let used = self.used.entry(service).or_default();
                *keep = *used < quota;
                *used += usize::from(*keep);
            }
        }
    }
}
