//! What a host believes about backend servers, and which one it sends a request to.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use tarragon_model::time::Instant;

mod belief;

use self::belief::Belief;
pub use self::belief::{AttemptClass, Load, Observation, Sample};

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Identifier of the backend server.
    pub id: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Service whose requests it runs.
    pub service: String,
    /// Address that takes requests.
    pub addr: SocketAddr,
    /// Failure domain in which it stands.
    pub zone: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Time for which it stays slow after its start.
    pub warmup: Duration,
}

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It does.
    Ready,
    /// It is leaving, or its entry is gone, as this host learnt at that time.
    Leaving(Instant),
}

/// Backend server as this host sees it.
#[derive(Debug)]
pub struct Server {
    /// What it says of itself.
    pub entry: Entry,
    /// Whether it takes new requests.
    pub status: Status,
    /// Revision of the store that last changed the entry.
    pub revision: u64,
    learned_at: Instant,
    present: bool,
    /// Since when the entry is missing that may come back.
    missing: Option<Instant>,
    /// Until when it may come back.
    lapsing: Option<Instant>,
    belief: Belief,
}

/// What a new entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The backend server was not known.
    New,
    /// It started anew: it knows nothing of before.
    Restarted,
    /// It takes requests, or ceased to.
    Status,
    /// Nothing that matters here.
    None,
}

/// Where this host stands, and what it may spend.
#[derive(Clone, Debug)]
pub struct Location {
    /// Failure domain of the host.
    pub zone: String,
    /// Region of each failure domain.
    pub regions: HashMap<String, String>,
}

/// A request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service that runs it.
    pub service: &'a str,
    /// Backend servers that it was sent to before.
    pub tried: &'a [String],
    /// Time that its caller still waits.
    pub remaining: Duration,
    /// Time in which an answer still has its full worth.
    pub objective: Duration,
    /// Rank of its route, 0 the highest.
    pub priority: u32,
    /// Whether its answer is known to be large.
    pub large_response: bool,
    /// Number between 0 and 1 that spreads equal choices.
    pub random: f64,
}

impl Criteria<'_> {
    /// Returns how long the request may be expected to take at a full server, in milliseconds.
    ///
    /// A full server runs as many requests a second however many wait for it: those that would be
    /// late there only make others late.
    fn allowed_ms(&self) -> f64 {
        let remaining = if self.objective.is_zero() {
            self.remaining
        } else {
            self.remaining.min(self.objective)
        };
        let priority = f64::from(self.priority.min(RANKS));
        remaining.as_secs_f64() * 1_000.0 * (TIME_PART - RANK_STEP * priority)
    }
}

/// Backend server that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Identifier of the backend server.
    pub id: String,
    /// Start of its process.
    pub start_ms: u64,
    /// Address that takes requests.
    pub addr: SocketAddr,
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no backend server that takes requests.
    NoServer,
    /// All are so full that the answer would come too late; try again after this time.
    Overloaded(Duration),
}

/// Time for which an entry that lapsed while the store was away may still come back.
pub const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2_300);
/// Time for which a backend server that left is remembered, for requests that still run there.
const REMEMBER: Duration = Duration::from_secs(20);
/// Part of the time left that the expected finish may take, for the highest rank.
const TIME_PART: f64 = 0.9;
/// How much less of the time left each lower rank may count on.
const RANK_STEP: f64 = 0.1;
/// Ranks that differ in [`RANK_STEP`].
const RANKS: u32 = 4;
/// Part of the choices that go to a backend server of the region which was never tried.
const EXPLORE: f64 = 0.1;
/// Part of the time that a leaving backend server may be reached in which requests are sent; the
/// rest is for the way of the news to a slow host, and of a request from there to the server.
const DRAIN_PART: f64 = 0.35;
/// How much slower a backend server counts that the request was sent to before.
const AGAIN: f64 = 4.0;
/// How much slower a backend server counts whose entry is missing.
const MISSING: f64 = 50.0;
/// How much slower a backend server counts to which a connection must be opened.
const CONNECT: f64 = 1.2;
/// Spread of the noise that keeps hosts from choosing alike.
const NOISE: f64 = 0.15;

/// All backend servers that a host knows.
#[derive(Debug)]
pub struct Fleet {
    place: Location,
    servers: BTreeMap<String, Server>,
    services: HashMap<String, belief::Norm>,
    lag: Duration,
}

