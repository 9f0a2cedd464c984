//! Metrics of the admission of requests to services that are beyond their capacity.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use tanager_forward::AdmissionStep;
use tanagerproxy::telemetry::Exporter;

/// Bucket bounds of the histogram of waits, in seconds.
const WAIT_BOUNDS: [f64; 8] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 1.0];

/// Counters by route, zone, class and what happened, and a histogram of waits.
pub struct AdmissionMetrics {
    steps: Counter<u64>,
    waits: Histogram<f64>,
}

impl AdmissionMetrics {
    /// Adds the instruments to the metrics of the process.
    pub fn new(exporter: &Exporter) -> Self {
        Self {
            steps: exporter.labelled_counter(
                "admission",
                "Requests to services beyond their capacity, by what happened.",
            ),
            waits: exporter.histogram(
                "admission_wait",
                "Time for which requests were held, by what ended it.",
                WAIT_BOUNDS.to_vec(),
            ),
        }
    }

    /// Counts a step.
    pub fn record(&self, step: &AdmissionStep) {
        let labels = [
            KeyValue::new("route", step.route.clone()),
            KeyValue::new("zone", step.zone.to_string()),
            KeyValue::new("priority", step.priority.to_string()),
            KeyValue::new("repeatable", step.repeatable),
            KeyValue::new("outcome", step.outcome.to_string()),
        ];
        self.steps.add(1, &labels);
        if step.outcome.ends_wait() {
            self.waits.record(step.wait.as_secs_f64(), &labels);
        }
    }
}
