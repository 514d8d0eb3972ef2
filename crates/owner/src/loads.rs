//! Requests a second of each key, over all hosts.

use std::time::Duration;

use tarragon_model::time::Instant;

use crate::plan::MAX_KEY;

/// Time over which requests are averaged.
const MEMORY: Duration = Duration::from_millis(1_500);

/// Decaying count of requests for each key.
#[derive(Debug)]
pub struct Loads {
    counts: Vec<f32>,
    at: Instant,
    since: Instant,
}

impl Loads {
    /// Starts counting.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            counts: vec![0.0; usize::from(MAX_KEY) + 1],
            at: now,
            since: now,
        }
    }

    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, requests: f32) {
        self.counts[usize::from(key)] += requests;
    }

    /// Lets what was counted fade.
    pub fn decay(&mut self, now: Instant) {
        let age = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        self.at = now;
        #[expect(clippy::cast_possible_truncation, reason = "a factor between 0 and 1")]
        let factor = (-age).exp() as f32;
        for count in &mut self.counts {
            *count *= factor;
        }
    }

    /// Returns requests a second of each key.
    #[must_use]
    pub fn rates(&self, now: Instant) -> Rates {
        let counted = now.since(self.since).as_secs_f64() / MEMORY.as_secs_f64();
        let span = MEMORY.as_secs_f64() * (1.0 - (-counted).exp()).max(0.05);
        let mut sums = Vec::with_capacity(self.counts.len() + 1);
        let mut sum = 0.0;
        sums.push(sum);
        for count in &self.counts {
            sum += f64::from(*count) / span;
            sums.push(sum);
        }
        Rates { sums }
    }
}

/// Requests a second of any range of keys, at one moment.
#[derive(Clone, Debug)]
pub struct Rates {
    sums: Vec<f64>,
}

impl Rates {
    /// Returns requests a second of the keys `from` to `to`, both included.
    ///
    /// ```
    /// use tarragon_model::time::Instant;
    /// use tarragon_owner::loads::Loads;
    ///
    /// let loads = Loads::new(Instant::ZERO);
    /// assert!(loads.rates(Instant::from_millis(10)).total(0, 65_535) < 0.1);
    /// ```
    #[must_use]
    pub fn total(&self, from: u16, to: u16) -> f64 {
        self.sums[usize::from(to) + 1] - self.sums[usize::from(from)]
    }
}
