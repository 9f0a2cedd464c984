//! What published facts change in this instance.

use slog::{info, warn};
use tanager_forward::{Change, RouteTable, TargetNumber};

use crate::instance::Instance;
use crate::source::Publication;

/// How changes of targets are logged.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Detail {
    /// One line for each.
    Each,
    /// The caller logs how many there were. At a start there is one for each target of the fleet,
    /// and small instances would write lines for half a second before they forward anything.
    Summary,
}

/// Takes over what was read, and logs what changes by it.
pub fn take_over(instance: &Instance, items: Vec<Publication>, detail: Detail) {
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
                // It no longer says anything of the target that it named.
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
    let news = instance.forwarder.borrow_mut().apply(change, now);
    if news && detail == Detail::Each {
        info!(instance.reporter.log, "[catalogue] target changed"; "target" => %number,
                "state" => state, "revision" => revision);
    }
}

/// Returns the target that a publication names, usable or not.
pub fn target_of(item: &Publication) -> Option<TargetNumber> {
    match item {
        Publication::Target(change) => Some(change.number),
        Publication::Unusable { target, .. } => *target,
        Publication::Routes(_) => None,
    }
}
