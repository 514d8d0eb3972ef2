//! Request handling and key ownership of a shard's leader.
//!
//! An engine exists as long as this process leads the shard without interruption. Everything that a
//! successor must know is appended to the [`Log`], and the engine acts on an entry only once a
//! standby holds it.

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

use crate::engine::crash::{Containment, SuspectedCrash};
use crate::health::{Availability, Health};
use crate::input::Now;
use crate::occupancy::Occupancy;
use crate::output::Output;
use crate::policies::Policies;
use crate::request::{ActiveRequest, Phase};
use crate::state::{Entry, NO_OWNER, State};

/// Maximum number of requests that one shard's leader tracks at a time.
const MAX_REQUESTS: usize = 20_000;
/// Time between two removals of expired identifiers and suspects.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(30);

/// Access to the replicated state of the shard.
pub struct Log<'a> {
    /// Member of the lease protocol for the shard.
    pub member: &'a mut Member<State>,
    /// Receives the outputs of the member.
    pub out: &'a mut Vec<LeaseOutput<State>>,
}

impl Log<'_> {
    /// Appends an entry and returns its index; `u64::MAX` if this process no longer leads.
    pub fn append(&mut self, now: Instant, entry: Entry) -> u64 {
        self.member.append(now, entry, self.out).unwrap_or(u64::MAX)
    }

    /// Returns the state including all appended entries.
    #[must_use]
    pub fn state(&self) -> &State {
        self.member.state()
    }
}

/// Effect of an entry, applied once a standby holds the entry.
#[derive(Clone, Debug)]
enum Effect {
    /// The configuration version is applied.
    Config(u64),
    /// All groups have these owners.
    Owners(Vec<u16>),
    /// A group has this owner.
    Owner { position: u32, backend: u16 },
    /// A key has this owner, or follows its group if `None`.
    Override {
        key: key::Hash,
        backend: Option<u16>,
    },
    /// The request may be sent to its backend server.
    Dispatch(u64),
}

/// Initial parameters of an [`Engine`].
#[derive(Clone, Copy, Debug)]
pub struct Setup<'a> {
    /// Shard to lead.
    pub shard: &'a shard::Id,
    /// Fence of the term.
    pub fence: Fence,
    /// Latest known configuration.
    pub config: &'a Config,
    /// Version of the configuration.
    pub config_version: u64,
    /// Whether work of an earlier leader may still be running.
    pub has_predecessor: bool,
    /// Policies to use.
    pub policies: &'a Policies,
    /// Seeded fault: keys of a lost backend server move without waiting for its work to end.
    pub no_regrant_wait: bool,
    /// Seeded fault: requests that are not idempotent are resent after a broken connection.
    pub resend_after_first_byte: bool,
}

/// State of a shard's leader.
pub struct Engine {
    shard: shard::Id,
    /// Fence of the current term.
    fence: Fence,
    /// Latest known configuration of the shard's service.
    service: Service,
    /// Active preset of the latest known configuration.
    preset: Preset,
    /// First key group of the shard.
    first_group: u32,
    /// Version of the latest known configuration.
    config_version: u64,
    /// Version of the latest configuration that a standby holds.
    applied_config_version: u64,
    /// Queues of admitted requests and slots of the backend servers.
    scheduler: Scheduler,
    /// Decides which keys move.
    planner: Box<dyn Planner>,
    policies: Policies,
    budget: Budget,
    /// Health of the backend servers, by position in [`State::backends`].
    health: Vec<Health>,
    /// Availability as last reported to the scheduler, by position.
    last_availability: Vec<Option<Availability>>,
    /// Owners of the groups whose entries a standby holds, by position.
    owners: Vec<u16>,
    /// Owners of keys whose entries a standby holds.
    overrides: BTreeMap<key::Hash, u16>,
    /// Groups whose move is being replicated.
    moving: HashSet<u32>,
    /// Keys whose move is being replicated.
    moving_keys: HashSet<key::Hash>,
    /// Keys with work that may still run.
    occupancy: Occupancy,
    /// Tracked requests by their number.
    requests: HashMap<u64, ActiveRequest>,
    /// Requests to route again; some may have left [`Phase::Held`].
    held: Vec<u64>,
    /// Tracked requests by their identifier.
    identifiers: HashMap<u128, u64>,
    /// Possible crashes that are not yet confirmed, by backend server.
    suspected_crashes: HashMap<u16, SuspectedCrash>,
    /// Limits where requests that never succeeded run.
    containment: Containment,
    /// Effects of entries that no standby holds yet, by index of the entry.
    effects: VecDeque<(u64, Effect)>,
    /// Buffer for the scheduler's actions, reused between calls.
    actions: Vec<scheduler::Action>,
    /// Time of the next plan of moves.
    next_plan: Instant,
    /// Time of the next removal of expired entries.
    next_expiry: Instant,
    /// Whether owners changed since they were last written to the store.
    dirty: bool,
    /// Upper bound on the run time of work without a connection.
    orphan_wait: Duration,
    /// When this process started to lead the shard.
    started_at: Instant,
    /// Whether work of an earlier leader may still be running.
    has_predecessor: bool,
    /// Faults put in on purpose by tests.
    seeded_faults: SeededFaults,
    /// How often each invariant was broken.
    broken_invariants: BTreeMap<&'static str, u64>,
}

