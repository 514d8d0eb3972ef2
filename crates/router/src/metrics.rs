//! Metrics of the process, named by the OpenTelemetry conventions.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tarragon_model::outcome::{Outcome, Reason};

/// Counters and histograms of the process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    control_bytes: Counter<u64>,
    dropped_frames: Counter<u64>,
    dispatches: Counter<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the instruments and their Prometheus registry.
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
            requests: meter.u64_counter("tarragon.server.requests").build(),
            duration: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .build(),
            control_bytes: meter
                .u64_counter("tarragon.control.io")
                .with_unit("By")
                .build(),
            dropped_frames: meter.u64_counter("tarragon.control.dropped_frames").build(),
            dispatches: meter.u64_counter("tarragon.backend.dispatches").build(),
            registry,
            _provider: provider,
        }
    }

    /// Records the response to a caller's request and its duration in seconds.
    pub fn request_ended(&self, outcome: Outcome, reason: Option<Reason>, seconds: f64) {
        let labels = [
            KeyValue::new("tarragon.outcome", outcome.as_str()),
            KeyValue::new("tarragon.reason", reason.map_or("none", Reason::as_str)),
        ];
        self.requests.add(1, &labels);
        self.duration.record(seconds, &labels[..1]);
    }

    /// Counts a request sent to a backend server.
    pub fn dispatched(&self) {
        self.dispatches.add(1, &[]);
    }

    /// Counts the bytes of a control message to another router.
    pub fn control_bytes(&self, bytes: usize) {
        self.control_bytes.add(bytes as u64, &[]);
    }

    /// Counts a control message that was dropped.
    pub fn frame_dropped(&self) {
        self.dropped_frames.add(1, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics-failed error=\"{error}\"");
        }
        text
    }
}
