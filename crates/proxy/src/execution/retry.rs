use std::sync::{Mutex, PoisonError};

use tanager_core::{FastMap, ServiceId};

/// Retries that a service may do at once.
const BURST: u32 = 50;
/// Requests that earn one retry, so that retries add at most 10% to the load of the targets.
const REQUESTS_PER_RETRY: u32 = 10;

/// Bounds the retries of requests that a target has received, for each service apart so that
/// one service's failures do not use up another's retries.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    /// Earned retries in units of 1 / [`REQUESTS_PER_RETRY`].
    services: Mutex<FastMap<ServiceId, u32>>,
}

impl RetryBudget {
    /// Counts a request.
    pub(super) fn earn(&self, service: ServiceId) {
        self.update(service, |earned| {
            *earned = (*earned + 1).min(BURST * REQUESTS_PER_RETRY);
        });
    }

    /// Takes one retry and returns whether there was one.
    pub(super) fn spend(&self, service: ServiceId) -> bool {
        self.update(service, |earned| {
            let allowed = *earned >= REQUESTS_PER_RETRY;
            if allowed {
                *earned -= REQUESTS_PER_RETRY;
            }
            allowed
        })
    }

    fn update<T>(&self, service: ServiceId, change: impl FnOnce(&mut u32) -> T) -> T {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        change(
            services
                .entry(service)
                .or_insert(BURST * REQUESTS_PER_RETRY),
        )
    }
}
