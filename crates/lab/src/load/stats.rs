//! The callers' log: counters, times, and each attempt that did not end in a right answer.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use hdrhistogram::Histogram;
use tarragon_model::outcome::Outcome;

use super::attempt;
use crate::trace::{Attempt, Ending};

/// Attempts that are kept at most, so that memory stays bounded.
const KEPT_MAX: usize = 1_000_000;
/// Longest time that the histogram tells apart, in microseconds.
const TIME_MAX_US: u64 = 120_000_000;

/// Stats that all callers share.
#[derive(Debug)]
pub struct Stats {
    /// Requests that callers made.
    pub requests: AtomicU64,
    /// Requests served in time.
    pub served: AtomicU64,
    /// Attempts refused and not run.
    pub refused: AtomicU64,
    /// Requests whose fate stayed unknown.
    pub unknown: AtomicU64,
    /// Requests that were not made because too many were open.
    pub skipped: AtomicU64,
    /// Weight of all requests.
    pub weight: AtomicU64,
    /// Weight of the requests served in time.
    pub served_weight: AtomicU64,
    times: Mutex<Histogram<u64>>,
    attempts: Mutex<Vec<Attempt>>,
}

impl Default for Stats {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, TIME_MAX_US, 3);
        Self {
            requests: AtomicU64::new(0),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
            skipped: AtomicU64::new(0),
            weight: AtomicU64::new(0),
            served_weight: AtomicU64::new(0),
            times: Mutex::new(times.expect("the bounds are constant and valid")),
            attempts: Mutex::default(),
        }
    }
}

/// Adds one to a counter.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Stats {
    /// Takes note of an attempt; only one that was not served is kept.
    pub fn record_attempt(&self, attempt: &Attempt) {
        if attempt::is_served(attempt) {
            return;
        }
        if attempt.ending == Ending::Answered(Outcome::NotRun) {
            count(&self.refused);
        }
        let mut kept = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() < KEPT_MAX {
            kept.push(attempt.clone());
        }
    }

    /// Takes note of the time of a short request, in microseconds.
    pub fn record_latency(&self, micros: u64) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.saturating_record(micros);
    }

    /// Returns the time that a share of the short requests stayed within, in microseconds.
    #[must_use]
    pub fn latency_quantile(&self, share: f64) -> u64 {
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.value_at_quantile(share)
    }

    /// Returns the kept attempts.
    #[must_use]
    pub fn attempts(&self) -> Vec<Attempt> {
        let kept = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        kept.clone()
    }

    /// Returns the weight served in time, in percent of all.
    #[must_use]
    pub fn weight_percent(&self) -> u64 {
        let all = self.weight.load(Ordering::Relaxed);
        self.served_weight.load(Ordering::Relaxed) * 100 / all.max(1)
    }
}
