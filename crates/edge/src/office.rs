//! Which host grants keys, and what hosts tell one another.
//!
//! The office of the granter is one object in the store. Its holder renews it; a host that hears
//! nothing of the granter reads the object and takes the office by a conditional write when it was
//! not renewed. Hosts that hear the granter do not read it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tarragon_model::time::Instant;
use tarragon_store::api::Api;
use tarragon_store::error::{Error, Kind};
use tarragon_store::object::{Key, Version};
use tarragon_store::update::{Outcome, Token, Writer};
use tokio::sync::mpsc::{self, Receiver, UnboundedSender};

use crate::facts::{Facts, News};
use crate::granting::{self, Done, Granting, Told};
use crate::keys::Map;
use crate::peer::{Event, Frame, Links};
use crate::state::State;

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
const CONFIRMED: Duration = Duration::from_millis(1_000);
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
const PLANS: Duration = Duration::from_millis(1_000);
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
    Taken(Version, Result<Outcome<Record>, Error>),
    Renewed(Result<Outcome<Record>, Error>),
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

struct Grants {
    granting: Granting,
    version: Version,
    renewed: Instant,
    calling: bool,
    beaten: Instant,
    /// Earlier granters that are not known to have stopped.
    former: Vec<Former>,
    /// When the store last showed that the office is this host's.
    confirmed: Instant,
    /// Hosts whose majority can confirm the office, as the store has them.
    voters: Vec<String>,
    /// When a beat was sent that a follower has answered.
    followers: HashMap<String, Instant>,
    /// Processor of the strongest host heard of, in cores.
    strongest: f64,
    /// Voters of the renewal that is on its way.
    proposed: Vec<String>,
    ticked: Instant,
    renewal_sent: Instant,
    paused: bool,
}

/// Earlier granter that is not known to have stopped.
#[derive(Clone)]
struct Former {
    process: Process,
    /// Since when no majority of its voters can confirm its office.
    blocked: Option<Instant>,
}

impl Grants {
    /// Returns the hosts that answered a beat sent not long ago, this one among them.
    fn followed_by(&self, own: &str, now: Instant) -> Vec<String> {
        let recent = |at: &Instant| now.since(*at) < CONFIRMED;
        let followers = self.followers.iter().filter(|(_, at)| recent(at));
        let mut hosts: Vec<String> = followers.map(|(host, _)| host.clone()).collect();
        hosts.push(own.to_owned());
        hosts
    }

    /// Counts earlier granters as stopped whose voters follow this one for long enough.
    ///
    /// Such a granter sends nothing without the store or a majority of its voters.
    fn block_former(&mut self, own: &str, now: Instant) {
        let followed_by = self.followed_by(own, now);
        for former in &mut self.former {
            let voters = &former.process.voters;
            let here = voters.iter().filter(|host| followed_by.contains(host));
            if here.count() * 2 >= voters.len().max(1) {
                former.blocked.get_or_insert(now);
            } else {
                former.blocked = None;
            }
        }
        let over = |former: &Former| former.blocked.is_some_and(|at| now.since(at) >= BLOCKED);
        if self.former.iter().any(over) {
            self.former.retain(|former| !over(former));
            self.settle();
        }
    }

    /// Tells whether the office is surely still this host's.
    ///
    /// Another host may take it [`VACANT`] after a renewal; after a freeze only news count.
    fn is_confirmed(&mut self, own: &str, now: Instant) -> bool {
        if now.since(self.ticked) > FREEZE {
            log::warn!(
                "event=granter-froze ms={}",
                now.since(self.ticked).as_millis()
            );
            self.confirmed = Instant::ZERO;
            self.followers.clear();
            self.renewal_sent = Instant::ZERO;
            self.renewed = Instant::ZERO;
            self.calling = false;
        }
        self.ticked = now;
        let followed_by = self.followed_by(own, now);
        let votes = self.voters.iter().filter(|host| followed_by.contains(host));
        let majority = votes.count() * 2 > self.voters.len();
        let confirmed = majority || now.since(self.confirmed) < CONFIRMED;
        if self.paused == confirmed {
            self.paused = !confirmed;
            log::info!("event=granter-confirmed confirmed={confirmed}");
        }
        confirmed
    }

    /// Notes that an earlier granter has stopped.
    fn stopped(&mut self, is: impl Fn(&Process) -> bool) {
        self.former.retain(|former| !is(&former.process));
        self.settle();
    }

