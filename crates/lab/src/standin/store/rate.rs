//! Rate limit of one kind of calls.

use std::time::Instant;

/// Bucket that holds the calls of one second at most.
#[derive(Debug)]
pub struct Bucket {
    per_second: f64,
    left: f64,
    filled: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            left: per_second,
            filled: Instant::now(),
        }
    }

    /// Takes one call from the bucket, if there is one.
    pub fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.filled).as_secs_f64() * self.per_second;
        self.left = (self.left + gained).min(self.per_second);
        self.filled = now;
        let enough = self.left >= 1.0;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}
