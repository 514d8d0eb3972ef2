//! The granter's choice of the one host that sends to each cold backend server.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::time::Instant;

use super::Limit;
use super::share::{Share, VALIDITY};

/// Time without a report after which a host gets no further shares: three reports are missing.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Cold backend server.
#[derive(Clone, Copy, Debug)]
pub struct Cold<'a> {
    /// Identifier of the server.
    pub server: &'a str,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Failure domain of the server.
    pub zone: &'a str,
    /// Limit on the requests of one host to it.
    pub limit: Limit,
}

/// Report of a host, as far as it concerns shares.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// Identifier of the host's process. A process that starts anew has forgotten what the one
    /// before sent, so it counts as another host.
    pub host: &'a str,
    /// Failure domain of the host.
    pub zone: &'a str,
    /// Clock of the host when it sent the report.
    pub clock: Instant,
}

/// Shares that one granter gives.
#[derive(Debug)]
pub struct Allocation {
    started: Instant,
    hosts: BTreeMap<String, Host>,
    servers: BTreeMap<String, Server>,
}

#[derive(Debug)]
struct Host {
    zone: String,
    clock: Instant,
    reported_at: Instant,
    /// Cold servers that the host sends to.
    servers: SmallVec<[String; 2]>,
}

#[derive(Debug)]
struct Server {
    start_ms: u64,
    limit: Limit,
    cold: bool,
    /// Host that got the latest share.
    sender: Option<String>,
    /// Until when a request that the latest share allowed may count at the server.
    held_until: Instant,
}

impl Allocation {
    /// Creates the allocation of a granter that was elected at `started`.
    ///
    /// An earlier granter's shares may still be in use, so it gives none until they have expired.
    #[must_use]
    pub const fn new(started: Instant) -> Self {
        Self {
            started,
            hosts: BTreeMap::new(),
            servers: BTreeMap::new(),
        }
    }

    /// Notes a host's report. Returns the shares that are the response to it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::collections::HashMap;
    /// use tarragon_dispatch::warmup::allocation::{Allocation, Cold, Report};
    /// use tarragon_dispatch::warmup::{Bound, Limit, Rate};
    /// use tarragon_model::time::Instant;
    ///
    /// let rate = Rate { per_s: 6.5, time: Duration::from_secs(20) };
    /// let limit = Limit::new(rate, Bound { overrun: 1.5, slack: 8.0 });
    /// let cold = Cold { server: "x", start_ms: 1, zone: "a1", limit };
    /// let report = Report { host: "h/1", zone: "a1", clock: Instant::from_millis(1) };
    /// let elected = Instant::from_millis(60_000);
    /// let mut allocation = Allocation::new(elected);
    /// allocation.update([cold].into_iter(), &HashMap::new(), elected);
    /// assert!(allocation.report(report, elected).is_empty());
    /// let later = elected + Duration::from_secs(4);
    /// allocation.report(report, later);
    /// allocation.update([cold].into_iter(), &HashMap::new(), later);
    /// assert_eq!(allocation.report(report, later)[0].server, "x");
    /// ```
    pub fn report(&mut self, report: Report<'_>, now: Instant) -> Vec<Share> {
        if let Some(host) = self.hosts.get_mut(report.host) {
            host.clock = host.clock.max(report.clock);
            host.reported_at = now;
            if host.zone != report.zone {
                report.zone.clone_into(&mut host.zone);
            }
        } else {
            let host = Host {
                zone: report.zone.to_owned(),
                clock: report.clock,
                reported_at: now,
                servers: SmallVec::new(),
            };
            self.hosts.insert(report.host.to_owned(), host);
        }
        self.shares(report.host, now)
    }

