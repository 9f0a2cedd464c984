//! Choice among the targets of a subset by expected answer time, and of further targets while those
//! of the subset are full.

use rand::RngExt as _;
use rand::rngs::StdRng;
use rand::seq::index;
use tanager_core::PublishedService;

use super::candidates::{ServiceTargets, is_cold, is_healthy};
use super::speed::Speeds;
use super::subset::Subset;
use super::turns::Turns;
use super::{Examined, FLOW_DEMAND, Observations, Pick, WARMUP_FACTOR, WARMUP_PENALTY};
use crate::TargetNumber;
use crate::view::TargetEntry;

/// Number of targets of the subset that are compared at most.
const SUBSET_SAMPLE: usize = 8;
/// Number of targets beyond the subset that are compared, in the zone and again in other zones.
const WIDER_SAMPLE: usize = 4;
/// Number of targets drawn from all zones to find [`WIDER_SAMPLE`] of other zones.
const OTHER_ZONE_DRAWS: usize = 8;
/// Difference of the expected waits in seconds, beyond [`ZONE_PREFERENCE`], at which all flows go to
/// the other zone. Below it a part does so: all instances of a zone see the same reports, and would
/// otherwise all move back and forth.
const SPILL_RANGE: f64 = 0.05;
/// Part of the load of other instances that counts for targets of the subset. Those reports are 0.4
/// to 1.2 s old, and at full weight all instances would avoid and prefer the same targets.
const OTHERS_WEIGHT: f64 = 0.5;
/// Weight of a target's turn against its expected wait. A lower one lets waits decide more often, and
/// shares follow the speeds less closely.
const TURN_WEIGHT: f64 = 0.6;
/// Requests in flight per slot from which a target counts as full.
const FULL_LOAD: f64 = 3.5;
/// Expected wait, in requests per slot, from which targets beyond the subset are compared.
const WIDER_WAIT: f64 = 1.0;
/// Expected wait, in requests per slot, that a target of the subset may have more than one beyond it,
/// whose load is known less well.
const SUBSET_PREFERENCE: f64 = 0.5;
/// Expected wait in seconds that a target of the own zone may have more than one of another zone.
/// Traffic between zones has a cost, and a network partition between zones ends its flows.
const ZONE_PREFERENCE: f64 = 0.02;

/// Where a target was found.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Origin {
    /// In the subset, which covers this part of it.
    Subset(f64),
    /// In the own zone.
    Zone,
    OtherZone,
}

/// The expected load of a target.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    target: TargetNumber,
    /// Requests in flight per slot, those on the way left out.
    load: f64,
    /// Expected wait for a free slot in seconds, with [`OTHERS_WEIGHT`] for targets of the subset.
    wait: f64,
    /// The same with the whole load of other instances.
    whole_wait: f64,
    /// What decides between targets, in seconds: the expected wait, the share of flows, and whose
    /// turn it is.
    rank: f64,
    /// By how much a flow moves the target's next turn.
    cost: f64,
    cold: bool,
}

impl Estimate {
    fn is_full(&self) -> bool {
        self.load >= FULL_LOAD
    }
}

/// A choice in a service whose targets are not all in the subset.
pub(super) struct SubsetChoice<'a> {
    pub seen: &'a Observations<'a>,
    pub speeds: &'a Speeds,
    pub turns: &'a Turns,
    pub service: &'a PublishedService,
    pub targets: &'a ServiceTargets,
    /// Cold targets to which this instance may open a flow now.
    pub granted: &'a [TargetNumber],
    pub tried: &'a [TargetNumber],
    pub rng: &'a mut StdRng,
    pub examined: &'a mut Examined,
}

