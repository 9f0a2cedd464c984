//! The targets of each service by availability zone, and which of them may get a flow. Built when
//! the view changes or a cold target with a rate has warmed up, so that a choice costs the same with
//! 150 and with 3,400 targets.

use tanager_core::{FastMap, Millis, PublishedService, PublishedZone};

use super::Observations;
use super::cold::is_limited;
use crate::view::{TargetEntry, View};
use crate::{Liveness, TargetNumber};

/// Returns whether nothing speaks against a target apart from its load.
pub(super) fn is_healthy(entry: &TargetEntry, seen: &Observations<'_>) -> bool {
    entry.accepts_flows()
        && seen.liveness_of(entry) == Liveness::Sound
        && !seen.is_failing(entry.target.number)
}

/// Returns whether a target is still warming up, or its zone has just come back from an evacuation.
pub(super) fn is_cold(entry: &TargetEntry, seen: &Observations<'_>) -> bool {
    !entry.warmup(seen.now).is_zero() || seen.view.is_ramping_up(&entry.target.zone, seen.now)
}

/// The targets of a service that accept flows and whose zones are not evacuated.
#[derive(Debug, Default)]
pub struct ServiceTargets {
    /// Those of all zones that need no grant, sorted by number.
    pub all: Vec<TargetNumber>,
    /// Those of each zone that need no grant, sorted by number.
    zones: FastMap<PublishedZone, Vec<TargetNumber>>,
    /// Number of further ones that are cold and have a rate, so that a flow needs a grant.
    pub limited: usize,
}

impl ServiceTargets {
    /// Returns the targets of a zone, sorted by number.
    pub fn zone(&self, zone: &PublishedZone) -> &[TargetNumber] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }
}

/// The targets of all services.
#[derive(Debug, Default)]
pub struct Candidates {
    services: FastMap<PublishedService, ServiceTargets>,
    /// Generation of the view from which they were built.
    generation: Option<u64>,
    /// When the first of the limited targets has warmed up.
    next_warm: Option<Millis>,
}

impl Candidates {
    /// Rebuilds the index if the view has changed or a limited target has warmed up.
    pub fn refresh(&mut self, view: &View, now: Millis) {
        let current = self.generation == Some(view.generation());
        if current && self.next_warm.is_none_or(|at| now < at) {
            return;
        }
        self.generation = Some(view.generation());
        self.next_warm = None;
        self.services.clear();
        for entry in view.published().filter(|e| view.takes_flows(e)) {
            let target = &entry.target;
            if !self.services.contains_key(&target.service) {
                let empty = ServiceTargets::default();
                self.services.insert(target.service.clone(), empty);
            }
            let Some(service) = self.services.get_mut(&target.service) else {
                continue;
            };
            if is_limited(entry, view, now) {
                let warm = now + entry.warmup(now);
                self.next_warm = Some(self.next_warm.map_or(warm, |at| at.min(warm)));
                service.limited += 1;
            } else {
                service.add(&target.zone, target.number);
            }
        }
        for service in self.services.values_mut() {
            service.sort();
        }
    }

    /// Returns the targets of a service.
    pub fn get(&self, service: &PublishedService) -> Option<&ServiceTargets> {
        self.services.get(service)
    }

    /// Returns all services with their targets.
    pub fn services(&self) -> impl Iterator<Item = (&PublishedService, &ServiceTargets)> {
        self.services.iter()
    }
}

impl ServiceTargets {
    fn add(&mut self, zone: &PublishedZone, number: TargetNumber) {
        self.all.push(number);
        match self.zones.get_mut(zone) {
            Some(targets) => targets.push(number),
            None => {
                self.zones.insert(zone.clone(), vec![number]);
            }
        }
    }

    fn sort(&mut self) {
        self.all.sort_unstable();
        for targets in self.zones.values_mut() {
            targets.sort_unstable();
        }
    }
}
