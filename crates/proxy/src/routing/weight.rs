//! Factors of a target's weight: slow start, latency and reported feeds.

use std::time::Duration;

use tanager_core::{FastMap, Millis, ZoneName};

use crate::routing::health::Health;
use crate::routing::picker::Candidate;

/// Time over which the weight of a new target grows to its full value.
const SLOW_START: Duration = Duration::from_secs(10);
/// Weight factor with which a new target starts.
const SLOW_START_WEIGHT: f64 = 0.2;
/// Targets first seen within this time after the router's start count as warm.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Ratio of a target's latency to its zone's median up to which its weight is not reduced.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Minimum weight factor of a slow target. It still receives work, so that its latency is
/// measured.
const MIN_LATENCY_FACTOR: f64 = 0.1;
/// Maximum relative change of a weight by reported feeds. A wrong report thus raises a target's
/// load by much less than the goal allows, which is 1.1 for the busiest target over the mean.
const MAX_LOAD_ADJUSTMENT: f64 = 0.04;

/// Returns the factor by which slow start reduces a target's weight.
pub(super) fn slow_start(first_seen: Millis, start: Millis, now: Millis) -> f64 {
    if first_seen <= start + STARTUP_TIME {
        return 1.0;
    }
    let progress = now.since(first_seen).as_secs_f64() / SLOW_START.as_secs_f64();
    (SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * progress).min(1.0)
}

/// Returns the median latency of each zone. Zones differ in their network distance, so targets are
/// compared only within a zone.
pub(super) fn zone_latencies(candidates: &[&Candidate], health: &Health) -> FastMap<ZoneName, f64> {
    let mut latencies: FastMap<ZoneName, Vec<f64>> = FastMap::default();
    for candidate in candidates {
        let latency = health.latency(candidate.target);
        latencies
            .entry(candidate.zone.clone())
            .or_default()
            .extend(latency);
    }
    let median = |mut latencies: Vec<f64>| {
        latencies.sort_by(f64::total_cmp);
        // The lower median, so that one slow target of two is detected.
        latencies
            .get(latencies.len().saturating_sub(1) / 2)
            .copied()
    };
    latencies
        .into_iter()
        .filter_map(|(zone, latencies)| Some((zone, median(latencies)?)))
        .collect()
}

/// Returns the factor by which a high latency reduces a target's weight.
pub(super) fn latency_factor(latency: Option<f64>, median: Option<f64>) -> f64 {
    match (latency, median) {
        (Some(latency), Some(median)) if latency > median * LATENCY_TOLERANCE => {
            (median / latency).max(MIN_LATENCY_FACTOR)
        }
        _ => 1.0,
    }
}

/// Returns the factor by which a feed load below or above the mean changes a target's weight.
pub(super) fn load_factor(load: f64, mean: f64) -> f64 {
    let excess = if mean > 0.0 {
        (mean - load) / mean
    } else {
        0.0
    };
    1.0 + excess.clamp(-1.0, 1.0) * MAX_LOAD_ADJUSTMENT
}
