//! Token bucket that limits the rate of calls.

use std::time::Instant;

/// Token bucket whose capacity is the number of calls allowed per second.
#[derive(Debug)]
pub struct Bucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: per_second,
            refilled_at: Instant::now(),
        }
    }

    /// Takes one token and returns true, or returns false when there is none.
    pub fn take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second);
        self.refilled_at = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
