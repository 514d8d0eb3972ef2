//! Carries out what the granter of each keyed service decides.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tarragon_dispatch::fleet::{Fleet, Status};
use tarragon_model::time::Instant;
use tarragon_owner::balance::Candidate;
use tarragon_owner::granter::{
    Action, Command, CommandOutcome, Granter, Liveness, PlanInputs, Timing,
};
use tarragon_owner::loads::Loads;
use tarragon_owner::plan::{Holder, Plan};
use tarragon_owner::speeds::Speeds;
use tarragon_store::api::Api;
use tarragon_store::error::{Error, Kind};
use tarragon_store::object::{Key, Version};
use tarragon_store::update::{Token, WriteOutcome, Writer};
use tokio::sync::mpsc::UnboundedSender;

use crate::keys::{Map, Patch};
use crate::pool::Pool;
use crate::state::State;

pub mod command;

/// Kind of the store objects that hold a service's plan.
pub const KIND: &str = "tarragon-plans";
/// Time that a grant holds: long enough for another host to take over the granter's office.
const HOLD: Duration = Duration::from_secs(4);
/// Time after a proof of the office was looked at for which grants still leave.
const OFFICE_TIME: Duration = Duration::from_millis(150);
/// Time between two looks at whether keys should move.
const PLANNING: Duration = Duration::from_millis(400);
/// Pause after the first call about a plan that failed; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after calls that failed.
const LAST_PAUSE: Duration = Duration::from_secs(1);
/// Time for which the list of backend servers must stay the same before keys are dealt first.
const SETTLED: Duration = Duration::from_millis(1_200);
/// Time of failed orders after which a backend server gets no keys.
const UNREACHED: Duration = Duration::from_millis(1_200);
/// Part of its slots that a backend server counts with just after its start.
const COLD_PART: f64 = 0.5;
/// Time for which a backend server counts as just started.
const COLD: Duration = Duration::from_secs(3);

/// Plan as the store keeps it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Unique text of the write attempt.
    pub token: String,
    /// Version of the granter's office under which it was written.
    pub office: u64,
    /// The plan.
    pub plan: Plan,
}

impl Token for Record {
    fn token(&self) -> &str {
        &self.token
    }
}

/// What a task of the granter has come to.
pub enum Done {
    /// An order ended.
    Order {
        /// Service of the keys.
        service: String,
        /// The order.
        order: Command,
        /// When it was due.
        due: Instant,
        /// When it left this host, if it did.
        left: Option<Instant>,
        /// How it ended.
        reply: CommandOutcome,
    },
    /// A plan was read.
    Read {
        /// Service of the keys.
        service: String,
        /// Version and plan; `None` where the service has none yet.
        result: Result<Option<(Version, Record)>, Error>,
    },
    /// A plan was written, or not.
    Written {
        /// Service of the keys.
        service: String,
        /// The plan.
        plan: Plan,
        /// What became of it.
        result: Result<WriteOutcome<Record>, Error>,
    },
}

/// What hosts are told of a service's keys.
pub enum Told {
    /// All of it.
    Map(Map),
    /// What changed.
    Patch(Patch),
}

/// Grants of one service.
struct Service {
    granter: Option<Granter>,
    version: Version,
    /// Whether the store has no plan of the service.
    absent: bool,
    busy: bool,
    /// Until when no call of the store is made, and the pause that led to it.
    paused: (Instant, Duration),
    loads: Loads,
    speeds: Speeds,
    planned: Instant,
    changes: u64,
    published: Option<Map>,
    candidates: (usize, Instant),
}

/// Grants of all keyed services, while this host holds the granter's office.
pub struct Granting {
    state: Rc<State>,
    api: Rc<dyn Api>,
    done: UnboundedSender<Done>,
    pool: Rc<Pool>,
    office: u64,
    alone: bool,
    services: BTreeMap<String, Service>,
    unreached: HashMap<String, (Instant, Instant)>,
    /// Until when the office is surely this granter's, for grants on their way out.
    office_until: Rc<Cell<Instant>>,
}

