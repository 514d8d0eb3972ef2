//! Granter election, and the exchange of state between hosts.
//!
//! One record in the store names the granter, which renews it. A host that hears no granter reads
//! the record, and claims it by a conditional update once it has not been renewed for some time.
//! Hosts that hear the granter do not read the record.
//!
//! The record's version after a claim is the new granter's term. Each renewal raises the version,
//! so a later granter's version is always higher.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tarragon_model::time::Instant;
use tarragon_owner::votes::Pledge;
use tarragon_store::api::Api;
use tarragon_store::error::Error;
use tarragon_store::object::{Era, Key, Version};
use tarragon_store::update::{Token, WriteOutcome};
use tokio::sync::mpsc::{self, Receiver, UnboundedSender};

use self::elected::Elected;
use self::transit::Transits;
use crate::cluster::Cache;
use crate::granting::{Delivery, Update};
use crate::lag;
use crate::peer::{Event, Frame, Links};
use crate::state::State;

mod elected;
mod evacuation;
mod links;
mod report;
mod restored;
mod store;
pub mod transit;
mod warmup;

/// Store object that names the granter.
const RECORD_KEY: Key<'static> = Key {
    kind: "tarragon-offices",
    name: "granter",
};
/// Time between two checks for due work.
const TICK: Duration = Duration::from_millis(50);
/// Time between two heartbeats of the granter to the other hosts.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a heartbeat after which a host searches for another granter.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two renewals of the record.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which a searching host must see the record unrenewed before it claims it.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Age of the latest confirmation of its term up to which a granter sends commands. It is below
/// [`RENEWAL_TIMEOUT`], so the granter stops before another host takes over.
const CONFIRMATION_TTL: Duration = Duration::from_secs(1);
/// Time for which at least half of its voters must follow another host before an earlier granter
/// has certainly stopped: [`CONFIRMATION_TTL`] plus a margin for messages on their way.
const BLOCKED_TIME: Duration = Duration::from_millis(1_200);
/// Time between two ticks after which a granter counts as frozen in between.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(700);
/// Time between two reads of the record by a searching host.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Number of hosts for which a searching host waits one [`READ_INTERVAL`] between its reads. It
/// waits eight intervals at most. The wait limits the reads of all searching hosts together.
const HOSTS_PER_READ: u32 = 16;
/// How much longer a weak host waits before it claims the record.
const WEAK_HOST_DELAY: Duration = Duration::from_millis(600);
/// Fraction of the strongest host's processor below which a host is weak.
const WEAK_CORES_RATIO: f64 = 0.8;
/// Least value assumed for the strongest host's processor until a granter reports it, in cores; a
/// smaller host counts as weak.
const DEFAULT_MAX_CORES: f64 = 0.2;
/// Time between two reads of plans by a host that has no key maps.
const PLAN_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two attempts to connect to a host.
const DIAL_INTERVAL: Duration = Duration::from_millis(600);
/// Time between two reports to the granter.
const REPORT_INTERVAL: Duration = Duration::from_millis(350);
/// Time between two requests for missing state to other hosts.
const STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Age of the granter's cluster state, in milliseconds, after which a host that reaches the store
/// searches for another granter, since this one is cut off from the store.
const MAX_GRANTER_STATE_AGE_MS: u64 = 3_500;
/// Time for which a host is counted after its link went down.
const HOST_TTL: Duration = Duration::from_secs(10);

/// Election record in the store, which names the granter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Unique text of the write attempt.
    pub token: String,
    /// Host that is the granter.
    pub host: String,
    /// Its control address.
    pub address: SocketAddr,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Whether the granter has stepped down.
    pub vacant: bool,
    /// Processes whose majority can confirm the term while the granter does not reach the store.
    #[serde(default)]
    pub voters: Vec<String>,
    /// Earlier granters that are not known to have stopped.
    #[serde(default, rename = "former")]
    pub predecessors: Vec<Process>,
    /// Era of the store that the writer knew.
    #[serde(default, skip_serializing_if = "restored::is_unknown")]
    pub era: Era,
}

/// Process of a host that is or was the granter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Name of the host.
    pub host: String,
    /// Its control address.
    pub address: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Processes whose majority could confirm its term.
    pub voters: Vec<String>,
}

impl Process {
    fn id(&self) -> String {
        process_id(&self.host, self.incarnation)
    }
}

impl Record {
    /// Returns the identifier of the process that is or was the granter.
    fn process_id(&self) -> String {
        process_id(&self.host, self.incarnation)
    }
}

impl Token for Record {
    fn token(&self) -> &str {
        &self.token
    }
}

