//! Limit on the requests to a cold backend server: one that has started, or lost its caches, so
//! recently that it bears only part of its usual load.

use std::time::Duration;

pub mod allocation;
pub mod share;

/// Load that a cold backend server of a service bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests per second.
    pub per_s: f64,
    /// Time for which a server stays cold after its start.
    pub time: Duration,
}

/// Bound on the requests to one cold backend server in any one second, over all hosts:
/// `overrun` times [`Rate::per_s`], plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Factor of the service's rate.
    pub overrun: f64,
    /// Requests allowed in addition.
    pub slack: f64,
}

/// Number of senders between which the bound is divided: two hosts may both believe that they are
/// the granter, and each chooses a sender.
const SENDERS: f64 = 2.0;
/// Time over which the bound counts requests.
const BOUND_WINDOW: Duration = Duration::from_secs(1);

/// Limit on the requests of one sender to a cold backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second that the server bears.
    pub per_s: f64,
    /// Bound that the limit keeps.
    pub bound: Bound,
    /// Maximum number of requests in any [`Limit::window`].
    pub count: u32,
    /// Time over which requests are counted.
    pub window: Duration,
    /// Time for which a server stays cold after its start.
    pub time: Duration,
}

impl Limit {
    /// Returns the limit for the cold servers of a service.
    ///
    /// The limit is at most half the bound, but one request in any case: without requests a server
    /// would never fill its caches.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_dispatch::warmup::{Bound, Limit, Rate};
    ///
    /// let rate = |per_s| Rate { per_s, time: Duration::from_secs(20) };
    /// let bound = Bound { overrun: 1.5, slack: 8.0 };
    /// let limit = Limit::new(rate(6.5), bound);
    /// assert_eq!((limit.count, limit.window), (6, Duration::from_secs(1)));
    /// let limit = Limit::new(rate(0.25), bound);
    /// assert_eq!((limit.count, limit.window), (1, Duration::from_secs(4)));
    /// let tight = Bound { overrun: 1.0, slack: 0.0 };
    /// assert_eq!(Limit::new(rate(6.5), tight).count, 3);
    /// ```
    #[must_use]
    pub fn new(rate: Rate, bound: Bound) -> Self {
        let Rate { per_s, time } = rate;
        let half = (per_s * bound.overrun + bound.slack) / SENDERS;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "casts of floating-point numbers saturate"
        )]
        let count = (per_s.min(half) as u32).max(1);
        let window = Duration::try_from_secs_f64(f64::from(count) / per_s);
        Self {
            per_s,
            bound,
            count,
            window: window.unwrap_or(Duration::MAX).max(BOUND_WINDOW),
            time,
        }
    }

    /// Returns the limit for another rate under the same bound. A rate that is not positive has no
    /// effect.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_dispatch::warmup::{Bound, Limit, Rate};
    ///
    /// let rate = Rate { per_s: 6.5, time: Duration::from_secs(20) };
    /// let limit = Limit::new(rate, Bound { overrun: 1.5, slack: 8.0 });
    /// assert_eq!(limit.with_rate(4.0).count, 4);
    /// assert_eq!(limit.with_rate(0.0), limit);
    /// ```
    #[must_use]
    pub fn with_rate(&self, per_s: f64) -> Self {
        if per_s.is_finite() && per_s > 0.0 {
            let time = self.time;
            Self::new(Rate { per_s, time }, self.bound)
        } else {
            *self
        }
    }

    /// Returns the mean interval at which each of `hosts` hosts may try a server of which it is not
    /// known whether it is cold, so that all of them together stay below the limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_dispatch::warmup::{Bound, Limit, Rate};
    ///
    /// let rate = Rate { per_s: 6.5, time: Duration::from_secs(20) };
    /// let limit = Limit::new(rate, Bound { overrun: 1.5, slack: 8.0 });
    /// assert_eq!(limit.probe_interval(60), Duration::from_secs(10));
    /// ```
    #[must_use]
    pub fn probe_interval(&self, hosts: u32) -> Duration {
        self.window.saturating_mul(hosts.max(1)) / self.count
    }
}
