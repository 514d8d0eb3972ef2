//! Simulation of granters, a store and backend servers that runs random schedules of faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragon_model::time::Instant;
use tarragon_owner::balance::Candidate;
use tarragon_owner::granter::{
    Action, Command, CommandOutcome, Granter, Liveness, PlanInputs, SeededFault, Timing,
};
use tarragon_owner::loads::Loads;
use tarragon_owner::plan::{Holder, Plan};
use tarragon_owner::votes::{self, Pledge, Voters};

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
}

/// Host that can become the granter.
struct Host {
    incarnation: u64,
    granter_state: Option<GranterState>,
    frozen_until: Instant,
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
struct Store {
    election: (u64, Option<Process>),
    voters: Vec<String>,
    predecessors: Vec<Predecessor>,
    plan: (u64, Option<Plan>),
    down_until: Instant,
}

enum Event {
    /// A command that was due at the given time is sent, or dropped.
    Send(Process, Instant, Command),
    /// A copy of a command arrives at its server.
    Arrive(Sent),
    /// The kernel of the sender gives up a command, and the sender does if it runs.
    GiveUp(Sent),
    Outcome(Process, Command, Instant, Option<Instant>, CommandOutcome),
}

/// Command that was written to a connection.
#[derive(Clone)]
struct Sent {
    number: u64,
    process: Process,
    /// When the command was due, and when it was sent.
    times: (Instant, Instant),
    command: Command,
}

/// State of the simulation.
pub struct Simulation {
    rng: StdRng,
    fault: Fault,
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
            unreachable_until: Instant::ZERO,
            election_seen: (0, start),
            pledge: Pledge::default(),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            fault,
            now: start,
            store: Store {
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

    /// Runs for `duration` with random faults.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end && self.violation.is_none() {
            self.now = self.now + STEP;
            if self.rng.random_bool(0.02) {
                self.inject_fault();
            }
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

    /// Sends a command, unless its host is no longer the granter or the command is late.
    fn send(&mut self, process: Process, due_at: Instant, command: Command) {
        let now = self.now;
        let (host, incarnation) = process;
        let same_process = self.hosts[host].incarnation == incarnation;
        if !same_process || now < self.hosts[host].frozen_until {
            return;
        }
        let timing = Timing::with_grant_duration(GRANT_DURATION);
        let may_send = self.hosts[host]
            .granter_state
            .as_ref()
            .is_some_and(|granter_state| {
                now.since(granter_state.confirmed) < MAX_CONFIRMATION_AGE
                    && now.since(granter_state.ticked) <= SEND_WINDOW
            });
        let grant = command.action == Action::Grant;
        if grant && (!may_send || now.since(due_at) > timing.max_send_delay) {
            self.push(
                STEP,
                Event::Outcome(process, command, due_at, None, CommandOutcome::NotSent),
            );
            return;
        }
        self.count += 1;
        let sent = Sent {
            number: self.count,
            process,
            times: (due_at, now),
            command,
        };
        self.open.insert(sent.number);
        // Copies arrive independently of each other, and after commands that were sent later.
        let copies = if self.rng.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.rng.random_bool(0.2);
            let range = if slow { 400..945 } else { 10..80 };
            let latency = self.rng.random_range(range);
            let latency = Duration::from_millis(latency);
            self.push(latency, Event::Arrive(sent.clone()));
        }
        let timeout = if grant {
            timing.response_timeout
        } else {
            RELEASE_TIMEOUT
        };
        self.push(timeout, Event::GiveUp(sent));
    }

    /// Closes the connection of a command that got no response.
    ///
    /// The kernel does so even while the host is frozen. The host notices when it runs again.
    fn give_up(&mut self, sent: Sent) {
        if !self.open.contains(&sent.number) {
            return;
        }
        if self.fault != Fault::KeepUnsent {
            self.open.remove(&sent.number);
        }
        let (host, _) = sent.process;
        let frozen = self.hosts[host].frozen_until.since(self.now);
        let noticed = self.now + frozen;
        let outcome = Event::Outcome(
            sent.process,
            sent.command,
            sent.times.0,
            Some(noticed),
            CommandOutcome::Unknown,
        );
        self.push(frozen, outcome);
    }

