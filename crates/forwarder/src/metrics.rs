//! Counters and gauges of the process.

use std::sync::atomic::{AtomicU64, Ordering};

use tanager_forward::Gauges;
use tanagerproxy::counters;

counters! {
/// Counters of the process.
#[derive(Default)]
pub struct Counters {
    /// Packets received from clients.
    pub packets_received: Counter,
    /// Times that the process did not run for 200 ms or longer.
    pub pauses: Counter,
    /// Batches of packets that were handled 150 ms or longer after the socket was last empty.
    pub backlogs: Counter,
    /// Packets sent to targets.
    pub packets_forwarded: Counter,
    /// Packets that cannot be decoded.
    pub packets_malformed: Counter,
    /// Packets that were not forwarded for a reason that the log names.
    pub packets_dropped: Counter,
    /// Packets that the network did not take at once.
    pub sends_failed: Counter,
    /// New flows placed on a target.
    pub flows_placed: Counter,
    /// Opening packets sent to another target because the first was silent.
    pub openings_replaced: Counter,
    /// Flows whose target was looked up because this instance did not receive their opening.
    pub flows_looked_up: Counter,
    /// Lookups that no peer answered.
    pub lookups_unanswered: Counter,
    /// Questions of peers for the target of a flow that this instance answered.
    pub lookups_answered: Counter,
    /// Flows of which several targets had answered the opening, and were told the flow's target.
    pub half_open_corrected: Counter,
    /// Flows reset by this instance.
    pub flows_reset: Counter,
    /// Openings reset because their service was overloaded.
    pub openings_refused: Counter,
    /// Openings that were not sent to a cold target because of its rate.
    pub openings_withheld: Counter,
    /// Packets of requests dropped because their service was overloaded.
    pub packets_shed: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Entries of the store that were skipped as unusable.
    pub entries_skipped: Counter,
    /// Routes of configurations that were skipped as unusable.
    pub routes_skipped: Counter,
    /// Services of configurations that were skipped as unusable; their rates in force stay.
    pub services_skipped: Counter,
    /// Views read from peers.
    pub views_pulled: Counter,
    /// Beacons sent to other instances.
    pub beacons_sent: Counter,
    /// Beacons received from other instances.
    pub beacons_received: Counter,
    /// Beacons that cannot be decoded.
    pub beacons_malformed: Counter,
    /// Messages about single flows sent to other instances.
    pub flow_messages_sent: Counter,
    /// Messages about single flows received from other instances.
    pub flow_messages_received: Counter,
    /// Messages about grants for cold targets sent to other instances.
    pub grant_messages_sent: Counter,
    /// Messages about grants for cold targets received from other instances.
    pub grant_messages_received: Counter,
    /// Log lines left out because there were too many.
    pub log_lines_left_out: Counter,
}
}

/// The values of the gauges, as last set.
#[derive(Default)]
pub struct GaugeValues {
    flows: AtomicU64,
    waiting: AtomicU64,
    targets: AtomicU64,
    suspect: AtomicU64,
    lost: AtomicU64,
    failing: AtomicU64,
    cold: AtomicU64,
    granted: AtomicU64,
    evacuated: AtomicU64,
    peers: AtomicU64,
    ready: AtomicU64,
}

impl GaugeValues {
    /// Returns the value of a gauge for the exporter.
    pub fn read(&self, field: fn(&Self) -> &AtomicU64) -> f64 {
        let value = field(self).load(Ordering::Relaxed);
        f64::from(u32::try_from(value).unwrap_or(u32::MAX))
    }

    /// Sets all values.
    pub fn set(&self, gauges: &Gauges, peers: usize, ready: bool) {
        let set = |gauge: &AtomicU64, value: usize| {
            gauge.store(value as u64, Ordering::Relaxed);
        };
        set(&self.flows, gauges.flows);
        set(&self.waiting, gauges.waiting);
        set(&self.targets, gauges.targets);
        set(&self.suspect, gauges.suspect);
        set(&self.lost, gauges.lost);
        set(&self.failing, gauges.failing);
        set(&self.cold, gauges.cold);
        set(&self.granted, gauges.granted);
        set(&self.evacuated, gauges.evacuated);
        set(&self.peers, peers);
        set(&self.ready, usize::from(ready));
    }
}

/// Name, description and accessor of one gauge.
pub type GaugeField = (&'static str, &'static str, fn(&GaugeValues) -> &AtomicU64);

/// All gauges.
pub const GAUGES: &[GaugeField] = &[
    ("flows", "Flows that are remembered.", |c| &c.flows),
    (
        "requests_waiting",
        "Requests without an answer so far.",
        |c| &c.waiting,
    ),
    ("targets", "Published targets.", |c| &c.targets),
    ("targets_suspect", "Targets that owe an answer.", |c| {
        &c.suspect
    }),
    (
        "targets_lost",
        "Targets that have stopped answering.",
        |c| &c.lost,
    ),
    ("targets_failing", "Targets that fail requests.", |c| {
        &c.failing
    }),
    (
        "targets_cold",
        "Cold targets of the own zone with a rate.",
        |c| &c.cold,
    ),
    (
        "targets_granted",
        "Cold targets to which this instance may open flows.",
        |c| &c.granted,
    ),
    ("zones_evacuated", "Evacuated zones.", |c| &c.evacuated),
    ("peers", "Other instances heard from.", |c| &c.peers),
    ("ready", "1 if the instance takes packets.", |c| &c.ready),
];
