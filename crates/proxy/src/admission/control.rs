//! Admits requests and feeds according to all limits of their owner and service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tanager_core::{Clock, FastMap, Millis, ResultCode, ServiceId};

use crate::admission::bucket::FleetSize;
use crate::admission::flow_limits::FlowLimits;
use crate::admission::gate::ConcurrencyGate;
use crate::admission::limiter::Limiter;
use crate::admission::{Lending, LimitKey, Permit};
use crate::catalogue::{Catalogue, CatalogueStore, ServiceEntry, TargetState};
use crate::membership::Membership;
use crate::target::TargetPool;

/// Initial concurrency limit of an instance for each slot of its part.
const INITIAL_RUNS_PER_SLOT: f64 = 2.0;
/// Lower bound of the initial and of the largest concurrency limit.
const MIN_CONCURRENCY: f64 = 4.0;
/// Maximum concurrency limit for each slot of a service. Further runs would only wait at targets.
const MAX_RUNS_PER_SLOT: f64 = 2.0;

/// Why work was not admitted. It must not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionError {
    /// The code for the caller.
    pub code: ResultCode,
    /// The values compared, for the decision log.
    pub inputs: String,
    /// Why they lead to the refusal, for the decision log.
    pub reason: &'static str,
}

/// Admission control of an instance.
pub struct Admission {
    catalogue: Arc<CatalogueStore>,
    membership: Arc<Membership>,
    targets: Arc<TargetPool>,
    clock: Clock,
    lending: Arc<Lending>,
    flows: Mutex<(FleetSize, FlowLimits)>,
    gates: Mutex<FastMap<ServiceId, Arc<ConcurrencyGate>>>,
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

    /// Decides whether a new feed is admitted.
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
        let (fleet_size, flow_limits) = &mut *flows;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let instances = fleet_size.update(count, now) as u64;
        flow_limits.try_acquire(&limits, instances, now)
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
        self.lending.try_acquire(&catalogue, entry)?;
        let gate = self.gate(&catalogue, entry, self.membership.instance_count());
        let (class, queue) = (entry.class, entry.limits.queue);
        // A waiting request must not keep an old catalogue in memory.
        drop(catalogue);
        gate.admit(class, deadline, queue).await
    }

    fn gate(
        &self,
        catalogue: &Catalogue,
        entry: &ServiceEntry,
        instances: usize,
    ) -> Arc<ConcurrencyGate> {
        let slots: u32 = active(entry).map(|t| t.slots).sum();
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        let part = f64::from(slots) / f64::from(instances.max(1));
        let maximum = (f64::from(slots) * MAX_RUNS_PER_SLOT).max(MIN_CONCURRENCY);
        let mut gates = lock(&self.gates);
        if gates.len() > catalogue.entries.len() {
            gates.retain(|service, _| catalogue.entry(*service).is_some());
        }
        let gate = gates.entry(entry.service).or_insert_with(|| {
            let initial = (part * INITIAL_RUNS_PER_SLOT).max(MIN_CONCURRENCY);
            let limiter = Limiter::new(initial, (part, maximum), self.clock.now());
            Arc::new(ConcurrencyGate::new(self.clock, limiter))
        });
        gate.set_bounds((part, maximum));
        Arc::clone(gate)
    }

    fn reported_flows(&self, entry: &ServiceEntry) -> u64 {
        let links = entry.targets.iter().filter_map(|t| self.targets.link(t.id));
        // Links are updated shortly after a new catalogue and may still belong to another service.
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
