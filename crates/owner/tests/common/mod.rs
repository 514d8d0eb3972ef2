//! A world of granters, a store and backend servers that tests play random schedules in.

use std::collections::BTreeMap;
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

mod server;

pub use server::Server;

/// Keys that are looked at.
pub const KEYS: [u16; 16] = [
    0, 9, 4_000, 8_192, 9_000, 16_384, 20_000, 24_576, 30_000, 32_768, 36_000, 40_960, 50_000,
    57_344, 60_000, 65_535,
];
/// Step of the clock.
const STEP: Duration = Duration::from_millis(50);
/// Time that a grant holds.
const HOLD: Duration = Duration::from_secs(3);
/// Time for which an office must be seen unrenewed before it is taken.
const VACANT: Duration = Duration::from_millis(1_500);

/// Age of the latest proof of its office up to which a granter sends orders.
const CONFIRMED: Duration = Duration::from_millis(1_300);
/// Time for which a majority must follow another before a granter has surely stopped.
const BLOCKED: Duration = Duration::from_millis(1_600);
/// Time between two ticks after which a granter counts as frozen meanwhile.
const FREEZE: Duration = Duration::from_millis(700);

/// Time after a proof of its office was looked at for which a granter's grants still leave.
const OFFICE: Duration = Duration::from_millis(150);

/// Faults of the world around the granter, seeded on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seeded {
    /// None.
    Nothing,
    /// In the granter itself.
    Granter(SeededFault),
    /// A plan is acted on before the store has taken it.
    GrantBeforePlan,
    /// A granter that takes over starts its fence numbers anew.
    FenceReused,
}

/// One process that may grant.
struct Host {
    incarnation: u64,
    grants: Option<Grants>,
    frozen_until: Instant,
    cut_until: Instant,
    seen: (u64, Instant),
}

struct Grants {
    granter: Granter,
    plan_version: u64,
    former: Vec<Process>,
    planned: Instant,
    confirmed: Instant,
    ticked: Instant,
    office: u64,
    blocked: Option<Instant>,
}

/// Number of a host and of its process.
type Process = (usize, u64);

impl Grants {
    /// Tells whether the office is surely still this granter's; after a freeze only news count.
    fn is_confirmed(&mut self, followed: bool, now: Instant) -> bool {
        if now.since(self.ticked) > FREEZE {
            self.confirmed = Instant::ZERO;
        }
        self.ticked = now;
        if followed {
            self.confirmed = now;
        }
        now.since(self.confirmed) < CONFIRMED
    }

    fn stopped(&mut self, host: usize, now: Instant) {
        self.former.retain(|(former, _)| *former != host);
        if self.former.is_empty() {
            self.granter.confirm_sole(now);
        }
    }
}

/// The store: the granter's office and the plan, each with its version.
struct Store {
    office: (u64, Option<Process>),
    former: Vec<Process>,
    plan: (u64, Option<Plan>),
    down_until: Instant,
}

enum Event {
    /// An order that was due then leaves its host, or does not.
    Leave(Process, Instant, Command),
    /// An order that was due, and left, then reaches its server.
    Arrive(Process, (Instant, Instant), Command),
    Outcome(Process, Command, Instant, Option<Instant>, CommandOutcome),
}

/// Everything together.
pub struct World {
    rng: StdRng,
    seeded: Seeded,
    now: Instant,
    store: Store,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    events: BTreeMap<(Instant, u64), Event>,
    count: u64,
    late_until: Instant,
    /// What was wrong, if anything was.
    pub wrong: Option<String>,
    /// Grants that backend servers took.
    pub granted: u64,
    /// Transfers of keys between backend servers.
    pub moved: u64,
}

impl World {
    /// Creates three hosts and five backend servers.
    pub fn new(seed: u64, seeded: Seeded) -> Self {
        let start = Instant::from_millis(60_000);
        let host = || Host {
            incarnation: 1,
            grants: None,
            frozen_until: Instant::ZERO,
            cut_until: Instant::ZERO,
            seen: (0, start),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            seeded,
            now: start,
            store: Store {
                office: (1, None),
                former: Vec::new(),
                plan: (1, None),
                down_until: Instant::ZERO,
            },
            hosts: (0..3).map(|_| host()).collect(),
            servers: (0..5).map(Server::new).collect(),
            events: BTreeMap::new(),
            count: 0,
            late_until: Instant::ZERO,
            wrong: None,
            granted: 0,
            moved: 0,
        }
    }

    /// Plays `span`; faults come at random until then.
    pub fn play(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end && self.wrong.is_none() {
            self.now = self.now + STEP;
            if self.rng.random_bool(0.02) {
                self.fault();
            }
            self.deliver();
            for host in 0..self.hosts.len() {
                self.act(host);
            }
            self.check();
        }
    }

