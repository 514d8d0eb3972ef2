//! Stamps of a hybrid logical clock.
//!
//! A stamp follows the wall clock as long as that preserves causal order, and otherwise increments
//! a logical counter. Every message between processes carries the sender's stamp, so an effect
//! never sorts before its cause.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Hybrid logical time of an event or message.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Latest known wall-clock time, in microseconds since the Unix epoch.
    pub wall_us: u64,
    /// Counter that orders stamps with the same `wall_us`.
    pub logical: u32,
}

impl Stamp {
    /// Creates a stamp from its two parts.
    #[must_use]
    pub const fn new(wall_us: u64, logical: u32) -> Self {
        Self { wall_us, logical }
    }

    /// Returns the smallest stamp that is later.
    const fn next(self) -> Self {
        match self.logical.checked_add(1) {
            Some(logical) => Self::new(self.wall_us, logical),
            None => Self::new(self.wall_us.saturating_add(1), 0),
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_us, self.logical)
    }
}

/// Hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    latest: Stamp,
}

impl Clock {
    /// Creates a clock that has observed no stamp.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a stamp later than every stamp that the clock has returned or observed.
    ///
    /// `wall_us` is the wall clock in microseconds since the Unix epoch; it may go backwards.
    ///
    /// ```
    /// use tarragon_timeline::stamp::{Clock, Stamp};
    ///
    /// let mut clock = Clock::new();
    /// assert_eq!(clock.now(9), Stamp::new(9, 0));
    /// assert_eq!(clock.now(8), Stamp::new(9, 1));
    /// ```
    #[must_use = "a stamp that is not used leaves a gap"]
    pub fn now(&mut self, wall_us: u64) -> Stamp {
        let wall = Stamp::new(wall_us, 0);
        self.latest = wall.max(self.latest.next());
        self.latest
    }

    /// Advances the clock past the stamp of a received message, so that every later stamp is
    /// larger.
    ///
    /// ```
    /// use tarragon_timeline::stamp::{Clock, Stamp};
    ///
    /// let mut clock = Clock::new();
    /// clock.observe(5, Stamp::new(70, 3));
    /// assert!(clock.now(6) > Stamp::new(70, 3));
    /// ```
    pub fn observe(&mut self, wall_us: u64, stamp: Stamp) {
        let wall = Stamp::new(wall_us, 0);
        self.latest = self.latest.max(stamp).max(wall);
    }
}