    /// Delivers a command to its server, which executes it now or later and may respond.
    ///
    /// A command that cannot arrive stays queued at its sender while the connection is open. One
    /// that left the host before the connection was closed still arrives for a limited time.
    fn deliver(&mut self, sent: Sent) {
        let now = self.now;
        let timing = Timing::with_grant_duration(GRANT_DURATION);
        let Sent {
            number,
            process,
            times: (due_at, sent_at),
            command,
        } = sent.clone();
        let index = self
            .servers
            .iter()
            .position(|server| server.id() == command.server.id);
        let Some(index) = index else { return };
        let open = self.open.contains(&number);
        if now < self.servers[index].unreachable_until {
            if open {
                let retransmission = Duration::from_millis(self.rng.random_range(20..300));
                self.push(retransmission, Event::Arrive(sent));
            }
            return;
        }
        let in_transit = now.since(sent_at) <= timing.response_timeout + timing.max_transit;
        // A connection breaks when its server restarts, so only commands sent later reach the new
        // process.
        let broken = self.servers[index].started > sent_at;
        if broken || !(open || in_transit) {
            return;
        }
        let delayed = now < self.delays_until && self.rng.random_bool(0.4);
        let arrival = now;
        if delayed {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.servers[index].postpone(now + delay, arrival, command);
            return;
        }
        let (accepted, outcome) = self.execute(index, arrival, &command);
        self.granted += u64::from(accepted);
        let responds = self.rng.random_bool(0.97);
        if responds && self.open.remove(&number) {
            self.push(
                STEP,
                Event::Outcome(process, command, due_at, Some(sent_at), outcome),
            );
        }
    }

    fn execute(
        &mut self,
        index: usize,
        arrival: Instant,
        command: &Command,
    ) -> (bool, CommandOutcome) {
        let now = self.now;
        let others: Vec<u64> = (0..KEYS.len())
            .map(|key| {
                let others = self.servers.iter().enumerate();
                let others = others.filter(|(other, _)| *other != index);
                others
                    .map(|(_, server)| server.accepted[key])
                    .max()
                    .unwrap_or(0)
            })
            .collect();
        let server = &mut self.servers[index];
        if command.action == Action::Release {
            server.release(command);
            return (
                false,
                CommandOutcome::Done {
                    handover: Some("state".to_owned()),
                },
            );
        }
        if !server.accepts(command) {
            return (false, CommandOutcome::StaleFence);
        }
        // A grant that is executed after its expiry holds no keys, so its fencing token is not
        // used.
        let expired = arrival + GRANT_DURATION <= now;
        for (key, value) in KEYS.iter().enumerate() {
            let within = !expired && (command.from..=command.to).contains(value);
            if within && others[key] >= command.fence && server.accepted[key] < command.fence {
                let text = format!("fence {} reused for key {value}", command.fence);
                self.violation = Some(text);
                return (false, CommandOutcome::StaleFence);
            }
        }
        let first_time = server.grant(command, arrival + GRANT_DURATION, now);
        self.moved += u64::from(first_time);
        (true, CommandOutcome::Done { handover: None })
    }

