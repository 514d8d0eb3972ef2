//! Backend servers as one host knows them, and the choice of a server for a request.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use tarragon_model::time::Instant;

use crate::evacuation;
use crate::homes::Homes;
use crate::warmup::share::Shares;

mod estimate;
mod evacuated;
mod selection;
mod server;
pub mod warmup;

use self::estimate::Estimate;
pub use self::estimate::{AttemptClass, Load, Observation, Sample};
pub use self::server::{Server, Status};

/// Entry that a backend server publishes about itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Identifier of the backend server.
    pub id: String,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Service whose requests it processes.
    pub service: String,
    /// Address that accepts requests.
    pub addr: SocketAddr,
    /// Failure domain of the server.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Remaining time for which it is slow after its start.
    pub warmup: Duration,
}

/// What an update of an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The backend server was not known.
    New,
    /// The backend server restarted and has lost its state.
    Restarted,
    /// The backend server started or stopped accepting requests.
    Status,
    /// The backend server turned cold without a restart, and requests to cold servers are limited.
    Cold,
    /// Nothing that matters to this host.
    None,
}

/// Location of this host.
#[derive(Clone, Debug)]
pub struct Location {
    /// Failure domain of the host.
    pub zone: String,
    /// Region of each failure domain.
    pub regions: HashMap<String, String>,
}

/// Properties of a request that determine the choice of its backend server.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service that processes the request.
    pub service: &'a str,
    /// Regions whose backend servers may process it.
    pub homes: &'a Homes,
    /// Backend servers that the request was sent to before.
    pub tried: &'a [String],
    /// Time for which its caller still waits.
    pub remaining: Duration,
    /// Time left until the response time objective is missed; zero if it already is.
    pub objective: Duration,
    /// Priority of its route, 0 being the highest.
    pub priority: u32,
    /// Whether its response is known to be large.
    pub large_response: bool,
    /// Size of its body, in bytes.
    pub request_bytes: usize,
    /// Random number between 0 and 1 that breaks ties.
    pub random: f64,
}

impl Criteria<'_> {
    /// Returns the maximum expected response time at a full server, in milliseconds.
    ///
    /// The throughput of a full server does not depend on the length of its queue. Requests that
    /// would be late there only delay others.
    fn allowed_ms(&self) -> f64 {
        let remaining = if self.objective.is_zero() {
            self.remaining
        } else {
            self.remaining.min(self.objective)
        };
        let priority = f64::from(self.priority.min(MAX_PRIORITY));
        remaining.as_secs_f64() * 1_000.0 * (TIME_PART - PRIORITY_STEP * priority)
    }
}

/// Backend server chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Identifier of the backend server.
    pub id: String,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Address that accepts requests.
    pub addr: SocketAddr,
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No backend server of the service accepts requests.
    NoServer,
    /// All servers are so full that the response would be late; retry after this time.
    Overloaded(Duration),
    /// All servers are cold, and this host may send nothing to them now; retry after this time.
    Cold(Duration),
}

/// Time for which an entry that expired while the store was unavailable may still return.
pub const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2_300);
/// Time for which a removed backend server is remembered, for requests that still run there.
const REMOVED_RETENTION: Duration = Duration::from_secs(20);
/// Time after which a backend server that denied being the one in its entry is tried again. It
/// exceeds the time in which the entry of an ended server disappears.
const DENIAL_TIME: Duration = Duration::from_secs(5);
/// Fraction of the remaining time that the expected response time may take at the highest priority.
const TIME_PART: f64 = 0.9;
/// Reduction of that fraction for each lower priority level.
const PRIORITY_STEP: f64 = 0.1;
/// Lowest priority that [`PRIORITY_STEP`] distinguishes.
const MAX_PRIORITY: u32 = 4;
/// Fraction of choices that go to a server of the same region that was never tried.
const EXPLORE_PART: f64 = 0.1;
/// Cost factor of a server that the request was sent to before.
const RETRIED_PENALTY: f64 = 4.0;
/// Cost factor of a server whose entry is missing.
const MISSING_PENALTY: f64 = 50.0;
/// Cost factor of a server to which a connection has to be opened.
const CONNECT_PENALTY: f64 = 1.2;
/// Spread of the noise that keeps hosts from all choosing the same server.
const NOISE_SPREAD: f64 = 0.15;

/// All backend servers that a host knows.
#[derive(Debug)]
pub struct Fleet {
    location: Location,
    servers: BTreeMap<String, Server>,
    /// Services that the catalog names.
    services: BTreeSet<String>,
    baselines: HashMap<String, estimate::Baseline>,
    traffic: HashMap<String, selection::Traffic>,
    lag: Duration,
    evacuation: evacuation::Zones,
    limits: warmup::Limits,
    hosts: u32,
    /// Time as of which the store confirmed the entries.
    confirmed_at: Instant,
    shares: Shares,
}

