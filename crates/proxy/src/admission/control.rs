use std::sync::Arc;

use tanager_core::{Clock, FastMap, Millis, ResultCode, ServiceId};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::catalogue::CatalogueStore;
use crate::membership::Membership;

/// Requests that one instance runs at the same time for one service, until it is adapted.
const CONCURRENCY: usize = 64;

/// Leave to run one request. Dropping it admits the next.
#[derive(Debug)]
pub struct Permit {
    _slot: OwnedSemaphorePermit,
}

/// Decides which work is taken.
pub struct Admission {
    catalogue: Arc<CatalogueStore>,
    clock: Clock,
    services: std::sync::Mutex<FastMap<ServiceId, Arc<Semaphore>>>,
}

impl Admission {
    /// Creates the admission control of an instance.
    #[must_use]
    pub fn new(catalogue: Arc<CatalogueStore>, _: Arc<Membership>, clock: Clock) -> Self {
        Self {
            catalogue,
            clock,
            services: std::sync::Mutex::default(),
        }
    }

    /// Decides whether a new feed is taken.
    ///
    /// # Errors
    ///
    /// Returns the code of the limit that is reached.
    pub fn admit_flow(&self, service: ServiceId) -> Result<(), ResultCode> {
        let known = self.catalogue.current().entry(service).is_some();
        if known {
            Ok(())
        } else {
            Err(ResultCode::ServiceUnknown)
        }
    }

    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// Returns the code of the limit that is reached, or [`ResultCode::QueueDeadline`]. The
    /// request must not run then.
    pub async fn admit(&self, service: ServiceId, deadline: Millis) -> Result<Permit, ResultCode> {
        if self.catalogue.current().entry(service).is_none() {
            return Err(ResultCode::ServiceUnknown);
        }
        let semaphore = {
            let mut services = self
                .services
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            let new = || Arc::new(Semaphore::new(CONCURRENCY));
            Arc::clone(services.entry(service).or_insert_with(new))
        };
        let left = deadline.since(self.clock.now());
        let slot = tokio::time::timeout(left, semaphore.acquire_owned()).await;
        match slot {
            Ok(Ok(slot)) => Ok(Permit { _slot: slot }),
            _ => Err(ResultCode::QueueDeadline),
        }
    }
}
