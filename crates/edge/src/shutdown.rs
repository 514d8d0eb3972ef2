//! Which requests a stopping process still passes on.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the stop signal within which callers and the load balancer have learnt of the stop.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Time from which a request is passed on only if its deadline is not after `end`.
    late: Instant,
    /// Time at which requests under way are interrupted.
    end: Instant,
}

impl Schedule {
    /// Returns the times of a stop whose signal came at `signal` and which interrupts requests
    /// after `time`.
    #[must_use]
    pub fn new(signal: Instant, time: Duration) -> Self {
        Self {
            late: signal + NOTICE_TIME,
            end: signal + time,
        }
    }

    /// Returns the time at which requests under way are interrupted.
    #[must_use]
    pub const fn end(&self) -> Instant {
        self.end
    }

    /// Returns whether a request that is sent to a backend server at `now` will end before the
    /// process, as far as can be told. `usual` is the time within which such requests end.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tarragon_edge::shutdown::Schedule;
    /// use tokio::time::Instant;
    ///
    /// let signal = Instant::now();
    /// let at = |seconds| signal + Duration::from_secs(seconds);
    /// let schedule = Schedule::new(signal, Duration::from_secs(6));
    /// let usual = Duration::from_secs(2);
    /// assert!(schedule.admits(at(2), at(12), usual));
    /// assert!(!schedule.admits(at(2), at(12), 3 * usual));
    /// assert!(!schedule.admits(at(4), at(12), usual));
    /// assert!(schedule.admits(at(4), at(6), usual));
    /// ```
    #[must_use]
    pub fn admits(&self, now: Instant, deadline: Instant, usual: Duration) -> bool {
        deadline <= self.end || (now < self.late && now + usual <= self.end)
    }
}