impl Fleet {
    /// Creates an empty fleet for a host at `location`.
    #[must_use]
    pub fn new(location: Location) -> Self {
        Self {
            location,
            servers: BTreeMap::new(),
            services: BTreeSet::new(),
            baselines: HashMap::new(),
            traffic: HashMap::new(),
            lag: Duration::ZERO,
            evacuation: evacuation::Zones::default(),
            limits: warmup::Limits::new(),
            hosts: warmup::ASSUMED_HOSTS,
            confirmed_at: Instant::ZERO,
            shares: Shares::default(),
        }
    }

    /// Sets how far behind the store subsequent updates may be.
    ///
    /// A leave that is learned late counts from the earliest time at which it may have been known.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Sets the services that the catalog names; an entry of another service is not evidence of
    /// anything, since another program may have written it.
    pub fn set_services<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let services: BTreeSet<String> = names.map(str::to_owned).collect();
        if services == self.services {
            return;
        }
        self.services = services;
        let addresses: BTreeSet<SocketAddr> = self.servers.values().map(|s| s.entry.addr).collect();
        for addr in addresses {
            self.mark_superseded(addr);
        }
    }

    /// Applies a backend server's entry.
    ///
    /// An older revision than the known one is ignored.
    pub fn update(&mut self, entry: Entry, revision: u64, now: Instant) -> Change {
        let status = if entry.draining {
            Status::Leaving(now - self.lag)
        } else {
            Status::Ready
        };
        let Some(known) = self.servers.get_mut(&entry.id) else {
            let estimate = Estimate::new(now + entry.warmup);
            let server = Server {
                status,
                revision,
                learned_at: now,
                present: true,
                missing_since: None,
                grace_until: None,
                superseded: false,
                denied_until: None,
                cold_until: now + entry.warmup,
                suspicion: None,
                estimate,
                entry,
            };
            let addr = server.entry.addr;
            self.servers.insert(server.entry.id.clone(), server);
            self.mark_superseded(addr);
            return Change::New;
        };
        if revision < known.revision {
            return Change::None;
        }
        let mut turned_cold = false;
        if revision > known.revision {
            known.denied_until = None;
            let limited = self.limits.contains_key(&entry.service);
            turned_cold = known.update_warmup(&entry, limited, now);
        }
        known.revision = revision;
        known.present = true;
        known.missing_since = None;
        known.grace_until = None;
        let restarted = known.entry.start_ms != entry.start_ms || known.entry.addr != entry.addr;
        let was_ready = known.status == Status::Ready;
        if restarted {
            known.estimate = Estimate::new(now + entry.warmup);
            known.cold_until = now + entry.warmup;
            known.learned_at = now;
        }
        if restarted || was_ready == entry.draining {
            known.status = status;
        }
        let moved = restarted || known.entry.service != entry.service;
        let before = std::mem::replace(&mut known.entry, entry);
        let addr = known.entry.addr;
        let status_changed = was_ready != (known.status == Status::Ready);
        if moved {
            self.mark_superseded(before.addr);
            self.mark_superseded(addr);
        }
        if restarted {
            Change::Restarted
        } else if status_changed {
            Change::Status
        } else if turned_cold {
            Change::Cold
        } else {
            Change::None
        }
    }

    /// Marks the servers with an address that have ended, since one of them started later: an
    /// address is used again only after its former server has ended.
    fn mark_superseded(&mut self, addr: SocketAddr) {
        let named = |server: &&Server| self.services.contains(&server.entry.service);
        let sharing = self.servers.values().filter(|s| s.entry.addr == addr);
        let latest = sharing.filter(named).map(|s| s.entry.start_ms).max();
        for server in self.servers.values_mut() {
            if server.entry.addr == addr {
                server.superseded = latest.is_some_and(|latest| server.entry.start_ms < latest);
            }
        }
    }

    /// Returns the servers that have ended, since the server `id` started later at their address.
    pub fn superseded_by(&self, id: &str) -> impl Iterator<Item = &Server> {
        let later = self.servers.get(id);
        self.servers.values().filter(move |server| {
            server.superseded
                && later.is_some_and(|later| {
                    !later.superseded
                        && later.entry.addr == server.entry.addr
                        && self.services.contains(&later.entry.service)
                })
        })
    }

    /// Records that a backend server denied being the one in its entry.
    ///
    /// It gets no requests until its entry changes or some seconds have passed.
    pub fn record_denial(&mut self, id: &str, now: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.denied_until = Some(now + DENIAL_TIME);
        }
    }

    /// Records a failure that showed after the request had been recorded as ended.
    pub fn record_failure(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.estimate.record_failure();
        }
    }

    /// Records that a backend server's entry is gone from the store as of `revision`. Returns
    /// whether the server counts as gone now.
    ///
    /// The entry may have expired because the store was unavailable, and come back for `grace`. It
    /// then counts as gone only if it has not returned by the time of [`Fleet::remove_expired`].
    pub fn remove(&mut self, id: &str, revision: u64, grace: Duration, now: Instant) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        if revision < server.revision || !server.present {
            return false;
        }
        server.revision = revision;
        if !grace.is_zero() && server.status == Status::Ready {
            server.missing_since.get_or_insert(now - self.lag);
            server.grace_until.get_or_insert(now + grace);
            return false;
        }
        server.mark_leaving(now - self.lag);
        true
    }

    /// Removes the servers whose grace period is over and returns their identifiers.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<String> {
        let mut gone = Vec::new();
        for (id, server) in &mut self.servers {
            if server.grace_until.is_some_and(|until| now >= until) {
                server.mark_leaving(now);
                gone.push(id.clone());
            }
        }
        self.servers.retain(|_, server| match server.status {
            Status::Leaving(since) if !server.present => now.since(since) < REMOVED_RETENTION,
            _ => true,
        });
        gone
    }

    /// Extends the grace period of expired entries while the store is still unavailable.
    pub fn extend_grace(&mut self, now: Instant) {
        for server in self.servers.values_mut() {
            if server.grace_until.is_some() {
                server.grace_until = Some(now + EXPIRED_ENTRY_GRACE);
            }
        }
    }

    /// Returns the backend server with the given identifier.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns all backend servers, including those that left recently.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Records that a request is sent to a backend server.
    pub fn record_sent(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.estimate.record_sent();
        }
    }

    /// Records how a request at a backend server ended.
    pub fn record_ended(&mut self, id: &str, observation: Observation, now: Instant) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let distance = self.distance(&server.entry.zone);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let slots = server.entry.slots;
        self.traffic
            .entry(server.entry.service.clone())
            .or_default()
            .record(distance, observation.load, observation.class, slots, now);
        let baseline = self
            .baselines
            .entry(server.entry.service.clone())
            .or_default();
        server
            .estimate
            .record_ended(observation, baseline, server.entry.slots, now);
        self.note_attempt(id, observation.class, now);
    }

    /// Returns the processing times collected since the last call, by backend server.
    pub fn take_samples(&mut self) -> Vec<(String, Sample)> {
        let samples = self.servers.iter_mut().filter_map(|(id, server)| {
            let sample = server.estimate.take_sample();
            (sample.count > 0).then(|| (id.clone(), sample))
        });
        samples.collect()
    }

    /// Returns whether a request may be sent to a server, unless it is cold.
    fn is_eligible(&self, server: &Server, criteria: &Criteria<'_>, now: Instant) -> bool {
        server.entry.service == criteria.service
            && server.status == Status::Ready
            && !server.superseded
            && !server.is_denied(now)
            && !server.estimate.is_blocked(now)
            && criteria.homes.allow(self.region(&server.entry.zone))
            && self.may_receive(server, false, now)
    }

    /// Returns the region of a failure domain, if it is known.
    #[must_use]
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.location.regions.get(zone).map(String::as_str)
    }

    /// Returns the time after which to retry if the only server that can process a request would
    /// respond too late, `None` otherwise.
    #[must_use]
    pub fn retry_after(&self, id: &str, criteria: &Criteria<'_>, now: Instant) -> Option<Duration> {
        let server = self.servers.get(id)?;
        let expected_ms = self.expected_ms(server, now);
        let allowed = criteria.allowed_ms();
        if expected_ms <= allowed || !server.estimate.is_full(server.entry.slots, now) {
            return None;
        }
        Some(selection::spread_wait(
            expected_ms - allowed,
            criteria.random,
        ))
    }

    /// Returns the expected response time of one more request at a server, `None` if the server is
    /// not known.
    #[must_use]
    pub fn expected(&self, id: &str, now: Instant) -> Option<Duration> {
        let expected_ms = self.expected_ms(self.servers.get(id)?, now);
        Duration::try_from_secs_f64(expected_ms / 1_000.0).ok()
    }

    fn expected_ms(&self, server: &Server, now: Instant) -> f64 {
        let baseline = self.baselines.get(&server.entry.service);
        let baseline = baseline.copied().unwrap_or_default();
        server
            .estimate
            .expected_ms(&baseline, server.entry.slots, now)
    }

    fn distance(&self, zone: &str) -> estimate::Distance {
        if zone == self.location.zone {
            return estimate::Distance::Zone;
        }
        let regions = &self.location.regions;
        if regions.contains_key(zone) && regions.get(zone) == regions.get(&self.location.zone) {
            estimate::Distance::Region
        } else {
            estimate::Distance::Far
        }
    }
}

/// Derives a number between 0 and 1 for each server from one random number.
fn server_random(random: f64, id: &str) -> f64 {
    let sum = id.bytes().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    (random + f64::from(sum % 1_000) / 1_000.0).fract()
}
