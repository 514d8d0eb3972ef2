//! Clocks of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tarragon_model::time::Instant;
use tarragon_node::input::Now;

/// Monotonic clock with an origin of its own.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

/// Lead of the first instant over the origin, so that earlier instants can be expressed.
const ORIGIN_LEAD: Duration = Duration::from_mins(1);

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// Returns the monotonic time.
    #[must_use]
    pub fn at(&self) -> Instant {
        Instant::ZERO + ORIGIN_LEAD + self.origin.elapsed()
    }

    /// Returns the monotonic and the wall-clock time.
    #[must_use]
    pub fn now(&self) -> Now {
        Now {
            at: self.at(),
            unix_ms: unix_micros() / 1_000,
        }
    }
}

/// Returns the microseconds since the Unix epoch.
#[must_use]
pub fn unix_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
