//! Which host grants keys, and what hosts tell one another.
//!
//! The office of the granter is one object in the store. Its holder renews it; a host that hears
//! nothing of the granter reads the object and takes the office by a conditional write when it was
//! not renewed. Hosts that hear the granter do not read it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tarragon_model::time::Instant;
use tarragon_store::api::Api;
use tarragon_store::error::Error;
use tarragon_store::object::{Key, Version};
use tarragon_store::update::{Token, WriteOutcome};
use tokio::sync::mpsc::{self, Receiver, UnboundedSender};

use self::elected::Grants;
use crate::cluster::Cache;
use crate::granting::{Done, Told};
use crate::peer::{Event, Frame, Links};
use crate::state::State;

mod elected;
mod links;
mod store;

/// Store object that holds the granter's office.
const OFFICE: Key<'static> = Key {
    kind: "tarragon-offices",
    name: "granter",
};
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Time between two beats of the granter to other hosts.
const BEAT: Duration = Duration::from_millis(200);
/// Time without a beat after which a host doubts that the granter is alive.
const DOUBT: Duration = Duration::from_millis(800);
/// Time between two renewals of the office in the store.
const RENEWAL: Duration = Duration::from_millis(700);
/// Time for which a doubting host must see the office unrenewed before it takes it.
const VACANT: Duration = Duration::from_millis(1_200);
/// Age of the latest proof of its office up to which a granter sends orders; below [`VACANT`].
const CONFIRMED: Duration = Duration::from_secs(1);
/// Time for which a majority of its voters must follow another before a granter has surely
/// stopped: [`CONFIRMED`], and some for the way.
const BLOCKED: Duration = Duration::from_millis(1_200);
/// Time between two ticks after which a granter counts as frozen meanwhile.
const FREEZE: Duration = Duration::from_millis(700);
/// Time between two reads of the office by a doubting host.
const READ: Duration = Duration::from_millis(250);
/// Hosts for which a doubting host's reads are spread over one more [`READ`].
const HOSTS_A_READ: u32 = 16;
/// How much longer a weak host waits before it takes the office.
const HANDICAP: Duration = Duration::from_millis(600);
/// Part of the strongest host's processor below which a host is weak.
const WEAK_PART: f64 = 0.8;
/// Processor below which a host counts as weak while it knows no other, in cores.
const SMALL_CORES: f64 = 0.2;
/// Time between two reads of plans by a host that knows no holders.
const PLANS: Duration = Duration::from_secs(1);
/// Time between two attempts to reach a host.
const DIAL: Duration = Duration::from_millis(600);
/// Time between two reports to the granter.
const REPORT: Duration = Duration::from_millis(350);
/// Time between two questions to other hosts while the store does not answer.
const ASK: Duration = Duration::from_millis(300);
/// Age of the granter's facts, in milliseconds, after which it should not hold the office.
const GRANTER_CUT: u64 = 3_500;
/// Time for which a host counts after its link went down.
const HOST_MEMORY: Duration = Duration::from_secs(10);

/// Who holds the office.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Unique text of the write attempt.
    pub token: String,
    /// Host that grants.
    pub host: String,
    /// Its address for other hosts.
    pub address: SocketAddr,
    /// Number of its process.
    pub incarnation: u64,
    /// Whether the holder has laid the office down.
    pub vacant: bool,
    /// Hosts that can confirm the office to its holder while it does not reach the store.
    #[serde(default)]
    pub voters: Vec<String>,
    /// Earlier granters that are not known to have stopped.
    #[serde(default)]
    pub former: Vec<Process>,
}

/// One process of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Name of the host.
    pub host: String,
    /// Its address for other hosts.
    pub address: SocketAddr,
    /// Number of the process.
    pub incarnation: u64,
    /// Hosts that could confirm its office.
    pub voters: Vec<String>,
}

impl Token for Record {
    fn token(&self) -> &str {
        &self.token
    }
}

/// What a call of the store has come to.
enum Call {
    Read(Result<Option<(Version, Record)>, Error>),
    Taken(Version, Result<WriteOutcome<Record>, Error>),
    Renewed(Result<WriteOutcome<Record>, Error>),
}

enum Role {
    /// No granter is heard.
    Seeking,
    /// The granter is heard on this link.
    Following(Followed),
    /// This host grants.
    Granting(Box<Grants>),
}

struct Followed {
    link: u64,
    office: u64,
    beat: Instant,
    /// Clock of the granter when it sent its latest beat, in microseconds.
    sent_us: u64,
    age: u64,
}

struct Link {
    host: String,
    dialled: Option<SocketAddr>,
}