/// Rules that are broken on purpose, so that a test proves that it detects this.
#[derive(Clone, Copy, Debug)]
struct SeededFaults {
    no_regrant_wait: bool,
    resend_after_first_byte: bool,
}

impl Engine {
    /// Starts to lead a shard; `None` if the configuration does not contain its service.
    pub fn new(now: Now, setup: Setup<'_>, log: &mut Log<'_>) -> Option<Self> {
        let service = setup.config.service(setup.shard.service.as_str())?.clone();
        let first_group = service.groups_of(setup.shard.index).next()?.0;
        let preset = setup.config.active_preset().clone();
        let mut engine = Self {
            shard: setup.shard.clone(),
            fence: setup.fence,
            first_group,
            config_version: setup.config_version,
            applied_config_version: log.state().config_version,
            scheduler: Scheduler::new(&settings(&service, &preset, setup.policies)),
            planner: setup.policies.planner()?,
            policies: setup.policies.clone(),
            budget: Budget::new(preset.retry_percent),
            orphan_wait: Duration::from_millis(u64::from(service.orphan_ms)),
            health: Vec::new(),
            last_availability: Vec::new(),
            owners: log.state().owners.clone(),
            overrides: log.state().overrides.clone(),
            moving: HashSet::new(),
            moving_keys: HashSet::new(),
            occupancy: Occupancy::default(),
            requests: HashMap::new(),
            held: Vec::new(),
            identifiers: HashMap::new(),
            suspected_crashes: HashMap::new(),
            containment: Containment::default(),
            effects: VecDeque::new(),
            actions: Vec::new(),
            next_plan: now.at,
            next_expiry: now.at + EXPIRY_INTERVAL,
            dirty: setup.fence.succession > 0,
            started_at: now.at,
            has_predecessor: setup.has_predecessor,
            seeded_faults: SeededFaults {
                no_regrant_wait: setup.no_regrant_wait,
                resend_after_first_byte: setup.resend_after_first_byte,
            },
            broken_invariants: BTreeMap::new(),
            service,
            preset,
        };
        log.append(now.at, Entry::Ledger(ledger::Entry::TermStarted));
        Self::resolve_suspect(now, log);
        engine.adopt_backends(now, log);
        engine.accept_config(now, log);
        engine.assign_initial_owners(now, log);
        Some(engine)
    }

