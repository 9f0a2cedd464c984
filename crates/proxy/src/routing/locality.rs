use tanager_core::{FastMap, ZoneName};

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