/// Result of a store call about the election record.
enum StoreResponse {
    Read(Result<Option<(Version, Record)>, Error>),
    /// Result of a claim of the record.
    Claimed {
        /// When it was sent.
        sent: Instant,
        /// Version that it expected.
        expected: Version,
        result: Result<WriteOutcome<Record>, Error>,
    },
    /// Result of a renewal.
    Renewed {
        /// Term of the granter that sent it.
        term: Version,
        /// When it was sent.
        sent: Instant,
        /// Number of its proposal of voters.
        proposal: u64,
        /// Voters that it was to write.
        voters: Vec<String>,
        result: Result<WriteOutcome<Record>, Error>,
    },
}

enum Role {
    /// This host hears no granter.
    Searching,
    /// This host hears another host that is the granter.
    Following(Followed),
    /// This host is the granter.
    Granting(Box<Elected>),
}

/// Granter that this host follows, as of its latest heartbeat.
struct Followed {
    link: u64,
    /// Version of its election record.
    record_version: u64,
    /// When the heartbeat was read.
    last_heartbeat: Instant,
    /// Clock of the granter when it sent the heartbeat, in microseconds.
    sent_us: u64,
    /// Age of its cluster state, in milliseconds.
    state_age_ms: u64,
}

/// Other end of a link.
struct Peer {
    /// Name of the host; empty until the link is up.
    host: String,
    /// Incarnation of its process.
    incarnation: u64,
    /// Connection attempt that led to the link, unless the other host opened it.
    dialled: Option<Dial>,
}

/// Attempt of this host to open a link.
#[derive(Clone, Copy)]
struct Dial {
    address: SocketAddr,
    started: Instant,
}

/// Takes part in the election for one host.
pub struct Participant {
    state: Rc<State>,
    cluster: Rc<Cache>,
    links: Rc<Links>,
    api: Rc<dyn Api>,
    role: Role,
    record: Option<(Version, Record)>,
    /// When the present version of the record was first seen.
    record_seen: Instant,
    /// When the process that the record names was first seen in it.
    process_seen: Instant,
    last_read: Instant,
    last_plan_read: Instant,
    /// Whether a read or a claim of the record is on its way.
    call_pending: bool,
    /// Latest granter that this process has followed or been.
    pledge: Pledge,
    /// Whether the process that the record names is known to have ended.
    granter_gone: bool,
    /// Processor of the strongest host, in cores, as the granter last reported it.
    max_cores: f64,
    last_dials: HashMap<SocketAddr, Instant>,
    /// Other ends of the links, by link number; links that are being established are among them.
    peers: HashMap<u64, Peer>,
    transits: Transits,
    /// Hosts that were linked lately, and when last.
    hosts: HashMap<String, Instant>,
    last_report: Instant,
    last_state_request: Instant,
    /// Shares of cold servers that this host gives while it is the granter.
    warmup: warmup::Granter,
    /// Whether the process is about to end; it makes no claim then.
    leaving: bool,
    store_responses: UnboundedSender<StoreResponse>,
    completions: UnboundedSender<Delivery>,
}

