//! Grants of all keyed services: plans, the commands that carry them out, and the key maps that
//! follow from them.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tarragon_dispatch::fleet::Fleet;
use tarragon_model::time::Instant;
use tarragon_owner::granter::freed::{Freed, Reason};
use tarragon_owner::granter::{Action, Command, CommandOutcome, Granter, Liveness, Timing};
use tarragon_owner::loads::Loads;
use tarragon_owner::plan::{Holder, Plan};
use tarragon_owner::speeds::Speeds;
use tarragon_store::api::Api;
use tarragon_store::error::Error;
use tarragon_store::object::{Era, Version};
use tarragon_store::update::{Token, WriteOutcome};
use tokio::sync::mpsc::UnboundedSender;

use self::report::Report;
use crate::keys::{Map, Patch};
use crate::pool::Pool;
use crate::state::State;

mod candidates;
pub mod command;
mod delay;
mod departure;
mod homes;
mod plans;
mod report;
mod restored;

/// Kind of the store objects that hold a service's plan.
pub const PLAN_KIND: &str = "tarragon-plans";
/// Duration of a grant, unless the platform's limit is lower. It is long enough for another host to
/// become granter before the grant expires.
const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Time for which grants may still be sent after the term was last found to be confirmed.
const SEND_WINDOW: Duration = Duration::from_millis(150);
/// Pause after the first failed store call about a plan; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which the number of backend servers must stay the same before keys are first assigned.
const STABLE_TIME: Duration = Duration::from_millis(1_200);

/// Plan of a service as the store keeps it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Unique text of the write attempt.
    pub token: String,
    /// Term of the granter that wrote it.
    #[serde(rename = "office")]
    pub term: u64,
    /// The plan.
    pub plan: Plan,
    /// Era of the store in which the plan was last reconciled: written while no grant under a plan
    /// that the store has forgotten could remain.
    #[serde(default, skip_serializing_if = "restored::is_unknown")]
    pub era: Era,
}

impl Token for Record {
    fn token(&self) -> &str {
        &self.token
    }
}

/// Result of a task, with the term in which it was started.
pub struct Delivery {
    term: u64,
    completion: Completion,
}

/// Result of a task that the granter started.
pub enum Completion {
    /// A command ended.
    Command {
        /// Service of the keys.
        service: String,
        /// The command.
        command: Command,
        /// When it was due.
        due: Instant,
        /// When it was sent, if it was.
        sent: Option<Instant>,
        /// How it ended.
        outcome: CommandOutcome,
    },
    /// A plan was read.
    Read {
        /// Service of the keys.
        service: String,
        /// Version and plan; `None` where the service has none yet.
        result: Result<Option<(Version, Record)>, Error>,
    },
    /// A write of a plan ended.
    Written {
        /// Service of the keys.
        service: String,
        /// The plan.
        plan: Plan,
        /// Result of the conditional update.
        result: Result<WriteOutcome<Record>, Error>,
    },
}

/// Update of a service's key map for other hosts.
pub enum Update {
    /// The whole map.
    Map(Map),
    /// Changes since the map sent before.
    Patch(Patch),
}

/// Grants of one service.
struct Service {
    /// The service's granter, once a plan is in force.
    granter: Option<Granter>,
    /// Version of the plan in the store.
    version: Version,
    /// Whether the store has no plan of the service.
    plan_absent: bool,
    /// Whether a store call about the plan is on its way.
    call_pending: bool,
    /// Whether the last write of a plan may have taken effect, or may still. Grants under the plan
    /// before are renewed until the store tells.
    write_unresolved: bool,
    /// Plan of this term that is in the store, and when that was known. It comes into force once no
    /// other host can have been elected before: one that read the plan before would renew grants
    /// that this granter does not know of.
    written: Option<(Plan, Instant)>,
    /// What has to be done about a plan that the store may have forgotten.
    restored: restored::Duty,
    /// Until when no store call is made after a failure, and the length of that pause.
    backoff: (Instant, Duration),
    loads: Loads,
    speeds: Speeds,
    last_planned: Instant,
    /// Number of changes of the key map in this term.
    changes: u64,
    /// Key map that was last sent to other hosts.
    published: Option<Map>,
    /// Number of backend servers that can get keys, and since when it has been the same.
    candidates: (usize, Instant),
}

