//! The gauges and counters of an instance.

use std::sync::Arc;

use opentelemetry_sdk::error::OTelSdkError;

use crate::Node;
use crate::telemetry::{Counters, Exporter, Gauge, Read};

/// Creates the metrics of a node. Counters and gauges are read when they are asked for.
pub(super) fn of(node: &Arc<Node>) -> Result<Exporter, OTelSdkError> {
    exporter(&node.counters, gauges(node))
}

/// Creates instruments for all counters and for `gauges`.
pub(super) fn exporter(
    counters: &Arc<Counters>,
    gauges: impl IntoIterator<Item = Gauge>,
) -> Result<Exporter, OTelSdkError> {
    let exporter = Exporter::new("tanagerproxy")?;
    exporter.counters(counters, Counters::ALL);
    for (name, description, read) in gauges {
        exporter.gauge(name, description, read);
    }
    Ok(exporter)
}

/// Gauges of a node: name, description and how to read it.
type NodeGauge = (&'static str, &'static str, fn(&Node) -> f64);

const GAUGES: &[NodeGauge] = &[
    ("revision", "Revision of the catalogue in force.", |n| {
        large(n.revision().get())
    }),
    ("list_revision", "Revision of the instance list.", |n| {
        large(n.membership.list().revision.get())
    }),
    ("ready", "1 if the instance takes new work.", |n| {
        f64::from(u8::from(n.is_ready()))
    }),
    ("targets_ready", "Targets with a usable connection.", |n| {
        size(n.connected_targets())
    }),
    ("requests_pending", "Requests in progress.", |n| {
        size(n.execution.pending())
    }),
    ("instances", "Instances that share the limits.", |n| {
        size(n.membership.instance_count())
    }),
    ("instances_heard", "Peers heard from within 10 s.", |n| {
        size(n.membership.recently_seen_count())
    }),
    ("control_sent_rate", "Control bytes sent a second.", |n| {
        n.gossip.rate.per_second().0
    }),
    (
        "control_received_rate",
        "Control bytes received a second.",
        |n| n.gossip.rate.per_second().1,
    ),
    ("usage_rows", "Usage rows known.", |n| {
        f64::from(n.usage.row_count())
    }),
    ("invariant_violations", "Violated invariants.", |_| {
        large(tanager_core::violations())
    }),
];

fn gauges(node: &Arc<Node>) -> Vec<Gauge> {
    let bind = |(name, description, read): &NodeGauge| {
        // A weak reference, since the node must not keep itself alive through its metrics.
        let (weak, read) = (Arc::downgrade(node), *read);
        let value: Read<f64> = Box::new(move || weak.upgrade().map_or(0.0, |node| read(&node)));
        (*name, *description, value)
    };
    GAUGES.iter().map(bind).collect()
}

fn size(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Gauges are floating-point numbers, which are exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "larger values are not expected")]
const fn large(number: u64) -> f64 {
    number as f64
}