/// Takes part in the election until the process ends.
pub async fn run(
    state: Rc<State>,
    cluster: Rc<Cache>,
    links: Rc<Links>,
    api: Rc<dyn Api>,
    mut events: Receiver<Event>,
) {
    let (store_responses, mut received_responses) = mpsc::unbounded_channel();
    let (completions, mut received_completions) = mpsc::unbounded_channel();
    let now = state.now();
    let mut participant = Participant {
        state: state.clone(),
        cluster,
        links,
        api,
        role: Role::Searching,
        record: None,
        record_seen: now,
        process_seen: now,
        last_read: Instant::ZERO,
        last_plan_read: now,
        call_pending: false,
        pledge: Pledge::default(),
        granter_gone: false,
        max_cores: state.settings.cores.max(DEFAULT_MAX_CORES),
        last_dials: HashMap::new(),
        peers: HashMap::new(),
        transits: Transits::default(),
        hosts: HashMap::new(),
        last_report: now,
        last_state_request: now,
        warmup: warmup::Granter::default(),
        leaving: false,
        store_responses,
        completions,
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut lag = lag::Monitor::default();
    loop {
        tokio::select! {
            () = state.leaving.cancelled(), if !participant.leaving => {
                participant.leaving = true;
                participant.step_down_if_due().await;
            }
            () = state.stop.cancelled() => return,
            Some(event) = events.recv() => participant.on_event(event),
            Some(response) = received_responses.recv() => participant.on_store_response(response),
            Some(completion) = received_completions.recv() => participant.on_completion(completion),
            due = ticks.tick() => {
                // Stepping down waits for the store, which is no lag.
                if !participant.leaving {
                    lag.record(&state.metrics, due, tokio::time::Instant::now());
                }
                participant.tick();
                participant.step_down_if_due().await;
            }
        }
    }
}

impl Participant {
    fn tick(&mut self) {
        let now = self.state.now();
        self.count_hosts(now);
        self.update_surroundings(now);
        if self.cluster.store_unavailable() {
            self.request_state(None);
        }
        if !matches!(self.role, Role::Granting(_)) {
            // Only the granter sends changes on, since every host hears it; others drop them.
            self.cluster.take_delta(now);
        }
        match &mut self.role {
            Role::Granting(_) => self.tick_granter(now),
            Role::Following(followed) => {
                let (link, last_heartbeat, age) = (
                    followed.link,
                    followed.last_heartbeat,
                    followed.state_age_ms,
                );
                let cut_off = age > MAX_GRANTER_STATE_AGE_MS && !self.cluster.store_unavailable();
                if now.since(last_heartbeat) > HEARTBEAT_TIMEOUT || cut_off {
                    self.search(now);
                }
                if now.since(self.last_report) >= REPORT_INTERVAL {
                    self.last_report = now;
                    let report = self.take_report();
                    self.links.send(link, &report);
                }
            }
            Role::Searching => self.search(now),
        }
    }

    /// Looks for the granter in the store, and at hosts that may know it.
    fn search(&mut self, now: Instant) {
        if !self.call_pending && now.since(self.last_read) >= self.read_interval() {
            self.last_read = now;
            self.call_pending = true;
            self.read_record();
        }
        self.read_plans(now);
        let granter = self.record.as_ref().map(|(_, record)| record.address);
        let mut targets: Vec<SocketAddr> = granter.into_iter().collect();
        if self.cluster.store_unavailable() {
            targets.extend(&self.state.settings.seeds);
        }
        for address in targets {
            self.dial(address, now);
        }
    }

    /// Returns the time between two reads of the record by this host while it searches.
    fn read_interval(&self) -> Duration {
        READ_INTERVAL * (self.state.host_count.get() / HOSTS_PER_READ).clamp(1, 8)
    }

    /// Reads the plans of services whose key maps this host lacks.
    fn read_plans(&mut self, now: Instant) {
        if now.since(self.last_plan_read) < PLAN_READ_INTERVAL {
            return;
        }
        self.last_plan_read = now;
        for service in &self.state.catalog().services {
            if !service.keyed || self.state.with_key_map(&service.name, |_| ()).is_some() {
                continue;
            }
            let (state, api, name) = (self.state.clone(), self.api.clone(), service.name.clone());
            tokio::task::spawn_local(async move { store::read_plan(&state, &*api, &name).await });
        }
    }

    fn dial(&mut self, address: SocketAddr, now: Instant) {
        let linked = self
            .peers
            .values()
            .any(|peer| peer.dialled.is_some_and(|dial| dial.address == address));
        let recent = self
            .last_dials
            .get(&address)
            .is_some_and(|at| now.since(*at) < DIAL_INTERVAL);
        if linked || recent || address == self.state.settings.control {
            return;
        }
        self.last_dials.insert(address, now);
        let link = self.links.dial(address);
        self.peers.insert(
            link,
            Peer {
                host: String::new(),
                incarnation: 0,
                dialled: Some(Dial {
                    address,
                    started: now,
                }),
            },
        );
    }

    /// Requests the state that this host lacks: on `link`, or else from the granter, or else from
    /// any host.
    ///
    /// Requests are spaced out, as a response may take long on a narrow link.
    fn request_state(&mut self, link: Option<u64>) {
        let now = self.state.now();
        if now.since(self.last_state_request) < STATE_REQUEST_INTERVAL {
            return;
        }
        let granter = match &self.role {
            Role::Following(followed) => Some(followed.link),
            Role::Searching | Role::Granting(_) => None,
        };
        let up = self.peers.iter().filter(|(_, peer)| !peer.host.is_empty());
        let any = || up.map(|(link, _)| *link).choose(&mut rand::rng());
        let Some(link) = link.or(granter).or_else(any) else {
            return;
        };
        self.last_state_request = now;
        let (catalog, entries) = self.cluster.revisions(&self.state);
        let request = Frame::StateRequest {
            catalog,
            entries,
            evacuations: self.state.fleet.borrow().evacuation().revision(),
            keys: self.state.key_map_versions(),
        };
        self.links.send(link, &request);
    }

    /// Does the due work of the granter.
    fn tick_granter(&mut self, now: Instant) {
        let report = (now.since(self.last_report) >= REPORT_INTERVAL).then(|| {
            self.last_report = now;
            self.take_report()
        });
        if let Some(Frame::Report {
            traffic,
            served,
            crashes,
            overload,
            ..
        }) = report
        {
            self.apply_report(&traffic, &served, &overload, crashes);
        }
        let Role::Granting(elected) = &mut self.role else {
            return;
        };
        let own = process_id(&self.state.settings.host, self.state.incarnation);
        elected.count_own_voters(now);
        let confirmed = elected.is_confirmed(&own, now);
        elected.drop_blocked_predecessors(&own, now);
        let exclusive_until = elected.exclusive_until();
        for (service, update) in elected.grants.tick(confirmed, exclusive_until, now) {
            match update {
                Update::Map(map) => {
                    self.state.update_key_map(&service, map.clone());
                    self.links.broadcast(&Frame::Keys { service, map });
                }
                Update::Patch(patch) => {
                    self.state.patch_key_map(&service, &patch);
                    self.links.broadcast(&Frame::KeysPatch { service, patch });
                }
            }
        }
        if let Some(delta) = self.cluster.take_delta(now) {
            self.links.broadcast(&Frame::StateDelta(delta));
        }
        if now.since(elected.last_heartbeat) >= HEARTBEAT_INTERVAL {
            elected.last_heartbeat = now;
            let heartbeat = heartbeat(&self.state, &self.cluster, elected, self.hosts.len());
            self.links.broadcast(&heartbeat);
        }
        let predecessors: Vec<Process> = elected
            .predecessors
            .iter()
            .map(|p| p.process.clone())
            .collect();
        let interval = elected.renewal_interval(self.api.era());
        if now.since(elected.last_renewal) >= interval && !elected.renewing {
            let voters = elected.followers(&own, now);
            let proposal = elected.voters.propose(&voters);
            elected.last_renewal = now;
            elected.renewing = true;
            let (term, version) = (elected.term, elected.take_expected());
            let written = voters.clone();
            self.write_record(version, written, predecessors.clone(), move |result| {
                StoreResponse::Renewed {
                    term,
                    sent: now,
                    proposal,
                    voters,
                    result,
                }
            });
        }
        for process in predecessors {
            self.dial(process.address, now);
        }
        self.tick_warmup(now);
    }

    /// Quarantines requests that crashed a backend server.
    fn quarantine(&self, crashes: &[(u64, String)]) {
        let now = self.state.now();
        let mut quarantine = self.state.quarantine.borrow_mut();
        for (fingerprint, process) in crashes {
            quarantine.record_crash(*fingerprint, process, now);
        }
    }

    fn count_hosts(&mut self, now: Instant) {
        for peer in self.peers.values().filter(|peer| !peer.host.is_empty()) {
            self.hosts.insert(peer.host.clone(), now);
        }
        self.hosts.insert(self.state.settings.host.clone(), now);
        self.hosts.retain(|_, at| now.since(*at) < HOST_TTL);
        if matches!(self.role, Role::Granting(_)) {
            self.state.host_count.set(host_count(self.hosts.len()));
        }
    }
}

fn heartbeat(state: &State, cluster: &Cache, elected: &Elected, hosts: usize) -> Frame {
    // Other hosts cannot use state that the store does not confirm; with this age they ask the
    // store themselves.
    let age = if cluster.store_unavailable() {
        u128::from(u32::MAX)
    } else {
        cluster.age(state.now()).as_millis()
    };
    let (catalog, entries) = cluster.revisions(state);
    Frame::Heartbeat {
        record_version: elected.record_version.0,
        sent_us: state.now().as_micros(),
        hosts: host_count(hosts),
        max_cores: elected.max_cores,
        state_age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        catalog,
        entries,
        changed: cluster.last_change(),
        evacuations: cluster.evacuations(state).map(Box::new),
        shares: state
            .overload
            .compute_shares(state, elected.term.0, state.now()),
    }
}

/// Returns the identifier of a process as a voter. A restarted process has forgotten its pledge, so
/// it is another voter.
fn process_id(host: &str, incarnation: u64) -> String {
    format!("{host}/{incarnation}")
}

fn host_count(hosts: usize) -> u32 {
    u32::try_from(hosts).unwrap_or(u32::MAX).max(1)
}

fn deliver(responses: &UnboundedSender<StoreResponse>, response: StoreResponse) {
    if responses.send(response).is_err() {
        log::debug!("event=store-response-dropped reason=\"process ends\"");
    }
}