    /// Continues in a new term of the same process.
    pub fn start_term(&mut self, fence: Fence) {
        self.fence = fence;
        for health in &mut self.health {
            health.handle_fenced(self.started_at);
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

    /// Handles that a standby holds all entries up to `index`.
    pub fn handle_commit(
        &mut self,
        now: Now,
        index: u64,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        while self.effects.front().is_some_and(|(at, _)| *at <= index) {
            if let Some((_, effect)) = self.effects.pop_front() {
                self.apply_effect(now, effect, out, log);
            }
        }
    }

    /// Performs the work that is due at `now`.
    pub fn tick(&mut self, now: Now, out: &mut Vec<Output>, log: &mut Log<'_>) {
        self.watch_backends(now, out, log);
        self.plan_moves(now, out, log);
        self.retry_held(now, out, log);
        self.run_scheduler(now, out, log);
        self.expire_records(now, log);
    }

    /// Returns whether owners changed since the last call, and clears the mark.
    pub fn take_dirty(&mut self) -> bool {
        std::mem::take(&mut self.dirty)
    }

    /// Marks the owners as not yet written to the store.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Returns whether the engine tracks a request.
    #[must_use]
    pub fn is_tracking(&self, id: u64) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns the number of tracked requests.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Refuses every request that is not dispatched, since this process no longer leads.
    pub fn refuse_waiting(&mut self, reason: Reason, out: &mut Vec<Output>) {
        let waiting: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_dispatched())
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            if let Some(request) = self.requests.remove(&id) {
                let outcome = request.current_outcome();
                out.push(Output::Refuse {
                    id,
                    outcome,
                    reason,
                    status: None,
                });
            }
        }
    }

    /// Removes expired identifiers and suspects.
    fn expire_records(&mut self, now: Now, log: &mut Log<'_>) {
        if now.at < self.next_expiry {
            return;
        }
        self.next_expiry = now.at + EXPIRY_INTERVAL;
        let before = Ledger::expiry_cutoff_ms(now.unix_ms);
        log.append(now.at, Entry::Ledger(ledger::Entry::Expire { before }));
        let before = Quarantine::expiry_cutoff_ms(now.unix_ms);
        log.append(
            now.at,
            Entry::Quarantine(quarantine::Entry::Expire { before }),
        );
    }

    /// Applies the latest known configuration here and replicates its version.
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

    /// Applies the effect of an entry that a standby now holds.
    fn apply_effect(&mut self, now: Now, effect: Effect, out: &mut Vec<Output>, log: &mut Log<'_>) {
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

    /// Records that a standby holds the version of a configuration.
    fn config_took_effect(&mut self, version: u64, out: &mut Vec<Output>) {
        if version < self.applied_config_version {
            self.record_violation("config-reverted");
        }
        self.applied_config_version = version;
        let draft = self.event(Kind::ConfigApplied).with(Name::Version, version);
        out.push(Output::Event(draft));
    }

    /// Starts a timeline event of this shard and term.
    fn event(&self, kind: Kind) -> Draft {
        Draft::new(kind)
            .with(Name::Shard, &self.shard)
            .with(Name::Fence, self.fence)
    }

    /// Counts a broken invariant; experiments fail when any is counted.
    fn record_violation(&mut self, name: &'static str) {
        *self.broken_invariants.entry(name).or_default() += 1;
        log::error!("event=invariant-broken shard={} name={name}", self.shard);
    }

    /// Stops tracking a request and refuses it.
    fn refuse(&mut self, id: u64, reason: Reason, out: &mut Vec<Output>) {
        if let Some(request) = self.remove_request(id) {
            let outcome = request.current_outcome();
            out.push(Output::Refuse {
                id,
                outcome,
                reason,
                status: None,
            });
        }
    }

    /// Stops tracking a request; its slot must have been released.
    fn remove_request(&mut self, id: u64) -> Option<ActiveRequest> {
        let request = self.requests.remove(&id)?;
        if let Some(identifier) = request.submission.identifier {
            self.identifiers.remove(&identifier);
        }
        Some(request)
    }

    /// Returns the current owner of a key.
    fn owner_of(&self, group: key::Group, key: key::Hash) -> u16 {
        if let Some(owner) = self.overrides.get(&key) {
            return *owner;
        }
        let position = group.0.wrapping_sub(self.first_group) as usize;
        self.owners.get(position).copied().unwrap_or(NO_OWNER)
    }
}

impl ActiveRequest {
    /// Returns the outcome to report if the request is given up now.
    fn current_outcome(&self) -> Outcome {
        let dispatched = matches!(
            self.phase,
            Phase::Sent | Phase::Responded | Phase::CheckingCrash
        );
        if dispatched || self.history.maybe_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}

/// Returns the scheduler's settings for a service.
fn settings(service: &Service, preset: &Preset, policies: &Policies) -> scheduler::Settings {
    policies.applied(scheduler::Settings {
        classes: service.classes.clone(),
        preset: preset.clone(),
        ..scheduler::Settings::new(service.slots, service.connections)
    })
}