/// Grants of all keyed services, while this host is the granter.
pub struct Grants {
    state: Rc<State>,
    api: Rc<dyn Api>,
    completions: UnboundedSender<Delivery>,
    pool: Rc<Pool>,
    term: u64,
    sole_granter: bool,
    /// Era of the store in which the term was last found to be the latest.
    era: Era,
    services: BTreeMap<String, Service>,
    /// Backend servers to which commands fail: when that began, and the latest failure.
    failures: HashMap<String, (Instant, Instant)>,
    /// Until when no other host can be granter; grants are sent only before.
    send_until: Rc<Cell<Instant>>,
    /// Until when no other host can have been elected. Unlike `send_until`, only the store tells.
    exclusive_until: Instant,
    delays: delay::Monitor,
    homes_unmet: homes::Unmet,
}

impl Grants {
    /// Starts to grant in a term.
    ///
    /// `sole_granter` says that no earlier granter can still send commands.
    #[must_use]
    pub fn new(
        state: Rc<State>,
        api: Rc<dyn Api>,
        completions: UnboundedSender<Delivery>,
        term: u64,
        sole_granter: bool,
    ) -> Self {
        let timing = timing(&state);
        Self {
            state,
            api,
            completions,
            pool: Rc::new(command::pool(timing.response_timeout)),
            term,
            sole_granter,
            era: Version(term).era(),
            services: BTreeMap::new(),
            failures: HashMap::new(),
            send_until: Rc::new(Cell::new(Instant::ZERO)),
            exclusive_until: Instant::ZERO,
            delays: delay::Monitor::default(),
            homes_unmet: homes::Unmet::default(),
        }
    }

    /// Notes that every earlier granter has stopped.
    pub fn set_sole_granter(&mut self) {
        if self.sole_granter {
            return;
        }
        self.sole_granter = true;
        let now = self.state.now();
        log::info!("event=sole-granter term={}", self.term);
        for service in self.services.values_mut() {
            if let Some(granter) = &mut service.granter {
                granter.confirm_sole(now);
            }
        }
    }

    /// Returns whether no earlier granter can still send commands.
    #[must_use]
    pub fn is_sole_granter(&self) -> bool {
        self.sole_granter
    }

