//! Exports metrics in the Prometheus text format.

use std::sync::Arc;

use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::telemetry::CounterField;

/// Reads the current value of an instrument.
pub type ReadValue<T> = Box<dyn Fn() -> T + Send + Sync>;
/// Name, description and value of a gauge.
pub type Gauge = (&'static str, &'static str, ReadValue<f64>);

/// The metrics of one process in the Prometheus text format.
pub struct Exporter {
    registry: Registry,
    meter: Meter,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter without instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new(scope: &'static str) -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("tanager")
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self {
            registry,
            meter: provider.meter(scope),
            _provider: provider,
        })
    }

    /// Adds a counter that is read when the metrics are collected.
    fn counter(
        &self,
        name: &'static str,
        description: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let instrument = self.meter.u64_observable_counter(name);
        let instrument = instrument.with_description(description.trim());
        instrument
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Adds all counters of a struct declared with [`crate::counters`].
    pub fn counters<T: Send + Sync + 'static>(&self, all: &Arc<T>, fields: &[CounterField<T>]) {
        for (name, description, counter) in fields {
            let (all, counter) = (Arc::clone(all), *counter);
            self.counter(name, description, move || counter(&all).get());
        }
    }

    /// Adds a gauge that is read when the metrics are collected.
    pub fn gauge(&self, name: &'static str, description: &'static str, read: ReadValue<f64>) {
        let instrument = self.meter.f64_observable_gauge(name);
        let instrument = instrument.with_description(description);
        instrument
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Adds a counter whose values are distinguished by labels.
    #[must_use]
    pub fn labelled_counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        let instrument = self.meter.u64_counter(name);
        instrument.with_description(description).build()
    }

    /// Adds a histogram of durations in seconds.
    #[must_use]
    pub fn histogram(
        &self,
        name: &'static str,
        description: &'static str,
        bounds: Vec<f64>,
    ) -> Histogram<f64> {
        let instrument = self.meter.f64_histogram(name).with_unit("s");
        instrument
            .with_description(description)
            .with_boundaries(bounds)
            .build()
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be written as text.
    pub fn text(&self) -> prometheus::Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
