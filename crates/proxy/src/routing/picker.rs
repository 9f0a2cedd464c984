//! Picks the target that is furthest behind its share.

use rand::rngs::StdRng;
use rand::seq::IteratorRandom as _;
use tanager_core::{FastMap, Incarnation, Millis, ServiceId, TargetId, ZoneName};

use crate::routing::Observation;
use crate::routing::health::Health;
use crate::routing::locality::{ByZone, Pace, paced, split};
use crate::routing::weight::{slow_start, slowness, tilt, zone_latency};

/// Share of a service's targets that must remain usable for ejections to count.
const PANIC_SHARE: f64 = 0.5;
/// Choices that a target can be owed or be ahead at most.
const CREDIT_LIMIT: f64 = 8.0;

/// What is to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WorkKind {
    /// A feed, compared by open feeds.
    Flow,
    /// A request, compared by running and queued requests.
    Request,
}

/// A target that could take the work.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its number.
    pub target: TargetId,
    /// Its incarnation. A new one starts slowly again.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Slots or feeds that it takes.
    pub capacity: f64,
    /// Reported load: running and queued requests, or open feeds.
    pub reported: f64,
    /// When the report arrived.
    pub reported_at: Millis,
    /// Own requests in flight, or own feeds opened since the report.
    pub own: f64,
}

/// How targets are compared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Random candidates that are compared for one choice.
    pub samples: usize,
    /// Choices by which a target may be ahead of its share.
    pub lead: f64,
}

impl Default for Tuning {
    /// Chosen with `measure_tests`: 1 to 3 samples shed more at 70% to 90% load (2 samples: 2.4%
    /// against 1.2%), all 14 samples gain nothing; a lead of 2 or 4 sheds more than 1.
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
    /// Its position among the candidates.
    pub index: usize,
    /// The values compared, for the decision log.
    pub inputs: String,
    /// Why this one, for the decision log.
    pub reason: &'static str,
}

/// The state of choices for one service and kind of work.
#[derive(Debug, Default)]
struct Ledger {
    /// Choices that each target is owed, negative when it is ahead of its share.
    credits: FastMap<TargetId, f64>,
    /// Own requests placed since the report with the given time.
    placed: FastMap<TargetId, (Millis, f64)>,
    pace: Pace,
}

#[derive(Debug, Default)]
struct ServiceState {
    health: Health,
    first_seen: FastMap<(TargetId, Incarnation), Millis>,
    ledgers: FastMap<WorkKind, Ledger>,
}

/// Chooses among candidates. Holds no links, so that tests can drive it alone.
///
/// Each target is entitled to a share of this instance's choices. Among random candidates that
/// are not ahead of their share the least loaded one is taken. Reports thus decide when a target
/// gets its work, but not how much: a wrong report attracts no more than the share.
#[derive(Debug)]
pub struct Picker {
    zone: ZoneName,
    tuning: Tuning,
    start: Millis,
    rng: StdRng,
    services: FastMap<ServiceId, ServiceState>,
}

