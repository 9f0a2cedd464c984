//! Applies published targets, evacuations and routes to the view.

use slog::{info, warn};
use tanager_core::ResultCode;
use tanager_forward::{Change, EvacuationChange, RouteTable, StoreRevision, TargetNumber};

use crate::instance::Instance;
use crate::source::Publication;

/// How publications were read.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The store reported them as changes. Each one is logged.
    Watch,
    /// The store listed them. The caller logs their number: at startup there is a change for each
    /// target of the fleet, and logging them would delay forwarding on small instances by half a
    /// second.
    FullRead,
}

/// Applies publications to the view and logs the changes.
pub fn apply_publications(instance: &Instance, items: Vec<Publication>, origin: Origin) {
    for item in items {
        match item {
            Publication::Target(change) => apply_target(instance, change, origin),
            Publication::Evacuation(change) => apply_evacuation(instance, change),
            Publication::Routes {
                routes,
                skipped,
                unread_services,
            } => apply_routes(instance, routes, &skipped, &unread_services),
            Publication::Unusable {
                key,
                revision,
                target,
                reason,
            } => {
                instance.reporter.counters.entries_skipped.increment();
                warn!(instance.reporter.log, "[store] entry skipped"; "key" => key,
                        "revision" => %revision, "error" => unusable(&reason));
                // Without a usable entry, the target no longer counts as published.
                if let Some(number) = target {
                    apply_target(instance, Change::removal(number, revision), origin);
                }
            }
        }
    }
}

/// Returns the text of an error about something published that cannot be used.
fn unusable(reason: &str) -> String {
    format!("{}: {reason}", ResultCode::EntryUnusable)
}

fn apply_evacuation(instance: &Instance, change: EvacuationChange) {
    warn_unknown_zone(instance, &change);
    let now = instance.now();
    instance
        .forwarder
        .borrow_mut()
        .apply_evacuation(change, now);
}

/// Applies the evacuations among the items of a full read, which lists all of them as of a revision,
/// and returns the other items.
pub fn apply_listed_evacuations(
    instance: &Instance,
    items: Vec<Publication>,
    as_of: StoreRevision,
) -> Vec<Publication> {
    let mut list = Vec::new();
    let mut others = Vec::new();
    for item in items {
        match item {
            Publication::Evacuation(change) => list.push(change),
            item => others.push(item),
        }
    }
    for change in &list {
        warn_unknown_zone(instance, change);
    }
    let now = instance.now();
    let mut forwarder = instance.forwarder.borrow_mut();
    forwarder.apply_evacuation_list(list, as_of, now);
    others
}

/// Logs the evacuation of a zone that the settings do not name. It is followed nevertheless, since
/// targets may name the zone.
fn warn_unknown_zone(instance: &Instance, change: &EvacuationChange) {
    let EvacuationChange {
        zone,
        revision,
        ended,
    } = change;
    if !ended && !instance.settings.zones.contains(zone) {
        warn!(instance.reporter.log, "[store] unknown zone evacuated"; "zone" => %zone,
            "revision" => %revision, "error" => unusable("the settings do not name the zone"));
    }
}

fn apply_routes(
    instance: &Instance,
    routes: RouteTable,
    skipped: &[String],
    unread_services: &[String],
) {
    let (version, count, revision) = (routes.version, routes.len(), routes.revision);
    if !instance.forwarder.borrow_mut().apply_routes(routes) {
        return;
    }
    let reporter = &instance.reporter;
    info!(reporter.log, "[catalogue] routes in force"; "config" => version,
        "routes" => count, "skipped" => skipped.len(), "revision" => %revision);
    for reason in skipped {
        reporter.counters.routes_skipped.increment();
        warn!(reporter.log, "[store] route skipped"; "config" => version,
            "error" => unusable(reason));
    }
    for reason in unread_services {
        reporter.counters.services_skipped.increment();
        warn!(reporter.log, "[store] service skipped"; "config" => version,
            "error" => unusable(reason));
    }
}

fn apply_target(instance: &Instance, change: Change, origin: Origin) {
    let (number, revision) = (change.number, change.revision);
    let state = match &change.target {
        Some(target) if !change.removed => format!("{:?}", target.state),
        _ => "removed".to_owned(),
    };
    let now = instance.now();
    let mut forwarder = instance.forwarder.borrow_mut();
    let changed = match origin {
        Origin::Watch => forwarder.apply(change, now),
        Origin::FullRead => forwarder.apply_listed(change, now),
    };
    if changed && origin == Origin::Watch {
        info!(instance.reporter.log, "[catalogue] target changed"; "target" => %number,
                "state" => state, "revision" => %revision);
    }
}

/// Returns the target of a publication, also of an unusable one.
pub fn target_of(item: &Publication) -> Option<TargetNumber> {
    match item {
        Publication::Target(change) => Some(change.number),
        Publication::Unusable { target, .. } => *target,
        Publication::Evacuation(_) | Publication::Routes { .. } => None,
    }
}