impl Granting {
    /// Starts granting under an office; `alone` says that no earlier granter can still send.
    #[must_use]
    pub fn new(
        state: Rc<State>,
        api: Rc<dyn Api>,
        done: UnboundedSender<Done>,
        office: u64,
        alone: bool,
    ) -> Self {
        Self {
            state,
            api,
            done,
            pool: Rc::new(Pool::default()),
            office,
            alone,
            services: BTreeMap::new(),
            unreached: HashMap::new(),
            office_until: Rc::new(Cell::new(Instant::ZERO)),
        }
    }

    /// Notes that every earlier granter has stopped.
    pub fn set_alone(&mut self) {
        if self.alone {
            return;
        }
        self.alone = true;
        let now = self.state.now();
        log::info!("event=granter-alone office={}", self.office);
        for service in self.services.values_mut() {
            if let Some(granter) = &mut service.granter {
                granter.confirm_sole(now);
            }
        }
    }

    /// Tells whether an earlier granter may still send orders.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.alone
    }

    /// Adds what a host's requests tell.
    pub fn report(&mut self, traffic: &[(String, Vec<(u16, u32)>)], served: &[(String, u32, f32)]) {
        let fleet = self.state.fleet.borrow();
        for (id, count, sum_ms) in served {
            let service = fleet.get(id).map(|server| &server.entry.service);
            if let Some(service) = service.and_then(|name| self.services.get_mut(name)) {
                service.speeds.add(id, *count, f64::from(*sum_ms));
            }
        }
        for (name, keys) in traffic {
            let Some(service) = self.services.get_mut(name) else {
                continue;
            };
            for (key, requests) in keys {
                #[expect(clippy::cast_precision_loss, reason = "counts of half a second")]
                service.loads.add(*key, *requests as f32);
            }
        }
    }

    /// Sends the orders that are due and plans anew; returns the maps that changed.
    ///
    /// Without `confirmed` the office may be another's by now: nothing is sent then.
    pub fn tick(&mut self, confirmed: bool) -> Vec<(String, Told)> {
        if !confirmed {
            return Vec::new();
        }
        let now = self.state.now();
        self.office_until.set(now + OFFICE_TIME);
        let catalog = self.state.catalog();
        for service in catalog.services.iter().filter(|service| service.keyed) {
            if !self.services.contains_key(&service.name) {
                self.services
                    .insert(service.name.clone(), Service::new(now));
            }
            self.attend(&service.name, now);
        }
        self.changed_maps()
    }

    /// Returns all maps, for a host that has just come.
    #[must_use]
    pub fn maps(&self) -> Vec<(String, Map)> {
        let maps = self
            .services
            .iter()
            .filter_map(|(name, service)| Some((name.clone(), service.published.clone()?)));
        maps.collect()
    }

    fn changed_maps(&mut self) -> Vec<(String, Told)> {
        let mut told = Vec::new();
        for (name, service) in &mut self.services {
            let version = (self.office, service.changes);
            let before = service.published.as_ref();
            if before.is_some_and(|map| map.version == version) {
                continue;
            }
            let Some(granter) = &service.granter else {
                continue;
            };
            let map = Map::of(granter, version);
            let news = match before {
                Some(before) => Told::Patch(map.since(before)),
                None => Told::Map(map.clone()),
            };
            service.published = Some(map);
            told.push((name.clone(), news));
        }
        told
    }

    fn attend(&mut self, name: &str, now: Instant) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let Some(granter) = &mut service.granter else {
            if service.busy || now < service.paused.0 {
                return;
            }
            if service.absent {
                self.deal(name, now);
            } else {
                service.busy = true;
                self.read(name);
            }
            return;
        };
        let fleet = self.state.fleet.borrow();
        let life = |holder: &Holder| life(&fleet, holder);
        let orders = granter.commands(&life, now);
        drop(fleet);
        for order in orders {
            self.send(name, order, now);
        }
        let due = self
            .services
            .get(name)
            .is_some_and(|service| service.may_plan(now));
        if due {
            self.plan(name, now);
        }
    }

    /// Looks whether keys should move, and writes the plan that says so.
    fn plan(&mut self, name: &str, now: Instant) {
        let candidates = self.candidates(name, now);
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.planned = now;
        let fleet = self.state.fleet.borrow();
        service.speeds.retain(|id| fleet.get(id).is_some());
        drop(fleet);
        service.loads.decay(now);
        let work_ms = service.speeds.mean_ms();
        let rates = service.loads.rates(now);
        let Some(granter) = &service.granter else {
            return;
        };
        let view = PlanInputs {
            candidates: &candidates,
            rates: &rates,
            request_time_s: work_ms / 1_000.0,
            min_sequence: service.version.0 + 1,
        };
        let fleet = self.state.fleet.borrow();
        let life = |holder: &Holder| life(&fleet, holder);
        let Some(plan) = granter.propose(&view, &life, now) else {
            return;
        };
        drop(fleet);
        let moved = plan.segments.iter().filter(|s| s.fence == plan.sequence);
        let moved: u32 = moved.map(|s| u32::from(s.to - s.from) + 1).sum();
        log::info!(
            "event=plan service={name} sequence={} before={} segments={} keys_moved={moved} candidates={} rate={:.0} work_ms={work_ms:.0}",
            plan.sequence,
            granter.plan().sequence,
            plan.segments.len(),
            candidates.len(),
            rates.total(0, u16::MAX)
        );
        service.busy = true;
        let expected = service.version;
        self.write(name, plan, expected);
    }

    /// Returns the backend servers that may be given keys.
    fn candidates(&self, name: &str, now: Instant) -> Vec<Candidate> {
        let fleet = self.state.fleet.borrow();
        let servers = fleet.iter().filter(|server| {
            server.entry.service == name
                && server.status == Status::Ready
                && server.present()
                && !self.is_unreached(&server.entry.id, now)
        });
        let speeds = self.services.get(name).map(|service| &service.speeds);
        let candidates = servers.map(|server| {
            let slowness = speeds.map_or(1.0, |speeds| speeds.slowness(&server.entry.id));
            let cold = server.known_for(now) < COLD && !server.entry.warmup.is_zero();
            let part = if cold { COLD_PART } else { 1.0 };
            Candidate {
                holder: Holder {
                    id: server.entry.id.clone(),
                    start_ms: server.entry.start_ms,
                },
                capacity: f64::from(server.entry.slots) * part / slowness,
            }
        });
        candidates.collect()
    }

    fn is_unreached(&self, id: &str, now: Instant) -> bool {
        self.unreached.get(id).is_some_and(|(first, last)| {
            last.since(*first) >= UNREACHED && now.since(*last) < UNREACHED * 4
        })
    }

    fn read(&self, name: &str) {
        let (state, api, done) = (self.state.clone(), self.api.clone(), self.done.clone());
        let service = name.to_owned();
        tokio::task::spawn_local(async move {
            let read = api.get(Key::new(KIND, &service), &state.stop).await;
            let result = match read {
                Ok(object) => object
                    .decode::<Record>()
                    .map(|record| Some((object.version, record))),
                Err(error) if error.kind == Kind::NotFound => Ok(None),
                Err(error) => Err(error),
            };
            tell(&done, Done::Read { service, result });
        });
    }

    fn write(&self, name: &str, plan: Plan, expected: Version) {
        let (state, api, done) = (self.state.clone(), self.api.clone(), self.done.clone());
        let service = name.to_owned();
        let record = Record {
            token: format!("{:016x}{:016x}", state.incarnation, rand::random::<u64>()),
            office: self.office,
            plan: plan.clone(),
        };
        tokio::task::spawn_local(async move {
            let key = Key::new(KIND, &service);
            let result = Writer::new(&*api)
                .update(key, expected, &record, &state.stop)
                .await;
            state
                .metrics
                .count_store_call("write", result_name(&result));
            tell(
                &done,
                Done::Written {
                    service,
                    plan,
                    result,
                },
            );
        });
    }

    fn send(&self, name: &str, order: Command, due: Instant) {
        let (state, pool, done) = (self.state.clone(), self.pool.clone(), self.done.clone());
        let (office, late) = (self.office_until.clone(), self.timing().max_send_delay);
        let service = name.to_owned();
        tokio::task::spawn_local(async move {
            let ask = command::Due {
                order: &order,
                at: due,
                late,
                office: &office,
            };
            let (reply, left) = command::send(&state, &pool, ask).await;
            tell(
                &done,
                Done::Order {
                    service,
                    order,
                    due,
                    left,
                    reply,
                },
            );
        });
    }

    /// Takes in what a task has come to.
    pub fn done(&mut self, done: Done) {
        let now = self.state.now();
        match done {
            Done::Order {
                service,
                order,
                due,
                left,
                reply,
            } => self.ordered(&service, &order, (due, left), &reply, now),
            Done::Read { service, result } => self.was_read(&service, result, now),
            Done::Written {
                service,
                plan,
                result,
            } => self.was_written(&service, plan, result, now),
        }
    }

    fn ordered(
        &mut self,
        name: &str,
        order: &Command,
        (due, left): (Instant, Option<Instant>),
        reply: &CommandOutcome,
        now: Instant,
    ) {
        if matches!(reply, CommandOutcome::Unknown | CommandOutcome::NotSent) {
            let entry = self.unreached.entry(order.server.id.clone());
            entry.or_insert((now, now)).1 = now;
        } else {
            self.unreached.remove(&order.server.id);
        }
        let text = match reply {
            CommandOutcome::Done { .. } => "done",
            CommandOutcome::StaleFence => "outdated",
            CommandOutcome::Unknown => "unknown",
            CommandOutcome::NotSent => "not-sent",
        };
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let Some(granter) = &mut service.granter else {
            return;
        }; // On a host that is short of processor, a grant may reach the wire long after it was handed
        // over; by now it has.
        let left = left.map(|_| now);
        let found = granter.record_outcome(order, due, left, reply);
        let task = match order.action {
            Action::Grant => "grant",
            Action::Release => "release",
        };
        self.state.metrics.count_command(task, text);
        if found {
            service.changes += 1;
        }
        if found || order.action == Action::Release || text != "done" {
            log::info!(
                "event=order task={task} service={name} server={} keys={}-{} fence={} result={text} first={found} took_ms={} handover={}",
                order.server.id,
                order.from,
                order.to,
                order.fence,
                now.since(due).as_millis(),
                order.handover.is_some()
            );
        }
    }

    fn was_read(
        &mut self,
        name: &str,
        result: Result<Option<(Version, Record)>, Error>,
        now: Instant,
    ) {
        let timing = self.timing();
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.busy = false;
        match result {
            Ok(Some((version, record))) => {
                log::info!(
                    "event=plan-taken-up service={name} version={version} sequence={} office={} alone={}",
                    record.plan.sequence,
                    record.office,
                    self.alone
                );
                service.version = version;
                service.changes += 1;
                service.granter = Some(Granter::new(record.plan, self.alone, timing, now));
            }
            Ok(None) => service.absent = true,
            Err(error) => {
                service.pause(now);
                log::warn!("event=plan-unread service={name} error=\"{error}\"");
            }
        }
    }

    /// Deals the keys of a service for the first time, once its backend servers are there.
    fn deal(&mut self, name: &str, now: Instant) {
        let candidates = self.candidates(name, now);
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        if service.candidates.0 != candidates.len() {
            service.candidates = (candidates.len(), now);
        }
        let settled = now.since(service.candidates.1) >= SETTLED;
        if candidates.is_empty() || !settled {
            return;
        }
        let weights: Vec<_> = candidates
            .into_iter()
            .map(|candidate| (candidate.holder, candidate.capacity))
            .collect();
        service.busy = true;
        self.write(name, Plan::assign(&weights, 1), Version::ABSENT);
    }

    fn was_written(
        &mut self,
        name: &str,
        plan: Plan,
        result: Result<WriteOutcome<Record>, Error>,
        now: Instant,
    ) {
        let (alone, timing) = (self.alone, self.timing());
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.busy = false;
        match &result {
            Ok(_) => service.paused.1 = Duration::ZERO,
            Err(_) => service.pause(now),
        } // Whatever else was written or lost: the store has a plan now.
        service.absent &= result.is_err();
        match result {
            Ok(WriteOutcome::Won { version }) => {
                service.version = version;
                service.changes += 1;
                match &mut service.granter {
                    Some(granter) => granter.adopt(plan, now), // The first plan of all: nobody has granted anything before.
                    None => service.granter = Some(Granter::new(plan, true, timing, now)),
                }
            }
            Ok(WriteOutcome::Lost {
                value: Some(record),
                version,
            }) if record.office == self.office => {
                service.version = version;
                if let Some(granter) = &mut service.granter {
                    granter.adopt(record.plan, now);
                }
                service.changes += 1;
            }
            Ok(WriteOutcome::Lost { version, .. }) => {
                log::warn!("event=plan-lost service={name} version={version} alone={alone}");
                service.granter = None;
            }
            Ok(WriteOutcome::Unresolved) => {
                log::warn!("event=plan-unfinished service={name}");
                service.granter = None;
            }
            Err(error) => log::warn!("event=plan-unwritten service={name} error=\"{error}\""),
        }
    }

    fn timing(&self) -> Timing {
        Timing::with_grant_duration(HOLD.min(self.state.bounds.get().max_grant))
    }
}

