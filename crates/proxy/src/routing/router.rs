//! Chooses targets for flows and requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::SeedableRng as _;
use tanager_core::{Clock, FastMap, ResultCode, Revision, ServiceId, TargetId, ZoneName};

use crate::catalogue::{Catalogue, CatalogueStore, ServiceEntry, Target, TargetState};
use crate::membership::{InstanceState, Membership};
use crate::routing::{Candidate, Observation, Picker, Tuning, WorkKind};
use crate::target::{TargetLink, TargetPool};

/// A chosen target.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The link to the target.
    pub link: Arc<TargetLink>,
    /// The values compared, for the decision log.
    pub inputs: String,
    /// Why this target was chosen, for the decision log.
    pub reason: &'static str,
}

/// Chooses targets for new work and records how the work ended.
pub struct Router {
    catalogue: Arc<CatalogueStore>,
    targets: Arc<TargetPool>,
    membership: Arc<Membership>,
    clock: Clock,
    picker: Mutex<(Revision, Picker)>,
}

impl Router {
    /// Creates a router.
    #[must_use]
    pub fn new(
        catalogue: Arc<CatalogueStore>,
        targets: Arc<TargetPool>,
        membership: Arc<Membership>,
        clock: Clock,
    ) -> Self {
        let zone = membership.identity().zone.clone();
        let rng = rand::rngs::StdRng::from_rng(&mut rand::rng());
        let picker = Picker::new(zone, Tuning::default(), clock.now(), rng);
        Self {
            catalogue,
            targets,
            membership,
            clock,
            picker: Mutex::new((Revision::new(0), picker)),
        }
    }

    /// Returns whether the catalogue in force has the service.
    #[must_use]
    pub fn has_service(&self, service: ServiceId) -> bool {
        self.catalogue.current().entry(service).is_some()
    }

    /// Chooses a target of the service that is not excluded.
    ///
    /// # Errors
    ///
    /// Returns a code if the service is unknown or has no usable target.
    pub fn choose(
        &self,
        service: ServiceId,
        kind: WorkKind,
        excluded: &[TargetId],
    ) -> Result<Choice, ResultCode> {
        let catalogue = self.catalogue.current();
        let entry = catalogue.entry(service).ok_or(ResultCode::ServiceUnknown)?;
        let links = self.usable(entry);
        let candidates: Vec<Candidate> = links
            .iter()
            .map(|link| candidate(link, kind))
            .filter(|c| kind == WorkKind::Request || c.reported_load + c.own_load < c.capacity)
            .collect();
        let zones = (&self.live_instances(), &active_capacity(entry, kind));
        let work = (service, kind);
        let now = self.clock.now();
        let pick = self
            .lock_picker(&catalogue)
            .1
            .pick(work, &candidates, excluded, zones, now);
        let no_target = match kind {
            WorkKind::Flow => ResultCode::FlowNoTarget,
            WorkKind::Request => ResultCode::RequestNoTarget,
        };
        let pick = pick.ok_or(no_target)?;
        let target = candidates[pick.index].target;
        let link = links.into_iter().find(|l| l.target.id == target);
        Ok(Choice {
            link: link.ok_or(no_target)?,
            inputs: pick.inputs,
            reason: pick.reason,
        })
    }

    /// Records the outcome of work at a target.
    pub fn observe(&self, link: &TargetLink, observation: Observation) {
        let catalogue = self.catalogue.current();
        let Some(entry) = catalogue.entry(link.service) else {
            return;
        };
        let (target, target_count) = (link.target.id, entry.targets.len());
        let now = self.clock.now();
        self.lock_picker(&catalogue).1.observe(
            link.service,
            target,
            observation,
            target_count,
            now,
        );
    }

    /// Returns whether the target accepts no new work.
    #[must_use]
    pub fn is_leaving(&self, link: &TargetLink) -> bool {
        let catalogue = self.catalogue.current();
        let state = catalogue
            .target(link.target.id)
            .map(|(_, target)| target.state);
        state != Some(TargetState::Active) || link.load().load.leaving
    }

    fn usable(&self, entry: &ServiceEntry) -> Vec<Arc<TargetLink>> {
        let active = entry
            .targets
            .iter()
            .filter(|t| t.state == TargetState::Active);
        active
            .filter_map(|t| {
                let link = self.targets.link(t.id)?;
                link.matches(t, entry.service).then_some(link)
            })
            .filter(|l| l.is_ready() && !l.load().load.leaving)
            .collect()
    }

    /// Counts the live instances of this region by zone.
    fn live_instances(&self) -> FastMap<ZoneName, f64> {
        let region = &self.membership.identity().region;
        let mut zones = FastMap::default();
        for instance in &self.membership.list().instances {
            if instance.region == *region && instance.state == InstanceState::Live {
                *zones.entry(instance.zone.clone()).or_default() += 1.0;
            }
        }
        zones
    }

    fn lock_picker(&self, catalogue: &Catalogue) -> MutexGuard<'_, (Revision, Picker)> {
        let mut picker = self.picker.lock().unwrap_or_else(PoisonError::into_inner);
        if picker.0 < catalogue.revision {
            picker.0 = catalogue.revision;
            picker.1.retain(|id| catalogue.target(id).is_some());
        }
        picker
    }
}

/// Sums the capacity of the active targets by zone.
fn active_capacity(entry: &ServiceEntry, kind: WorkKind) -> FastMap<ZoneName, f64> {
    let mut zones = FastMap::default();
    for target in &entry.targets {
        if target.state == TargetState::Active {
            *zones.entry(target.zone.clone()).or_default() += capacity(target, kind);
        }
    }
    zones
}

fn capacity(target: &Target, kind: WorkKind) -> f64 {
    f64::from(match kind {
        WorkKind::Flow => target.flows.max(1),
        WorkKind::Request => target.slots,
    })
}

fn candidate(link: &TargetLink, kind: WorkKind) -> Candidate {
    let view = link.load();
    let (reported, own) = match kind {
        WorkKind::Flow => (view.load.flows, view.opened),
        WorkKind::Request => (view.load.running + view.load.queued, link.inflight()),
    };
    Candidate {
        target: link.target.id,
        incarnation: link.target.incarnation,
        zone: link.target.zone.clone(),
        capacity: capacity(&link.target, kind),
        reported_load: f64::from(reported),
        reported_at: view.received_at,
        own_load: f64::from(own),
    }
}