impl Fleet {
    /// Creates an empty fleet for a host that stands at `place`.
    #[must_use]
    pub fn new(place: Location) -> Self {
        Self {
            place,
            servers: BTreeMap::new(),
            services: HashMap::new(),
            lag: Duration::ZERO,
        }
    }

    /// Sets by how much what is learnt from now on may be behind the store.
    ///
    /// A leave that is learnt late counts from when it may have been known.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Takes in what a backend server says of itself.
    ///
    /// An older revision than the one known changes nothing.
    pub fn update(&mut self, entry: Entry, revision: u64, now: Instant) -> Change {
        let status = if entry.draining {
            Status::Leaving(now - self.lag)
        } else {
            Status::Ready
        };
        let Some(known) = self.servers.get_mut(&entry.id) else {
            let belief = Belief::new(now + entry.warmup);
            let server = Server {
                status,
                revision,
                learned_at: now,
                present: true,
                missing: None,
                lapsing: None,
                belief,
                entry,
            };
            self.servers.insert(server.entry.id.clone(), server);
            return Change::New;
        };
        if revision < known.revision {
            return Change::None;
        }
        known.revision = revision;
        known.present = true;
        known.missing = None;
        known.lapsing = None;
        let restarted = known.entry.start_ms != entry.start_ms || known.entry.addr != entry.addr;
        let was_ready = known.status == Status::Ready;
        if restarted {
            known.belief = Belief::new(now + entry.warmup);
            known.learned_at = now;
        }
        if restarted || was_ready == entry.draining {
            known.status = status;
        }
        known.entry = entry;
        match (restarted, was_ready == (known.status == Status::Ready)) {
            (true, _) => Change::Restarted,
            (false, false) => Change::Status,
            (false, true) => Change::None,
        }
    }