    /// Lets everything recover and tells how many keys were held in the last seconds of it.
    ///
    /// Keys still move for their load then, so not all are held at any one moment.
    pub fn held_after_rest(&mut self, rest: Duration) -> usize {
        let end = self.now + rest;
        let last = end - Duration::from_secs(4);
        let mut held = [false; KEYS.len()];
        self.store.down_until = Instant::ZERO;
        self.late_until = Instant::ZERO;
        for server in &mut self.servers {
            server.leaving = false;
        }
        while self.now < end && self.wrong.is_none() {
            self.now = self.now + STEP;
            self.deliver();
            for host in 0..self.hosts.len() {
                self.act(host);
            }
            self.check();
            let now = self.now;
            if now >= last {
                for (key, held) in held.iter_mut().enumerate() {
                    *held |= self.servers.iter().any(|server| server.holds(key, now));
                }
            }
        }
        held.into_iter().filter(|held| *held).count()
    }

    fn fault(&mut self) {
        let now = self.now;
        let span = Duration::from_millis(self.rng.random_range(300..9_000));
        let host = self.rng.random_range(0..self.hosts.len());
        let server = self.rng.random_range(0..self.servers.len());
        match self.rng.random_range(0..9) {
            0 => self.kill(host),
            1 => self.hosts[host].frozen_until = now + span,
            2 => self.hosts[host].cut_until = now + span,
            3 => self.store.down_until = now + span,
            4 => self.servers[server].restart(now),
            5 => self.servers[server].cut_until = now + span,
            6 => self.servers[server].leaving = !self.servers[server].leaving,
            7 => self.late_until = now + span,
            _ => {
                let granter = self.hosts.iter().position(|host| host.grants.is_some());
                self.kill(granter.unwrap_or(host));
            }
        }
    }