/// Part of a host that knows who grants.
pub struct Office {
    state: Rc<State>,
    facts: Rc<Cache>,
    links: Rc<Links>,
    api: Rc<dyn Api>,
    role: Role,
    record: Option<(Version, Record)>,
    /// When the present version of the office was seen first.
    seen: Instant,
    read_at: Instant,
    plans_read: Instant,
    reading: bool,
    holder_gone: bool,
    /// Processor of the strongest host, in cores, as the granter last said.
    strongest: f64,
    dialled: HashMap<SocketAddr, Instant>,
    up: HashMap<u64, Link>,
    hosts: HashMap<String, Instant>,
    reported: Instant,
    asked: Instant,
    /// Whether the process is about to end: it takes no office then.
    leaving: bool,
    calls: UnboundedSender<Call>,
    done: UnboundedSender<Done>,
}

/// Runs the office until the process ends.
pub async fn run(
    state: Rc<State>,
    facts: Rc<Cache>,
    links: Rc<Links>,
    api: Rc<dyn Api>,
    mut events: Receiver<Event>,
) {
    let (calls, mut called) = mpsc::unbounded_channel();
    let (done, mut finished) = mpsc::unbounded_channel();
    let now = state.now();
    let mut office = Office {
        state: state.clone(),
        facts,
        links,
        api,
        role: Role::Seeking,
        record: None,
        seen: now,
        read_at: Instant::ZERO,
        plans_read: now,
        reading: false,
        holder_gone: false,
        strongest: state.settings.cores.max(SMALL_CORES),
        dialled: HashMap::new(),
        up: HashMap::new(),
        hosts: HashMap::new(),
        reported: now,
        asked: now,
        leaving: false,
        calls,
        done,
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = state.leaving.cancelled(), if !office.leaving => office.lay_down().await,
            () = state.stop.cancelled() => return,
            Some(event) = events.recv() => office.event(event),
            Some(call) = called.recv() => office.called(call),
            Some(done) = finished.recv() => office.done(done),
            _ = ticks.tick() => office.tick(),
        }
    }
}

impl Office {
    fn tick(&mut self) {
        let now = self.state.now();
        self.count_hosts(now);
        if self.facts.failing() {
            self.ask(None);
        }
        if !matches!(self.role, Role::Granting(_)) {
            // The granter alone tells hosts on: each of them hears it.
            self.facts.take_news(now);
        }
        match &mut self.role {
            Role::Granting(_) => self.grant(now),
            Role::Following(followed) => {
                let (link, beat, age) = (followed.link, followed.beat, followed.age);
                let cut = age > GRANTER_CUT && !self.facts.failing();
                if now.since(beat) > DOUBT || cut {
                    self.seek(now);
                }
                if now.since(self.reported) >= REPORT {
                    self.reported = now;
                    let report = self.report();
                    self.links.send(link, &report);
                }
            }
            Role::Seeking => self.seek(now),
        }
    }

    /// Looks for the granter, in the store and at the hosts that may know.
    fn seek(&mut self, now: Instant) {
        let pause = READ * (self.state.host_count.get() / HOSTS_A_READ).clamp(1, 8);
        if !self.reading && now.since(self.read_at) >= pause {
            self.read_at = now;
            self.reading = true;
            self.read();
        }
        self.read_plans(now);
        let holder = self.record.as_ref().map(|(_, record)| record.address);
        let mut targets: Vec<SocketAddr> = holder.into_iter().collect();
        if self.facts.failing() {
            targets.extend(&self.state.settings.seeds);
        }
        for address in targets {
            self.dial(address, now);
        }
    }

    /// Reads the plans of services whose holders this host knows nothing of.
    fn read_plans(&mut self, now: Instant) {
        if now.since(self.plans_read) < PLANS {
            return;
        }
        self.plans_read = now;
        for service in &self.state.catalog().services {
            if !service.keyed || self.state.with_key_map(&service.name, |_| ()).is_some() {
                continue;
            }
            let (state, api, name) = (self.state.clone(), self.api.clone(), service.name.clone());
            tokio::task::spawn_local(async move { store::read_plan(&state, &*api, &name).await });
        }
    }

    fn dial(&mut self, address: SocketAddr, now: Instant) {
        let linked = self.up.values().any(|link| link.dialled == Some(address));
        let recent = self
            .dialled
            .get(&address)
            .is_some_and(|at| now.since(*at) < DIAL);
        if linked || recent || address == self.state.settings.control {
            return;
        }
        self.dialled.insert(address, now);
        let link = self.links.dial(address);
        self.up.insert(
            link,
            Link {
                host: String::new(),
                dialled: Some(address),
            },
        );
    }

    /// Asks a host for what this one lacks: the one on `link`, or else the granter, or any.
    ///
    /// The answer may take its time on a narrow link, so questions keep a distance.
    fn ask(&mut self, link: Option<u64>) {
        let now = self.state.now();
        if now.since(self.asked) < ASK {
            return;
        }
        let granter = match &self.role {
            Role::Following(followed) => Some(followed.link),
            Role::Seeking | Role::Granting(_) => None,
        };
        let up = self.up.iter().filter(|(_, link)| !link.host.is_empty());
        let any = || up.map(|(link, _)| *link).choose(&mut rand::rng());
        let Some(link) = link.or(granter).or_else(any) else {
            return;
        };
        self.asked = now;
        let (catalog, entries) = self.facts.reached(&self.state);
        let ask = Frame::StateRequest {
            catalog,
            entries,
            keys: self.state.key_map_versions(),
        };
        self.links.send(link, &ask);
    }

