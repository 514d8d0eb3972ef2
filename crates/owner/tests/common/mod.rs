//! Simulation of granters, a store and backend servers that runs random schedules of faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragon_model::time::Instant;
use tarragon_owner::balance::Candidate;
use tarragon_owner::granter::{
    Command, CommandOutcome, Granter, Liveness, PlanInputs, SeededFault,
};
use tarragon_owner::loads::Loads;
use tarragon_owner::plan::{Holder, Plan};
use tarragon_owner::votes::{Pledge, Voters};

mod election;
mod network;
mod restore;
mod server;

pub use server::Server;

/// Keys that are observed.
pub const KEYS: [u16; 16] = [
    0, 9, 4_000, 8_192, 9_000, 16_384, 20_000, 24_576, 30_000, 32_768, 36_000, 40_960, 50_000,
    57_344, 60_000, 65_535,
];
/// Simulated time per step.
const STEP: Duration = Duration::from_millis(50);
/// Duration of a grant.
const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Time without a renewal after which another host may win the election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum age of the latest proof that a granter is still elected, for it to send commands.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_300);
/// Time for which half of its voters must follow a later granter until an earlier one has certainly
/// stopped.
const BLOCKED_TIME: Duration = Duration::from_millis(1_600);
/// Time between two steps of a granter above which it counts as having been frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(700);

/// Time after the check that a granter is still elected during which its grants may be sent.
const SEND_WINDOW: Duration = Duration::from_millis(150);

/// Time after which a release without a response is given up.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fault that is put in on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A fault in the granter.
    Granter(SeededFault),
    /// A plan is used before it is written to the store.
    GrantBeforePlan,
    /// A new granter starts its fencing tokens over.
    FenceReused,
    /// A command that was given up stays queued until the link works again.
    KeepUnsent,
    /// A voter returns to an earlier granter.
    ForgetPledge,
    /// A granter counts only the voters of the last write whose response arrived.
    IgnoreProposals,
    /// Versions do not tell the era of the store, as before there were eras.
    IgnoreEra,
    /// A granter takes a plan of an earlier era for the latest one.
    TrustOldPlan,
    /// A claim of a record of an earlier era counts only the granters that it names.
    TrustOldRecord,
    /// A granter that the restored store names goes on as if nobody had replaced it.
    KeepOldTerm,
}

/// Host that can become the granter.
struct Host {
    incarnation: u64,
    granter_state: Option<GranterState>,
    frozen_until: Instant,
    /// Until when it is short of processor time.
    slow_until: Instant,
    unreachable_until: Instant,
    election_seen: (u64, Instant),
    pledge: Pledge,
}

struct GranterState {
    granter: Granter,
    plan_version: u64,
    predecessors: Vec<Predecessor>,
    planned: Instant,
    confirmed: Instant,
    ticked: Instant,
    term: u64,
    voters: Voters,
    /// When the term began, and when the store last confirmed a new version of the record.
    claimed: Instant,
    renewed: Instant,
}

/// Host index and incarnation of its process.
type Process = (usize, u64);

/// Returns the identifier of a process as a voter.
fn voter((host, incarnation): Process) -> String {
    format!("{host}/{incarnation}")
}

/// Earlier granter that is not known to have stopped.
#[derive(Clone)]
struct Predecessor {
    process: Process,
    voters: Vec<String>,
    /// Since when no majority of its voters can confirm it.
    blocked_since: Option<Instant>,
}

impl GranterState {
    /// Returns whether the granter is certainly still elected. After a freeze, only a new
    /// confirmation counts.
    fn is_confirmed(&mut self, followers: &[String], now: Instant) -> bool {
        if now.since(self.ticked) > FREEZE_THRESHOLD {
            self.confirmed = Instant::ZERO;
        }
        self.ticked = now;
        self.count_own_voters(now);
        if self.voters.has_majority(followers) {
            self.confirmed = now;
        }
        now.since(self.confirmed) < MAX_CONFIRMATION_AGE
    }

    fn predecessor_stopped(&mut self, host: usize, now: Instant) {
        self.predecessors
            .retain(|predecessor| predecessor.process.0 != host);
        if self.predecessors.is_empty() {
            self.granter.confirm_sole(now);
        }
    }
}

