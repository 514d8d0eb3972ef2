//! What the leader of a shard does with requests and with the ownership of keys.
//!
//! The engine lives as long as this process leads the shard without a break. Everything that a
//! successor must know goes through the [`Log`]; the engine acts on an entry once a standby has it.

mod backends;
mod crash;
mod intake;
mod moves;
mod report;
mod results;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use tarragon_lease::member::Member;
use tarragon_lease::output::Output as LeaseOutput;
use tarragon_ledger::ledger::{self, Ledger};
use tarragon_ledger::quarantine::{self, Quarantine};
use tarragon_model::config::{Config, Preset, Service};
use tarragon_model::fence::Fence;
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_model::time::Instant;
use tarragon_model::{key, shard};
use tarragon_policy::budget::Budget;
use tarragon_policy::placement::Planner;
use tarragon_policy::scheduler::{self, Scheduler};
use tarragon_timeline::event::{Draft, Kind, Name};

use crate::engine::crash::{Spread, Trial};
use crate::flight::{Flight, Phase};
use crate::health::{Health, Standing};
use crate::input::Now;
use crate::occupancy::Occupancy;
use crate::output::Output;
use crate::policies::Policies;
use crate::state::{Entry, NOBODY, State};

/// Requests that one shard's leader answers for at a time, at most.
const MAX_FLIGHTS: usize = 20_000;
/// Time between two looks for identifiers that are too old to matter.
const EXPIRE_EVERY: Duration = Duration::from_secs(30);

/// Way to append entries to the state that standbys hold.
pub struct Log<'a> {
    /// The lease protocol's member for the shard.
    pub member: &'a mut Member<State>,
    /// What the member asks for.
    pub out: &'a mut Vec<LeaseOutput<State>>,
}

impl Log<'_> {
    /// Appends an entry and returns its index; `u64::MAX` when this process leads no more.
    pub fn append(&mut self, now: Instant, entry: Entry) -> u64 {
        self.member.append(now, entry, self.out).unwrap_or(u64::MAX)
    }

    /// Returns the state with all appended entries.
    #[must_use]
    pub fn state(&self) -> &State {
        self.member.state()
    }
}

/// What follows once a standby holds an entry.
#[derive(Clone, Debug)]
enum Effect {
    /// The configuration is in force.
    Config(u64),
    /// All groups have these owners.
    Owners(Vec<u16>),
    /// A group has this owner.
    Owner { position: u32, backend: u16 },
    /// A key has this owner.
    Override {
        key: key::Hash,
        backend: Option<u16>,
    },
    /// The request may be handed to its backend server.
    Dispatch(u64),
}

/// What the engine is made from.
#[derive(Clone, Copy, Debug)]
pub struct Setup<'a> {
    /// The shard.
    pub shard: &'a shard::Id,
    /// Fence of the reign.
    pub fence: Fence,
    /// Configuration known.
    pub config: &'a Config,
    /// Version of the configuration.
    pub config_version: u64,
    /// Whether an earlier leader may still have work running.
    pub succeeds: bool,
    /// Policies to use.
    pub policies: &'a Policies,
    /// Seeded fault: keys of a lost backend server move without waiting for the end of its work.
    pub no_regrant_wait: bool,
    /// Seeded fault: requests that are not idempotent are sent again after a broken connection.
    pub resend_after_first_byte: bool,
}

/// The leader's part of a shard.
pub struct Engine {
    shard: shard::Id,
    fence: Fence,
    service: Service,
    preset: Preset,
    first_group: u32,
    config_version: u64,
    config_in_force: u64,
    scheduler: Scheduler,
    planner: Box<dyn Planner>,
    policies: Policies,
    budget: Budget,
    health: Vec<Health>,
    standings: Vec<Option<Standing>>,
    owners: Vec<u16>,
    overrides: BTreeMap<key::Hash, u16>,
    moving: HashSet<u32>,
    moving_keys: HashSet<key::Hash>,
    occupancy: Occupancy,
    flights: HashMap<u64, Flight>,
    held: Vec<u64>,
    identifiers: HashMap<u128, u64>,
    trials: HashMap<u16, Trial>,
    spread: Spread,
    effects: VecDeque<(u64, Effect)>,
    actions: Vec<scheduler::Action>,
    next_plan: Instant,
    next_expiry: Instant,
    dirty: bool,
    orphan_wait: Duration,
    began: Instant,
    succeeds: bool,
    flaws: Flaws,
    broken_invariants: BTreeMap<&'static str, u64>,
}