    fn report(&self) -> Frame {
        let traffic = self.state.take_traffic().into_iter();
        let traffic = traffic.map(|(service, keys)| (service, keys.into_iter().collect()));
        let samples = self.state.fleet.borrow_mut().take_samples().into_iter();
        #[expect(
            clippy::cast_possible_truncation,
            reason = "milliseconds of a few requests"
        )]
        let served = samples.map(|(id, sample)| (id, sample.count, sample.sum_ms as f32));
        let heartbeat_us = match &self.role {
            Role::Following(followed) => followed.sent_us,
            _ => 0,
        };
        Frame::Report {
            heartbeat_us,
            cores: self.state.settings.cores,
            traffic: traffic.collect(),
            served: served.collect(),
            crashes: self.state.take_new_crashes(),
        }
    }

    /// Does what is due while this host grants.
    fn grant(&mut self, now: Instant) {
        let report = (now.since(self.reported) >= REPORT).then(|| {
            self.reported = now;
            self.report()
        });
        if let Some(Frame::Report {
            traffic,
            served,
            crashes,
            ..
        }) = report
        {
            self.take_report(&traffic, &served, crashes);
        }
        let Role::Granting(grants) = &mut self.role else {
            return;
        };
        let own = &self.state.settings.host;
        let confirmed = grants.is_confirmed(own, now);
        grants.block_former(own, now);
        for (service, told) in grants.granting.tick(confirmed) {
            match told {
                Told::Map(map) => {
                    self.state.update_key_map(&service, map.clone());
                    self.links.broadcast(&Frame::Keys { service, map });
                }
                Told::Patch(patch) => {
                    self.state.patch_key_map(&service, &patch);
                    self.links.broadcast(&Frame::KeysPatch { service, patch });
                }
            }
        }
        if let Some(news) = self.facts.take_news(now) {
            self.links.broadcast(&Frame::StateDelta(news));
        }
        if now.since(grants.beaten) >= BEAT {
            grants.beaten = now;
            let beat = beat(&self.state, &self.facts, grants, self.hosts.len());
            self.links.broadcast(&beat);
        }
        let former: Vec<Process> = grants.former.iter().map(|f| f.process.clone()).collect();
        if now.since(grants.renewed) >= RENEWAL && !grants.calling {
            grants.proposed = grants.followed_by(own, now);
            grants.renewed = now;
            grants.renewal_sent = now;
            grants.calling = true;
            let (version, voters) = (grants.version, grants.proposed.clone());
            self.write(version, voters, former.clone(), Call::Renewed);
        }
        for process in former {
            self.dial(process.address, now);
        }
    }

    fn take_report(
        &mut self,
        traffic: &[(String, Vec<(u16, u32)>)],
        served: &[(String, u32, f32)],
        crashes: Vec<(u64, String)>,
    ) {
        if let Role::Granting(grants) = &mut self.role {
            grants.granting.report(traffic, served);
        }
        if !crashes.is_empty() {
            self.take_crashes(&crashes);
            self.links.broadcast(&Frame::Crashes { crashes });
        }
    }

    fn take_crashes(&self, crashes: &[(u64, String)]) {
        let now = self.state.now();
        let mut poison = self.state.poison.borrow_mut();
        for (print, server) in crashes {
            poison.record_crash(*print, server, now);
        }
    }

    fn count_hosts(&mut self, now: Instant) {
        for link in self.up.values().filter(|link| !link.host.is_empty()) {
            self.hosts.insert(link.host.clone(), now);
        }
        self.hosts.insert(self.state.settings.host.clone(), now);
        self.hosts.retain(|_, at| now.since(*at) < HOST_MEMORY);
        if matches!(self.role, Role::Granting(_)) {
            self.state.host_count.set(count(self.hosts.len()));
        }
    }
}

fn beat(state: &State, facts: &Cache, grants: &Grants, hosts: usize) -> Frame {
    // What the store does not confirm is of no use to others: they ask it themselves.
    let age = if facts.failing() {
        u128::from(u32::MAX)
    } else {
        facts.age(state.now()).as_millis()
    };
    let (catalog, entries) = facts.reached(state);
    Frame::Heartbeat {
        term: grants.version.0,
        sent_us: state.now().as_micros(),
        hosts: count(hosts),
        max_cores: grants.strongest,
        state_age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        catalog,
        entries,
        changed: facts.changed(),
    }
}

fn count(hosts: usize) -> u32 {
    u32::try_from(hosts).unwrap_or(u32::MAX).max(1)
}

fn tell(calls: &UnboundedSender<Call>, call: Call) {
    if calls.send(call).is_err() {
        log::debug!("event=office-result-lost reason=\"process ends\"");
    }
}
