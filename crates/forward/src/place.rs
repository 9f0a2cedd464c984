//! Chooses the target of a new flow: the least loaded one that answers, in the own availability
//! zone unless its targets are too busy.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom as _;
use tanager_core::{Millis, ServiceName, ZoneName};

use crate::evidence::Evidence;
use crate::health::{FAILING_RATE, Health};
use crate::load::Loads;
use crate::view::{TargetEntry, View};
use crate::{Liveness, TargetNumber, TargetState};

/// How much busier, in requests over slots, the own zone's targets may be than another zone's
/// before flows go there. Traffic between zones costs, and a cut ends its flows.
const ZONE_PREFERENCE: f64 = 0.4;
/// Running requests that one open flow stands for, with those of its pauses.
const FLOW_DEMAND: f64 = 0.035;
/// Load added to a target that has just started and is still slow.
const WARMUP_LOAD: f64 = 0.2;
/// How much longer a request takes at a target that has just started.
const WARMUP_FACTOR: f64 = 1.6;
/// Load added to a target that owes an answer: it is taken after all sound ones.
const SUSPECT_LOAD: f64 = 10.0;
/// Load added to a target that has stopped answering: it is a last resort.
const LOST_LOAD: f64 = 1_000.0;
/// Load that a target which fails all its requests has more than one which fails none. Between
/// a full queue and a suspect target, so that callers wait rather than fail.
const FAILURE_LOAD: f64 = 10.0;
/// Targets of the own zone, and as many of all zones, that are compared for one flow.
const SAMPLE: usize = 2;

/// A chosen target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetNumber,
    /// Its load over its slots with all additions.
    pub load: f64,
    /// Targets that were compared.
    pub candidates: usize,
}

/// What a choice is based on.
pub struct Placement<'a> {
    /// The own availability zone.
    pub zone: &'a ZoneName,
    /// Published targets.
    pub view: &'a View,
    /// Signs of life.
    pub evidence: &'a Evidence,
    /// Failed requests.
    pub health: &'a Health,
    /// Load of the targets.
    pub loads: &'a Loads,
    /// The present time.
    pub now: Millis,
}

impl Placement<'_> {
    /// Chooses a target of a service, one that is not in `tried` if there is any.
    pub fn choose(
        &self,
        service: &ServiceName,
        tried: &[TargetNumber],
        rng: &mut StdRng,
    ) -> Option<Choice> {
        let takes =
            |k: &&TargetEntry| k.target.service == *service && k.target.state == TargetState::Ready;
        let candidates: Vec<_> = self.view.published().filter(takes).collect();
        let fresh = candidates
            .iter()
            .copied()
            .filter(|k| !tried.contains(&k.target.number));
        let least = |best: Option<(f64, TargetNumber)>, k: &TargetEntry| {
            let load = self.load(k, &candidates);
            match best {
                Some((least, _)) if least <= load => best,
                _ => Some((load, k.target.number)),
            }
        };
        let sample = self.sample(fresh, rng);
        let (load, target) = sample.into_iter().fold(None, least).or_else(|| {
            // All were tried: the last one may just be slow.
            candidates
                .last()
                .map(|k| (self.load(k, &candidates), k.target.number))
        })?;
        Some(Choice {
            target,
            load,
            candidates: candidates.len(),
        })
    }

    /// Draws the targets to compare: some sound ones of the own zone, and some of all.
    ///
    /// Instances hear of each other's choices late. If all compared all targets, all would
    /// choose the same one in the meantime.
    fn sample<'k>(
        &self,
        candidates: impl Iterator<Item = &'k TargetEntry> + Clone,
        rng: &mut StdRng,
    ) -> Vec<&'k TargetEntry> {
        let near = candidates.clone().filter(|k| {
            let standing = self.standing(k);
            k.target.zone == *self.zone && standing == Liveness::Sound
        });
        let mut sample = near.sample(rng, SAMPLE);
        sample.extend(candidates.sample(rng, SAMPLE));
        sample
    }

    fn standing(&self, known: &TargetEntry) -> Liveness {
        self.evidence
            .standing(known.target.number, self.health, self.now)
    }

    /// Returns the mean number of flows over the targets.
    fn mean_flows(&self, candidates: &[&TargetEntry]) -> f64 {
        let flows = |k: &&TargetEntry| self.loads.get(k.target.number, self.now).flows;
        let sum: f64 = candidates.iter().map(flows).sum();
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let count = candidates.len().max(1) as f64;
        sum / count
    }

    /// Returns a target's load over its slots, compared with the other targets of its service.
    fn load(&self, known: &TargetEntry, service: &[&TargetEntry]) -> f64 {
        let target = &known.target;
        let load = self.loads.get(target.number, self.now);
        let cold = known.warmup(self.now) > Duration::ZERO;
        // A target without flows would otherwise draw all new ones while it is slow.
        let flows = if cold {
            load.flows.max(self.mean_flows(service))
        } else {
            load.flows
        };
        let running = load.running + load.others + flows * FLOW_DEMAND;
        let mut total = running / f64::from(target.slots);
        if cold {
            total = total * WARMUP_FACTOR + WARMUP_LOAD;
        }
        if target.zone != *self.zone {
            total += ZONE_PREFERENCE;
        }
        let failures = self.health.failure_rate(target.number, self.now);
        total += FAILURE_LOAD * (failures - FAILING_RATE).max(0.0);
        total += match self.standing(known) {
            Liveness::Sound => 0.0,
            Liveness::Suspect => SUSPECT_LOAD,
            Liveness::Lost => LOST_LOAD,
        };
        total
    }
}
