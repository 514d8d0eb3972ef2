//! Shares of one host: to which cold backend servers it may send, and how much.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tarragon_model::time::Instant;

use super::Limit;

/// Time for which a share is valid, from the clock that the host's report carried.
pub const VALIDITY: Duration = Duration::from_secs(2);

/// Permission for one host to send requests to a cold backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Identifier of the server.
    pub server: String,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Requests per second that it bears.
    pub per_s: f64,
}

/// Shares that a host holds, and the requests that it sent under them.
#[derive(Debug, Default)]
pub struct Shares {
    servers: HashMap<String, Held>,
}

#[derive(Debug)]
struct Held {
    start_ms: u64,
    limit: Limit,
    valid_until: Instant,
    /// Times of the requests of the last [`Limit::window`], at most [`Limit::count`].
    sent: VecDeque<Instant>,
}

impl Held {
    /// Returns from when on one more request may be sent, as far as the share's limit decides.
    fn free_at(&self) -> Instant {
        let count = usize::try_from(self.limit.count).unwrap_or(usize::MAX);
        let blocking = self.sent.len().checked_sub(count);
        let oldest = blocking.and_then(|index| self.sent.get(index));
        oldest.map_or(Instant::ZERO, |sent| *sent + self.limit.window)
    }

    fn is_valid(&self, start_ms: u64, now: Instant) -> bool {
        self.start_ms == start_ms && now < self.valid_until
    }

    fn forget_before(&mut self, now: Instant) {
        let window = self.limit.window;
        while self.sent.front().is_some_and(|sent| *sent + window <= now) {
            self.sent.pop_front();
        }
    }
}

impl Shares {
    /// Adds or renews a share that the granter gave in response to the report with the host's clock
    /// at `reported`.
    ///
    /// A response that was delayed for longer than the validity has no effect, nor has one that
    /// arrives after a later one. Requests sent under an earlier share of the server still count.
    /// Returns whether the host had no valid share of the server before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_dispatch::warmup::share::{Share, Shares, VALIDITY};
    /// use tarragon_dispatch::warmup::{Bound, Limit, Rate};
    /// use tarragon_model::time::Instant;
    ///
    /// let now = Instant::from_millis(60_000);
    /// let rate = Rate { per_s: 6.5, time: Duration::from_secs(20) };
    /// let limit = Limit::new(rate, Bound { overrun: 1.5, slack: 8.0 });
    /// let mut shares = Shares::default();
    /// shares.grant("x", 1, limit, now, now);
    /// let sent = (0..10).filter_map(|_| shares.take("x", 1, now));
    /// assert_eq!(sent.count(), 6);
    /// assert!(!shares.admits("x", 1, now));
    /// assert!(shares.admits("x", 1, now + Duration::from_secs(1)));
    /// assert!(!shares.admits("x", 1, now + VALIDITY));
    /// ```
    pub fn grant(
        &mut self,
        server: &str,
        start_ms: u64,
        limit: Limit,
        reported: Instant,
        now: Instant,
    ) -> bool {
        let valid_until = reported + VALIDITY;
        if reported > now || valid_until <= now {
            return false;
        }
        let before = self.servers.get(server);
        let is_new = !before.is_some_and(|held| held.is_valid(start_ms, now));
        self.servers.retain(|_, held| {
            held.forget_before(now);
            now < held.valid_until || !held.sent.is_empty()
        });
        let held = self
            .servers
            .entry(server.to_owned())
            .or_insert_with(|| Held {
                start_ms,
                limit,
                valid_until,
                sent: VecDeque::new(),
            });
        if held.valid_until <= valid_until {
            held.start_ms = start_ms;
            held.limit = limit;
            held.valid_until = valid_until;
        }
        is_new && held.is_valid(start_ms, now)
    }

    /// Returns whether one more request may be sent to a cold server now.
    #[must_use]
    pub fn admits(&self, server: &str, start_ms: u64, now: Instant) -> bool {
        let held = self.servers.get(server);
        held.is_some_and(|held| held.is_valid(start_ms, now) && held.free_at() <= now)
    }

    /// Returns when one more request may be sent to a cold server, `None` without a share that is
    /// valid now.
    #[must_use]
    pub fn free_at(&self, server: &str, start_ms: u64, now: Instant) -> Option<Instant> {
        let held = self.servers.get(server)?;
        held.is_valid(start_ms, now).then(|| held.free_at())
    }

    /// Counts a request to a cold server against the share. Returns the time at which it counts, or
    /// `None` if it may not be sent.
    pub fn take(&mut self, server: &str, start_ms: u64, now: Instant) -> Option<Instant> {
        if !self.admits(server, start_ms, now) {
            return None;
        }
        let held = self.servers.get_mut(server)?;
        held.forget_before(now);
        held.sent.push_back(now);
        Some(now)
    }

    /// Moves a request that was taken at `taken` to the time at which it is written. Returns whether
    /// it may be sent.
    ///
    /// Requests that were taken at different times and are written together would otherwise exceed
    /// the limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_dispatch::warmup::share::Shares;
    /// use tarragon_dispatch::warmup::{Bound, Limit, Rate};
    /// use tarragon_model::time::Instant;
    ///
    /// let taken = Instant::from_millis(60_000);
    /// let rate = Rate { per_s: 1.0, time: Duration::from_secs(20) };
    /// let limit = Limit::new(rate, Bound { overrun: 1.5, slack: 8.0 });
    /// let mut shares = Shares::default();
    /// shares.grant("x", 1, limit, taken, taken);
    /// shares.take("x", 1, taken);
    /// let written = taken + Duration::from_millis(200);
    /// assert!(shares.renew("x", 1, taken, written));
    /// let free_at = shares.free_at("x", 1, written);
    /// assert_eq!(free_at, Some(written + Duration::from_secs(1)));
    /// ```
    pub fn renew(&mut self, server: &str, start_ms: u64, taken: Instant, now: Instant) -> bool {
        let Some(held) = self.servers.get_mut(server) else {
            return false;
        };
        if !held.is_valid(start_ms, now) || taken + held.limit.window <= now {
            return false;
        }
        let Some(index) = held.sent.iter().position(|sent| *sent == taken) else {
            return false;
        };
        held.sent.remove(index);
        held.sent.push_back(now);
        true
    }
}
