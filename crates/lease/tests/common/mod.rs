//! Simulation of several members, a store and a lossy network on one virtual time axis, in
//! microseconds. Each process has a clock of its own with an offset and a rate.

#![allow(dead_code)]

mod driver;
mod fault;
pub mod rng;
mod store;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rng::Rng;
use serde::{Deserialize, Serialize};
use tarragon_lease::seeded_fault::SeededFault;
use tarragon_lease::{Member, Message, Output, Role, State};
use tarragon_model::fence::Fence;
use tarragon_model::host::{Id, Peer};
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::shard;
use tarragon_model::time::Instant;

pub use fault::Fault;

pub const MS: u64 = 1_000;

/// Values appended, in order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Values(pub Vec<u64>);

impl State for Values {
    type Entry = u64;

    fn apply(&mut self, entry: &u64) {
        self.0.push(*entry);
    }
}

enum Event {
    Tick {
        to: usize,
    },
    Deliver {
        to: usize,
        from: Peer,
        message: Message<Values>,
    },
    Learn {
        to: usize,
        record: Record,
    },
    Gone {
        to: usize,
        peer: Peer,
    },
    StoreRead {
        from: usize,
    },
    StoreWrite {
        from: usize,
        write: Write,
    },
    Written {
        to: usize,
        write: Write,
        record: Option<Record>,
    },
    Fault(Fault),
}

#[derive(Clone, Debug)]
struct Write {
    epoch: u64,
    replica_set: ReplicaSet,
    token: String,
    attempt: u32,
}

/// Message loss, duplication and delay, and lost responses of the store.
///
/// Delays are in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub late_percent: u64,
    pub store_lost_percent: u64,
    pub delay_max: u64,
}

struct Process {
    peer: Peer,
    alive: bool,
    frozen_until: u64,
    clock_offset: u64,
    clock_rate_ppm: u64,
    member: Option<Member<Values>>,
    /// Entries of this process that are not committed yet, by index.
    uncommitted: BTreeMap<u64, u64>,
    write: Option<String>,
    tick_at: u64,
}

impl Process {
    fn local(&self, now: u64) -> Instant {
        Instant::from_micros(self.clock_offset + now * self.clock_rate_ppm / 1_000_000)
    }

    fn virtual_time(&self, local: Instant) -> u64 {
        local.as_micros().saturating_sub(self.clock_offset) * 1_000_000 / self.clock_rate_ppm + 1
    }
}

/// Counts of what happened in a schedule.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub terms: u64,
    pub successions: u64,
    pub incomplete: u64,
    pub committed: u64,
}

pub struct Simulation {
    pub now: u64,
    pub network: Network,
    pub rng: Rng,
    pub record: Record,
    pub counts: Counts,
    pub terms_started: Vec<(u64, Fence, Peer)>,
    /// Whether suspect standbys are replaced and shards taken over where needed.
    pub repair: bool,
    /// Whether proposals name live processes only.
    pub only_live_candidates: bool,
    /// Whether messages are serialized and deserialized on the way.
    pub encode_messages: bool,
    pub store_responses_to_lose: u32,
    /// First violation of an invariant, if any.
    pub violation: Option<String>,
    processes: Vec<Process>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Event>,
    serial: u64,
    store_down_until: u64,
    cuts: BTreeMap<(usize, usize), u64>,
    committed: BTreeSet<u64>,
    seeded_fault: Option<SeededFault>,
}

