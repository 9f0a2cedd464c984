//! Placement of new flows: the least loaded responsive target of a sample, preferably in the local
//! availability zone unless its targets are too busy.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom as _;
use tanager_core::{Millis, PublishedService, PublishedZone};

use crate::health::{FAILING_RATE, Health};
use crate::liveness::LivenessTracker;
use crate::load::Loads;
use crate::view::{TargetEntry, View};
use crate::{Candidate, Exclusion, Liveness, TargetNumber, TargetState, WarmupLimiter};

/// Load added to a target in another zone, in requests per slot. Traffic between zones has a cost,
/// and a network partition between zones ends its flows.
const OTHER_ZONE_PENALTY: f64 = 0.4;
/// Expected number of running requests per open flow, averaged over its idle times.
const FLOW_DEMAND: f64 = 0.035;
/// Load added to a target that is still warming up.
const WARMUP_PENALTY: f64 = 0.2;
/// Factor by which requests take longer on a target that is still warming up.
const WARMUP_FACTOR: f64 = 1.6;
/// Load added to a suspect target, which ranks it after all responsive ones.
const SUSPECT_PENALTY: f64 = 10.0;
/// Load added to a lost target, which makes it the last resort.
const LOST_PENALTY: f64 = 1_000.0;
/// Load added per unit of a target's failure rate above [`FAILING_RATE`]. A target that fails all
/// requests ranks between one with a full queue and a suspect one, so that clients wait rather than
/// fail.
const FAILURE_PENALTY: f64 = 10.0;
/// Number of targets sampled from the local zone, and again from all zones, for each flow.
const SAMPLE_SIZE: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    pub target: TargetNumber,
    /// Its load divided by its slots, with all penalties.
    pub load: f64,
    /// Number of ready targets of the service.
    pub candidates: usize,
    /// Number of further ones that are cold and whose rate permits no opening now.
    pub withheld: usize,
}

/// Inputs of a placement decision.
pub struct Placement<'a> {
    /// The local availability zone.
    pub zone: &'a PublishedZone,
    pub view: &'a View,
    pub liveness: &'a LivenessTracker,
    pub health: &'a Health,
    pub loads: &'a Loads,
    pub warmup: &'a WarmupLimiter,
    pub now: Millis,
}

impl Placement<'_> {
    /// Chooses a target of a service, preferably one that is not in `tried`.
    pub fn choose(
        &self,
        service: &PublishedService,
        tried: &[TargetNumber],
        rng: &mut StdRng,
    ) -> Option<Choice> {
        let ready =
            |e: &&TargetEntry| e.target.service == *service && e.target.state == TargetState::Ready;
        let mut candidates: Vec<_> = self.view.published().filter(ready).collect();
        let all = candidates.len();
        candidates.retain(|e| self.warmup.accepts(e, self.view, self.now));
        let untried = candidates
            .iter()
            .copied()
            .filter(|e| !tried.contains(&e.target.number));
        let least = |best: Option<(f64, TargetNumber)>, e: &TargetEntry| {
            let load = self.load(e, &candidates);
            match best {
                Some((least, _)) if least <= load => best,
                _ => Some((load, e.target.number)),
            }
        };
        let sample = self.sample(untried, rng);
        let (load, target) = sample.into_iter().fold(None, least).or_else(|| {
            // All targets were tried already; one of them may only be slow.
            candidates
                .last()
                .map(|e| (self.load(e, &candidates), e.target.number))
        })?;
        Some(Choice {
            target,
            load,
            candidates: candidates.len(),
            withheld: all - candidates.len(),
        })
    }

    /// Returns all published targets of a service, with those that a decision would compare.
    pub fn candidates(&self, service: &PublishedService, rng: &mut StdRng) -> Vec<Candidate> {
        let published = self.view.published();
        let targets: Vec<_> = published.filter(|e| e.target.service == *service).collect();
        let usable: Vec<_> = targets
            .iter()
            .copied()
            .filter(|e| self.exclusion(e).is_none())
            .collect();
        let sample = self.sample(usable.iter().copied(), rng);
        let describe = |e: &TargetEntry| Candidate {
            target: e.target.number.to_string(),
            zone: e.target.zone.to_string(),
            load: self.load(e, &usable),
            liveness: self.liveness(e).to_string(),
            compared: sample.iter().any(|s| s.target.number == e.target.number),
            excluded: self.exclusion(e),
        };
        targets.into_iter().map(describe).collect()
    }

    /// Returns why a target cannot be chosen.
    fn exclusion(&self, entry: &TargetEntry) -> Option<Exclusion> {
        if entry.target.state != TargetState::Ready {
            return Some(Exclusion::Draining);
        }
        let accepts = self.warmup.accepts(entry, self.view, self.now);
        (!accepts).then_some(Exclusion::Cold)
    }

    /// Draws the targets to compare: some responsive ones of the local zone, and some of all zones.
    ///
    /// Instances receive each other's loads with a delay. If each compared all targets, all would
    /// choose the same one in the meantime.
    fn sample<'k>(
        &self,
        candidates: impl Iterator<Item = &'k TargetEntry> + Clone,
        rng: &mut StdRng,
    ) -> Vec<&'k TargetEntry> {
        let near = candidates.clone().filter(|e| {
            let liveness = self.liveness(e);
            e.target.zone == *self.zone && liveness == Liveness::Sound
        });
        let mut sample = near.sample(rng, SAMPLE_SIZE);
        sample.extend(candidates.sample(rng, SAMPLE_SIZE));
        sample
    }

    fn liveness(&self, entry: &TargetEntry) -> Liveness {
        self.liveness
            .liveness(entry.target.number, self.health, self.now)
    }

    /// Returns the mean number of flows per target.
    fn mean_flows(&self, candidates: &[&TargetEntry]) -> f64 {
        let flows = |e: &&TargetEntry| self.loads.get(e.target.number, self.now).flows;
        let sum: f64 = candidates.iter().map(flows).sum();
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let count = candidates.len().max(1) as f64;
        sum / count
    }

    /// Returns a target's load divided by its slots, with all penalties.
    fn load(&self, entry: &TargetEntry, candidates: &[&TargetEntry]) -> f64 {
        let target = &entry.target;
        let load = self.loads.get(target.number, self.now);
        let cold = entry.warmup(self.now) > Duration::ZERO;
        // Without flows, a target that is warming up would otherwise attract all new ones.
        let flows = if cold {
            load.flows.max(self.mean_flows(candidates))
        } else {
            load.flows
        };
        let running = load.running + load.others + flows * FLOW_DEMAND;
        let mut total = running / f64::from(target.slots);
        if cold {
            total = total * WARMUP_FACTOR + WARMUP_PENALTY;
        }
        if target.zone != *self.zone {
            total += OTHER_ZONE_PENALTY;
        }
        let failures = self.health.failure_rate(target.number, self.now);
        total += FAILURE_PENALTY * (failures - FAILING_RATE).max(0.0);
        total += match self.liveness(entry) {
            Liveness::Sound => 0.0,
            Liveness::Suspect => SUSPECT_PENALTY,
            Liveness::Lost => LOST_PENALTY,
        };
        total
    }
}
