//! Splits the work of an instance between its own availability zone and the others.

use std::time::Duration;

use tanager_core::{FastMap, Millis, ZoneName};

/// Window over which the rate of choices is measured.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Choices per second of all instances of a zone at which as much work as possible stays local.
///
/// The fabric distributes work at random. Over 60 s at this rate, the work of a zone with 3 of 8
/// instances deviates from its share by 1.5% (one standard deviation). At lower rates the local
/// part shrinks with the square root of the rate, which keeps the deviation at that value.
const FULL_LOCALITY_RATE: f64 = 48.0;

/// Measures the rate of this instance's choices for one service.
#[derive(Debug, Default)]
pub(super) struct ChoiceRate {
    start: Millis,
    count: f64,
    rate: f64,
}

impl ChoiceRate {
    /// Records a choice and returns the choices per second.
    pub(super) fn record(&mut self, now: Millis) -> f64 {
        let elapsed = now.since(self.start);
        if elapsed >= RATE_WINDOW {
            self.rate = self.count / elapsed.as_secs_f64();
            (self.start, self.count) = (now, 0.0);
        }
        self.count += 1.0;
        self.rate.max(self.count / RATE_WINDOW.as_secs_f64())
    }
}

/// Returns the split with its preference for the own zone reduced at low rates.
///
/// All instances must apply the same reduction, or zones no longer receive their share. It
/// therefore depends on the mean number of instances per zone, not on the number in the own zone.
pub(super) fn reduce_locality(
    split: ByZone,
    rate: f64,
    instances: &ByZone,
    targets: &ByZone,
) -> ByZone {
    let zones = f64::from(u32::try_from(instances.len().max(1)).unwrap_or(u32::MAX));
    let zone_rate = rate * (total(instances) / zones).max(1.0);
    let locality = (zone_rate / FULL_LOCALITY_RATE).sqrt().min(1.0);
    let blend = |(zone, part): (ZoneName, f64)| {
        let even = share(targets, &zone);
        (zone, part * locality + even * (1.0 - locality))
    };
    split.into_iter().map(blend).collect()
}

/// Instances, capacity or share of work of each availability zone.
pub(super) type ByZone = FastMap<ZoneName, f64>;

/// Returns the share of an instance's work for each availability zone; the shares sum to 1.
///
/// All instances receive the same amount of work. When each follows its own split, every zone
/// receives work in proportion to its targets' capacity, and as much as possible stays local.
pub(super) fn split(own: &ZoneName, instances: &ByZone, targets: &ByZone) -> ByZone {
    let capacity = total(targets);
    if capacity <= 0.0 {
        return ByZone::default();
    }
    // If no listed instance is in the own zone, this instance is not listed yet and counts only
    // itself.
    let listed = total(instances) > 0.0 && share(instances, own) > 0.0;
    let only_own = ByZone::from_iter([(own.clone(), 1.0)]);
    let instances = if listed { instances } else { &only_own };
    let spare = |zone: &ZoneName| (share(targets, zone) - share(instances, zone)).max(0.0);
    let total_spare: f64 = targets.keys().map(spare).sum();
    let own_share = share(instances, own);
    let local = own_share.min(share(targets, own));
    let excess = own_share - local;
    let part = |zone: &ZoneName| {
        let kept = if zone == own { local } else { 0.0 };
        let spilled = if total_spare > 0.0 {
            excess * spare(zone) / total_spare
        } else {
            0.0
        };
        (kept + spilled) / own_share
    };
    targets
        .keys()
        .map(|zone| (zone.clone(), part(zone)))
        .collect()
}

fn total(zones: &ByZone) -> f64 {
    zones.values().sum()
}

fn share(zones: &ByZone, zone: &ZoneName) -> f64 {
    zones.get(zone).copied().unwrap_or(0.0) / total(zones)
}
