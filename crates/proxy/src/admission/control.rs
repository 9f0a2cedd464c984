//! Admits requests and flows by all limits of their owner and service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tanager_core::{Clock, FastMap, Millis, ResultCode, ServiceId};

use crate::admission::bucket::FleetSize;
use crate::admission::flow_limits::FlowLimits;
use crate::admission::gate::Gate;
use crate::admission::limiter::Limiter;
use crate::admission::{Lending, LimitKey, Permit};
use crate::catalogue::{Catalogue, CatalogueStore, ServiceEntry, TargetState};
use crate::membership::Membership;
use crate::target::TargetPool;

/// Runs in flight that one instance may start with for each slot that is its part.
const START_SHARE: f64 = 2.0;
/// Smallest concurrency to start with.
const START_MINIMUM: f64 = 4.0;
/// Runs in flight for each slot of a service beyond which more would only wait at targets.
const MOST_SHARE: f64 = 2.0;

/// Why work is not taken. It must not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionError {
    /// The code for the caller.
    pub code: ResultCode,
    /// The values compared, for the decision log.
    pub inputs: String,
    /// Why the refusal follows, for the decision log.
    pub reason: &'static str,
}

/// Decides which work is taken.
pub struct Admission {
    catalogue: Arc<CatalogueStore>,
    membership: Arc<Membership>,
    targets: Arc<TargetPool>,
    clock: Clock,
    lending: Arc<Lending>,
    flows: Mutex<(FleetSize, FlowLimits)>,
    gates: Mutex<FastMap<ServiceId, Arc<Gate>>>,
}

impl Admission {
    /// Creates the admission control of an instance.
    #[must_use]
    pub fn new(lending: Arc<Lending>, targets: Arc<TargetPool>, clock: Clock) -> Self {
        Self {
            catalogue: Arc::clone(&lending.catalogue),
            membership: Arc::clone(&lending.membership),
            lending,
            targets,
            clock,
            flows: Mutex::default(),
            gates: Mutex::default(),
        }
    }

    /// Decides whether a new feed is taken.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached.
    pub fn admit_flow(&self, service: ServiceId) -> Result<(), AdmissionError> {
        let catalogue = self.catalogue.current();
        let entry = catalogue.entry(service).ok_or_else(unknown_service)?;
        let siblings = catalogue
            .entries
            .values()
            .filter(|e| e.owner == entry.owner);
        let owner_flows = siblings.map(|e| self.reported_flows(e)).sum();
        let owner_limit = catalogue.owners.get(&entry.owner).map_or(0, |o| o.flows);
        let owner = LimitKey::Owner(entry.owner.clone());
        let own = LimitKey::Service(service);
        let limits = [
            (owner, owner_limit, owner_flows),
            (own, entry.limits.flows, self.reported_flows(entry)),
        ];
        let (count, now) = (self.membership.instance_count(), self.clock.now());
        let mut flows = lock(&self.flows);
        let (size, flow_limits) = &mut *flows;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let instances = size.update(count, now) as u64;
        flow_limits.take(&limits, instances, now)
    }

    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached, or that the deadline cannot be met. The request must
    /// not run then.
    pub async fn admit(
        &self,
        service: ServiceId,
        deadline: Millis,
    ) -> Result<Permit, AdmissionError> {
        let catalogue = self.catalogue.current();
        let entry = catalogue.entry(service).ok_or_else(unknown_service)?;
        self.lending.take(&catalogue, entry)?;
        let gate = self.gate(&catalogue, entry, self.membership.instance_count());
        let (class, queue) = (entry.class, entry.limits.queue);
        // A wait must not keep an old catalogue in memory.
        drop(catalogue);
        gate.admit(class, deadline, queue).await
    }

    fn gate(&self, catalogue: &Catalogue, entry: &ServiceEntry, instances: usize) -> Arc<Gate> {
        let slots: u32 = active(entry).map(|t| t.slots).sum();
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        let part = f64::from(slots) / f64::from(instances.max(1));
        let most = (f64::from(slots) * MOST_SHARE).max(START_MINIMUM);
        let mut gates = lock(&self.gates);
        if gates.len() > catalogue.entries.len() {
            gates.retain(|service, _| catalogue.entry(*service).is_some());
        }
        let gate = gates.entry(entry.service).or_insert_with(|| {
            let start = (part * START_SHARE).max(START_MINIMUM);
            let limiter = Limiter::new(start, (part, most), self.clock.now());
            Arc::new(Gate::new(self.clock, limiter))
        });
        gate.bound((part, most));
        Arc::clone(gate)
    }

    fn reported_flows(&self, entry: &ServiceEntry) -> u64 {
        let links = entry.targets.iter().filter_map(|t| self.targets.link(t.id));
        // Links follow a new catalogue a moment later and may still belong to another service.
        let links = links.filter(|l| l.service == entry.service);
        links.map(|l| u64::from(l.load().load.flows)).sum()
    }
}

fn active(entry: &ServiceEntry) -> impl Iterator<Item = &crate::catalogue::Target> {
    entry
        .targets
        .iter()
        .filter(|t| t.state == TargetState::Active)
}

const fn unknown_service() -> AdmissionError {
    AdmissionError {
        code: ResultCode::ServiceUnknown,
        inputs: String::new(),
        reason: "the catalogue has no such service",
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
