//! Picks targets by their load, within their share of the work.

use rand::rngs::StdRng;
use rand::seq::IteratorRandom as _;
use tanager_core::{FastMap, Incarnation, Millis, ServiceId, TargetId, ZoneName};

use crate::routing::Observation;
use crate::routing::health::Health;
use crate::routing::locality::{ByZone, ChoiceRate, reduce_locality, split};
use crate::routing::weight::{latency_factor, load_factor, slow_start, zone_latencies};

/// If less than this share of a service's capacity would remain, ejections are ignored.
const PANIC_THRESHOLD: f64 = 0.5;
/// Maximum credit or deficit of a target, in choices.
const CREDIT_LIMIT: f64 = 8.0;

/// Kind of work to be placed on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WorkKind {
    /// A feed. Load is the number of open feeds.
    Flow,
    /// A request. Load is the number of running and queued requests.
    Request,
}

/// A target that can accept the work.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Number of the target.
    pub target: TargetId,
    /// Incarnation of the target. A new one goes through slow start again.
    pub incarnation: Incarnation,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Slots, or the maximum number of feeds.
    pub capacity: f64,
    /// Reported load: running and queued requests, or open feeds.
    pub reported_load: f64,
    /// When the report was received, on this instance's clock.
    pub reported_at: Millis,
    /// Own requests in flight, or own feeds opened since the report.
    pub own_load: f64,
}

/// Parameters for the comparison of targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Candidates that are sampled at random and compared for one choice.
    pub samples: usize,
    /// Choices by which a target may be ahead of its share.
    pub lead: f64,
}

impl Default for Tuning {
    /// With 1 to 3 samples, more requests are shed at 70% to 90% load; comparing all targets has no
    /// advantage over 5 samples. A lead above 1 increases sheds. `measure_tests` compares them.
    fn default() -> Self {
        Self {
            samples: 5,
            lead: 1.0,
        }
    }
}

/// A chosen target.
#[derive(Debug, Clone)]
pub struct Pick {
    /// Position among the candidates.
    pub index: usize,
    /// The values compared, for the decision log.
    pub inputs: String,
    /// Why this target was chosen, for the decision log.
    pub reason: &'static str,
}

/// Credits and placed work for one service and kind of work.
#[derive(Debug, Default)]
struct Credits {
    /// Credit of each target in choices; negative when it is ahead of its share.
    balances: FastMap<TargetId, f64>,
    /// Time of each target's last report, and the own work placed since then.
    placed: FastMap<TargetId, (Millis, f64)>,
    rate: ChoiceRate,
}

#[derive(Debug, Default)]
struct ServiceState {
    health: Health,
    first_seen: FastMap<(TargetId, Incarnation), Millis>,
    credits_by_kind: FastMap<WorkKind, Credits>,
}

/// Chooses among candidates. It holds no links to targets, so that tests can use it alone.
///
/// Each target is entitled to a share of this instance's choices. Among sampled candidates that
/// are not ahead of their share, the least loaded one is chosen. Reports therefore decide when a
/// target receives work but not how much: a wrong report attracts no more than the share.
#[derive(Debug)]
pub struct Picker {
    zone: ZoneName,
    tuning: Tuning,
    start: Millis,
    rng: StdRng,
    services: FastMap<ServiceId, ServiceState>,
}

impl Picker {
    /// Creates a picker for an instance in `zone` that starts at `start`.
    #[must_use]
    pub fn new(zone: ZoneName, tuning: Tuning, start: Millis, rng: StdRng) -> Self {
        Self {
            zone,
            tuning,
            start,
            rng,
            services: FastMap::default(),
        }
    }

    /// Chooses a candidate that is not excluded. `instances` counts instances by zone and
    /// `listed` the active targets of the service, usable or not.
    pub fn pick(
        &mut self,
        (service, kind): (ServiceId, WorkKind),
        candidates: &[Candidate],
        excluded: &[TargetId],
        (instances, listed): (&ByZone, &ByZone),
        now: Millis,
    ) -> Option<Pick> {
        let state = self.services.entry(service).or_default();
        let usable = state.usable(candidates, listed, now);
        let rate = state
            .credits_by_kind
            .entry(kind)
            .or_default()
            .rate
            .record(now);
        let zones = split(&self.zone, instances, listed);
        let zones = reduce_locality(zones, rate, instances, listed);
        let shares = state.shares(&usable, (kind, &zones, listed), (self.start, now));
        let credits = state.credits_by_kind.entry(kind).or_default();
        credits.add(&usable, &shares);
        let is_allowed = |i: &usize| !excluded.contains(&usable[*i].target);
        let is_within_share = |i: &usize| {
            shares[*i] > 0.0 && credits.balances[&usable[*i].target] >= 1.0 - self.tuning.lead
        };
        let within_share = (0..usable.len()).filter(|i| is_allowed(i) && is_within_share(i));
        let mut sampled = within_share.sample(&mut self.rng, self.tuning.samples);
        let mut reason = "least loaded of the sampled targets within their share";
        if sampled.is_empty() {
            sampled = (0..usable.len()).filter(is_allowed).collect();
            reason = "least loaded target; none was within its share";
        }
        let score = |i: usize| credits.score(usable[i], kind);
        let inputs = sampled.iter().map(|i| describe(usable[*i], score(*i)));
        let inputs = inputs.collect::<Vec<_>>().join(" ");
        let best = sampled
            .into_iter()
            .min_by(|a, b| compare(score(*a), score(*b)))?;
        let (chosen, at) = (usable[best].target, usable[best].reported_at);
        credits.charge(chosen, at);
        Some(Pick {
            index: candidates.iter().position(|c| c.target == chosen)?,
            inputs,
            reason,
        })
    }

