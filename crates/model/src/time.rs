//! Monotonic time, which is passed to the decision logic so that it reads no clock.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Instant on the monotonic clock of one process, in microseconds since that clock's origin.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// Origin of the process's clock.
    pub const ZERO: Self = Self(0);

    /// Creates an instant from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates an instant from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is the later instant.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_model::time::Instant;
    ///
    /// let start = Instant::from_millis(5);
    /// assert_eq!((start + Duration::from_millis(2)).since(start), Duration::from_millis(2));
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}
