//! Shares a saturated receive loop among services.

use tanager_core::{FastMap, ServiceId};

use super::class::Class;

/// Datagrams taken from the socket at a time.
pub(super) const ROUND: usize = 256;
/// Full rounds in a row after which the loop counts as saturated. A burst of fewer datagrams fits
/// the socket's buffer and is worked off.
const SATURATED_AFTER: u32 = 4;
/// Smallest quota of a service. With it nearly all time goes into emptying the socket's buffer.
const LEAST_QUOTA: usize = 8;
/// Growth of the quota after a round that was not full.
const QUOTA_STEP: usize = 16;
/// Quota of a service for keepalives, as a multiple of that for other datagrams.
const KEEPALIVE_FACTOR: usize = 4;

/// Decides which datagrams of a round are processed.
///
/// While rounds are full, datagrams arrive faster than they are processed, and the socket would
/// drop those of all services alike. Then the quota of each service is halved round by round until
/// the loop empties the socket again, so that only services above their quota lose datagrams.
#[derive(Debug)]
pub(super) struct Shares {
    /// Datagrams of one service that are processed in a round.
    quota: usize,
    full_rounds: u32,
    used: FastMap<ServiceId, usize>,
}

impl Shares {
    pub(super) fn new() -> Self {
        Self {
            quota: ROUND,
            full_rounds: 0,
            used: FastMap::default(),
        }
    }

    /// Sets `keep` to whether each datagram of a round is processed. Datagrams without a class
    /// are refused by decoding, which costs little, and share one quota.
    pub(super) fn plan(&mut self, round: &[Option<Class>], keep: &mut Vec<bool>) {
        keep.clear();
        keep.resize(round.len(), true);
        if round.len() < ROUND {
            self.full_rounds = 0;
            self.quota = ROUND.min(self.quota + QUOTA_STEP);
        } else {
            self.full_rounds += 1;
            // Until the quota has recovered, the flood is taken to go on: a few rounds processed
            // in full would fill the socket's buffer again.
            if self.quota < ROUND || self.full_rounds >= SATURATED_AFTER {
                self.quota = LEAST_QUOTA.max(self.quota / 2);
            }
        }
        if self.quota == ROUND {
            return;
        }
        self.used.clear();
        // Keepalives use up the quota first, so that they are dropped last.
        self.mark(round, keep, true, self.quota * KEEPALIVE_FACTOR);
        self.mark(round, keep, false, self.quota);
    }

    fn mark(&mut self, round: &[Option<Class>], keep: &mut [bool], keepalive: bool, quota: usize) {
        for (class, keep) in round.iter().zip(keep) {
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