    /// Records the outcome of work at a target. `target_count` is the number of the service's
    /// targets.
    pub fn observe(
        &mut self,
        service: ServiceId,
        target: TargetId,
        observation: Observation,
        target_count: usize,
        now: Millis,
    ) {
        let state = self.services.entry(service).or_default();
        state.health.observe(target, observation, target_count, now);
    }

    /// Removes targets that are no longer in the catalogue.
    pub fn retain(&mut self, listed: impl Fn(TargetId) -> bool + Copy) {
        for state in self.services.values_mut() {
            state.health.retain(listed);
            state.first_seen.retain(|(id, _), _| listed(*id));
        }
    }
}

impl ServiceState {
    /// Returns the candidates that are not ejected, or all if too little capacity would remain.
    fn usable<'a>(
        &mut self,
        candidates: &'a [Candidate],
        listed: &ByZone,
        now: Millis,
    ) -> Vec<&'a Candidate> {
        for candidate in candidates {
            let key = (candidate.target, candidate.incarnation);
            self.first_seen.entry(key).or_insert(now);
        }
        let healthy = candidates
            .iter()
            .filter(|c| !self.health.is_ejected(c.target, now));
        let capacity: f64 = healthy.clone().map(|c| c.capacity).sum();
        if capacity < listed.values().sum::<f64>() * PANIC_THRESHOLD {
            return candidates.iter().collect();
        }
        healthy.collect()
    }

    /// Returns the share of this instance's choices that each target is entitled to.
    fn shares(
        &self,
        usable: &[&Candidate],
        (kind, zones, listed): (WorkKind, &ByZone, &ByZone),
        (start, now): (Millis, Millis),
    ) -> Vec<f64> {
        let medians = zone_latencies(usable, &self.health);
        let loads = usable.iter().map(|c| c.reported_load / c.capacity);
        #[expect(clippy::cast_precision_loss)]
        let mean = loads.sum::<f64>() / usable.len().max(1) as f64;
        let factor = |c: &Candidate| {
            let seen = self.first_seen.get(&(c.target, c.incarnation));
            let warm = slow_start(seen.copied().unwrap_or(now), start, now);
            let latency = self.health.latency(c.target);
            match kind {
                WorkKind::Flow => warm * load_factor(c.reported_load / c.capacity, mean),
                WorkKind::Request => warm * latency_factor(latency, medians.get(&c.zone).copied()),
            }
        };
        let share = |c: &&Candidate| {
            let zone = zones.get(&c.zone).copied().unwrap_or(0.0);
            let capacity = listed.get(&c.zone).copied().unwrap_or(c.capacity);
            zone * c.capacity / capacity * factor(c)
        };
        let shares: Vec<f64> = usable.iter().map(share).collect();
        let sum: f64 = shares.iter().sum();
        if sum > 0.0 {
            return shares.into_iter().map(|s| s / sum).collect();
        }
        // The split gives no work to the zones of the usable targets. They receive it all the same,
        // in proportion to their capacity.
        let total: f64 = usable.iter().map(|c| c.capacity).sum();
        usable.iter().map(|c| c.capacity / total).collect()
    }
}

impl Credits {
    /// Adds the credits of one choice. Targets that are not usable lose theirs, so that a target
    /// that recovers is not flooded with the work that it missed.
    fn add(&mut self, usable: &[&Candidate], shares: &[f64]) {
        self.balances
            .retain(|id, _| usable.iter().any(|c| c.target == *id));
        self.placed
            .retain(|id, _| usable.iter().any(|c| c.target == *id));
        for (candidate, share) in usable.iter().zip(shares) {
            let credit = self.balances.entry(candidate.target).or_default();
            *credit = (*credit + share).min(CREDIT_LIMIT);
        }
    }

    /// Subtracts a choice from the target's credit and counts it as placed since the report.
    fn charge(&mut self, target: TargetId, reported_at: Millis) {
        let credit = self.balances.entry(target).or_default();
        *credit = (*credit - 1.0).max(-CREDIT_LIMIT);
        let placed = self.placed.entry(target).or_insert((reported_at, 0.0));
        if placed.0 != reported_at {
            *placed = (reported_at, 0.0);
        }
        placed.1 += 1.0;
    }

    /// Returns the sort key, lowest first: load over capacity, then choices ahead of the share.
    fn score(&self, c: &Candidate, kind: WorkKind) -> (f64, f64) {
        let credit = self.balances.get(&c.target).copied().unwrap_or(0.0);
        let placed = self.placed.get(&c.target).filter(|p| p.0 == c.reported_at);
        let load = match kind {
            // Feeds stay open for hours; `load_factor` in the shares balances them.
            WorkKind::Flow => 0.0,
            WorkKind::Request => c
                .own_load
                .max(c.reported_load + placed.map_or(0.0, |p| p.1)),
        };
        (load / c.capacity, -credit)
    }
}

fn compare(a: (f64, f64), b: (f64, f64)) -> std::cmp::Ordering {
    a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
}

fn describe(c: &Candidate, (load, ahead): (f64, f64)) -> String {
    format!("{}:load={load:.2},ahead={ahead:.2}", c.target)
}
