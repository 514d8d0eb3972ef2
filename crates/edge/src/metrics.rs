//! Counters and histograms of the process, in OpenTelemetry's conventions.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Instruments of the process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    sends: Counter<u64>,
    orders: Counter<u64>,
    store: Counter<u64>,
    beliefs: Counter<u64>,
    told: Counter<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Sets up the instruments.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let mut builder = SdkMeterProvider::builder();
        match exporter {
            Ok(exporter) => builder = builder.with_reader(exporter),
            Err(error) => log::error!("event=metrics-failed error=\"{error}\""),
        }
        let provider = builder.build();
        let meter = provider.meter("tarragonthread");
        Self {
            requests: meter.u64_counter("tarragon.edge.requests").build(),
            duration: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .build(),
            sends: meter.u64_counter("tarragon.edge.sends").build(),
            orders: meter.u64_counter("tarragon.edge.orders").build(),
            store: meter.u64_counter("tarragon.edge.store_calls").build(),
            beliefs: meter.u64_counter("tarragon.edge.beliefs").build(),
            told: meter
                .u64_counter("tarragon.edge.told")
                .with_unit("By")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Counts an answered request of a caller and its duration in seconds.
    pub fn count_request(&self, outcome: &'static str, seconds: f64) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.duration.record(seconds, &labels);
    }

    /// Counts a request that was sent to a backend server, and how that ended.
    pub fn count_send(&self, result: &'static str) {
        self.sends.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts an order to a backend server, and how it ended.
    pub fn count_command(&self, task: &'static str, result: &'static str) {
        let labels = [KeyValue::new("task", task), KeyValue::new("result", result)];
        self.orders.add(1, &labels);
    }

    /// Counts a call of the store.
    pub fn count_store_call(&self, step: &'static str, result: &'static str) {
        let labels = [KeyValue::new("step", step), KeyValue::new("result", result)];
        self.store.add(1, &labels);
    }

    /// Counts a change of what the process believes.
    pub fn count_state_change(&self, about: &'static str) {
        self.beliefs.add(1, &[KeyValue::new("about", about)]);
    }

    /// Counts the bytes of a frame that is sent to another host.
    pub fn count_frame_bytes(&self, frame: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.told.add(bytes, &[KeyValue::new("frame", frame)]);
    }

    /// Returns all metrics in the text format that scrapers read.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics-failed error=\"{error}\"");
        }
        text
    }
}
