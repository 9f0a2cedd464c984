use serde::Serialize;
use serde_json::Value;

use crate::Node;
use crate::usage::ServiceUsage;

/// What `/status` shows.
#[derive(Debug, Serialize)]
pub struct StatusPage {
    /// Name of the instance.
    pub instance: String,
    /// Its availability zone.
    pub zone: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Revision of the catalogue in force; 0 before any was read.
    pub revision: u64,
    /// Problems of the last refused catalogue.
    pub catalogue_problems: Vec<String>,
    /// Revision of the instance list.
    pub list_revision: u64,
    /// Requests in progress.
    pub requests_pending: usize,
    /// Violated invariants since start; always 0 in a correct program.
    pub invariant_violations: u64,
    /// Counters of the instance.
    pub counters: Value,
    /// The targets.
    pub targets: Vec<TargetStatus>,
    /// Usage counted by this instance, by service name.
    pub usage: Vec<(String, ServiceUsage)>,
}

/// One target in the status page.
#[derive(Debug, Serialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: String,
    /// Service number.
    pub service: u32,
    /// Whether the connection is checked and usable.
    pub ready: bool,
    /// Whether another process lives at its address.
    pub mismatched: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests running, as reported.
    pub running: u32,
    /// Feeds open, as reported.
    pub flows: u32,
}

impl StatusPage {
    /// Collects the page of a node.
    #[must_use]
    pub fn collect(node: &Node) -> Self {
        let identity = node.membership.identity();
        let catalogue = node.catalogue.current();
        let service_name = |id| {
            catalogue
                .entry(id)
                .map_or_else(|| id.to_string(), |e| e.name.to_string())
        };
        let usage = node
            .usage
            .services()
            .into_iter()
            .map(|(id, u)| (service_name(id), u))
            .collect();
        Self {
            instance: identity.name.to_string(),
            zone: identity.zone.to_string(),
            incarnation: identity.incarnation.get(),
            leaving: node.membership.is_leaving(),
            revision: catalogue.revision.get(),
            catalogue_problems: node
                .catalogue
                .refused()
                .iter()
                .map(ToString::to_string)
                .collect(),
            list_revision: node.membership.list().revision.get(),
            requests_pending: node.execution.pending(),
            invariant_violations: tanager_core::violations(),
            counters: serde_json::to_value(&*node.counters).unwrap_or_default(),
            targets: targets(node),
            usage,
        }
    }
}

fn targets(node: &Node) -> Vec<TargetStatus> {
    let mut links = node.targets.links();
    links.sort_by_key(|l| l.target.id);
    let status = |link: &std::sync::Arc<crate::target::TargetLink>| {
        let load = link.load().load;
        TargetStatus {
            name: link.target.name.to_string(),
            service: link.service.get(),
            ready: link.is_ready(),
            mismatched: link.is_mismatched(),
            leaving: node.router.is_leaving(link),
            running: load.running,
            flows: load.flows,
        }
    };
    links.iter().map(status).collect()
}