    fn settle(&mut self) {
        if self.former.is_empty() {
            self.granting.set_alone();
        }
    }
}

struct Link {
    host: String,
    dialled: Option<SocketAddr>,
}

/// Part of a host that knows who grants.
pub struct Office {
    state: Rc<State>,
    facts: Rc<Facts>,
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
    facts: Rc<Facts>,
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
        if self.facts.failing() && now.since(self.asked) >= ASK {
            self.asked = now;
            self.ask();
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
        let pause = READ * (self.state.hosts.get() / HOSTS_A_READ).clamp(1, 8);
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
            if !service.keyed || self.state.with_map(&service.name, |_| ()).is_some() {
                continue;
            }
            let (state, api, name) = (self.state.clone(), self.api.clone(), service.name.clone());
            tokio::task::spawn_local(async move { read_plan(&state, &*api, &name).await });
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

    fn ask(&mut self) {
        let (catalog, entries) = self.facts.reached(&self.state);
        let ask = Frame::Ask { catalog, entries };
        match &self.role {
            Role::Following(followed) => self.links.send(followed.link, &ask),
            _ => self.links.broadcast(&ask),
        }
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
        let beat_us = match &self.role {
            Role::Following(followed) => followed.sent_us,
            _ => 0,
        };
        Frame::Report {
            beat_us,
            cores: self.state.settings.cores,
            traffic: traffic.collect(),
            served: served.collect(),
            crashes: self.state.take_convicted(),
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
                    self.state.learn_map(&service, map.clone());
                    self.links.broadcast(&Frame::Keys { service, map });
                }
                Told::Patch(patch) => {
                    self.state.learn_patch(&service, &patch);
                    self.links.broadcast(&Frame::KeysPatch { service, patch });
                }
            }
        }
        if let Some(news) = self.facts.take_news(now) {
            self.links.broadcast(&Frame::News(news));
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
            poison.convict(*print, server, now);
        }
    }

    fn count_hosts(&mut self, now: Instant) {
        for link in self.up.values().filter(|link| !link.host.is_empty()) {
            self.hosts.insert(link.host.clone(), now);
        }
        self.hosts.insert(self.state.settings.host.clone(), now);
        self.hosts.retain(|_, at| now.since(*at) < HOST_MEMORY);
        if matches!(self.role, Role::Granting(_)) {
            self.state.hosts.set(count(self.hosts.len()));
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Up {
                link,
                host,
                incarnation,
            } => self.link_up(link, host, incarnation),
            Event::Frame { link, frame } => self.frame(link, frame),
            Event::Down { link, reason } => self.link_down(link, &reason),
        }
    }

    fn link_up(&mut self, link: u64, host: String, incarnation: u64) {
        log::info!("event=link-up link={link} host={host} incarnation={incarnation}");
        let dialled = self.up.remove(&link).and_then(|known| known.dialled);
        let name = host.clone();
        let same = |record: &Record| record.host == name && record.incarnation != incarnation;
        if self.record.as_ref().is_some_and(|(_, record)| same(record)) {
            self.holder_gone = true;
        }
        self.up.insert(link, Link { host, dialled });
        let hosts = self.hosts.len();
        if let Role::Granting(grants) = &mut self.role {
            let replaced =
                |process: &Process| process.host == name && process.incarnation != incarnation;
            grants.stopped(replaced);
            self.links
                .send(link, &beat(&self.state, &self.facts, grants, hosts + 1));
            for (service, map) in grants.granting.maps() {
                self.links.send(link, &Frame::Keys { service, map });
            }
            let mut former = grants.former.iter();
            if former.any(|former| dialled == Some(former.process.address)) {
                let office = Frame::Office {
                    version: grants.version.0,
                    address: self.state.settings.control,
                };
                self.links.send(link, &office);
            }
        }
    }

    fn link_down(&mut self, link: u64, reason: &str) {
        let known = self.up.remove(&link);
        let host = known.map(|link| link.host).unwrap_or_default();
        if !host.is_empty() {
            log::info!("event=link-down link={link} host={host} reason=\"{reason}\"");
        }
        if matches!(&self.role, Role::Following(followed) if followed.link == link) {
            log::warn!("event=dependency-lost peer=granter host={host}");
            self.role = Role::Seeking;
        }
    }

    fn frame(&mut self, link: u64, frame: Frame) {
        match frame {
            Frame::Hello { .. } => {}
            Frame::Beat {
                office,
                sent_us,
                hosts,
                strongest,
                facts_age_ms,
                catalog,
                entries,
            } => {
                self.strongest = strongest;
                self.beat(link, (office, sent_us), hosts, facts_age_ms);
                self.compare(link, facts_age_ms, (catalog, entries));
            }
            Frame::KeysPatch { service, patch } => {
                if !self.state.learn_patch(&service, &patch) {
                    self.links.send(link, &Frame::AskKeys);
                }
            }
            Frame::AskKeys => {
                if let Role::Granting(grants) = &self.role {
                    for (service, map) in grants.granting.maps() {
                        self.links.send(link, &Frame::Keys { service, map });
                    }
                }
            }
            Frame::News(news) => self.hear(link, news),
            Frame::Office { version, address } => self.announced(link, version, address),
            Frame::Yielded { version } => self.yielded(link, version),
            Frame::Keys { service, map } => self.state.learn_map(&service, map),
            Frame::Report {
                beat_us,
                cores,
                traffic,
                served,
                crashes,
            } => {
                let host = self.up.get(&link).map(|link| link.host.clone());
                if let Role::Granting(grants) = &mut self.role
                    && let Some(host) = host
                {
                    grants.strongest = grants.strongest.max(cores);
                    let answered = Instant::from_micros(beat_us);
                    let known = grants.followers.entry(host).or_insert(answered);
                    *known = answered.max(*known);
                }
                self.take_report(&traffic, &served, crashes);
            }
            Frame::Crashes { crashes } => self.take_crashes(&crashes),
            Frame::Ask { catalog, entries } => self.tell(link, catalog, entries),
            Frame::Facts { catalog, entries } => self.facts.told(&self.state, catalog, entries),
        }
    }

    fn tell(&self, link: u64, catalog: u64, entries: u64) {
        let (catalog, entries) = self.facts.later(catalog, entries);
        if catalog.is_some() || entries.is_some() {
            self.links.send(link, &Frame::Facts { catalog, entries });
        }
        if !matches!(self.role, Role::Granting(_)) {
            for (service, map) in self.state.maps() {
                self.links.send(link, &Frame::Keys { service, map });
            }
        }
    }

    fn beat(&mut self, link: u64, (office, sent_us): (u64, u64), hosts: u32, age: u64) {
        let now = self.state.now();
        match &mut self.role {
            Role::Following(followed) if followed.link == link => {
                followed.beat = now;
                followed.office = office;
                followed.sent_us = sent_us;
                followed.age = age;
                self.state.hosts.set(hosts.max(1));
                return;
            }
            Role::Following(followed) if followed.office >= office => return,
            Role::Granting(grants) if grants.version.0 >= office => return,
            Role::Granting(_) => self.depose("a later granter beats"),
            Role::Following(_) | Role::Seeking => {}
        }
        let newest = self.record.as_ref().map_or(0, |(version, record)| {
            let same = self.up.get(&link).is_some_and(|l| l.host == record.host);
            if same { 0 } else { version.0 }
        });
        if office < newest {
            return;
        }
        log::info!("event=dependency-regained peer=granter link={link} office={office}");
        self.state.hosts.set(hosts.max(1));
        self.holder_gone = false;
        self.role = Role::Following(Followed {
            link,
            office,
            beat: now,
            sent_us,
            age,
        });
    }

    /// Spares this host the store's calls while the granter's facts are fresh and known here.
    fn compare(&mut self, link: u64, age_ms: u64, granter: (u64, u64)) {
        if !matches!(&self.role, Role::Following(followed) if followed.link == link) {
            return;
        }
        let own = self.facts.reached(&self.state);
        if own.0 >= granter.0 && own.1 >= granter.1 {
            let now = self.state.now();
            self.facts.relayed(Duration::from_millis(age_ms), now);
        } else {
            let (catalog, entries) = own;
            self.links.send(link, &Frame::Ask { catalog, entries });
        }
    }

    fn hear(&mut self, link: u64, news: News) {
        if !self.facts.hear(&self.state, news) {
            let (catalog, entries) = self.facts.reached(&self.state);
            self.links.send(link, &Frame::Ask { catalog, entries });
        }
    }

    fn announced(&mut self, link: u64, version: u64, address: SocketAddr) {
        if let Role::Granting(grants) = &self.role
            && grants.version.0 < version
        {
            self.depose("another host announced its office");
            self.links.broadcast(&Frame::Office { version, address });
        }
        if !matches!(self.role, Role::Granting(_)) {
            self.links.send(link, &Frame::Yielded { version });
        }
        self.dial(address, self.state.now());
    }

    fn yielded(&mut self, link: u64, version: u64) {
        let from = self.up.get(&link).and_then(|link| link.dialled);
        if let Role::Granting(grants) = &mut self.role {
            if version <= grants.version.0 {
                grants.stopped(|process| Some(process.address) == from);
            }
        }
    }

    fn depose(&mut self, reason: &str) {
        log::warn!("event=granter-deposed reason=\"{reason}\"");
        self.role = Role::Seeking;
        self.seen = self.state.now();
    }

    fn read(&self) {
        let (state, api, calls) = (self.state.clone(), self.api.clone(), self.calls.clone());
        tokio::task::spawn_local(async move {
            let result = match api.get(OFFICE, &state.stop).await {
                Ok(object) => object
                    .decode::<Record>()
                    .map(|record| Some((object.version, record))),
                Err(error) if error.kind == Kind::NotFound => Ok(None),
                Err(error) => Err(error),
            };
            tell(&calls, Call::Read(result));
        });
    }

    fn write(
        &self,
        expected: Version,
        voters: Vec<String>,
        former: Vec<Process>,
        wrap: impl FnOnce(Result<Outcome<Record>, Error>) -> Call + 'static,
    ) {
        let (state, api, calls) = (self.state.clone(), self.api.clone(), self.calls.clone());
        tokio::task::spawn_local(async move {
            let record = own_record(&state, false, voters, former);
            let writer = Writer::new(&*api);
            let result = writer.update(OFFICE, expected, &record, &state.stop).await;
            tell(&calls, wrap(result));
        });
    }

    fn called(&mut self, call: Call) {
        match call {
            Call::Read(result) => self.office_read(result),
            Call::Taken(expected, result) => self.office_taken(expected, result),
            Call::Renewed(result) => self.office_renewed(result),
        }
    }

    fn office_read(&mut self, result: Result<Option<(Version, Record)>, Error>) {
        self.reading = false;
        let now = self.state.now();
        if matches!(self.role, Role::Granting(_)) {
            return;
        }
        match result {
            Err(error) => log::debug!("event=office-unread error=\"{error}\""),
            Ok(None) => {
                if now.since(self.seen) >= self.handicap() {
                    self.take(Version::ABSENT);
                }
            }
            Ok(Some((version, record))) => {
                let known = self.record.as_ref().map(|(version, _)| *version);
                if known != Some(version) {
                    self.seen = now;
                    let process = |record: &Record| (record.host.clone(), record.incarnation);
                    let former = self.record.as_ref().map(|(_, record)| process(record));
                    if former != Some(process(&record)) {
                        self.holder_gone = false;
                        self.dialled.remove(&record.address);
                    }
                }
                let own = record.host == self.state.settings.host;
                let free = record.vacant || self.holder_gone;
                self.record = Some((version, record));
                let wait = self.handicap() + if free { Duration::ZERO } else { VACANT };
                if own || now.since(self.seen) >= wait {
                    self.take(version);
                }
            }
        }
    }

    /// Returns how much longer than others this host waits before it takes the office.
    fn handicap(&self) -> Duration {
        if self.state.settings.cores < self.strongest * WEAK_PART {
            HANDICAP
        } else {
            Duration::ZERO
        }
    }

    /// Returns the granters before the office's version `expected` that may still send orders.
    fn former(&self, expected: Version) -> Vec<Process> {
        let known = self.record.as_ref();
        let Some((_, record)) = known.filter(|(version, _)| *version == expected) else {
            return Vec::new();
        };
        let own = record.host == self.state.settings.host;
        let mut former = record.former.clone();
        former.retain(|process| process.host != self.state.settings.host);
        if !(record.vacant || own || self.holder_gone) {
            former.push(Process {
                host: record.host.clone(),
                address: record.address,
                incarnation: record.incarnation,
                voters: record.voters.clone(),
            });
        }
        former
    }

    /// Tries to take the office, if it still has the version `expected`.
    fn take(&mut self, expected: Version) {
        if self.leaving {
            return;
        }
        self.reading = true;
        let former = self.former(expected);
        let voters = vec![self.state.settings.host.clone()];
        self.write(expected, voters, former, move |result| {
            Call::Taken(expected, result)
        });
    }

    fn office_taken(&mut self, expected: Version, result: Result<Outcome<Record>, Error>) {
        self.reading = false;
        let version = match result {
            Ok(Outcome::Won { version }) => version,
            Ok(_) => return,
            Err(error) => {
                log::info!("event=office-not-taken error=\"{error}\"");
                return;
            }
        };
        let now = self.state.now();
        let former = self.former(expected);
        log::info!(
            "event=office-taken version={version} former={}",
            former
                .iter()
                .map(|process| process.host.as_str())
                .collect::<Vec<_>>()
                .join(",")
        );
        let granting = Granting::new(
            self.state.clone(),
            self.api.clone(),
            self.done.clone(),
            version.0,
            former.is_empty(),
        );
        self.role = Role::Granting(Box::new(Grants {
            granting,
            version,
            renewed: now,
            calling: false,
            beaten: Instant::ZERO,
            former: former
                .into_iter()
                .map(|process| Former {
                    process,
                    blocked: None,
                })
                .collect(),
            confirmed: now,
            voters: vec![self.state.settings.host.clone()],
            followers: HashMap::new(),
            strongest: self.state.settings.cores,
            proposed: Vec::new(),
            ticked: now,
            renewal_sent: now,
            paused: false,
        }));
        let office = Frame::Office {
            version: version.0,
            address: self.state.settings.control,
        };
        self.links.broadcast(&office);
    }

    fn office_renewed(&mut self, result: Result<Outcome<Record>, Error>) {
        let Role::Granting(grants) = &mut self.role else {
            return;
        };
        grants.calling = false;
        match result {
            Ok(Outcome::Won { version }) => {
                grants.version = version;
                grants.confirmed = grants.confirmed.max(grants.renewal_sent);
                grants.voters = std::mem::take(&mut grants.proposed);
            }
            Ok(Outcome::Lost { value, version }) => {
                let own = value.as_ref().is_some_and(|record| {
                    record.incarnation == self.state.incarnation && !record.vacant
                });
                if own {
                    grants.version = version;
                } else {
                    self.depose("the store names another host");
                }
            }
            Ok(Outcome::Unfinished) => log::warn!("event=office-unsettled"),
            Err(error) => log::warn!("event=office-unrenewed error=\"{error}\""),
        }
    }

    fn done(&mut self, done: Done) {
        if let Role::Granting(grants) = &mut self.role {
            grants.granting.done(done);
        }
    }

    /// Lets another host take the office before this process ends.
    async fn lay_down(&mut self) {
        self.leaving = true;
        let Role::Granting(grants) = &self.role else {
            return;
        };
        let expected = grants.version;
        let former = grants.former.iter().map(|f| f.process.clone()).collect();
        self.role = Role::Seeking;
        let record = own_record(&self.state, true, Vec::new(), former);
        let writer = Writer::new(&*self.api);
        let laid = writer.update(OFFICE, expected, &record, &self.state.stop);
        match laid.await {
            Ok(outcome) => log::info!("event=office-laid-down outcome={outcome:?}"),
            Err(error) => log::warn!("event=office-not-laid-down error=\"{error}\""),
        }
        let links: Vec<u64> = self.up.keys().copied().collect();
        for link in links {
            self.links.close(link);
        }
    }
}

fn own_record(state: &State, vacant: bool, voters: Vec<String>, former: Vec<Process>) -> Record {
    Record {
        token: format!("{:016x}{:016x}", state.incarnation, rand::random::<u64>()),
        host: state.settings.host.clone(),
        address: state.settings.control,
        incarnation: state.incarnation,
        vacant,
        voters,
        former,
    }
}

fn beat(state: &State, facts: &Facts, grants: &Grants, hosts: usize) -> Frame {
    let age = facts.age(state.now()).as_millis();
    let (catalog, entries) = facts.reached(state);
    Frame::Beat {
        office: grants.version.0,
        sent_us: state.now().as_micros(),
        hosts: count(hosts),
        strongest: grants.strongest,
        facts_age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        catalog,
        entries,
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

/// Reads a service's plan, for a host that hears no granter.
async fn read_plan(state: &State, api: &dyn Api, service: &str) {
    let key = Key::new(granting::KIND, service);
    let read = api.get(key, &state.stop).await;
    let record = read.and_then(|object| object.decode::<granting::Record>());
    match record {
        Ok(record) => state.learn_map(service, Map::assume(&record.plan)),
        Err(error) => log::info!("event=plan-unread service={service} error=\"{error}\""),
    }
}
