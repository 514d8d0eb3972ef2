//! Limits the retries of requests to a service.
//!
//! The bound holds over all hosts together. Each host stays within its part: a share of the
//! requests that it sent itself, and an equal part of the fixed allowance.

use std::time::Duration;

use tarragon_model::time::Instant;

/// Bound on the number of retries, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, independent of the number of requests.
    pub slack: f64,
    /// Time window over which requests and retries are counted.
    pub window: Duration,
}

/// Fraction of the bound that hosts use, so that hosts with uneven traffic stay within it together.
const USABLE_PART: f64 = 0.7;
/// Number of buckets that the window is divided into.
const BUCKETS: usize = 10;

/// Requests and retries of one service on one host, within the window.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    requests: [u32; BUCKETS],
    retries: [u32; BUCKETS],
    bucket: u64,
}

impl Budget {
    /// Creates a budget with nothing spent.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            requests: [0; BUCKETS],
            retries: [0; BUCKETS],
            bucket: 0,
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        let bucket = self.advance(now);
        self.requests[bucket] += 1;
    }

    /// Takes one retry out of the budget. Returns `false` if `hosts` hosts that do the same could
    /// exceed the bound.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_dispatch::budget::{Bound, Budget};
    /// use tarragon_model::time::Instant;
    ///
    /// let bound = Bound { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
    /// let mut budget = Budget::new(bound);
    /// let now = Instant::from_millis(1);
    /// assert_eq!((0..100).filter(|_| budget.try_retry(now, 7)).count(), 1);
    /// ```
    pub fn try_retry(&mut self, now: Instant, hosts: u32) -> bool {
        let bucket = self.advance(now);
        let requests: u32 = self.requests.iter().sum();
        let spent: u32 = self.retries.iter().sum();
        let slack = self.bound.slack / f64::from(hosts.max(1));
        let allowed = USABLE_PART * (self.bound.ratio * f64::from(requests) + slack);
        if f64::from(spent) + 1.0 > allowed {
            return false;
        }
        self.retries[bucket] += 1;
        true
    }

    /// Clears the buckets that left the window and returns the index of the current one.
    fn advance(&mut self, now: Instant) -> usize {
        let window = u64::try_from(self.bound.window.as_micros()).unwrap_or(u64::MAX);
        let length = (window / BUCKETS as u64).max(1);
        let current = now.as_micros() / length;
        let passed = current.saturating_sub(self.bucket).min(BUCKETS as u64);
        for step in 0..passed {
            let slot = slot(current - step);
            self.requests[slot] = 0;
            self.retries[slot] = 0;
        }
        self.bucket = self.bucket.max(current);
        slot(current)
    }
}

fn slot(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKETS as u64).unwrap_or_default()
}