    /// Chooses a sender for each cold server that has none, and drops those that became warm.
    /// A sender that no longer reports is replaced once its share has expired. Returns the hosts that were chosen.
    ///
    /// `regions` names the region of each failure domain.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::collections::HashMap;
    /// use tarragon_dispatch::warmup::allocation::{Allocation, Choice, Cold, Report};
    /// use tarragon_dispatch::warmup::{Bound, Limit, Rate};
    /// use tarragon_model::time::Instant;
    ///
    /// let rate = Rate { per_s: 6.5, time: Duration::from_secs(20) };
    /// let limit = Limit::new(rate, Bound { overrun: 1.5, slack: 8.0 });
    /// let cold = Cold { server: "x", start_ms: 1, zone: "a1", limit };
    /// let now = Instant::from_millis(60_000);
    /// let mut allocation = Allocation::new(Instant::ZERO);
    /// for (host, zone) in [("h/1", "b1"), ("i/1", "a1")] {
    ///     allocation.report(Report { host, zone, clock: now }, now);
    /// }
    /// let chosen = allocation.update([cold].into_iter(), &HashMap::new(), now);
    /// assert_eq!(chosen, [Choice { server: "x".to_owned(), host: "i/1".to_owned() }]);
    /// let later = now + Duration::from_millis(500);
    /// assert!(allocation.update([cold].into_iter(), &HashMap::new(), later).is_empty());
    /// ```
    pub fn update<'a>(
        &mut self,
        cold: impl Iterator<Item = Cold<'a>>,
        regions: &HashMap<String, String>,
        now: Instant,
    ) -> Vec<Choice> {
        self.hosts
            .retain(|_, host| now.since(host.reported_at) < REPORT_TIMEOUT);
        for server in self.servers.values_mut() {
            server.cold = false;
        }
        let mut chosen = Vec::new();
        for cold in cold {
            if let Some(choice) = self.update_server(&cold, regions, now) {
                chosen.push(choice);
            }
        }
        for (id, server) in self.servers.iter().filter(|(_, server)| !server.cold) {
            let sender = server.sender.as_ref();
            if let Some(host) = sender.and_then(|sender| self.hosts.get_mut(sender)) {
                host.servers.retain(|assigned| assigned != id);
            }
        }
        self.servers
            .retain(|_, server| server.cold || now < server.held_until);
        chosen
    }

    fn update_server(
        &mut self,
        cold: &Cold<'_>,
        regions: &HashMap<String, String>,
        now: Instant,
    ) -> Option<Choice> {
        let started = self.started;
        let server = self
            .servers
            .entry(cold.server.to_owned())
            .or_insert_with(|| Server {
                start_ms: cold.start_ms,
                limit: cold.limit,
                cold: true,
                sender: None,
                held_until: started + VALIDITY + cold.limit.window,
            });
        server.cold = true;
        server.start_ms = cold.start_ms;
        server.limit = cold.limit;
        let sender = server.sender.as_ref();
        if let Some(host) = sender.and_then(|sender| self.hosts.get_mut(sender)) {
            // The host may have paused its reports, or the server have been warm in between.
            if !host.servers.iter().any(|id| id == cold.server) {
                host.servers.push(cold.server.to_owned());
            }
            return None;
        }
        if now < server.held_until {
            return None;
        }
        let (name, host) = choose(&mut self.hosts, cold, regions)?;
        host.servers.push(cold.server.to_owned());
        server.sender = Some(name.clone());
        Some(Choice {
            server: cold.server.to_owned(),
            host: name.clone(),
        })
    }

    /// Returns the shares of a host with the clock of its latest report, which they are sent with.
    pub fn renew(&mut self, host: &str, now: Instant) -> Option<(Instant, Vec<Share>)> {
        let clock = self.hosts.get(host)?.clock;
        Some((clock, self.shares(host, now)))
    }

    fn shares(&mut self, host: &str, now: Instant) -> Vec<Share> {
        let Some(host) = self.hosts.get(host) else {
            return Vec::new();
        };
        let servers = &mut self.servers;
        let shares = host.servers.iter().filter_map(|id| {
            let server = servers.get_mut(id)?;
            // The share is valid from the report on, which is earlier. The last requests under it
            // count for one window more.
            let until = now + VALIDITY + server.limit.window;
            server.held_until = server.held_until.max(until);
            Some(Share {
                server: id.clone(),
                start_ms: server.start_ms,
                per_s: server.limit.per_s,
            })
        });
        shares.collect()
    }
}

/// Host chosen as the sender to a cold server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Identifier of the server.
    pub server: String,
    /// Identifier of the host's process.
    pub host: String,
}

/// Chooses a host in the zone of the server, otherwise in its region, otherwise any. Rendezvous
/// hashing spreads the servers over hosts alike.
fn choose<'a>(
    hosts: &'a mut BTreeMap<String, Host>,
    cold: &Cold<'_>,
    regions: &HashMap<String, String>,
) -> Option<(&'a String, &'a mut Host)> {
    let region = regions.get(cold.zone);
    hosts.iter_mut().max_by_key(|(name, host)| {
        let near = if host.zone == cold.zone {
            2
        } else {
            u8::from(region.is_some() && regions.get(&host.zone) == region)
        };
        (near, score(name, cold.server))
    })
}

fn score(host: &str, server: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (host, server).hash(&mut hasher);
    hasher.finish()
}