    /// Adds a host's counts of requests: by key, and by backend server with the sum of their times
    /// in milliseconds.
    pub fn add_report(
        &mut self,
        traffic: &[(String, Vec<(u16, u32)>)],
        served: &[(String, u32, f32)],
    ) {
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

    /// Sends the due commands and updates the plans; returns the key maps that changed.
    ///
    /// Unless the term is `confirmed`, another host may be the granter, and nothing is sent. `now`
    /// is the time at which that was found, so a pause of the process since delays no grant. The
    /// store showed that no other host can have been elected before `exclusive_until`.
    pub fn tick(
        &mut self,
        confirmed: bool,
        exclusive_until: Instant,
        now: Instant,
    ) -> Vec<(String, Update)> {
        self.exclusive_until = exclusive_until;
        if !confirmed {
            return Vec::new();
        }
        self.send_until.set(now + SEND_WINDOW);
        let catalog = self.state.catalog();
        for service in catalog.services.iter().filter(|service| service.keyed) {
            if !self.services.contains_key(&service.name) {
                self.services
                    .insert(service.name.clone(), Service::new(now));
            }
            self.tick_service(&service.name, now);
        }
        self.take_map_updates(now)
    }

    /// Returns all key maps, for a host that has none.
    #[must_use]
    pub fn maps(&self) -> Vec<(String, Map)> {
        let maps = self
            .services
            .iter()
            .filter_map(|(name, service)| Some((name.clone(), service.published.clone()?)));
        maps.collect()
    }

    fn take_map_updates(&mut self, now: Instant) -> Vec<(String, Update)> {
        let mut updates = Vec::new();
        for (name, service) in &mut self.services {
            let version = (self.term, service.changes);
            let before = service.published.as_ref();
            if before.is_some_and(|map| map.version == version) {
                continue;
            }
            // Until then, hosts use the key map of the granter before.
            let ready = |granter: &&Granter| before.is_some() || !granter.is_held_back(now);
            let Some(granter) = service.granter.as_ref().filter(ready) else {
                continue;
            };
            let map = Map::from_granter(granter, version);
            let update = match before {
                Some(before) => Update::Patch(map.diff(before)),
                None => Update::Map(map.clone()),
            };
            service.published = Some(map);
            updates.push((name.clone(), update));
        }
        updates
    }

    fn tick_service(&mut self, name: &str, now: Instant) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        if self.api.era() <= self.era {
            service.adopt_written(self.exclusive_until, now);
        }
        let Some(granter) = &mut service.granter else {
            if service.call_pending || now < service.backoff.0 {
                return;
            }
            if service.plan_absent {
                self.assign_first(name, now);
            } else {
                service.call_pending = true;
                self.read_plan(name);
            }
            return;
        };
        let fleet = self.state.fleet.borrow();
        let liveness = |holder: &Holder| liveness(&fleet, holder);
        let commands = granter.commands(&liveness, now);
        drop(fleet);
        log_freed(name, &granter.take_freed(), now);
        for command in commands {
            self.send(name, command, now);
        }
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        if service.write_unresolved || service.restored.compare {
            if !service.call_pending && now >= service.backoff.0 {
                service.call_pending = true;
                self.read_plan(name);
            }
        } else if self.api.era() > self.era {
            // The election decides first whether this term goes on in the new era.
        } else if service.is_reconciliation_due(self.era, now) {
            self.reconcile(name, now);
        } else if service.is_plan_due(now) {
            self.update_plan(name, now);
        }
    }

    fn send(&self, name: &str, command: Command, due: Instant) {
        let (state, pool) = (self.state.clone(), self.pool.clone());
        let (send_until, timing) = (self.send_until.clone(), self.timing());
        let report = Report {
            state: self.state.clone(),
            completions: self.completions.clone(),
            term: self.term,
            service: name.to_owned(),
            command,
            due,
            result: None,
        };
        tokio::task::spawn_local(async move {
            let pending = command::Pending {
                command: &report.command,
                due_at: due,
                max_delay: timing.max_send_delay,
                response_timeout: timing.response_timeout,
                send_until: &send_until,
            };
            let result = command::send(&state, &pool, pending).await;
            report.deliver(result);
        });
    }

    /// Applies the result of a task, unless it was started in another term: other granters may have
    /// acted since.
    pub fn on_completion(&mut self, delivery: Delivery) {
        let now = self.state.now();
        if delivery.term != self.term {
            log::debug!("event=completion-outdated term={}", delivery.term);
            return;
        }
        match delivery.completion {
            Completion::Command {
                service,
                command,
                due,
                sent,
                outcome,
            } => self.on_command(&service, &command, (due, sent), &outcome, now),
            Completion::Read { service, result } => self.on_read(&service, result, now),
            Completion::Written {
                service,
                plan,
                result,
            } => self.on_written(&service, plan, result, now),
        }
    }

