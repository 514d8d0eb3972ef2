//! Monotonic clock of the process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tarragon_model::time::Instant;

/// Offset of the clock's start from [`Instant::ZERO`], so that earlier instants are representable.
const START_OFFSET: Duration = Duration::from_mins(1);

/// Monotonic clock that keeps running while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at the current boot time.
    ///
    /// ```
    /// use tarragon_edge::clock::Clock;
    ///
    /// let clock = Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the time since the clock started, plus a fixed offset of one minute.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::ZERO + START_OFFSET + boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
