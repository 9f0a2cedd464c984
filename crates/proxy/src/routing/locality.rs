//! How much of a zone's work stays in the zone.

use std::time::Duration;

use tanager_core::{FastMap, Millis, ZoneName};

/// Time over which choices are counted.
const PACE_WINDOW: Duration = Duration::from_secs(5);
/// Choices a second of all instances of a zone from which work stays local as far as it can.
///
/// The fabric spreads work at random, so over 60 s a zone with 3 of 8 instances differs from its
/// share by 1.5% (one standard deviation) at this pace. Below it, the local part shrinks with the
/// root of the pace, which keeps the deviation at that value.
const LOCAL_PACE: f64 = 48.0;

/// Counts the choices of this instance for one service.
#[derive(Debug, Default)]
pub(super) struct Pace {
    start: Millis,
    count: f64,
    rate: f64,
}

impl Pace {
    /// Counts a choice and returns the choices a second.
    pub(super) fn count(&mut self, now: Millis) -> f64 {
        let elapsed = now.since(self.start);
        if elapsed >= PACE_WINDOW {
            self.rate = self.count / elapsed.as_secs_f64();
            (self.start, self.count) = (now, 0.0);
        }
        self.count += 1.0;
        self.rate.max(self.count / PACE_WINDOW.as_secs_f64())
    }
}

/// Returns the split with its local preference reduced when there is little work.
///
/// All instances must reduce it alike, or zones no longer receive their share. So it depends on
/// the mean number of instances of a zone, not on the own zone's.
pub(super) fn paced(split: ByZone, pace: f64, instances: &ByZone, targets: &ByZone) -> ByZone {
    let zones = f64::from(u32::try_from(instances.len().max(1)).unwrap_or(u32::MAX));
    let zone_pace = pace * (total(instances) / zones).max(1.0);
    let locality = (zone_pace / LOCAL_PACE).sqrt().min(1.0);
    let blend = |(zone, part): (ZoneName, f64)| {
        let even = share(targets, &zone);
        (zone, part * locality + even * (1.0 - locality))
    };
    split.into_iter().map(blend).collect()
}

/// Instances or capacity in each availability zone.
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
    // An instance that is not yet listed counts itself.
    let listed = total(instances) > 0.0 && share(instances, own) > 0.0;
    let alone = ByZone::from_iter([(own.clone(), 1.0)]);
    let instances = if listed { instances } else { &alone };
    let spare = |zone: &ZoneName| (share(targets, zone) - share(instances, zone)).max(0.0);
    let spares: f64 = targets.keys().map(spare).sum();
    let work = share(instances, own);
    let local = work.min(share(targets, own));
    let excess = work - local;
    let part = |zone: &ZoneName| {
        let kept = if zone == own { local } else { 0.0 };
        let spilled = if spares > 0.0 {
            excess * spare(zone) / spares
        } else {
            0.0
        };
        (kept + spilled) / work
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