    fn on_command(
        &mut self,
        name: &str,
        command: &Command,
        (due, sent): (Instant, Option<Instant>),
        outcome: &CommandOutcome,
        now: Instant,
    ) {
        let failed = !matches!(
            outcome,
            CommandOutcome::Done { .. } | CommandOutcome::StaleFence
        );
        if failed {
            let entry = self.failures.entry(command.server.id.clone());
            entry.or_insert((now, now)).1 = now;
        } else {
            self.failures.remove(&command.server.id);
        }
        let text = match outcome {
            CommandOutcome::Done { .. } => "done",
            CommandOutcome::StaleFence => "outdated",
            CommandOutcome::Unknown => "unknown",
            CommandOutcome::NotSent => "not-sent",
            CommandOutcome::Refused => "refused",
        };
        let metrics = &self.state.metrics;
        self.delays.record(metrics, command, (due, sent), text, now);
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let Some(granter) = &mut service.granter else {
            return;
        };
        // On a host that is short of processor time, a grant may reach the wire long after it was
        // handed to the connection. Now that the exchange has ended, it has certainly been sent or
        // was given up.
        let sent = sent.map(|_| now);
        let first = granter.record_outcome(command, due, sent, outcome);
        log_freed(name, &granter.take_freed(), now);
        let action = match command.action {
            Action::Grant => "grant",
            Action::Release => "release",
        };
        self.state.metrics.count_command(action, text);
        if first {
            service.changes += 1;
        }
        if first || command.action == Action::Release || text != "done" {
            log::info!(
                "event=command action={action} service={name} server={} keys={}-{} fence={} result={text} first={first} took_ms={} handover={}",
                command.server.id,
                command.from,
                command.to,
                command.fence,
                now.since(due).as_millis(),
                command.handover.is_some()
            );
        }
    }

    fn timing(&self) -> Timing {
        timing(&self.state)
    }
}

fn timing(state: &State) -> Timing {
    Timing::with_grant_duration(GRANT_DURATION.min(state.bounds.get().max_grant))
}

impl Service {
    fn new(now: Instant) -> Self {
        Self {
            granter: None,
            version: Version::ABSENT,
            plan_absent: false,
            call_pending: false,
            write_unresolved: false,
            written: None,
            restored: restored::Duty::default(),
            backoff: (now, Duration::ZERO),
            loads: Loads::new(now),
            speeds: Speeds::default(),
            last_planned: now,
            changes: 1,
            published: None,
            candidates: (0, now),
        }
    }

    fn is_plan_due(&self, now: Instant) -> bool {
        !self.call_pending
            && self.written.is_none()
            && now >= self.backoff.0
            && now.since(self.last_planned) >= self.loads.plan_interval()
    }

    /// Delays further store calls after a failed one.
    fn back_off(&mut self, now: Instant) {
        let pause = (self.backoff.1 * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff = (now + pause, pause);
    }
}

impl Drop for Grants {
    /// Stops the grants that have not been sent, as another host may be the granter.
    fn drop(&mut self) {
        self.send_until.set(Instant::ZERO);
    }
}

/// Returns whether the process of a holder may still run, by what has registered since.
fn liveness(fleet: &Fleet, holder: &Holder) -> Liveness {
    match fleet.get(&holder.id) {
        Some(server) if server.entry.start_ms > holder.start_ms => Liveness::Restarted,
        Some(server) if server.has_ended() => Liveness::Ended,
        _ => Liveness::MaybeAlive,
    }
}

fn log_freed(service: &str, freed: &[Freed], now: Instant) {
    let age = |at: Option<Instant>| at.map_or("none".to_owned(), |at| ms_until(at, now));
    for keys in freed {
        let reason = match keys.reason {
            Reason::Released => "released",
            Reason::Expired => "expired",
            Reason::Ended => "ended",
            Reason::SameServer => "same-server",
        };
        let account = &keys.account;
        log::info!(
            "event=keys-freed service={service} keys={}-{} fence={} reason={reason} previous={} previous_fence={} due_ms_ago={} arrived_ms_ago={} unconfirmed={} inherited={}",
            keys.from,
            keys.to,
            keys.fence,
            keys.previous.holder.id,
            keys.previous.fence,
            age(account.latest_due),
            age(account.latest_arrival),
            account.unconfirmed,
            account.inherited
        );
    }
}

/// Returns the time from `at` to `now` in milliseconds, negative if `at` is later.
fn ms_until(at: Instant, now: Instant) -> String {
    if at > now {
        format!("-{}", at.since(now).as_millis())
    } else {
        now.since(at).as_millis().to_string()
    }
}

fn deliver(completions: &UnboundedSender<Delivery>, term: u64, completion: Completion) {
    if completions.send(Delivery { term, completion }).is_err() {
        log::debug!("event=completion-dropped reason=\"process ends\"");
    }
}
