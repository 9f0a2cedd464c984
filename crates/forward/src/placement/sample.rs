//! Choice among the targets of a service that has few of them, and the last resort of all services:
//! the least loaded of a sample, with penalties.

use rand::rngs::StdRng;
use rand::seq::index;

use super::candidates::{ServiceTargets, is_cold};
use super::{Examined, FLOW_DEMAND, Observations, Pick, WARMUP_FACTOR, WARMUP_PENALTY};
use crate::health::FAILING_RATE;
use crate::view::TargetEntry;
use crate::{Liveness, TargetNumber};

/// Load added to a target in another zone, in requests per slot. Traffic between zones has a cost,
/// and a network partition between zones ends its flows.
const OTHER_ZONE_PENALTY: f64 = 0.4;
/// Load added to a target whose queue was full a moment ago.
const REFUSAL_PENALTY: f64 = 5.0;
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
/// Number of targets drawn to find those.
const MAX_DRAWS: usize = 16;

/// Chooses a target, preferably one that is not in `tried`. `granted` are the cold targets to which
/// this instance may open a flow now.
pub(super) fn choose(
    seen: &Observations<'_>,
    targets: &ServiceTargets,
    granted: &[TargetNumber],
    tried: &[TargetNumber],
    rng: &mut StdRng,
    examined: &mut Examined,
) -> Option<Pick> {
    let untried = |e: &&TargetEntry| !tried.contains(&e.target.number);
    let near = |e: &&TargetEntry| {
        let own_zone = e.target.zone == *seen.zone;
        own_zone && untried(e) && seen.liveness_of(e) == Liveness::Sound
    };
    let drawn_near = draw(seen, targets.zone(seen.zone), granted, rng);
    let drawn = draw(seen, &targets.all, granted, rng);
    examined.count += drawn_near.len() + drawn.len();
    let mut sample: Vec<_> = drawn_near
        .into_iter()
        .filter(near)
        .take(SAMPLE_SIZE)
        .collect();
    sample.extend(drawn.iter().copied().filter(untried).take(SAMPLE_SIZE));
    // All targets were tried already; one of them may only be slow.
    let last = drawn.last().copied().filter(|_| sample.is_empty());
    sample.extend(last);
    for entry in &sample {
        examined.record_comparison(entry.target.number);
    }
    let mean_flows = mean_flows(seen, &drawn);
    let loads = sample.iter().map(|e| (load(seen, e, mean_flows), *e));
    let (load, entry) = loads.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
    Some(Pick {
        target: entry.target.number,
        load,
        cost: None,
    })
}

/// Draws some of the targets that accept flows.
///
/// Instances receive each other's loads with a delay. If each compared all targets, all would choose
/// the same one in the meantime.
fn draw<'v>(
    seen: &Observations<'v>,
    targets: &[TargetNumber],
    granted: &[TargetNumber],
    rng: &mut StdRng,
) -> Vec<&'v TargetEntry> {
    let count = targets.len() + granted.len();
    let drawn = index::sample(rng, count, count.min(MAX_DRAWS));
    let number = |i: usize| targets.get(i).or_else(|| granted.get(i - targets.len()));
    let entries = drawn.into_iter().filter_map(|i| seen.view.get(*number(i)?));
    entries.filter(|e| e.accepts_flows()).collect()
}

/// Returns the mean number of flows of targets that were drawn.
pub(super) fn mean_flows(seen: &Observations<'_>, drawn: &[&TargetEntry]) -> f64 {
    if !drawn.iter().any(|e| is_cold(e, seen)) {
        return 0.0;
    }
    let flows = |e: &&TargetEntry| seen.loads.get(e.target.number, seen.now).flows;
    let sum: f64 = drawn.iter().map(flows).sum();
    #[expect(clippy::cast_precision_loss, reason = "a small count")]
    let count = drawn.len().max(1) as f64;
    sum / count
}

/// Returns a target's load divided by its slots, with all penalties.
pub(super) fn load(seen: &Observations<'_>, entry: &TargetEntry, mean_flows: f64) -> f64 {
    let target = &entry.target;
    let load = seen.loads.get(target.number, seen.now);
    let cold = is_cold(entry, seen);
    // Without flows, a target that is warming up would otherwise attract all new ones.
    let flows = if cold {
        load.flows.max(mean_flows)
    } else {
        load.flows
    };
    let running = load.running + load.others + flows * FLOW_DEMAND;
    let mut total = running / f64::from(target.slots);
    if cold {
        total = total * WARMUP_FACTOR + WARMUP_PENALTY;
    }
    if target.zone != *seen.zone {
        total += OTHER_ZONE_PENALTY;
    }
    if seen.is_refusing(target.number) {
        total += REFUSAL_PENALTY;
    }
    let failures = seen.health.failure_rate(target.number, seen.now);
    total += FAILURE_PENALTY * (failures - FAILING_RATE).max(0.0);
    total += match seen.liveness_of(entry) {
        Liveness::Sound => 0.0,
        Liveness::Suspect => SUSPECT_PENALTY,
        Liveness::Lost => LOST_PENALTY,
    };
    total
}