/// Rules broken on purpose.
#[derive(Clone, Copy, Debug)]
struct Flaws {
    no_regrant_wait: bool,
    resend_after_first_byte: bool,
}

impl Engine {
    /// Starts to lead a shard; `None` when the configuration does not know its service.
    pub fn new(now: Now, setup: Setup<'_>, log: &mut Log<'_>) -> Option<Self> {
        let service = setup.config.service(setup.shard.service.as_str())?.clone();
        let first_group = service.groups_of(setup.shard.index).next()?.0;
        let preset = setup.config.active_preset().clone();
        let mut engine = Self {
            shard: setup.shard.clone(),
            fence: setup.fence,
            first_group,
            config_version: setup.config_version,
            config_in_force: log.state().config_version,
            scheduler: Scheduler::new(&settings(&service, &preset, setup.policies)),
            planner: setup.policies.planner()?,
            policies: setup.policies.clone(),
            budget: Budget::new(preset.retry_percent),
            orphan_wait: Duration::from_millis(u64::from(service.orphan_ms)),
            health: Vec::new(),
            standings: Vec::new(),
            owners: log.state().owners.clone(),
            overrides: log.state().overrides.clone(),
            moving: HashSet::new(),
            moving_keys: HashSet::new(),
            occupancy: Occupancy::default(),
            flights: HashMap::new(),
            held: Vec::new(),
            identifiers: HashMap::new(),
            trials: HashMap::new(),
            spread: Spread::default(),
            effects: VecDeque::new(),
            actions: Vec::new(),
            next_plan: now.at,
            next_expiry: now.at + EXPIRE_EVERY,
            dirty: setup.fence.succession > 0,
            began: now.at,
            succeeds: setup.succeeds,
            flaws: Flaws {
                no_regrant_wait: setup.no_regrant_wait,
                resend_after_first_byte: setup.resend_after_first_byte,
            },
            broken_invariants: BTreeMap::new(),
            service,
            preset,
        };
        log.append(now.at, Entry::Ledger(ledger::Entry::TermStarted));
        Self::settle_suspect(now, log);
        engine.adopt_backends(now, log);
        engine.accept_config(now, log);
        engine.found(now, log);
        Some(engine)
    }

    /// Goes on under a new reign of the same process.
    pub fn renew(&mut self, fence: Fence) {
        self.fence = fence;
        for health in &mut self.health {
            health.fenced(self.began);
        }
    }

    /// Applies a new configuration.
    pub fn configure(&mut self, now: Now, version: u64, config: &Config, log: &mut Log<'_>) {
        let Some(service) = config.service(self.shard.service.as_str()) else {
            return;
        };
        if version <= self.config_version {
            return;
        }
        self.config_version = version;
        self.service = service.clone();
        self.preset = config.active_preset().clone();
        self.adopt_backends(now, log);
        self.accept_config(now, log);
    }

    /// Takes in that a standby holds all entries up to `index`.
    pub fn committed(&mut self, now: Now, index: u64, out: &mut Vec<Output>, log: &mut Log<'_>) {
        while self.effects.front().is_some_and(|(at, _)| *at <= index) {
            if let Some((_, effect)) = self.effects.pop_front() {
                self.take_effect(now, effect, out, log);
            }
        }
    }

    /// Takes in that time passed.
    pub fn tick(&mut self, now: Now, out: &mut Vec<Output>, log: &mut Log<'_>) {
        self.watch_backends(now, out, log);
        self.plan_moves(now, out, log);
        self.retry_held(now, out, log);
        self.pump(now, out, log);
        self.expire_memory(now, log);
    }

    /// Returns whether owners changed since the last call.
    pub fn take_dirty(&mut self) -> bool {
        std::mem::take(&mut self.dirty)
    }

    /// Marks the owners as not yet written to the store.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Tells whether the engine answers for a request.
    #[must_use]
    pub fn answers_for(&self, id: u64) -> bool {
        self.flights.contains_key(&id)
    }