/// The store: the granter election and the plan, each with its version.
#[derive(Clone)]
struct Store {
    /// Number of times that it came back from an older copy.
    era: u64,
    /// Eras in which the record was written and the plan was reconciled.
    record_era: u64,
    plan_era: u64,
    election: (u64, Option<Process>),
    voters: Vec<String>,
    predecessors: Vec<Predecessor>,
    plan: (u64, Option<Plan>),
    down_until: Instant,
}

enum Event {
    /// A command that was due at the given time is sent, or dropped.
    Send(Process, Instant, Command),
    /// A command that was to be sent is written by a slow host, if it still is the granter.
    Write(Unwritten),
    /// A server restarts.
    Restart(usize),
    /// A server becomes unreachable for some seconds.
    Lose(usize),
    /// A copy of a command arrives at its server.
    Arrive(Sent),
    /// The kernel of the sender gives up a command, and the sender does if it runs.
    GiveUp(Sent),
    Outcome(Process, Command, Instant, Option<Instant>, CommandOutcome),
}

/// Command that its host was allowed to send.
#[derive(Clone)]
struct Unwritten {
    process: Process,
    term: u64,
    /// When it was due, and when its connection was chosen.
    times: (Instant, Instant),
    command: Command,
}

/// Command that was written to a connection.
#[derive(Clone)]
struct Sent {
    number: u64,
    process: Process,
    /// When the command was due, and when it was sent.
    times: (Instant, Instant),
    /// When its connection was chosen.
    connected: Instant,
    command: Command,
}

/// State of the simulation.
pub struct Simulation {
    rng: StdRng,
    fault: Fault,
    /// Whether hosts become short of processor time.
    slow_hosts: bool,
    /// Earlier states of the store, oldest first, if it comes back from them at times.
    copies: Option<VecDeque<Store>>,
    now: Instant,
    store: Store,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    events: BTreeMap<(Instant, u64), Event>,
    count: u64,
    delays_until: Instant,
    /// Commands on connections that are open, by number.
    open: BTreeSet<u64>,
    /// First violation of an invariant.
    pub violation: Option<String>,
    /// Number of grants that backend servers accepted.
    pub granted: u64,
    /// Number of transfers of keys between backend servers.
    pub moved: u64,
}

impl Simulation {
    /// Creates three hosts and five backend servers.
    pub fn new(seed: u64, fault: Fault) -> Self {
        let start = Instant::from_millis(60_000);
        let host = || Host {
            incarnation: 1,
            granter_state: None,
            frozen_until: Instant::ZERO,
            slow_until: Instant::ZERO,
            unreachable_until: Instant::ZERO,
            election_seen: (0, start),
            pledge: Pledge::default(),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            fault,
            slow_hosts: false,
            copies: None,
            now: start,
            store: Store {
                era: 0,
                record_era: 0,
                plan_era: 0,
                election: (1, None),
                voters: Vec::new(),
                predecessors: Vec::new(),
                plan: (1, None),
                down_until: Instant::ZERO,
            },
            hosts: (0..3).map(|_| host()).collect(),
            servers: (0..5).map(Server::new).collect(),
            events: BTreeMap::new(),
            count: 0,
            delays_until: Instant::ZERO,
            open: BTreeSet::new(),
            violation: None,
            granted: 0,
            moved: 0,
        }
    }

    /// Creates a simulation whose hosts become short of processor time.
    ///
    /// They write commands late, also after the time within which a grant must be sent, but not once
    /// they have lost their term. They report outcomes late.
    pub fn with_slow_hosts(seed: u64, fault: Fault) -> Self {
        Self {
            slow_hosts: true,
            ..Self::new(seed, fault)
        }
    }