impl Picker {
    /// Creates a picker for an instance in a zone that starts now.
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
        (service, placement): (ServiceId, WorkKind),
        candidates: &[Candidate],
        excluded: &[TargetId],
        (instances, listed): (&ByZone, &ByZone),
        now: Millis,
    ) -> Option<Pick> {
        let state = self.services.entry(service).or_default();
        let usable = state.usable(candidates, listed, now);
        let pace = state.ledgers.entry(placement).or_default().pace.count(now);
        let zones = split(&self.zone, instances, listed);
        let zones = paced(zones, pace, instances, listed);
        let shares = state.shares(&usable, (placement, &zones, listed), (self.start, now));
        let ledger = state.ledgers.entry(placement).or_default();
        ledger.credit(&usable, &shares);
        let free = |i: &usize| !excluded.contains(&usable[*i].target);
        let due = |i: &usize| {
            shares[*i] > 0.0 && ledger.credits[&usable[*i].target] >= 1.0 - self.tuning.lead
        };
        let in_share = (0..usable.len()).filter(|i| free(i) && due(i));
        let mut sampled = in_share.sample(&mut self.rng, self.tuning.samples);
        let mut reason = "least loaded of the sampled targets within their share";
        if sampled.is_empty() {
            sampled = (0..usable.len()).filter(free).collect();
            reason = "least loaded target; none was within its share";
        }
        let score = |i: usize| ledger.score(usable[i], placement);
        let inputs = sampled.iter().map(|i| describe(usable[*i], score(*i)));
        let inputs = inputs.collect::<Vec<_>>().join(" ");
        let best = sampled
            .into_iter()
            .min_by(|a, b| compare(score(*a), score(*b)))?;
        let (chosen, at) = (usable[best].target, usable[best].reported_at);
        ledger.charge(chosen, at);
        Some(Pick {
            index: candidates.iter().position(|c| c.target == chosen)?,
            inputs,
            reason,
        })
    }

    /// Learns from the end of work at one of the service's `listed` targets.
    pub fn observe(
        &mut self,
        service: ServiceId,
        target: TargetId,
        observation: Observation,
        listed: usize,
        now: Millis,
    ) {
        let state = self.services.entry(service).or_default();
        state.health.observe(target, observation, listed, now);
    }

    /// Forgets what is no longer in the catalogue.
    pub fn retain(&mut self, listed: impl Fn(TargetId) -> bool + Copy) {
        for state in self.services.values_mut() {
            state.health.retain(listed);
            state.first_seen.retain(|(id, _), _| listed(*id));
        }
    }
}

impl ServiceState {
    /// Leaves out ejected targets unless too few would remain.
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
        if capacity < listed.values().sum::<f64>() * PANIC_SHARE {
            return candidates.iter().collect();
        }
        healthy.collect()
    }

    /// Returns the share of this instance's choices that each target is entitled to.
    fn shares(
        &self,
        usable: &[&Candidate],
        (placement, zones, listed): (WorkKind, &ByZone, &ByZone),
        (start, now): (Millis, Millis),
    ) -> Vec<f64> {
        let medians = zone_latency(usable, &self.health);
        let loads = usable.iter().map(|c| c.reported / c.capacity);
        #[expect(clippy::cast_precision_loss)]
        let mean = loads.sum::<f64>() / usable.len().max(1) as f64;
        let factor = |c: &Candidate| {
            let seen = self.first_seen.get(&(c.target, c.incarnation));
            let warm = slow_start(seen.copied().unwrap_or(now), start, now);
            let time = self.health.latency(c.target);
            match placement {
                WorkKind::Flow => warm * tilt(c.reported / c.capacity, mean),
                WorkKind::Request => warm * slowness(time, medians.get(&c.zone).copied()),
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
        // No zone of the split is reachable, so whatever is reachable is used.
        let total: f64 = usable.iter().map(|c| c.capacity).sum();
        usable.iter().map(|c| c.capacity / total).collect()
    }
}

impl Ledger {
    /// Hands out the credits of one choice. Targets that are not usable lose theirs, so that a
    /// target that returns is not flooded with what it missed.
    fn credit(&mut self, usable: &[&Candidate], shares: &[f64]) {
        self.credits
            .retain(|id, _| usable.iter().any(|c| c.target == *id));
        self.placed
            .retain(|id, _| usable.iter().any(|c| c.target == *id));
        for (candidate, share) in usable.iter().zip(shares) {
            let credit = self.credits.entry(candidate.target).or_default();
            *credit = (*credit + share).min(CREDIT_LIMIT);
        }
    }

    fn charge(&mut self, target: TargetId, reported_at: Millis) {
        let credit = self.credits.entry(target).or_default();
        *credit = (*credit - 1.0).max(-CREDIT_LIMIT);
        let placed = self.placed.entry(target).or_insert((reported_at, 0.0));
        if placed.0 != reported_at {
            *placed = (reported_at, 0.0);
        }
        placed.1 += 1.0;
    }

    /// Returns what is compared, least first: load over capacity, then choices ahead of the share.
    fn score(&self, c: &Candidate, placement: WorkKind) -> (f64, f64) {
        let credit = self.credits.get(&c.target).copied().unwrap_or(0.0);
        let placed = self.placed.get(&c.target).filter(|p| p.0 == c.reported_at);
        let load = match placement {
            // Feeds are held for hours; the tilt of the shares evens them out.
            WorkKind::Flow => 0.0,
            WorkKind::Request => c.own.max(c.reported + placed.map_or(0.0, |p| p.1)),
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
