//! Simulated hosts, each with a node and the process around it.

use std::collections::BTreeMap;

use rand::RngExt;
use tarragon_model::host::{Entry, Peer};
use tarragon_model::shard;
use tarragon_model::time::Instant;
use tarragon_node::input::{Input, Now};
use tarragon_node::message::Message;
use tarragon_node::node::{Node, Settings};
use tarragon_node::output::Output;

use super::Simulation;
use super::backend::Arrival;
use super::caller::AttemptResult;
use super::driver::{Running, Stage};
use super::event::{Action, Process, position};
use super::fault::host_index;
use super::setup;

/// Time between two ticks of a node, in microseconds.
const TICK_US: u64 = 20_000;
/// Unix time at the start of a simulation, in milliseconds.
pub const UNIX_MS: u64 = 1_790_000_000_000;

/// A simulated host.
pub struct Host {
    pub entry: Entry,
    pub process: Process,
    pub incarnation: u64,
    pub node: Option<Node>,
    pub frozen_until: u64,
    pub leaving: bool,
    pub drained: bool,
    pub requests: BTreeMap<u64, Running>,
    pub leases: BTreeMap<shard::Id, Instant>,
    /// Rate of the host's clock, in thousandths of virtual time.
    rate: u64,
}

impl Host {
    pub fn new(host: usize, rate: u64) -> Self {
        Self {
            entry: setup::entry(host),
            process: Process { host, run: 0 },
            incarnation: 0,
            node: None,
            frozen_until: 0,
            leaving: false,
            drained: false,
            requests: BTreeMap::new(),
            leases: BTreeMap::new(),
            rate,
        }
    }

    pub fn peer(&self) -> Peer {
        Peer::new(self.entry.id.clone(), self.incarnation)
    }

    /// Returns the time as the host's clocks show it.
    pub fn now(&self, now: u64) -> Now {
        Now {
            at: Instant::from_micros(1_000_000 + now * self.rate / 1_000),
            unix_ms: UNIX_MS + now / 1_000,
        }
    }
}

impl Simulation {
    /// Starts the router on a host.
    pub fn start(&mut self, position: usize) {
        let now = self.now;
        let host = &mut self.hosts[position];
        if host.node.is_some() {
            return;
        }
        host.process.run += 1;
        host.incarnation = (UNIX_MS + now / 1_000).max(host.incarnation + 1);
        host.leaving = false;
        host.drained = false;
        host.frozen_until = 0;
        host.leases.clear();
        let settings = Settings {
            me: host.peer(),
            entry: host.entry.clone(),
            policies: tarragon_node::policies::Policies::default(),
            no_regrant_wait: false,
            resend_after_first_byte: false,
        };
        host.node = Some(Node::new(settings, host.now(now)));
        let process = host.process;
        let delay = self.rng.random_range(0..TICK_US);
        self.later(delay, Action::Tick(process));
        self.send_store_contents(process);
    }

    /// Kills the router on a host.
    pub fn kill(&mut self, position: usize) {
        let host = &mut self.hosts[position];
        if host.node.take().is_none() {
            return;
        }
        for running in std::mem::take(&mut host.requests).into_values() {
            self.close_connection(&running.stage);
            if !matches!(running.stage, Stage::Responded { .. }) {
                self.complete_attempt(running.attempt, AttemptResult::Lost);
            }
        }
    }

    /// Returns whether the process of an event is still running.
    pub fn is_running(&self, process: Process) -> bool {
        let host = &self.hosts[process.host];
        host.node.is_some() && host.process == process
    }

    /// Lets time pass for a node, and stops it when draining has finished.
    pub fn tick(&mut self, process: Process) {
        self.input(process, Input::Tick);
        let host = &self.hosts[process.host];
        if host.drained && host.requests.is_empty() {
            self.kill(process.host);
            return;
        }
        self.later(TICK_US, Action::Tick(process));
    }