    /// Runs for `duration` with random faults.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end && self.violation.is_none() {
            self.now = self.now + STEP;
            if self.rng.random_bool(0.02) {
                self.inject_fault();
            }
            if self.slow_hosts && self.rng.random_bool(0.02) {
                self.slow_down();
            }
            self.copy_or_restore();
            self.process_events();
            for host in 0..self.hosts.len() {
                self.step_host(host);
            }
            self.check_invariants();
        }
    }

    /// Stops injecting faults, runs for `recovery`, and returns how many keys were held during the
    /// last seconds.
    ///
    /// Keys still move for load then, so not all of them are held at any one time.
    pub fn keys_held_after_recovery(&mut self, recovery: Duration) -> usize {
        let end = self.now + recovery;
        let window_start = end - Duration::from_secs(4);
        let mut held = [false; KEYS.len()];
        self.store.down_until = Instant::ZERO;
        self.delays_until = Instant::ZERO;
        for host in &mut self.hosts {
            host.slow_until = Instant::ZERO;
        }
        for server in &mut self.servers {
            server.leaving = false;
        }
        while self.now < end && self.violation.is_none() {
            self.now = self.now + STEP;
            self.process_events();
            for host in 0..self.hosts.len() {
                self.step_host(host);
            }
            self.check_invariants();
            let now = self.now;
            if now >= window_start {
                for (key, held) in held.iter_mut().enumerate() {
                    *held |= self.servers.iter().any(|server| server.holds(key, now));
                }
            }
        }
        held.into_iter().filter(|held| *held).count()
    }

    fn inject_fault(&mut self) {
        let now = self.now;
        let duration = Duration::from_millis(self.rng.random_range(300..9_000));
        let host = self.rng.random_range(0..self.hosts.len());
        let server = self.rng.random_range(0..self.servers.len());
        match self.rng.random_range(0..10) {
            0 => self.kill(host),
            1 => self.hosts[host].frozen_until = now + duration,
            2 => self.hosts[host].unreachable_until = now + duration,
            3 => self.store.down_until = now + duration,
            4 => self.servers[server].restart(now),
            5 => self.servers[server].unreachable_until = now + duration,
            6 => self.servers[server].leaving = !self.servers[server].leaving,
            7 => self.delays_until = now + duration,
            8 => self.servers[server].replace(now),
            _ => {
                let granter = self
                    .hosts
                    .iter()
                    .position(|host| host.granter_state.is_some());
                self.kill(granter.unwrap_or(host));
            }
        }
    }

    /// Makes the granter's host slow. At times, a server's keys also go to others that restart at
    /// once, so that some return to it before they are lost again.
    fn slow_down(&mut self) {
        if self.rng.random_bool(0.5) {
            let away = self.rng.random_range(0..self.servers.len());
            let ms = self.rng.random_range(300..700);
            self.servers[away].unreachable_until = self.now + Duration::from_millis(ms);
            for server in (0..self.servers.len()).filter(|server| *server != away) {
                let after = Duration::from_millis(ms + self.rng.random_range(0..200));
                self.push(after, Event::Restart(server));
            }
            let after = Duration::from_millis(ms + self.rng.random_range(500..1_200));
            self.push(after, Event::Lose(away));
        }
        let duration = Duration::from_millis(self.rng.random_range(2_000..12_000));
        let granter = |host: &Host| host.granter_state.is_some();
        if let Some(host) = self.hosts.iter_mut().find(|host| granter(host)) {
            host.slow_until = self.now + duration;
        }
    }

    /// Returns whether a host is short of processor time.
    fn is_slow(&self, host: usize) -> bool {
        self.now < self.hosts[host].slow_until
    }

    fn kill(&mut self, host: usize) {
        let killed = &mut self.hosts[host];
        killed.incarnation += 1;
        killed.granter_state = None;
        killed.pledge = Pledge::default();
        killed.frozen_until = self.now + Duration::from_millis(400);
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + after, self.count), event);
    }

    fn process_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Send(process, due_at, command) => self.send(process, due_at, command),
                Event::Restart(server) => self.servers[server].restart(self.now),
                Event::Lose(server) => {
                    self.servers[server].unreachable_until = self.now + Duration::from_secs(3);
                }
                Event::Write(unwritten) => self.write_late(unwritten),
                Event::Arrive(sent) => self.deliver(sent),
                Event::GiveUp(sent) => self.give_up(sent),
                Event::Outcome((host, incarnation), command, due_at, sent_at, outcome) => {
                    let host = &mut self.hosts[host];
                    if host.incarnation == incarnation
                        && let Some(granter_state) = &mut host.granter_state
                    {
                        granter_state
                            .granter
                            .record_outcome(&command, due_at, sent_at, &outcome);
                    }
                }
            }
        }
    }

    fn step_host(&mut self, index: usize) {
        let now = self.now;
        let delayed = self.is_slow(index) && self.rng.random_bool(0.4);
        if now < self.hosts[index].frozen_until || delayed {
            return;
        }
        let reaches_store =
            now >= self.hosts[index].unreachable_until && now >= self.store.down_until;
        if self.hosts[index].granter_state.is_none() {
            if reaches_store {
                self.try_election(index);
            }
            return;
        }
        if reaches_store {
            self.renew_term(index);
        }
        self.step_down_for_later(index);
        self.detect_ended_predecessors(index);
        self.grant(index, reaches_store);
    }

    fn grant(&mut self, index: usize, reaches_store: bool) {
        let now = self.now;
        let incarnations: BTreeMap<String, u64> = self
            .servers
            .iter()
            .map(|server| (server.id(), server.start_ms))
            .collect();
        let ended: BTreeSet<String> = self.servers.iter().flat_map(Server::former_ids).collect();
        let liveness = |holder: &Holder| match incarnations.get(&holder.id) {
            Some(start_ms) if *start_ms > holder.start_ms => Liveness::Restarted,
            None if ended.contains(&holder.id) => Liveness::Ended,
            _ => Liveness::MaybeAlive,
        };
        let followers = self.followers(index);
        self.rule_out_predecessors(index, &followers);
        if let Some(granter_state) = &mut self.hosts[index].granter_state
            && !granter_state.is_confirmed(&followers, now)
        {
            return;
        }
        let unreachable = now < self.hosts[index].unreachable_until && self.rng.random_bool(0.5);
        let incarnation = self.hosts[index].incarnation;
        let candidates = self.candidates();
        let plan_due = self.hosts[index]
            .granter_state
            .as_ref()
            .is_some_and(|granter_state| {
                reaches_store && now.since(granter_state.planned) >= Duration::from_millis(400)
            });
        let rates = plan_due.then(|| self.loads());
        let Some(granter_state) = &mut self.hosts[index].granter_state else {
            return;
        };
        if let Some(rates) = rates {
            granter_state.planned = now;
            let inputs = PlanInputs {
                candidates: &candidates,
                rates: &rates,
                request_time_s: 0.1,
                min_sequence: restore::first_of_era(granter_state.plan_version),
            };
            if let Some(plan) = granter_state.granter.propose(&inputs, &liveness, now) {
                let early = self.fault == Fault::GrantBeforePlan;
                let current = self.store.plan.0 == granter_state.plan_version;
                if current && !early {
                    self.store.plan = (granter_state.plan_version + 1, Some(plan.clone()));
                }
                if current || early {
                    granter_state.plan_version += 1;
                    granter_state.granter.adopt(plan, now);
                } else {
                    self.hosts[index].granter_state = None;
                    return;
                }
            }
            let own = self.store.plan.0 == granter_state.plan_version;
            if own && !granter_state.granter.is_held_back(now) {
                self.store.plan_era = restore::era_of(granter_state.plan_version);
            }
        }
        let commands = granter_state.granter.commands(&liveness, now);
        for command in commands {
            if unreachable {
                let process = (index, incarnation);
                self.report(process, command, (now, None), CommandOutcome::NotSent);
                continue;
            }
            let slow = self.rng.random_bool(0.2);
            let range = if slow { 300..800 } else { 1..120 };
            let delay = self.rng.random_range(range);
            let delay = Duration::from_millis(delay);
            self.push(delay, Event::Send((index, incarnation), now, command));
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let available = self.servers.iter().filter(|server| {
            let reached = self.now >= server.unreachable_until;
            !server.leaving && reached
        });
        available
            .map(|server| Candidate {
                holder: server.holder(),
                capacity: 6.0,
                throughput: 6.0,
            })
            .collect()
    }

    /// Returns traffic whose hot keys change every few seconds.
    fn loads(&self) -> tarragon_owner::loads::Rates {
        let mut loads = Loads::new(self.now - Duration::from_secs(9));
        let phase = usize::try_from(self.now.as_micros() / 4_000_000).unwrap_or_default();
        for (index, key) in KEYS.iter().enumerate() {
            let hot = (index + phase).is_multiple_of(5);
            loads.add(*key, if hot { 530.0 } else { 53.0 });
        }
        loads.rates(self.now)
    }

    /// Checks that no two backend servers hold the same key, and that no granter that was ruled out
    /// sends commands.
    fn check_invariants(&mut self) {
        let now = self.now;
        if let Some(host) = self.ruled_out_granter() {
            self.violation = Some(format!("host {host} still sends commands"));
        }
        for index in 0..self.servers.len() {
            for (arrival, command) in self.servers[index].take_due(now) {
                self.execute(index, arrival, &command);
            }
        }
        for (key, value) in KEYS.iter().enumerate() {
            let holders: Vec<String> = self
                .servers
                .iter()
                .filter(|server| server.holds(key, now))
                .map(Server::id)
                .collect();
            if holders.len() > 1 {
                self.violation = Some(format!("key {value} is held by {holders:?}"));
            }
        }
    }
}
