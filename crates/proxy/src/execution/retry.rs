//! Bounds the retries of each service.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tanager_core::{FastMap, ServiceId};

/// Retries that a service may do at once.
const BURST: u32 = 50;
/// Requests that earn one retry, so that retries add at most 10% to the load of the targets.
const REQUESTS_PER_RETRY: u32 = 10;
/// Earned retries at start and at most, in units of 1 / [`REQUESTS_PER_RETRY`].
const FULL: u32 = BURST * REQUESTS_PER_RETRY;

/// Bounds the retries of requests that a target has received, for each service apart so that
/// one service's failures do not use up another's retries.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    /// Earned retries in units of 1 / [`REQUESTS_PER_RETRY`]. A service that is not listed has not
    /// used any.
    ///
    /// Invariant: holds only services with targets, since callers may send any number.
    pub(super) services: Mutex<FastMap<ServiceId, u32>>,
}

impl RetryBudget {
    /// Counts a request.
    pub(super) fn earn(&self, service: ServiceId) {
        if let Some(earned) = self.lock().get_mut(&service) {
            *earned = (*earned + 1).min(FULL);
        }
    }

    /// Takes one retry and returns whether there was one. The service must have targets.
    pub(super) fn spend(&self, service: ServiceId) -> bool {
        let mut services = self.lock();
        let earned = services.entry(service).or_insert(FULL);
        let allowed = *earned >= REQUESTS_PER_RETRY;
        if allowed {
            *earned -= REQUESTS_PER_RETRY;
        }
        allowed
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServiceId, u32>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