    fn step_host(&mut self, index: usize) {
        let now = self.now;
        if now < self.hosts[index].frozen_until {
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

    /// Becomes the granter if nobody is, or if the current one has not renewed its term for long.
    fn try_election(&mut self, index: usize) {
        let (version, holder) = self.store.election;
        let incarnation = self.hosts[index].incarnation;
        let election_seen = &mut self.hosts[index].election_seen;
        if election_seen.0 != version {
            *election_seen = (version, self.now);
        }
        let own = holder.is_some_and(|(host, _)| host == index);
        if holder.is_some() && !own && self.now.since(election_seen.1) < ELECTION_TIMEOUT {
            return;
        }
        self.store.election = (version + 1, Some((index, incarnation)));
        self.store.predecessors.retain(|p| p.process.0 != index);
        let voters = std::mem::replace(&mut self.store.voters, vec![voter((index, incarnation))]);
        let replaced = holder.filter(|_| !own).map(|process| Predecessor {
            process,
            voters,
            blocked_since: None,
        });
        self.store.predecessors.extend(replaced);
        self.hosts[index].pledge.follow(version + 1);
        let predecessors = self.store.predecessors.clone();
        let (plan_version, plan) = self.store.plan.clone();
        let first = plan.is_none();
        let mut plan = plan.unwrap_or_else(|| {
            let holders: Vec<_> = self.servers.iter().map(|s| (s.holder(), 1.0)).collect();
            Plan::assign(&holders, 2)
        });
        if first {
            self.store.plan = (plan_version + 1, Some(plan.clone()));
        }
        if self.fault == Fault::FenceReused {
            plan.sequence = 1;
        }
        let sole = predecessors.is_empty();
        let granter_fault = match self.fault {
            Fault::Granter(granter_fault) => granter_fault,
            _ => SeededFault::None,
        };
        let granter = Granter::new(
            plan,
            sole,
            Timing::with_grant_duration(GRANT_DURATION),
            self.now,
        )
        .with_seeded_fault(granter_fault);
        self.hosts[index].granter_state = Some(GranterState {
            granter,
            plan_version: self.store.plan.0,
            predecessors,
            planned: self.now,
            confirmed: self.now,
            ticked: self.now,
            term: version + 1,
            voters: Voters::new(self.store.voters.clone()),
        });
    }

    fn renew_term(&mut self, index: usize) {
        let (version, holder) = self.store.election;
        if holder == Some((index, self.hosts[index].incarnation)) {
            let followers = self.followers(index);
            let lost = self.rng.random_bool(0.5);
            if let Some(granter_state) = &mut self.hosts[index].granter_state {
                self.store
                    .predecessors
                    .clone_from(&granter_state.predecessors);
                self.store.voters.clone_from(&followers);
                let proposal = if self.fault == Fault::IgnoreProposals {
                    0
                } else {
                    granter_state.voters.propose(&followers)
                };
                if !lost {
                    granter_state.voters.confirm(proposal, followers);
                    granter_state.confirmed = self.now;
                }
            }
            if self.rng.random_bool(0.05) {
                self.store.election.0 = version + 1;
            }
        } else if let Some(granter_state) = &mut self.hosts[index].granter_state {
            granter_state.granter.step_down();
            if self.fault != Fault::Granter(SeededFault::RenewAfterStepDown) {
                self.hosts[index].granter_state = None;
            }
        }
    }

    /// Steps down when a later granter reaches this one.
    fn step_down_for_later(&mut self, index: usize) {
        let later = self.hosts.iter().enumerate().find_map(|(other, host)| {
            let granter_state = host.granter_state.as_ref()?;
            let is_predecessor = granter_state
                .predecessors
                .iter()
                .any(|p| p.process == (index, self.hosts[index].incarnation));
            let linked = self.now >= host.unreachable_until
                && self.now >= self.hosts[index].unreachable_until;
            (is_predecessor && linked && self.now >= host.frozen_until).then_some(other)
        });
        let Some(later) = later else { return };
        if let Some(granter_state) = &mut self.hosts[index].granter_state {
            granter_state.granter.step_down();
        }
        if self.fault != Fault::Granter(SeededFault::RenewAfterStepDown) {
            self.hosts[index].granter_state = None;
        }
        let now = self.now;
        if let Some(granter_state) = &mut self.hosts[later].granter_state {
            granter_state.predecessor_stopped(index, now);
        }
    }

    /// Detects that the process of an earlier granter has ended.
    fn detect_ended_predecessors(&mut self, index: usize) {
        let now = self.now;
        let Some(granter_state) = &self.hosts[index].granter_state else {
            return;
        };
        let ended: Vec<usize> = granter_state
            .predecessors
            .iter()
            .map(|predecessor| predecessor.process)
            .filter(|(host, incarnation)| {
                let other = &self.hosts[*host];
                let ended = other.incarnation != *incarnation || other.granter_state.is_none();
                let linked =
                    now >= other.unreachable_until && now >= self.hosts[index].unreachable_until;
                ended && linked && now >= other.frozen_until
            })
            .map(|(host, _)| host)
            .collect();
        if let Some(granter_state) = &mut self.hosts[index].granter_state {
            for host in ended {
                granter_state.predecessor_stopped(host, now);
            }
        }
    }

    /// Returns the processes that follow a granter, including its own.
    ///
    /// A host follows the latest granter that it hears from, and never returns to an earlier one.
    fn followers(&mut self, index: usize) -> Vec<String> {
        let now = self.now;
        let linked = |host: &Host| now >= host.unreachable_until && now >= host.frozen_until;
        let own = voter((index, self.hosts[index].incarnation));
        let term = |host: &Host| host.granter_state.as_ref().map(|state| state.term);
        let own_term = term(&self.hosts[index]);
        let later = self
            .hosts
            .iter()
            .enumerate()
            .any(|(other, host)| other != index && term(host) > own_term && linked(host));
        if later || !linked(&self.hosts[index]) {
            return vec![own];
        }
        let forgets = self.fault == Fault::ForgetPledge;
        let followers = self
            .hosts
            .iter_mut()
            .enumerate()
            .filter_map(|(other, host)| {
                let hears = other != index && host.granter_state.is_none() && linked(host);
                let follows =
                    hears && (host.pledge.follow(own_term.unwrap_or_default()) || forgets);
                follows.then(|| voter((other, host.incarnation)))
            });
        followers.chain([own]).collect()
    }

    /// Counts earlier granters as stopped once their voters have followed this one for long enough.
    fn rule_out_predecessors(&mut self, index: usize, followers: &[String]) {
        let now = self.now;
        let Some(granter_state) = &mut self.hosts[index].granter_state else {
            return;
        };
        for predecessor in &mut granter_state.predecessors {
            if votes::is_blocked(&predecessor.voters, followers) {
                predecessor.blocked_since.get_or_insert(now);
            } else {
                predecessor.blocked_since = None;
            }
        }
        granter_state.predecessors.retain(|predecessor| {
            predecessor
                .blocked_since
                .is_none_or(|since| now.since(since) < BLOCKED_TIME)
        });
        if granter_state.predecessors.is_empty() {
            granter_state.granter.confirm_sole(now);
        }
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
                min_sequence: 0,
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
        }
        let commands = granter_state.granter.commands(&liveness, now);
        if unreachable {
            return;
        }
        for command in commands {
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
            })
            .collect()
    }

