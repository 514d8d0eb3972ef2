//! Which backend servers are cold.

use std::collections::HashMap;

use tarragon_model::time::Instant;

use super::{Entry, Fleet, Server};
use crate::warmup::Limit;

/// Limits on the requests to cold backend servers, by service. There are none for services whose
/// servers bear any load, nor where the settings have no bound.
pub type Limits = HashMap<String, Limit>;

impl Fleet {
    /// Sets the limits on requests to cold backend servers.
    pub fn set_warmup_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns whether a server is cold and the requests to it are limited.
    #[must_use]
    pub fn is_cold(&self, server: &Server, now: Instant) -> bool {
        now < server.cold_until && self.limits.contains_key(&server.entry.service)
    }
}

impl Server {
    /// Returns until when the server is cold by its entry, whether or not that limits requests.
    #[must_use]
    pub const fn cold_until(&self) -> Instant {
        self.cold_until
    }

    /// Applies the warm-up that a later entry of the same process reports. Returns whether the
    /// server turned cold.
    pub(super) fn update_warmup(&mut self, entry: &Entry, limited: bool, now: Instant) -> bool {
        let was_cold = now < self.cold_until;
        self.cold_until = now + entry.warmup;
        if limited {
            self.estimate.set_warmup(self.cold_until);
        }
        limited && !was_cold && now < self.cold_until
    }
}
