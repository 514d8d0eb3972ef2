//! One backend server as a host knows it.

use std::time::Duration;

use tarragon_model::time::Instant;

use super::estimate::Estimate;
use super::warmup::Suspicion;
use super::{Entry, Pick};

/// Fraction of the drain time during which requests are sent to a leaving server. The rest covers
/// the time until a slow host learns of the leave and until a request from there reaches the
/// server.
const DRAIN_PART: f64 = 0.35;

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It accepts new requests.
    Ready,
    /// It is draining or its entry is gone; this host learned so at the given time.
    Leaving(Instant),
}

/// Backend server as this host knows it.
#[derive(Debug)]
pub struct Server {
    /// Its entry.
    pub entry: Entry,
    /// Whether it accepts new requests.
    pub status: Status,
    /// Store revision of the last change to the entry.
    pub revision: u64,
    pub(super) learned_at: Instant,
    pub(super) present: bool,
    /// Since when the entry has been missing, while it may still return.
    pub(super) missing_since: Option<Instant>,
    /// Time until which a missing entry may return.
    pub(super) grace_until: Option<Instant>,
    /// Whether a server that started later uses its address, so that this one has ended.
    pub(super) superseded: bool,
    /// Time until which the server counts as another than the entry says.
    pub(super) denied_until: Option<Instant>,
    /// Time until which the server is cold by its entry.
    pub(super) cold_until: Instant,
    /// Set while the server may have restarted without its entry telling so.
    pub(super) suspicion: Option<Suspicion>,
    pub(super) estimate: Estimate,
}

impl Server {
    /// Returns whether the entry is in the store, as far as this host knows.
    #[must_use]
    pub fn present(&self) -> bool {
        self.present
    }

    /// Returns whether the server may get keys: its entry says that it is ready, and nothing shows
    /// that another server uses its address.
    #[must_use]
    pub fn accepts_keys(&self) -> bool {
        self.present && self.status == Status::Ready && !self.superseded
    }

    /// Returns whether a server that started later uses the address, so that this one has ended.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns whether the process has certainly ended: its entry is gone, and a server that started
    /// later uses its address. While its own entry stands, the entry of the other may be wrong.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.superseded && !self.present
    }

    /// Returns whether attempts to reach the server failed, so that it is not tried now.
    #[must_use]
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.estimate.is_unreachable(now)
    }

    /// Returns the estimated number of requests that run or wait at the server.
    #[must_use]
    pub fn load(&self, now: Instant) -> f64 {
        self.estimate.load(now)
    }

    /// Returns whether the server denied being the one in its entry.
    #[must_use]
    pub fn is_denied(&self, now: Instant) -> bool {
        self.denied_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server still accepts requests that only it can process.
    ///
    /// A server that is leaving, or whose entry is missing, still processes such requests. No
    /// request may reach it later than `drain` after its leave was known, so sending stops well
    /// before.
    #[must_use]
    pub fn accepts_keyed(&self, drain: Duration, now: Instant) -> bool {
        let drain = drain.mul_f64(DRAIN_PART);
        let since = match self.status {
            Status::Ready => self.missing_since,
            Status::Leaving(since) => Some(since),
        };
        !self.superseded && since.is_none_or(|since| now.since(since) < drain)
    }

    /// Returns the time since this host learned of the server's current incarnation.
    #[must_use]
    pub fn known_for(&self, now: Instant) -> Duration {
        now.since(self.learned_at)
    }

    /// Returns the server as the choice for a request.
    #[must_use]
    pub fn pick(&self) -> Pick {
        Pick {
            id: self.entry.id.clone(),
            start_ms: self.entry.start_ms,
            addr: self.entry.addr,
        }
    }

    /// Marks the server as leaving, counted from when its entry was first missing.
    pub(super) fn mark_leaving(&mut self, now: Instant) {
        self.present = false;
        self.grace_until = None;
        let since = self.missing_since.take().unwrap_or(now);
        if self.status == Status::Ready {
            self.status = Status::Leaving(since);
        }
    }
}
