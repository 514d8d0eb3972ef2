//! Which backend servers are cold, and whether this host may send requests to them.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use tarragon_model::time::Instant;

use super::{AttemptClass, Criteria, Entry, Fleet, Pick, Refusal, Server};
use crate::warmup::Limit;
use crate::warmup::allocation::Cold;
use crate::warmup::share::Share;

/// Limits on the requests to cold backend servers, by service. There are none for services whose
/// servers bear any load, nor where the settings have no bound.
pub type Limits = HashMap<String, Limit>;

/// Time after which to retry if this host may not send to a cold server: shares change hands, and
/// keys move, within some reports of the hosts.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of hosts assumed until [`Fleet::set_surroundings`] is called.
pub const ASSUMED_HOSTS: u32 = 16;
/// Time after its start within which a server's entry is in the store; 0.87 s at most.
const ENTRY_DELAY: Duration = Duration::from_secs(1);
/// Pause after the first failure to reach a server.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Attempts to reach a server that may have restarted without its entry telling so.
#[derive(Debug)]
pub(super) struct Suspicion {
    /// Number of attempts in a row that failed to reach it.
    failures: u32,
    /// When one request may try it again.
    next_probe: Instant,
    /// When it was first reached again.
    reached_at: Option<Instant>,
}

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

    /// Sets the number of hosts that send to the same servers, and the time as of which the store
    /// confirmed the entries.
    pub fn set_surroundings(&mut self, hosts: u32, confirmed_at: Instant) {
        self.hosts = hosts;
        self.confirmed_at = confirmed_at;
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

    /// Returns those of the servers that may hold keys: the warm ones, or all if none is warm.
    ///
    /// Only one host may send to a cold server, so even a busy warm server serves more of the
    /// requests for a key. Keys move away from a server that turned cold for the same reason.
    pub fn warm_or_all<'a>(
        &self,
        servers: impl Iterator<Item = &'a Server>,
        now: Instant,
    ) -> Vec<&'a Server> {
        let mut servers: Vec<&Server> = servers.collect();
        if servers.iter().any(|server| !self.is_cold(server, now)) {
            servers.retain(|server| !self.is_cold(server, now));
        }
        servers
    }

    /// Adds a share that the granter gave in response to the report with this host's clock at
    /// `reported`. A share of a server without a limit on this host has no effect. Returns whether
    /// this host had no valid share of the server before.
    pub fn grant_share(&mut self, share: &Share, reported: Instant, now: Instant) -> bool {
        let server = self.servers.get(&share.server);
        let limit = server.and_then(|server| self.limits.get(&server.entry.service));
        limit.is_some_and(|limit| {
            let limit = limit.with_rate(share.per_s);
            self.shares
                .grant(&share.server, share.start_ms, limit, reported, now)
        })
    }

    /// Returns whether one more request may be sent to a server, as far as it is cold or may be.
    #[must_use]
    pub fn admits(&self, server: &Server, now: Instant) -> bool {
        let entry = &server.entry;
        if self.is_cold(server, now) {
            self.shares.admits(&entry.id, entry.start_ms, now)
        } else {
            !self.awaits_probe(server, now)
        }
    }

    /// Returns the time after which this host may send one more request to a cold server.
    #[must_use]
    pub fn admits_after(&self, server: &Server, now: Instant) -> Duration {
        let entry = &server.entry;
        let free_at = self.shares.free_at(&entry.id, entry.start_ms, now);
        let free_at = free_at.filter(|_| self.is_cold(server, now));
        free_at.map_or(RETRY_AFTER, |at| at.since(now))
    }

    /// Counts a request that is about to be sent. Returns `None` if the server is cold and this host
    /// may not send to it.
    ///
    /// ```
    /// use std::collections::HashMap;
    /// use std::time::Duration;
    /// use tarragon_dispatch::fleet::{Entry, Fleet, Location};
    /// use tarragon_dispatch::warmup::share::Share;
    /// use tarragon_dispatch::warmup::{Bound, Limit, Rate};
    /// use tarragon_model::time::Instant;
    ///
    /// let now = Instant::from_millis(60_000);
    /// let time = Duration::from_secs(20);
    /// let limit = Limit::new(Rate { per_s: 6.5, time }, Bound { overrun: 1.5, slack: 8.0 });
    /// let mut fleet = Fleet::new(Location { zone: "a1".to_owned(), regions: HashMap::new() });
    /// fleet.set_warmup_limits(HashMap::from([("s".to_owned(), limit)]));
    /// let entry = Entry {
    ///     id: "x".to_owned(),
    ///     start_ms: 1,
    ///     service: "s".to_owned(),
    ///     addr: "127.0.0.1:9".parse().unwrap(),
    ///     zone: "a1".to_owned(),
    ///     slots: 6,
    ///     draining: false,
    ///     warmup: time,
    /// };
    /// fleet.update(entry, 1, now);
    /// let pick = fleet.get("x").unwrap().pick();
    /// assert!(fleet.reserve(&pick, now).is_none());
    /// let share = Share { server: "x".to_owned(), start_ms: 1, per_s: 6.5 };
    /// fleet.grant_share(&share, now, now);
    /// assert!(fleet.reserve(&pick, now).is_some());
    /// ```
    pub fn reserve(&mut self, pick: &Pick, now: Instant) -> Option<Slot> {
        let Some(server) = self.servers.get(&pick.id) else {
            return Some(Slot::Unlimited);
        };
        if !self.is_cold(server, now) {
            return self.probe(&pick.id, now).then_some(Slot::Unlimited);
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

    /// Returns whether a server may have restarted unnoticed, so that it is tried only at long
    /// intervals, and the next try is not due.
    #[must_use]
    pub fn awaits_probe(&self, server: &Server, now: Instant) -> bool {
        let suspicion = self.suspicion(server, now);
        suspicion.is_some_and(|suspicion| now < suspicion.next_probe)
    }

    /// Returns the suspicion against a server, unless it is over: the store has confirmed the entry
    /// after a restart would have changed it, or the server would be warm again by now.
    fn suspicion<'a>(&self, server: &'a Server, now: Instant) -> Option<&'a Suspicion> {
        let suspicion = server.suspicion.as_ref()?;
        let limit = self.limits.get(&server.entry.service)?;
        let over = suspicion.reached_at.is_some_and(|reached| {
            self.confirmed_at >= reached + ENTRY_DELAY || now >= reached + limit.time
        });
        (!over && !self.is_cold(server, now)).then_some(suspicion)
    }

    /// Lets one request try a server that may have restarted unnoticed, if that is due.
    fn probe(&mut self, id: &str, now: Instant) -> bool {
        let Some(server) = self.servers.get(id) else {
            return true;
        };
        if self.suspicion(server, now).is_none() {
            return true;
        }
        let due = !self.awaits_probe(server, now);
        let interval = self.probe_interval(server, now);
        if let Some(server) = self.servers.get_mut(id)
            && let Some(suspicion) = server.suspicion.as_mut().filter(|_| due)
        {
            suspicion.next_probe = now + interval;
        }
        due
    }

    /// Notes the end of an attempt. After two failures to reach a server, the pauses of all hosts
    /// together keep their attempts below the limit for a cold server.
    pub(super) fn note_attempt(&mut self, id: &str, class: AttemptClass, now: Instant) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let failed = class == AttemptClass::Unreachable;
        let relevant = failed || server.suspicion.is_some() && class != AttemptClass::Abandoned;
        let limited = relevant && self.limits.contains_key(&server.entry.service);
        if !limited || self.is_cold(server, now) {
            return;
        }
        let suspected = self.suspicion(server, now).is_some();
        let interval = self.probe_interval(server, now);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if !suspected {
            server.suspicion = None;
        }
        if !failed {
            if let Some(suspicion) = &mut server.suspicion {
                suspicion.reached_at.get_or_insert(now);
            }
            return;
        }
        let suspicion = server.suspicion.get_or_insert(Suspicion {
            failures: 0,
            next_probe: now,
            reached_at: None,
        });
        suspicion.failures += 1;
        suspicion.reached_at = None;
        let pause = if suspicion.failures == 1 {
            FIRST_PAUSE
        } else {
            interval
        };
        suspicion.next_probe = suspicion.next_probe.max(now + pause);
    }

    /// Returns the time to the next try of a server, between half and one and a half times the mean,
    /// so that hosts that failed at the same time do not return together.
    fn probe_interval(&self, server: &Server, now: Instant) -> Duration {
        let limit = self.limits.get(&server.entry.service);
        let mean = limit.map_or(Duration::ZERO, |limit| limit.probe_interval(self.hosts));
        let mut hasher = DefaultHasher::new();
        (&server.entry.id, now.as_micros()).hash(&mut hasher);
        let percent = 50 + u32::try_from(hasher.finish() % 100).unwrap_or_default();
        mean.saturating_mul(percent) / 100
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
    /// Applies the warm-up that a later entry of the same process reports. Returns whether the
    /// server turned cold.
    pub(super) fn update_warmup(&mut self, entry: &Entry, limited: bool, now: Instant) -> bool {
        let was_cold = now < self.cold_until;
        self.suspicion = None;
        self.cold_until = now + entry.warmup;
        if limited {
            self.estimate.set_warmup(self.cold_until);
        }
        limited && !was_cold && now < self.cold_until
    }
}