impl Simulation {
    pub fn new(
        seed: u64,
        hosts: usize,
        network: Network,
        seeded_fault: Option<SeededFault>,
    ) -> Self {
        let mut rng = Rng::new(seed);
        let peer = |host: usize| Peer::new(Id::new(&format!("h{host}")), 1);
        let processes: Vec<Process> = (0..hosts)
            .map(|host| Process {
                peer: peer(host),
                alive: true,
                frozen_until: 0,
                clock_offset: rng.range(0..5_000_000),
                clock_rate_ppm: rng.range(950_000..1_050_001),
                member: None,
                uncommitted: BTreeMap::new(),
                write: None,
                tick_at: u64::MAX,
            })
            .collect();
        let replica_set = ReplicaSet {
            leader: peer(0),
            first: peer(1),
            second: peer(2),
        };
        let record = Record {
            epoch: 1,
            fence: Fence::new(1, 0),
            index: 0,
            token: "initial".to_owned(),
            replica_set,
            owners: Vec::new(),
            overrides: Vec::new(),
        };
        let mut simulation = Self {
            now: 0,
            network,
            rng,
            record: record.clone(),
            counts: Counts::default(),
            terms_started: Vec::new(),
            repair: true,
            only_live_candidates: false,
            encode_messages: false,
            store_responses_to_lose: 0,
            violation: None,
            processes,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            serial: 0,
            store_down_until: 0,
            cuts: BTreeMap::new(),
            committed: BTreeSet::new(),
            seeded_fault,
        };
        for to in 0..hosts {
            let at = simulation.rng.range(0..20 * MS);
            simulation.schedule(
                at,
                Event::Learn {
                    to,
                    record: record.clone(),
                },
            );
            simulation.schedule(at + 300 * MS, Event::StoreRead { from: to });
        }
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial)));
        self.pending.insert(self.serial, event);
    }

    pub fn schedule_fault(&mut self, at: u64, fault: Fault) {
        self.schedule(at, Event::Fault(fault));
    }

    /// Processes all events before `end`, or up to the first violation.
    pub fn run_until(&mut self, end: u64) {
        while let Some(&Reverse((at, serial))) = self.events.peek() {
            if at >= end || self.violation.is_some() {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.pending.remove(&serial).unwrap();
            self.step(event);
            self.check_single_acting_host();
        }
        self.now = self.now.max(end);
    }

    /// Runs up to `end` and returns the longest time without an acting host, in microseconds.
    pub fn longest_gap(&mut self, end: u64) -> u64 {
        let mut longest = 0;
        let mut since = self.now;
        while self.now < end {
            self.run_until(self.now + MS / 2);
            if !self.acting_hosts().is_empty() {
                since = self.now;
            }
            longest = longest.max(self.now - since);
        }
        longest
    }

    /// Returns the hosts whose process may act now.
    pub fn acting_hosts(&self) -> Vec<usize> {
        let is_acting = |process: &Process| {
            let member = process.member.as_ref();
            process.alive && member.is_some_and(|member| member.may_act(process.local(self.now)))
        };
        (0..self.processes.len())
            .filter(|&host| is_acting(&self.processes[host]))
            .collect()
    }

    pub fn role(&self, host: usize) -> Role {
        self.processes[host]
            .member
            .as_ref()
            .map_or(Role::Outside, Member::role)
    }

    fn check_single_acting_host(&mut self) {
        let acting_hosts = self.acting_hosts();
        if acting_hosts.len() > 1 {
            self.record_violation(&format!("hosts {acting_hosts:?} may act at once"));
        }
    }

    fn record_violation(&mut self, text: &str) {
        let now = self.now;
        self.violation.get_or_insert(format!("at {now} us: {text}"));
    }

    fn step(&mut self, event: Event) {
        let to = match &event {
            Event::Tick { to }
            | Event::Deliver { to, .. }
            | Event::Learn { to, .. }
            | Event::Gone { to, .. }
            | Event::Written { to, .. }
            | Event::StoreRead { from: to } => Some(*to),
            Event::StoreWrite { .. } | Event::Fault(_) => None,
        };
        if let Some(to) = to {
            let process = &self.processes[to];
            if !process.alive {
                return;
            }
            if process.frozen_until > self.now {
                let frozen_until = process.frozen_until;
                self.schedule(frozen_until, event);
                return;
            }
        }
        match event {
            Event::Tick { to } => self.act(to, Member::tick),
            Event::Deliver { to, from, message } => self.deliver(to, &from, message),
            Event::Learn { to, record } => self.learn(to, &record),
            Event::Gone { to, peer } => {
                self.act(to, |member, now, out| member.mark_gone(now, &peer, out));
            }
            Event::StoreRead { from } => {
                self.read(from);
                let again = self.now + self.rng.range(400 * MS..900 * MS);
                self.schedule(again, Event::StoreRead { from });
            }
            Event::StoreWrite { from, write } => self.store_write(from, write),
            Event::Written { to, write, record } => self.written(to, write, record),
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    /// Calls a member and executes its outputs.
    fn act(
        &mut self,
        host: usize,
        call: impl FnOnce(&mut Member<Values>, Instant, &mut Vec<Output<Values>>),
    ) {
        let process = &mut self.processes[host];
        let now = process.local(self.now);
        let Some(member) = &mut process.member else {
            return;
        };
        let mut out = Vec::new();
        call(member, now, &mut out);
        if member.role() != Role::Leader {
            process.uncommitted.clear();
        }
        let next = member.next_tick(now);
        let at = process.virtual_time(next).max(self.now + 1);
        if process.tick_at <= self.now || at < process.tick_at {
            process.tick_at = at;
            self.schedule(at, Event::Tick { to: host });
        }
        for output in out {
            self.execute(host, output);
        }
    }

    fn send(&mut self, host: usize, to: &Peer, message: &Message<Values>) {
        let Some(to) = self
            .processes
            .iter()
            .position(|process| process.peer == *to)
        else {
            return;
        };
        let cut = self
            .cuts
            .get(&(host, to))
            .is_some_and(|&until| until > self.now);
        if cut || self.rng.chance(self.network.loss_percent) {
            return;
        }
        let message = if self.encode_messages {
            serde_json::from_slice(&serde_json::to_vec(message).unwrap()).unwrap()
        } else {
            message.clone()
        };
        let copies = 1 + u32::from(self.rng.chance(self.network.duplicate_percent));
        for _ in 0..copies {
            let at = self.now + self.delay();
            let from = self.processes[host].peer.clone();
            self.schedule(
                at,
                Event::Deliver {
                    to,
                    from,
                    message: message.clone(),
                },
            );
        }
    }

    fn delay(&mut self) -> u64 {
        if self.rng.chance(self.network.late_percent) {
            return self.rng.range(MS..3_000 * MS);
        }
        self.rng.range(500..self.network.delay_max.max(1_000))
    }

    fn store_delay(&mut self) -> u64 {
        if self.rng.chance(self.network.late_percent) {
            return self.rng.range(MS..3_000 * MS);
        }
        self.rng.range(MS..6 * MS)
    }

    fn deliver(&mut self, to: usize, from: &Peer, message: Message<Values>) {
        let process = &self.processes[to];
        let known = process
            .member
            .as_ref()
            .map_or(0, |member| member.fence().epoch);
        if message.fence().epoch > known {
            self.read(to);
        }
        self.act(to, |member, now, out| {
            member.handle(now, from, message, out);
        });
    }

    fn learn(&mut self, to: usize, record: &Record) {
        let process = &mut self.processes[to];
        if process.member.is_some() {
            self.act(to, |member, now, out| {
                member.adopt(now, record, out);
            });
            return;
        }
        let me = process.peer.clone();
        let shard = shard::Id::new("balance".into(), 0);
        let now = process.local(self.now);
        process.member = Some(match self.seeded_fault {
            Some(seeded_fault) => {
                Member::with_seeded_fault(me, shard, record, now, None, seeded_fault)
            }
            None => Member::new(me, shard, record, now, None),
        });
        self.act(to, Member::tick);
    }
}
