//! Limits the retries of each service.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tanager_core::{FastMap, ServiceId};

/// Retries that a service may make at once.
const BURST: u32 = 50;
/// Requests that add one retry to the budget, so that retries add at most 10% to the load of the
/// targets.
const REQUESTS_PER_RETRY: u32 = 10;
/// Initial and maximum balance of a service, in units of 1 / [`REQUESTS_PER_RETRY`].
const FULL_BALANCE: u32 = BURST * REQUESTS_PER_RETRY;

/// Limits the retries of requests that a target has received, separately for each service, so that
/// one service's failures do not use up another's retries.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    /// Available retries in units of 1 / [`REQUESTS_PER_RETRY`]. A service without an entry has
    /// [`FULL_BALANCE`].
    ///
    /// Invariant: holds only services with targets, since callers may send any service number.
    pub(super) services: Mutex<FastMap<ServiceId, u32>>,
}

impl RetryBudget {
    /// Adds a request's share of a retry to the budget of its service.
    pub(super) fn deposit(&self, service: ServiceId) {
        if let Some(balance) = self.lock().get_mut(&service) {
            *balance = (*balance + 1).min(FULL_BALANCE);
        }
    }

    /// Withdraws one retry if there is one and returns whether there was. The service must have
    /// targets.
    pub(super) fn try_withdraw(&self, service: ServiceId) -> bool {
        let mut services = self.lock();
        let balance = services.entry(service).or_insert(FULL_BALANCE);
        let allowed = *balance >= REQUESTS_PER_RETRY;
        if allowed {
            *balance -= REQUESTS_PER_RETRY;
        }
        allowed
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServiceId, u32>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
