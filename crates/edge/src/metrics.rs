//! Counters and histograms of the process, following OpenTelemetry conventions.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Upper bounds of the buckets of delays, in seconds.
const DELAY_BUCKETS_S: [f64; 11] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 1.05, 1.55, 2.5, 5.0, 10.0];

/// Metric instruments of the process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    duration: Histogram<f64>,
    sends: Counter<u64>,
    cold_sends: Counter<u64>,
    withheld: Counter<u64>,
    not_admitted: Counter<u64>,
    commands: Counter<u64>,
    command_send_delays: Histogram<f64>,
    command_durations: Histogram<f64>,
    loop_lags: Histogram<f64>,
    store_calls: Counter<u64>,
    state_changes: Counter<u64>,
    evacuated_zones: Gauge<u64>,
    frame_bytes: Counter<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the instruments and registers them for [`Metrics::text`].
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
        let delays = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(DELAY_BUCKETS_S.to_vec())
                .build()
        };
        Self {
            requests: meter.u64_counter("tarragon.edge.requests").build(),
            refusals: meter.u64_counter("tarragon.edge.refusals").build(),
            duration: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .build(),
            sends: meter.u64_counter("tarragon.edge.sends").build(),
            cold_sends: meter.u64_counter("tarragon.edge.cold_sends").build(),
            withheld: meter.u64_counter("tarragon.edge.withheld").build(),
            not_admitted: meter.u64_counter("tarragon.edge.not_admitted").build(),
            commands: meter.u64_counter("tarragon.edge.orders").build(),
            command_send_delays: delays("tarragon.edge.command.send_delay"),
            command_durations: delays("tarragon.edge.command.duration"),
            loop_lags: delays("tarragon.edge.loop_lag"),
            store_calls: meter.u64_counter("tarragon.edge.store_calls").build(),
            state_changes: meter.u64_counter("tarragon.edge.beliefs").build(),
            evacuated_zones: meter.u64_gauge("tarragon.edge.evacuated_zones").build(),
            frame_bytes: meter
                .u64_counter("tarragon.edge.told")
                .with_unit("By")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Counts a request of a caller by its outcome, and records its duration in seconds.
    pub fn count_request(&self, outcome: &'static str, seconds: f64) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.duration.record(seconds, &labels);
    }

    /// Counts a request that this host answered itself, by the reason.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts one send of a request to a backend server, by its result.
    pub fn count_send(&self, result: &'static str) {
        self.sends.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts one send of a request to a cold backend server, by whether it was withheld.
    pub fn count_cold_send(&self, result: &'static str) {
        self.cold_sends.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request that a backend server had no room for, by the limit.
    pub fn count_withheld(&self, cause: &'static str) {
        self.withheld.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a request that was not admitted as servers are short of capacity.
    pub fn count_not_admitted(&self, service: &str, priority: u32) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("priority", i64::from(priority)),
        ];
        self.not_admitted.add(1, &labels);
    }

    /// Counts a command to a backend server, by its action and its result.
    pub fn count_command(&self, action: &'static str, result: &'static str) {
        let labels = [
            KeyValue::new("task", action),
            KeyValue::new("result", result),
        ];
        self.commands.add(1, &labels);
    }

    /// Records the times from due to sent, if it was sent, and from due to the outcome of a command,
    /// by its action.
    pub fn record_command(&self, action: &'static str, sent: Option<Duration>, outcome: Duration) {
        let labels = [KeyValue::new("action", action)];
        if let Some(sent) = sent {
            self.command_send_delays.record(sent.as_secs_f64(), &labels);
        }
        self.command_durations
            .record(outcome.as_secs_f64(), &labels);
    }

    /// Records how late a periodic task ran.
    pub fn record_loop_lag(&self, lag: Duration) {
        self.loop_lags.record(lag.as_secs_f64(), &[]);
    }

    /// Counts a call to the store, by its step, `read` or `write`, and its result.
    pub fn count_store_call(&self, step: &'static str, result: &'static str) {
        let labels = [KeyValue::new("step", step), KeyValue::new("result", result)];
        self.store_calls.add(1, &labels);
    }

    /// Counts a change of the cluster state that this process knows, by what changed.
    pub fn count_state_change(&self, about: &'static str) {
        self.state_changes.add(1, &[KeyValue::new("about", about)]);
    }

    /// Records the number of zones under evacuation.
    pub fn record_evacuated_zones(&self, zones: usize) {
        let zones = u64::try_from(zones).unwrap_or(u64::MAX);
        self.evacuated_zones.record(zones, &[]);
    }

    /// Counts the bytes of a frame sent to another host.
    pub fn count_frame_bytes(&self, frame: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.frame_bytes
            .add(bytes, &[KeyValue::new("frame", frame)]);
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
