//! Content of the status and usage pages.

use serde::Serialize;
use serde_json::Value;
use tanager_core::{FastSet, InstanceName};

use crate::Node;
use crate::membership::InstanceState;
use crate::usage::{FleetUsage, ServiceUsage, UsageRow};

/// Maximum number of problems of a refused catalogue in the status page. A malformed catalogue can
/// have thousands.
const MAX_PROBLEMS_SHOWN: usize = 100;

/// Content of `/status`.
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
    /// Epoch of the catalogue in force.
    pub epoch: u64,
    /// Revision of the catalogue in force; 0 before any was read.
    pub revision: u64,
    /// Whether the instance accepts new work.
    pub ready: bool,
    /// Digest of the catalogue in force, in hexadecimal.
    pub digest: String,
    /// Whether a different catalogue with the same revision was received.
    pub conflict: bool,
    /// Number of problems of the last refused catalogue.
    pub problem_count: usize,
    /// The first of these problems.
    pub catalogue_problems: Vec<String>,
    /// Epoch of the instance list.
    pub list_epoch: u64,
    /// Revision of the instance list.
    pub list_revision: u64,
    /// How the instance receives changes: `watcher`, `alone` or `informed`; see
    /// [`crate::membership::WatchRole`].
    pub watching: String,
    /// Other instances with a heartbeat of the last 10 s, received directly or through others.
    pub instances_heard: usize,
    /// Other instances that are reported as leaving.
    pub instances_leaving: usize,
    /// Instances that the limits are divided by.
    pub instance_count: usize,
    /// Control traffic sent, in bytes per second over the last 10 s.
    pub control_sent: f64,
    /// Control traffic received, in bytes per second over the last 10 s.
    pub control_received: f64,
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
    /// Whether the connection has been checked and can be used.
    pub ready: bool,
    /// Whether a different process answers at its address.
    pub mismatched: bool,
    /// Whether it accepts no new work.
    pub leaving: bool,
    /// Running requests, as the target last reported.
    pub running: u32,
    /// Open feeds, as the target last reported.
    pub flows: u32,
}

impl StatusPage {
    /// Collects the status of a node.
    #[must_use]
    pub fn collect(node: &Node) -> Self {
        let identity = node.membership.identity();
        let catalogue = node.catalogue.current();
        let problems = node.catalogue.refused_problems();
        let shown = problems.iter().take(MAX_PROBLEMS_SHOWN);
        let (control_sent, control_received) = node.gossip.rate.per_second();
        Self {
            instance: identity.name.to_string(),
            zone: identity.zone.to_string(),
            incarnation: identity.incarnation.get(),
            leaving: node.membership.is_leaving(),
            epoch: catalogue.revision.epoch(),
            revision: catalogue.revision.number(),
            ready: node.is_ready(),
            digest: format!("{:032x}", u128::from_be_bytes(catalogue.digest)),
            conflict: node.catalogue.has_conflict(),
            problem_count: problems.len(),
            catalogue_problems: shown.map(ToString::to_string).collect(),
            list_epoch: node.membership.list().revision.epoch(),
            list_revision: node.membership.list().revision.number(),
            watching: node.membership.watch_role().to_string(),
            instances_heard: node.membership.recently_seen_count(),
            instances_leaving: leaving_count(node),
            instance_count: node.membership.instance_count(),
            control_sent,
            control_received,
            requests_pending: node.execution.pending(),
            invariant_violations: tanager_core::violations(),
            counters: serde_json::to_value(&*node.counters).unwrap_or_default(),
            targets: targets(node),
            usage: service_usage(node),
        }
    }
}

/// Content of `/usage`.
#[derive(Debug, Serialize)]
pub struct UsagePage {
    /// Name of the instance that answers.
    pub instance: String,
    /// Usage of the fleet by owner, and the distribution of the rows' ages.
    pub fleet: FleetUsage,
    /// Usage counted by this instance, by service name.
    pub services: Vec<(String, ServiceUsage)>,
    /// Every row, if requested.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rows: Option<Vec<UsageRow>>,
}

impl UsagePage {
    /// Collects the usage that a node has, with every row if `rows` is set.
    #[must_use]
    pub fn collect(node: &Node, rows: bool) -> Self {
        let membership = &node.membership;
        let mut members: FastSet<InstanceName> =
            membership.others().into_iter().map(|i| i.name).collect();
        members.insert(membership.identity().name.clone());
        let fleet = node.usage.fleet(|name, incarnation| {
            let current = membership.incarnation(name);
            members.contains(name) && current.is_none_or(|c| c == incarnation)
        });
        Self {
            instance: membership.identity().name.to_string(),
            fleet,
            services: service_usage(node),
            rows: rows.then(|| node.usage.rows_by_key()),
        }
    }
}

fn leaving_count(node: &Node) -> usize {
    let others = node.membership.others();
    let leaving = others.iter().filter(|i| i.state == InstanceState::Leaving);
    leaving.count()
}

fn service_usage(node: &Node) -> Vec<(String, ServiceUsage)> {
    let catalogue = node.catalogue.current();
    let name = |id| {
        let entry = catalogue.entry(id);
        entry.map_or_else(|| id.to_string(), |e| e.name.to_string())
    };
    let services = node.usage.services().into_iter();
    services.map(|(id, usage)| (name(id), usage)).collect()
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