    fn kill(&mut self, host: usize) {
        let killed = &mut self.hosts[host];
        killed.incarnation += 1;
        killed.grants = None;
        killed.frozen_until = self.now + Duration::from_millis(400);
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + after, self.count), event);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Leave(process, due, command) => self.leave(process, due, command),
                Event::Arrive(process, times, command) => self.arrive(process, times, command),
                Event::Outcome((host, incarnation), command, due, left, outcome) => {
                    let host = &mut self.hosts[host];
                    if host.incarnation == incarnation
                        && let Some(grants) = &mut host.grants
                    {
                        grants.granter.record_outcome(&command, due, left, &outcome);
                    }
                }
            }
        }
    }

    /// An order leaves its host, unless that grants no longer, or it is too late.
    fn leave(&mut self, process: Process, due: Instant, command: Command) {
        let now = self.now;
        let (host, incarnation) = process;
        let runs = self.hosts[host].incarnation == incarnation;
        if !runs || now < self.hosts[host].frozen_until {
            return;
        }
        let timing = Timing::with_grant_duration(HOLD);
        let open = self.hosts[host].grants.as_ref().is_some_and(|grants| {
            now.since(grants.confirmed) < CONFIRMED && now.since(grants.ticked) <= OFFICE
        });
        let grant = command.action == Action::Grant;
        if grant && (!open || now.since(due) > timing.max_send_delay) {
            self.push(
                STEP,
                Event::Outcome(process, command, due, None, CommandOutcome::NotSent),
            );
            return;
        }
        let way = Duration::from_millis(self.rng.random_range(10..80));
        self.push(way, Event::Arrive(process, (due, now), command));
    }

    /// An order reaches its server, is carried out now or later, and is answered or not.
    fn arrive(&mut self, process: Process, (due, left): (Instant, Instant), command: Command) {
        let now = self.now;
        let index = self
            .servers
            .iter()
            .position(|server| server.id() == command.server.id);
        let Some(index) = index else { return };
        let cut = now < self.servers[index].cut_until;
        // The connection of an order breaks with its server; a later one reaches the new life.
        let broken = self.servers[index].started > left;
        if cut || broken {
            return;
        }
        let late = now < self.late_until && self.rng.random_bool(0.4);
        let arrival = now;
        if late {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.servers[index].postpone(now + delay, arrival, command);
            return;
        }
        let (taken, outcome) = self.carry_out(index, arrival, &command);
        self.granted += u64::from(taken);
        if self.rng.random_bool(0.97) {
            self.push(
                STEP,
                Event::Outcome(process, command, due, Some(left), outcome),
            );
        }
    }

    fn carry_out(
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
                    .map(|(_, server)| server.taken[key])
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
        // A grant that is carried out after its time holds nothing, so its number is not used.
        let over = arrival + HOLD <= now;
        for (key, value) in KEYS.iter().enumerate() {
            let within = !over && (command.from..=command.to).contains(value);
            if within && others[key] >= command.fence && server.taken[key] < command.fence {
                let text = format!("fence {} reused for key {value}", command.fence);
                self.wrong = Some(text);
                return (false, CommandOutcome::StaleFence);
            }
        }
        let fresh = server.grant(command, arrival + HOLD, now);
        self.moved += u64::from(fresh);
        (true, CommandOutcome::Done { handover: None })
    }

    fn act(&mut self, index: usize) {
        let now = self.now;
        if now < self.hosts[index].frozen_until {
            return;
        }
        let reaches_store = now >= self.hosts[index].cut_until && now >= self.store.down_until;
        if self.hosts[index].grants.is_none() {
            if reaches_store {
                self.seek(index);
            }
            return;
        }
        if reaches_store {
            self.renew(index);
        }
        self.yield_to_later(index);
        self.hear_of_former(index);
        self.grant(index, reaches_store);
    }

    /// Takes the office if it is vacant, or was not renewed for long.
    fn seek(&mut self, index: usize) {
        let (version, holder) = self.store.office;
        let incarnation = self.hosts[index].incarnation;
        let seen = &mut self.hosts[index].seen;
        if seen.0 != version {
            *seen = (version, self.now);
        }
        let own = holder.is_some_and(|(host, _)| host == index);
        if holder.is_some() && !own && self.now.since(seen.1) < VACANT {
            return;
        }
        self.store.office = (version + 1, Some((index, incarnation)));
        self.store.former.retain(|(host, _)| *host != index);
        self.store.former.extend(holder.filter(|_| !own));
        let former = self.store.former.clone();
        let (plan_version, plan) = self.store.plan.clone();
        let first = plan.is_none();
        let mut plan = plan.unwrap_or_else(|| {
            let holders: Vec<_> = self.servers.iter().map(|s| (s.holder(), 1.0)).collect();
            Plan::assign(&holders, 2)
        });
        if first {
            self.store.plan = (plan_version + 1, Some(plan.clone()));
        }
        if self.seeded == Seeded::FenceReused {
            plan.sequence = 1;
        }
        let alone = former.is_empty();
        let seeded_fault = match self.seeded {
            Seeded::Granter(seeded_fault) => seeded_fault,
            _ => SeededFault::None,
        };
        let granter = Granter::new(plan, alone, Timing::with_grant_duration(HOLD), self.now)
            .with_seeded_fault(seeded_fault);
        self.hosts[index].grants = Some(Grants {
            granter,
            plan_version: self.store.plan.0,
            former,
            planned: self.now,
            confirmed: self.now,
            ticked: self.now,
            office: version + 1,
            blocked: None,
        });
    }

    fn renew(&mut self, index: usize) {
        let (version, holder) = self.store.office;
        if holder == Some((index, self.hosts[index].incarnation)) {
            if let Some(grants) = &mut self.hosts[index].grants {
                self.store.former.clone_from(&grants.former);
                grants.confirmed = self.now;
            }
            if self.rng.random_bool(0.05) {
                self.store.office.0 = version + 1;
            }
        } else if let Some(grants) = &mut self.hosts[index].grants {
            grants.granter.step_down();
            if self.seeded != Seeded::Granter(SeededFault::RenewAfterStepDown) {
                self.hosts[index].grants = None;
            }
        }
    }

    /// Stops when the later granter reaches this one.
    fn yield_to_later(&mut self, index: usize) {
        let later = self.hosts.iter().enumerate().find_map(|(other, host)| {
            let grants = host.grants.as_ref()?;
            let former = grants
                .former
                .contains(&(index, self.hosts[index].incarnation));
            let linked = self.now >= host.cut_until && self.now >= self.hosts[index].cut_until;
            (former && linked && self.now >= host.frozen_until).then_some(other)
        });
        let Some(later) = later else { return };
        if let Some(grants) = &mut self.hosts[index].grants {
            grants.granter.step_down();
        }
        if self.seeded != Seeded::Granter(SeededFault::RenewAfterStepDown) {
            self.hosts[index].grants = None;
        }
        let now = self.now;
        if let Some(grants) = &mut self.hosts[later].grants {
            grants.stopped(index, now);
        }
    }

    /// Learns that the former granter's process is gone.
    fn hear_of_former(&mut self, index: usize) {
        let now = self.now;
        let Some(grants) = &self.hosts[index].grants else {
            return;
        };
        let ended: Vec<usize> = grants
            .former
            .iter()
            .filter(|(host, incarnation)| {
                let other = &self.hosts[*host];
                let ended = other.incarnation != *incarnation || other.grants.is_none();
                let linked = now >= other.cut_until && now >= self.hosts[index].cut_until;
                ended && linked && now >= other.frozen_until
            })
            .map(|(host, _)| *host)
            .collect();
        if let Some(grants) = &mut self.hosts[index].grants {
            for host in ended {
                grants.stopped(host, now);
            }
        }
    }

    /// Tells whether a majority of the hosts, itself among them, confirms that a host grants.
    ///
    /// A host follows the latest granter that it hears.
    fn followed(&self, index: usize) -> bool {
        let linked = |host: &Host| self.now >= host.cut_until && self.now >= host.frozen_until;
        if !linked(&self.hosts[index]) {
            return false;
        }
        let later = self.hosts.iter().enumerate().any(|(other, host)| {
            let later = host.grants.as_ref().map(|grants| grants.office)
                > self.hosts[index]
                    .grants
                    .as_ref()
                    .map(|grants| grants.office);
            other != index && later && linked(host)
        });
        let votes = self.hosts.iter().enumerate().filter(|(other, host)| {
            *other == index || (!later && host.grants.is_none() && linked(host))
        });
        votes.count() * 2 > self.hosts.len()
    }

    /// Counts earlier granters as stopped when a majority follows this one for long enough.
    fn block_former(&mut self, index: usize, followed: bool) {
        let now = self.now;
        if let Some(grants) = &mut self.hosts[index].grants {
            if !followed {
                grants.blocked = None;
            } else if now.since(*grants.blocked.get_or_insert(now)) >= BLOCKED {
                grants.former.clear();
                grants.granter.confirm_sole(now);
            }
        }
    }

    fn grant(&mut self, index: usize, reaches_store: bool) {
        let now = self.now;
        let incarnations: BTreeMap<String, u64> = self
            .servers
            .iter()
            .map(|server| (server.id(), server.start_ms))
            .collect();
        let liveness = |holder: &Holder| match incarnations.get(&holder.id) {
            Some(start_ms) if *start_ms > holder.start_ms => Liveness::Dead,
            _ => Liveness::MaybeAlive,
        };
        let followed = self.followed(index);
        self.block_former(index, followed);
        if let Some(grants) = &mut self.hosts[index].grants
            && !grants.is_confirmed(followed, now)
        {
            return;
        }
        let cut = now < self.hosts[index].cut_until && self.rng.random_bool(0.5);
        let incarnation = self.hosts[index].incarnation;
        let candidates = self.candidates();
        let due = self.hosts[index].grants.as_ref().is_some_and(|grants| {
            reaches_store && now.since(grants.planned) >= Duration::from_millis(400)
        });
        let rates = due.then(|| self.loads());
        let Some(grants) = &mut self.hosts[index].grants else {
            return;
        };
        if let Some(rates) = rates {
            grants.planned = now;
            let inputs = PlanInputs {
                candidates: &candidates,
                rates: &rates,
                request_time_s: 0.1,
                min_sequence: 0,
            };
            if let Some(plan) = grants.granter.propose(&inputs, &liveness, now) {
                let early = self.seeded == Seeded::GrantBeforePlan;
                let current = self.store.plan.0 == grants.plan_version;
                if current && !early {
                    self.store.plan = (grants.plan_version + 1, Some(plan.clone()));
                }
                if current || early {
                    grants.plan_version += 1;
                    grants.granter.adopt(plan, now);
                } else {
                    self.hosts[index].grants = None;
                    return;
                }
            }
        }
        let commands = grants.granter.commands(&liveness, now);
        if cut {
            return;
        }
        for command in commands {
            let slow = self.rng.random_bool(0.1);
            let delay = self.rng.random_range(1..if slow { 1_100 } else { 120 });
            let delay = Duration::from_millis(delay);
            self.push(delay, Event::Leave((index, incarnation), now, command));
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let open = self.servers.iter().filter(|server| {
            let reached = self.now >= server.cut_until;
            !server.leaving && reached
        });
        open.map(|server| Candidate {
            holder: server.holder(),
            capacity: 6.0,
        })
        .collect()
    }

    /// Traffic whose hot keys change every few seconds.
    fn loads(&self) -> tarragon_owner::loads::Rates {
        let mut loads = Loads::new(self.now - Duration::from_secs(9));
        let phase = usize::try_from(self.now.as_micros() / 4_000_000).unwrap_or_default();
        for (index, key) in KEYS.iter().enumerate() {
            let hot = (index + phase).is_multiple_of(5);
            loads.add(*key, if hot { 200.0 } else { 20.0 });
        }
        loads.rates(self.now)
    }

    /// Looks whether two backend servers hold a key.
    fn check(&mut self) {
        let now = self.now;
        for index in 0..self.servers.len() {
            for (arrival, command) in self.servers[index].due(now) {
                self.carry_out(index, arrival, &command);
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
                self.wrong = Some(format!("key {value} is held by {holders:?}"));
            }
        }
    }
}
