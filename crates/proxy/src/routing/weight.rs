//! The weight of a target, which grows after its start.

use std::time::Duration;

use tanager_core::{FastMap, Millis, ZoneName};

use crate::routing::health::Health;
use crate::routing::picker::Candidate;

/// Time over which the weight of a new target grows.
const SLOW_START: Duration = Duration::from_secs(10);
/// Weight of a new target at first.
const SLOW_START_FROM: f64 = 0.2;
/// Targets seen within this time after the router's start count as warm.
const START_UP: Duration = Duration::from_secs(5);
/// Ratio of a target's time to its zone's median up to which its weight is not reduced.
const LATENCY_BAND: f64 = 2.0;
/// Smallest weight of a slow target, so that it is still observed.
const SLOW_FLOOR: f64 = 0.1;
/// Largest change of a weight by reported feeds. It bounds what a wrong report can attract to
/// well within the goal of 1.1.
const REPORT_TILT: f64 = 0.04;

/// Returns the factor by which slow start reduces a target's weight.
pub(super) fn slow_start(seen: Millis, start: Millis, now: Millis) -> f64 {
    if seen <= start + START_UP {
        return 1.0;
    }
    let grown = now.since(seen).as_secs_f64() / SLOW_START.as_secs_f64();
    (SLOW_START_FROM + (1.0 - SLOW_START_FROM) * grown).min(1.0)
}

/// Returns the median time of a run of each zone. Zones differ by their distance, so targets are
/// only compared within one.
pub(super) fn zone_latency(candidates: &[&Candidate], health: &Health) -> FastMap<ZoneName, f64> {
    let mut times: FastMap<ZoneName, Vec<f64>> = FastMap::default();
    for candidate in candidates {
        let known = health.latency(candidate.target);
        times
            .entry(candidate.zone.clone())
            .or_default()
            .extend(known);
    }
    let median = |mut times: Vec<f64>| {
        times.sort_by(f64::total_cmp);
        // The lower one of two, so that one slow target of two is noticed.
        times.get(times.len().saturating_sub(1) / 2).copied()
    };
    times
        .into_iter()
        .filter_map(|(zone, times)| Some((zone, median(times)?)))
        .collect()
}

/// Returns the factor by which a long time of a run reduces a target's weight.
pub(super) fn slowness(time: Option<f64>, median: Option<f64>) -> f64 {
    match (time, median) {
        (Some(time), Some(median)) if time > median * LATENCY_BAND => {
            (median / time).max(SLOW_FLOOR)
        }
        _ => 1.0,
    }
}

/// Returns the factor by which fewer or more feeds than the mean change a target's weight.
pub(super) fn tilt(load: f64, mean: f64) -> f64 {
    let excess = if mean > 0.0 {
        (mean - load) / mean
    } else {
        0.0
    };
    1.0 + excess.clamp(-1.0, 1.0) * REPORT_TILT
}