    /// Lets a node handle an input and carries out its outputs.
    pub fn input(&mut self, process: Process, input: Input) {
        if !self.is_running(process) {
            return;
        }
        let now = self.now;
        let host = &mut self.hosts[process.host];
        host.leaving |= matches!(input, Input::Drain);
        let at = host.now(now);
        let Some(node) = &mut host.node else {
            return;
        };
        if self.traced && !matches!(input, Input::Tick | Input::Message { .. }) {
            eprintln!("{now:>9} h{} {input:?}", process.host);
        }
        let mut outputs = Vec::new();
        node.handle(at, input, &mut outputs);
        for (shard, until) in node.leases() {
            host.leases.insert(shard.clone(), until);
        }
        for output in outputs {
            if !matches!(output, Output::Send { .. } | Output::Event(_)) {
                self.trace(|| format!("h{} {output:?}", process.host));
            }
            self.execute(process, output);
        }
    }

    /// Carries out an output of a node.
    fn execute(&mut self, process: Process, output: Output) {
        match output {
            Output::Send { to, message } => {
                let to = usize::from(to.port()) - 7_000;
                self.send_message(process.host, to, message);
            }
            Output::Write {
                shard,
                if_version,
                record,
            } => {
                let delay = self.rng.random_range(2_000..30_000);
                let write = Action::Write {
                    process,
                    shard,
                    if_version,
                    record,
                };
                self.later(delay, write);
            }
            Output::Dispatch { id, attempt } => self.accept_dispatch(process, id, attempt),
            Output::Refuse {
                id,
                outcome,
                reason,
                status,
            } => {
                self.handle_refusal(process, id, (outcome, reason, status));
            }
            Output::Abort { id } => {
                let delay = self.rng.random_range(0..500);
                self.later(delay, Action::Abort { process, id });
            }
            Output::Probe { shard, backend, .. } => {
                let target = position(&backend);
                let arrival = Arrival::Probe {
                    process,
                    shard,
                    id: backend,
                    respond: true,
                };
                self.send_to_backend(target, arrival);
            }
            Output::Grant {
                shard,
                backend,
                fence,
                ticket,
                ..
            } => {
                let target = position(&backend);
                let arrival = Arrival::Grant {
                    process,
                    shard,
                    id: backend,
                    fence,
                    ticket,
                    respond: true,
                };
                self.send_to_backend(target, arrival);
            }
            Output::Event(draft) => self.observe(process, &draft),
            Output::Drained => self.hosts[process.host].drained = true,
        }
    }

    /// Sends something to a backend server.
    pub fn send_to_backend(&mut self, target: usize, arrival: Arrival) {
        let delay = self.rng.random_range(100..3_000);
        self.later(delay, Action::Arrival(target, arrival));
    }

    /// Sends a message to another host; it may be lost, duplicated or late.
    fn send_message(&mut self, from: usize, to: usize, message: Message) {
        if self.cuts.contains(&(from, to)) || self.rng.random_range(0..100) < self.loss {
            return;
        }
        let peer = self.hosts[from].peer();
        if self.rng.random_range(0..100) < self.loss {
            let message = Box::new(message.clone());
            let from = peer.clone();
            let delay = self.rng.random_range(500..300_000);
            self.later(delay, Action::Deliver { to, from, message });
        }
        let slow = self.rng.random_range(0..100) < self.loss;
        let delay = self
            .rng
            .random_range(200..if slow { 200_000 } else { 3_000 });
        let message = Box::new(message);
        let from = peer;
        self.later(delay, Action::Deliver { to, from, message });
    }

    /// Delivers a message to a host, unless their link is cut.
    pub fn deliver(&mut self, to: usize, from: Peer, message: Message) {
        let process = self.hosts[to].process;
        if self.cuts.contains(&(host_index(&from.host), to)) {
            return;
        }
        self.input(process, Input::Message { from, message });
    }
}
