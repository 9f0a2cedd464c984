//! Applies published targets and routes to the view.

use slog::{info, warn};
use tanager_forward::{Change, RouteTable, TargetNumber};

use crate::instance::Instance;
use crate::source::Publication;

/// How changes of targets are logged.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Detail {
    /// One line for each change.
    Each,
    /// No lines; the caller logs the number of changes. At startup there is a change for each target
    /// of the fleet, and logging them would delay forwarding on small instances by half a second.
    Summary,
}

/// Applies publications to the view and logs the changes.
pub fn apply_publications(instance: &Instance, items: Vec<Publication>, detail: Detail) {
    for item in items {
        match item {
            Publication::Target(change) => apply_target(instance, change, detail),
            Publication::Routes(routes) => apply_routes(instance, routes),
            Publication::Unusable {
                key,
                revision,
                target,
                reason,
            } => {
                instance.reporter.counters.entries_skipped.increment();
                warn!(instance.reporter.log, "[store] entry skipped"; "key" => key,
                        "revision" => revision, "error" => reason);
                // Without a usable entry, the target no longer counts as published.
                if let Some(number) = target {
                    apply_target(instance, Change::removal(number, revision), detail);
                }
            }
        }
    }
}

fn apply_routes(instance: &Instance, routes: RouteTable) {
    let (version, count, revision) = (routes.version, routes.len(), routes.revision);
    if instance.forwarder.borrow_mut().apply_routes(routes) {
        info!(instance.reporter.log, "[catalogue] routes in force"; "config" => version,
                "routes" => count, "revision" => revision);
    }
}

fn apply_target(instance: &Instance, change: Change, detail: Detail) {
    let (number, revision) = (change.number, change.revision);
    let state = match &change.target {
        Some(target) if !change.removed => format!("{:?}", target.state),
        _ => "removed".to_owned(),
    };
    let now = instance.now();
    let changed = instance.forwarder.borrow_mut().apply(change, now);
    if changed && detail == Detail::Each {
        info!(instance.reporter.log, "[catalogue] target changed"; "target" => %number,
                "state" => state, "revision" => revision);
    }
}

/// Returns the target of a publication, also of an unusable one.
pub fn target_of(item: &Publication) -> Option<TargetNumber> {
    match item {
        Publication::Target(change) => Some(change.number),
        Publication::Unusable { target, .. } => *target,
        Publication::Routes(_) => None,
    }
}