impl Service {
    fn new(now: Instant) -> Self {
        Self {
            granter: None,
            version: Version::ABSENT,
            absent: false,
            busy: false,
            paused: (now, Duration::ZERO),
            loads: Loads::new(now),
            speeds: Speeds::default(),
            planned: now,
            changes: 1,
            published: None,
            candidates: (0, now),
        }
    }

    fn may_plan(&self, now: Instant) -> bool {
        !self.busy && now >= self.paused.0 && now.since(self.planned) >= PLANNING
    }

    /// Puts off further calls of the store after one that failed.
    fn pause(&mut self, now: Instant) {
        let pause = (self.paused.1 * 2).clamp(FIRST_PAUSE, LAST_PAUSE);
        self.paused = (now + pause, pause);
    }
}

impl Drop for Granting {
    /// Stops the grants that have not left: another host may hold the office.
    fn drop(&mut self) {
        self.office_until.set(Instant::ZERO);
    }
}

/// Tells whether the process that a holder was has surely ended: a later one says its name.
fn life(fleet: &Fleet, holder: &Holder) -> Liveness {
    let later = fleet
        .get(&holder.id)
        .is_some_and(|server| server.entry.start_ms > holder.start_ms);
    if later {
        Liveness::Dead
    } else {
        Liveness::MaybeAlive
    }
}

fn result_name<T>(result: &Result<WriteOutcome<T>, Error>) -> &'static str {
    match result {
        Ok(WriteOutcome::Won { .. }) => "won",
        Ok(WriteOutcome::Lost { .. }) => "lost",
        Ok(WriteOutcome::Unresolved) => "unfinished",
        Err(_) => "failed",
    }
}

fn tell(done: &UnboundedSender<Done>, what: Done) {
    if done.send(what).is_err() {
        log::debug!("event=granter-result-lost reason=\"process ends\"");
    }
}
