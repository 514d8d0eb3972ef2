//! Request rate of each key, over all hosts.

use std::time::Duration;

use tarragon_model::time::Instant;

use crate::plan::MAX_KEY;

/// Time constant of the exponential decay.
const TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// Exponentially decaying request count of each key.
#[derive(Debug)]
pub struct Loads {
    counts: Vec<f32>,
    decayed_at: Instant,
    started_at: Instant,
}

impl Loads {
    /// Creates counters that start at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            counts: vec![0.0; usize::from(MAX_KEY) + 1],
            decayed_at: now,
            started_at: now,
        }
    }

    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, requests: f32) {
        self.counts[usize::from(key)] += requests;
    }

    /// Decays the counts up to `now`.
    pub fn decay(&mut self, now: Instant) {
        let age = now.since(self.decayed_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.decayed_at = now;
        #[expect(clippy::cast_possible_truncation, reason = "a factor between 0 and 1")]
        let factor = (-age).exp() as f32;
        for count in &mut self.counts {
            *count *= factor;
        }
    }

    /// Returns the requests per second of each key.
    #[must_use]
    pub fn rates(&self, now: Instant) -> Rates {
        let elapsed = now.since(self.started_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        let span = TIME_CONSTANT.as_secs_f64() * (1.0 - (-elapsed).exp()).max(0.05);
        let mut prefix_sums = Vec::with_capacity(self.counts.len() + 1);
        let mut sum = 0.0;
        prefix_sums.push(sum);
        for count in &self.counts {
            sum += f64::from(*count) / span;
            prefix_sums.push(sum);
        }
        Rates { prefix_sums }
    }
}

/// Requests per second of any range of keys, at one point in time.
#[derive(Clone, Debug)]
pub struct Rates {
    prefix_sums: Vec<f64>,
}

impl Rates {
    /// Returns the requests per second of the keys `from..=to` together.
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
        self.prefix_sums[usize::from(to) + 1] - self.prefix_sums[usize::from(from)]
    }
}
