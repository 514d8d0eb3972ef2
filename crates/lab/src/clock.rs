//! The system's monotonic clock, which all processes of a run share.

use rustix::time::{ClockId, clock_gettime};

/// Microseconds in one second.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Nanoseconds in one microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// Returns the time of `CLOCK_MONOTONIC` in microseconds.
///
/// ```
/// let earlier = tarragon_lab::clock::now_us();
/// assert!(tarragon_lab::clock::now_us() >= earlier);
/// ```
#[must_use]
pub fn now_us() -> u64 {
    let time = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}