    /// Notes that the entry of a backend server is gone from the store at `revision`.
    ///
    /// With `lapse` the entry may have lapsed while the store was away: it counts as gone only
    /// when it has not come back by [`Fleet::remove_expired`].
    pub fn remove(&mut self, id: &str, revision: u64, lapse: bool, now: Instant) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        if revision < server.revision || !server.present {
            return false;
        }
        server.revision = revision;
        if lapse && server.status == Status::Ready {
            server.missing.get_or_insert(now - self.lag);
            server.lapsing.get_or_insert(now + EXPIRED_ENTRY_GRACE);
            return false;
        }
        server.leave(now - self.lag);
        true
    }

    /// Ends the wait for lapsed entries and returns those that are gone now.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<String> {
        let mut gone = Vec::new();
        for (id, server) in &mut self.servers {
            if server.lapsing.is_some_and(|until| now >= until) {
                server.leave(now);
                gone.push(id.clone());
            }
        }
        self.servers.retain(|_, server| match server.status {
            Status::Leaving(since) if !server.present => now.since(since) < REMEMBER,
            _ => true,
        });
        gone
    }

    /// Puts off the return of lapsed entries while the store is still away.
    pub fn store_unavailable(&mut self, now: Instant) {
        for server in self.servers.values_mut() {
            if server.lapsing.is_some() {
                server.lapsing = Some(now + EXPIRED_ENTRY_GRACE);
            }
        }
    }

    /// Returns the backend server of that identifier.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns all backend servers, those that left not long ago among them.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Notes that a request goes to a backend server.
    pub fn record_sent(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.belief.sent();
        }
    }

    /// Notes how a request at a backend server ended.
    pub fn record_ended(&mut self, id: &str, seen: Observation, now: Instant) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let norm = self
            .services
            .entry(server.entry.service.clone())
            .or_default();
        server.belief.ended(seen, norm, server.entry.slots, now);
    }

    /// Returns the times of requests that were served since the last call, by backend server.
    pub fn take_samples(&mut self) -> Vec<(String, Sample)> {
        let samples = self.servers.iter_mut().filter_map(|(id, server)| {
            let sample = server.belief.take_sample();
            (sample.count > 0).then(|| (id.clone(), sample))
        });
        samples.collect()
    }

    /// Chooses the backend server that is expected to end the request first.
    ///
    /// Far ones count as slower by what their answer's bytes cost on the way. `open` tells to which
    /// servers a connection is open that would else idle.
    ///
    /// # Errors
    ///
    /// Why none was chosen; the request has not been sent then.
    pub fn pick(
        &self,
        criteria: &Criteria<'_>,
        open: &dyn Fn(&str) -> bool,
        now: Instant,
    ) -> Result<Pick, Refusal> {
        let norm = self
            .services
            .get(criteria.service)
            .copied()
            .unwrap_or_default();
        let mut best: Option<(f64, f64, &Server)> = None;
        for server in self.servers.values() {
            if server.entry.service != criteria.service || server.status != Status::Ready {
                continue;
            }
            if server.belief.blocked(now) {
                continue;
            }
            let untried = !criteria.tried.contains(&server.entry.id);
            let distance = self.distance(&server.entry.zone);
            let near = distance != belief::Distance::Far;
            if untried && near && server.belief.fresh() && criteria.random < EXPLORE {
                return Ok(server.pick());
            }
            let finish = server.belief.finish(&norm, server.entry.slots, now);
            let again = if untried { 1.0 } else { AGAIN };
            let missing = if server.missing.is_some() {
                MISSING
            } else {
                1.0
            };
            let noise = 1.0 + NOISE * spread(criteria.random, &server.entry.id);
            let connect = if open(&server.entry.id) { 1.0 } else { CONNECT };
            let far = norm.far(distance, criteria.large_response);
            let cost = (finish * connect + far) * again * missing * noise;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, finish, server));
            }
        }
        let Some((_, finish, server)) = best else {
            return Err(Refusal::NoServer);
        };
        let allowed = criteria.allowed_ms();
        if finish > allowed && server.belief.full(server.entry.slots, now) {
            let over = (finish - allowed).clamp(100.0, 2_000.0);
            return Err(Refusal::Overloaded(Duration::from_secs_f64(over / 1_000.0)));
        }
        Ok(server.pick())
    }

    /// Tells whether the only backend server for a request would answer too late, and when to
    /// come back.
    #[must_use]
    pub fn retry_after(&self, id: &str, criteria: &Criteria<'_>, now: Instant) -> Option<Duration> {
        let server = self.servers.get(id)?;
        let norm = self
            .services
            .get(criteria.service)
            .copied()
            .unwrap_or_default();
        let finish = server.belief.finish(&norm, server.entry.slots, now);
        let allowed = criteria.allowed_ms();
        if finish <= allowed || !server.belief.full(server.entry.slots, now) {
            return None;
        }
        let over = (finish - allowed).clamp(100.0, 2_000.0);
        Some(Duration::from_secs_f64(over / 1_000.0))
    }

    fn distance(&self, zone: &str) -> belief::Distance {
        if zone == self.place.zone {
            return belief::Distance::Zone;
        }
        let regions = &self.place.regions;
        if regions.contains_key(zone) && regions.get(zone) == regions.get(&self.place.zone) {
            belief::Distance::Region
        } else {
            belief::Distance::Far
        }
    }
}

impl Server {
    /// Tells whether the entry is in the store, as far as this host knows.
    #[must_use]
    pub fn present(&self) -> bool {
        self.present
    }

    /// Tells whether new requests may go there, for work that only this server can do.
    ///
    /// A server that leaves, or whose entry is missing, still runs such work. No request may reach
    /// it later than `drain` after its leave was known, so sending ceases well before.
    #[must_use]
    pub fn accepts_keyed(&self, drain: Duration, now: Instant) -> bool {
        let drain = drain.mul_f64(DRAIN_PART);
        let since = match self.status {
            Status::Ready => self.missing,
            Status::Leaving(since) => Some(since),
        };
        since.is_none_or(|since| now.since(since) < drain)
    }

    /// Returns the time since this host learnt of this life of the server.
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

    /// Counts the server as leaving, from when its entry was missing first.
    fn leave(&mut self, now: Instant) {
        self.present = false;
        self.lapsing = None;
        let since = self.missing.take().unwrap_or(now);
        if self.status == Status::Ready {
            self.status = Status::Leaving(since);
        }
    }
}

/// Spreads one throw of the dice over the servers.
fn spread(dice: f64, id: &str) -> f64 {
    let sum = id.bytes().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    (dice + f64::from(sum % 1_000) / 1_000.0).fract()
}