impl SubsetChoice<'_> {
    /// Chooses a target of the subset, or another one if all of them are unusable, full or cold, or
    /// have long waits. Returns `None` if no usable target was found.
    pub fn choose(&mut self, subset: Subset) -> Option<Pick> {
        let mut best = self.best_of_subset(subset);
        if best.is_none_or(|b| self.is_insufficient(&b)) {
            best = self.compare_near(best, self.granted);
            best = self.compare_near(best, self.targets.zone(self.seen.zone));
        }
        if best.is_none_or(|b| b.whole_wait > ZONE_PREFERENCE || b.is_full()) {
            best = self.compare_other_zones(best);
        }
        let best = best?;
        Some(Pick {
            target: best.target,
            load: best.load / self.speeds.get(best.target),
            cost: Some(best.cost),
        })
    }

    fn is_insufficient(&self, best: &Estimate) -> bool {
        best.is_full() || best.cold || best.wait > WIDER_WAIT * self.speeds.work(self.service)
    }

    fn best_of_subset(&mut self, subset: Subset) -> Option<Estimate> {
        let zone = self.targets.zone(self.seen.zone);
        let count = subset.len();
        let positions = index::sample(self.rng, count, count.min(SUBSET_SAMPLE));
        let members = positions.into_iter().map(|position| subset.get(position));
        let members = members.filter(|(_, share)| Subset::is_relevant(*share));
        let estimates =
            members.filter_map(|(index, share)| self.estimate(zone[index], Origin::Subset(share)));
        least(estimates)
    }

    /// Compares some of the zone's targets with the best one so far.
    fn compare_near(
        &mut self,
        best: Option<Estimate>,
        targets: &[TargetNumber],
    ) -> Option<Estimate> {
        let work = self.speeds.work(self.service);
        let found = self.sample(targets, Origin::Zone);
        better(best, found, SUBSET_PREFERENCE * work)
    }

    /// Compares some targets of all zones with the best one so far.
    fn compare_other_zones(&mut self, best: Option<Estimate>) -> Option<Estimate> {
        let found = self.sample(&self.targets.all, Origin::OtherZone);
        match (best, found) {
            (Some(best), Some(found)) => {
                let full = best.is_full() && !found.is_full();
                let gain = best.whole_wait - found.whole_wait - ZONE_PREFERENCE;
                let spills = gain > 0.0 && self.rng.random_bool((gain / SPILL_RANGE).min(1.0));
                Some(if full || spills { found } else { best })
            }
            (best, found) => best.or(found),
        }
    }

    fn sample(&mut self, targets: &[TargetNumber], origin: Origin) -> Option<Estimate> {
        let count = match origin {
            Origin::OtherZone => OTHER_ZONE_DRAWS,
            Origin::Subset(_) | Origin::Zone => WIDER_SAMPLE,
        };
        let drawn = index::sample(self.rng, targets.len(), targets.len().min(count));
        let seen = self.seen;
        let is_near = |n: &TargetNumber| {
            let entry = seen.view.get(*n);
            entry.is_some_and(|e| e.target.zone == *seen.zone)
        };
        let drawn = drawn.into_iter().map(|i| targets[i]);
        let wanted = drawn.filter(|n| origin == Origin::Zone || !is_near(n));
        let estimates = wanted
            .take(WIDER_SAMPLE)
            .filter_map(|n| self.estimate(n, origin));
        least(estimates)
    }

    /// Estimates the load of a target, or returns `None` if it is not usable.
    fn estimate(&mut self, number: TargetNumber, origin: Origin) -> Option<Estimate> {
        self.examined.count += 1;
        let seen = self.seen;
        let entry = seen.view.get(number)?;
        let usable =
            !self.tried.contains(&number) && !seen.is_refusing(number) && is_healthy(entry, seen);
        if !usable {
            return None;
        }
        self.examined.record_comparison(number);
        Some(self.estimate_usable(entry, origin))
    }

    fn estimate_usable(&self, entry: &TargetEntry, origin: Origin) -> Estimate {
        let number = entry.target.number;
        let slots = f64::from(entry.target.slots);
        let (weight, share) = match origin {
            Origin::Subset(share) => (OTHERS_WEIGHT, share),
            Origin::Zone | Origin::OtherZone => (1.0, 1.0),
        };
        let seen = self.seen.loads.get(number, self.seen.now);
        let (own, others) = self.running(number);
        // Time in seconds for which one more request keeps the target busy.
        let time = self.speeds.request_time(self.service, number) / slots;
        let cold = is_cold(entry, self.seen);
        let wait = |running: f64| {
            let wait = (running + 1.0 - slots).max(0.0) * time;
            if cold {
                wait * WARMUP_FACTOR + WARMUP_PENALTY * slots * time
            } else {
                wait
            }
        };
        let running = own + others * weight;
        let turn = self.turns.delay(number, self.turns.current(self.service));
        Estimate {
            target: number,
            load: running / slots,
            wait: wait(running),
            whole_wait: wait(own + others),
            rank: wait(running) + seen.flows * FLOW_DEMAND * time + turn * TURN_WEIGHT,
            cost: time / share,
            cold,
        }
    }

    /// Returns the requests in flight to a target of this and of other instances, without those on
    /// the way.
    fn running(&self, number: TargetNumber) -> (f64, f64) {
        let now = self.seen.now;
        let load = self.seen.loads.get(number, now);
        let own_rate = self.seen.health.own(number, now).sound_rate();
        let rate = self.seen.health.tally(number, now).sound_rate();
        let transit = self.speeds.transit(self.service);
        let own = (load.running - own_rate * transit).max(0.0);
        let others = (load.others - (rate - own_rate) * transit).max(0.0);
        (own, others)
    }
}

fn least(estimates: impl Iterator<Item = Estimate>) -> Option<Estimate> {
    // A full or cold target is chosen only if all others are so, too.
    let key = |e: &Estimate| (e.is_full(), e.cold);
    let order = |a: &Estimate, b: &Estimate| key(a).cmp(&key(b)).then(a.rank.total_cmp(&b.rank));
    estimates.min_by(order)
}

/// Returns the target with the shorter wait, the first one unless the difference exceeds `margin`
/// seconds.
fn better(best: Option<Estimate>, found: Option<Estimate>, margin: f64) -> Option<Estimate> {
    match (best, found) {
        (Some(best), Some(found)) => {
            let full = best.is_full() && !found.is_full();
            let replaced = full || found.wait + margin < best.wait;
            Some(if replaced { found } else { best })
        }
        (best, found) => best.or(found),
    }
}
