//! The machine's monotonic clock, whose readings are comparable between processes.
//!
//! `std::time::Instant` hides its origin, so records of several processes could not be compared
//! with it.

use rustix::time::{ClockId, clock_gettime};

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Returns the time of `CLOCK_MONOTONIC` in microseconds.
#[must_use]
pub fn micros() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}

/// Returns the time of `CLOCK_MONOTONIC` in milliseconds.
#[must_use]
pub fn millis() -> u64 {
    micros() / 1_000
}
