//! The gauges and counters of an instance.

use std::sync::Arc;

use opentelemetry_sdk::error::OTelSdkError;

use crate::Node;
use crate::telemetry::{Counters, Exporter, Gauge, ReadValue};

/// Creates the metrics of a node. Counters and gauges are read when the metrics are collected.
pub(super) fn for_node(node: &Arc<Node>) -> Result<Exporter, OTelSdkError> {
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

/// A gauge of a node: name, description and the function that reads it.
type NodeGauge = (&'static str, &'static str, fn(&Node) -> f64);

const GAUGES: &[NodeGauge] = &[
    ("epoch", "Epoch of the catalogue in force.", |n| {
        integer_as_f64(n.revision().epoch())
    }),
    ("revision", "Revision of the catalogue in force.", |n| {
        integer_as_f64(n.revision().number())
    }),
    ("list_revision", "Revision of the instance list.", |n| {
        integer_as_f64(n.membership.list().revision.number())
    }),
    ("ready", "1 if the instance takes new work.", |n| {
        f64::from(u8::from(n.is_ready()))
    }),
    ("targets_ready", "Targets with a usable connection.", |n| {
        count_as_f64(n.connected_targets())
    }),
    ("requests_pending", "Requests in progress.", |n| {
        count_as_f64(n.execution.pending())
    }),
    ("instances", "Instances that share the limits.", |n| {
        count_as_f64(n.membership.instance_count())
    }),
    ("instances_heard", "Peers heard from within 10 s.", |n| {
        count_as_f64(n.membership.recently_seen_count())
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
        integer_as_f64(tanager_core::violations())
    }),
];

fn gauges(node: &Arc<Node>) -> Vec<Gauge> {
    let bind = |(name, description, read): &NodeGauge| {
        // A weak reference, so that the metrics do not keep the node alive.
        let (weak, read) = (Arc::downgrade(node), *read);
        let value: ReadValue<f64> =
            Box::new(move || weak.upgrade().map_or(0.0, |node| read(&node)));
        (*name, *description, value)
    };
    GAUGES.iter().map(bind).collect()
}

fn count_as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Converts an integer for a gauge. Floating-point numbers represent integers exactly up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "larger values are not expected")]
const fn integer_as_f64(number: u64) -> f64 {
    number as f64
}
