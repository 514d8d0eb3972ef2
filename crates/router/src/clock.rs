//! Clocks of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tarragon_model::time::Instant;
use tarragon_node::input::Now;

/// Monotonic clock that counts from its start.
///
/// It keeps running while the machine is suspended, so that no lease outlives a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

/// Offset of the clock's start from [`Instant::ZERO`], so that earlier instants are representable.
const START_OFFSET: Duration = Duration::from_mins(1);

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: boot_time(),
        }
    }

    /// Returns the time since the clock started, plus a fixed offset of one minute.
    #[must_use]
    pub fn monotonic(&self) -> Instant {
        Instant::ZERO + START_OFFSET + boot_time().saturating_sub(self.origin)
    }

    /// Returns the monotonic time and the wall-clock time.
    #[must_use]
    pub fn now(&self) -> Now {
        Now {
            at: self.monotonic(),
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

/// Returns the time since the machine booted, including suspensions.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