    /// Returns the number of requests answered for.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Refuses every request that was not handed over, since this process leads no more.
    pub fn dismiss(&mut self, reason: Reason, out: &mut Vec<Output>) {
        let waiting: Vec<u64> = self
            .flights
            .iter()
            .filter(|(_, flight)| !flight.is_out())
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            if let Some(flight) = self.flights.remove(&id) {
                let outcome = flight.outcome_now();
                out.push(Output::Refuse {
                    id,
                    outcome,
                    reason,
                    status: None,
                });
            }
        }
    }

    /// Forgets identifiers and suspicions that are too old to matter.
    fn expire_memory(&mut self, now: Now, log: &mut Log<'_>) {
        if now.at < self.next_expiry {
            return;
        }
        self.next_expiry = now.at + EXPIRE_EVERY;
        let before = Ledger::expiry_cutoff_ms(now.unix_ms);
        log.append(now.at, Entry::Ledger(ledger::Entry::Expire { before }));
        let before = Quarantine::expiry_cutoff_ms(now.unix_ms);
        log.append(
            now.at,
            Entry::Quarantine(quarantine::Entry::Expire { before }),
        );
    }

    fn accept_config(&mut self, now: Now, log: &mut Log<'_>) {
        self.scheduler.configure(
            now.at,
            &settings(&self.service, &self.preset, &self.policies),
        );
        self.budget.configure(self.preset.retry_percent);
        let index = log.append(now.at, Entry::Config(self.config_version));
        self.effects
            .push_back((index, Effect::Config(self.config_version)));
    }

    fn take_effect(&mut self, now: Now, effect: Effect, out: &mut Vec<Output>, log: &mut Log<'_>) {
        match effect {
            Effect::Config(version) => self.config_took_effect(version, out),
            Effect::Owners(owners) => {
                self.owners = owners;
                self.dirty = true;
            }
            Effect::Owner { position, backend } => {
                self.owner_took_effect(now, position, backend, out);
            }
            Effect::Override { key, backend } => self.override_took_effect(now, key, backend, out),
            Effect::Dispatch(id) => self.dispatch_recorded(now, id, out, log),
        }
    }

    fn config_took_effect(&mut self, version: u64, out: &mut Vec<Output>) {
        if version < self.config_in_force {
            self.broken("config-reverted");
        }
        self.config_in_force = version;
        let draft = self.event(Kind::ConfigApplied).with(Name::Version, version);
        out.push(Output::Event(draft));
    }

    fn event(&self, kind: Kind) -> Draft {
        Draft::new(kind)
            .with(Name::Shard, &self.shard)
            .with(Name::Fence, self.fence)
    }

    /// Counts a broken invariant; experiments fail when any is counted.
    fn broken(&mut self, name: &'static str) {
        *self.broken_invariants.entry(name).or_default() += 1;
        log::error!("event=invariant-broken shard={} name={name}", self.shard);
    }

    fn refuse(&mut self, id: u64, reason: Reason, out: &mut Vec<Output>) {
        if let Some(flight) = self.forget(id) {
            let outcome = flight.outcome_now();
            out.push(Output::Refuse {
                id,
                outcome,
                reason,
                status: None,
            });
        }
    }

    /// Drops a request from the books; its slot must have been given back.
    fn forget(&mut self, id: u64) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        if let Some(identifier) = flight.submission.identifier {
            self.identifiers.remove(&identifier);
        }
        Some(flight)
    }

    fn owner_of(&self, group: key::Group, key: key::Hash) -> u16 {
        if let Some(owner) = self.overrides.get(&key) {
            return *owner;
        }
        let position = group.0.wrapping_sub(self.first_group) as usize;
        self.owners.get(position).copied().unwrap_or(NOBODY)
    }
}

impl Flight {
    /// Returns what may be said of the request if it is given up now.
    fn outcome_now(&self) -> Outcome {
        let out = matches!(self.phase, Phase::Sent | Phase::Responded | Phase::Judging);
        if out || self.history.maybe_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}

fn settings(service: &Service, preset: &Preset, policies: &Policies) -> scheduler::Settings {
    policies.applied(scheduler::Settings {
        classes: service.classes.clone(),
        preset: preset.clone(),
        ..scheduler::Settings::new(service.slots, service.connections)
    })
}
