//! Statistics of the callers: counters, latencies, and each attempt that was not served.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use hdrhistogram::Histogram;
use tarragon_model::outcome::Outcome;

use super::attempt;
use crate::trace::{Attempt, Ending};

/// Maximum number of retained attempts; bounds memory.
const MAX_RETAINED_ATTEMPTS: usize = 1_000_000;
/// Largest latency that the histogram records; longer ones saturate. In microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Statistics that all callers share.
#[derive(Debug)]
pub struct Stats {
    /// Requests made by callers.
    pub requests: AtomicU64,
    /// Requests that count as served: idempotent ones within the deadline, others whenever served.
    pub served: AtomicU64,
    /// Attempts that ended with the outcome `NotRun`.
    pub refused: AtomicU64,
    /// Requests whose outcome stayed unknown.
    pub unknown: AtomicU64,
    /// Requests that were not made because too many were in flight.
    pub skipped: AtomicU64,
    /// Total weight of all requests.
    pub weight: AtomicU64,
    /// Total weight of the requests that count as served.
    pub served_weight: AtomicU64,
    latencies: Mutex<Histogram<u64>>,
    attempts: Mutex<Vec<Attempt>>,
}

impl Default for Stats {
    fn default() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self {
            requests: AtomicU64::new(0),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
            skipped: AtomicU64::new(0),
            weight: AtomicU64::new(0),
            served_weight: AtomicU64::new(0),
            latencies: Mutex::new(latencies.expect("the bounds are constant and valid")),
            attempts: Mutex::default(),
        }
    }
}

/// Increments a counter by one.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Stats {
    /// Records an attempt; only attempts that were not served are retained.
    pub fn record_attempt(&self, attempt: &Attempt) {
        if attempt::is_served(attempt) {
            return;
        }
        if attempt.ending == Ending::Answered(Outcome::NotRun) {
            count(&self.refused);
        }
        let mut retained = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        if retained.len() < MAX_RETAINED_ATTEMPTS {
            retained.push(attempt.clone());
        }
    }

    /// Records the latency of a request that is no download, in microseconds.
    pub fn record_latency(&self, micros: u64) {
        let mut latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        latencies.saturating_record(micros);
    }

    /// Returns a quantile of the recorded latencies, in microseconds; `share` is from 0 to 1.
    #[must_use]
    pub fn latency_quantile(&self, share: f64) -> u64 {
        let latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        latencies.value_at_quantile(share)
    }

    /// Returns the retained attempts.
    #[must_use]
    pub fn attempts(&self) -> Vec<Attempt> {
        let retained = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        retained.clone()
    }

    /// Returns the weight that counts as served, in percent of the total.
    #[must_use]
    pub fn weight_percent(&self) -> u64 {
        let all = self.weight.load(Ordering::Relaxed);
        self.served_weight.load(Ordering::Relaxed) * 100 / all.max(1)
    }
}
