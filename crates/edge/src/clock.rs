//! Clock of the process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tarragon_model::time::Instant;

/// Lead of the first instant over the origin, so that earlier instants can be expressed.
const ORIGIN_LEAD: Duration = Duration::from_mins(1);

/// Monotonic clock that goes on while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts a clock.
    ///
    /// ```
    /// use tarragon_edge::clock::Clock;
    ///
    /// let clock = Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: boot_time(),
        }
    }

    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::ZERO + ORIGIN_LEAD + boot_time().saturating_sub(self.origin)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
