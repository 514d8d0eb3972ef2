//! Limits how many sends beyond the first one a service sees.
//!
//! The bound holds over all hosts together. Each host stays within its part: a share of the
//! requests that it sent itself, and an even part of the fixed allowance.

use std::time::Duration;

use tarragon_model::time::Instant;

/// Bound on repeated sends, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
    /// Span over which both are counted.
    pub window: Duration,
}

/// Part of the bound that hosts use, so that uneven hosts together stay within it.
const USED_PART: f64 = 0.7;
/// Spans that the window is counted in.
const SPANS: usize = 10;

/// Repeats and requests of one service on one host within the window.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    first: [u32; SPANS],
    retries: [u32; SPANS],
    span: u64,
}

impl Budget {
    /// Creates a budget that nothing was spent of.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            first: [0; SPANS],
            retries: [0; SPANS],
            span: 0,
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn record_request(&mut self, now: Instant) {
        let span = self.turn(now);
        self.first[span] += 1;
    }

    /// Takes one repeat out of the budget if `hosts` hosts that do the same stay within the bound.
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
        let span = self.turn(now);
        let first: u32 = self.first.iter().sum();
        let spent: u32 = self.retries.iter().sum();
        let slack = self.bound.slack / f64::from(hosts.max(1));
        let allowed = USED_PART * (self.bound.ratio * f64::from(first) + slack);
        if f64::from(spent) + 1.0 > allowed {
            return false;
        }
        self.retries[span] += 1;
        true
    }

    /// Forgets what lies before the window and returns the current span's place.
    fn turn(&mut self, now: Instant) -> usize {
        let window = u64::try_from(self.bound.window.as_micros()).unwrap_or(u64::MAX);
        let length = (window / SPANS as u64).max(1);
        let current = now.as_micros() / length;
        let passed = current.saturating_sub(self.span).min(SPANS as u64);
        for step in 0..passed {
            let place = place(current - step);
            self.first[place] = 0;
            self.retries[place] = 0;
        }
        self.span = self.span.max(current);
        place(current)
    }
}

fn place(span: u64) -> usize {
    usize::try_from(span % SPANS as u64).unwrap_or_default()
}