    /// Returns traffic whose hot keys change every few seconds.
    fn loads(&self) -> tarragon_owner::loads::Rates {
        let mut loads = Loads::new(self.now - Duration::from_secs(9));
        let phase = usize::try_from(self.now.as_micros() / 4_000_000).unwrap_or_default();
        for (index, key) in KEYS.iter().enumerate() {
            let hot = (index + phase).is_multiple_of(5);
            loads.add(*key, if hot { 200.0 } else { 20.0 });
        }
        loads.rates(self.now)
    }

    /// Returns a granter that may still send commands although a later one has ruled it out.
    fn ruled_out_granter(&self) -> Option<usize> {
        let now = self.now;
        let sends = |host: &Host, state: &GranterState| {
            now >= host.frozen_until
                && now.since(state.ticked) <= SEND_WINDOW
                && now.since(state.confirmed) < MAX_CONFIRMATION_AGE
        };
        (0..self.hosts.len()).find(|index| {
            let host = &self.hosts[*index];
            let process = (*index, host.incarnation);
            let Some(state) = &host.granter_state else {
                return false;
            };
            let later = self.hosts.iter().filter_map(|h| h.granter_state.as_ref());
            let mut later = later.filter(|other| other.term > state.term);
            sends(host, state)
                && later.any(|other| other.predecessors.iter().all(|p| p.process != process))
        })
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
