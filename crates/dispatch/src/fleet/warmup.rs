//! Which backend servers are cold, and whether this host may send requests to them.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_model::time::Instant;

use super::{Criteria, Entry, Fleet, Pick, Refusal, Server};
use crate::warmup::Limit;
use crate::warmup::allocation::Cold;
use crate::warmup::share::Share;

/// Limits on the requests to cold backend servers, by service. There are none for services whose
/// servers bear any load, nor where the settings have no bound.
pub type Limits = HashMap<String, Limit>;

/// Time after which to retry if this host may not send to a cold server: shares change hands, and
/// keys move, within some reports of the hosts.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Permission for one request to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// The server was not cold.
    Unlimited,
    /// The request counts against this host's share since this time.
    Counted(Instant),
}

impl Fleet {
    /// Sets the limits on requests to cold backend servers.
    pub fn set_warmup_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns whether requests to cold servers of any service are limited.
    #[must_use]
    pub fn limits_warmup(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Returns whether a server is cold and the requests to it are limited.
    #[must_use]
    pub fn is_cold(&self, server: &Server, now: Instant) -> bool {
        let limit = self.limits.get(&server.entry.service);
        limit.is_some_and(|limit| now < self.cold_until(server, limit))
    }

    /// Returns until when a server counts as cold.
    ///
    /// The servers of an evacuated zone may have turned cold shortly before its return, which their
    /// entries tell only later.
    fn cold_until(&self, server: &Server, limit: &Limit) -> Instant {
        let returned = self.evacuation.returned_at(&server.entry.zone);
        let assumed = returned.map_or(Instant::ZERO, |at| at + limit.time);
        server.cold_until.max(assumed)
    }

    /// Returns the cold servers whose entry is in the store.
    pub fn cold(&self, now: Instant) -> impl Iterator<Item = Cold<'_>> {
        let servers = self.servers.values().filter(|server| server.present);
        servers.filter_map(move |server| {
            let limit = self.limits.get(&server.entry.service)?;
            (now < self.cold_until(server, limit)).then_some(Cold {
                server: &server.entry.id,
                start_ms: server.entry.start_ms,
                zone: &server.entry.zone,
                limit: *limit,
            })
        })
    }

    /// Adds a share that the granter gave in response to the report with this host's clock at
    /// `reported`. A share of a server without a limit on this host has no effect.
    pub fn grant_share(&mut self, share: &Share, reported: Instant, now: Instant) {
        let server = self.servers.get(&share.server);
        let limit = server.and_then(|server| self.limits.get(&server.entry.service));
        if let Some(limit) = limit {
            let limit = limit.with_rate(share.per_s);
            self.shares
                .grant(&share.server, share.start_ms, limit, reported, now);
        }
    }

    /// Returns whether one more request may be sent to a server, as far as its being cold decides.
    #[must_use]
    pub fn admits(&self, server: &Server, now: Instant) -> bool {
        let entry = &server.entry;
        !self.is_cold(server, now) || self.shares.admits(&entry.id, entry.start_ms, now)
    }

    /// Returns the time after which this host may send one more request to a cold server.
    #[must_use]
    pub fn admits_after(&self, server: &Server, now: Instant) -> Duration {
        let entry = &server.entry;
        let free_at = self.shares.free_at(&entry.id, entry.start_ms, now);
        free_at.map_or(RETRY_AFTER, |at| at.since(now))
    }

    /// Counts a request that is about to be sent. Returns `None` if the server is cold and this host
    /// may not send to it.
    pub fn reserve(&mut self, pick: &Pick, now: Instant) -> Option<Slot> {
        let Some(server) = self.servers.get(&pick.id) else {
            return Some(Slot::Unlimited);
        };
        if !self.is_cold(server, now) {
            return Some(Slot::Unlimited);
        }
        let taken = self.shares.take(&pick.id, server.entry.start_ms, now)?;
        Some(Slot::Counted(taken))
    }

    /// Counts a request at the time at which it is written. Returns whether it may still be sent.
    pub fn confirm(&mut self, pick: &Pick, slot: &mut Slot, now: Instant) -> bool {
        let Some(server) = self.servers.get(&pick.id) else {
            return true;
        };
        let start_ms = server.entry.start_ms;
        let permitted = match *slot {
            _ if !self.is_cold(server, now) => return true,
            Slot::Unlimited => self.shares.take(&pick.id, start_ms, now).is_some(),
            Slot::Counted(taken) => self.shares.renew(&pick.id, start_ms, taken, now),
        };
        *slot = Slot::Counted(now);
        permitted
    }

    /// Returns why no server was chosen.
    pub(super) fn refusal(&self, criteria: &Criteria<'_>, now: Instant) -> Refusal {
        let servers = self.servers.values();
        let cold = servers.filter(|server| self.is_eligible(server, criteria, now));
        let after = cold.map(|server| self.admits_after(server, now)).min();
        after.map_or(Refusal::NoServer, Refusal::Cold)
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
