//! Hosts and the process shell around each node.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use tarragon_model::host::{Entry, Peer};
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_model::shard;
use tarragon_model::time::Instant;
use tarragon_node::input::{Ending, Input, Now};
use tarragon_node::message::Message;
use tarragon_node::node::{Node, Settings};
use tarragon_node::output::{Order, Output};

use super::World;
use super::backend::{Job, Work};
use super::caller::Answer;
use super::event::{Process, Reply, What, position};
use super::fault::host_position;
use super::setup;

const TICK: u64 = 20_000;
/// Time that a router gives a backend server beyond the deadline.
const GRACE: u64 = 250_000;
pub const UNIX_MS: u64 = 1_790_000_000_000;

/// How far the shell has come with a request.
#[derive(Clone, Debug)]
pub enum Stage {
    Waiting,
    Ordered,
    Sent { backend: usize, connection: u64 },
    Responded { backend: usize, connection: u64 },
}

#[derive(Debug)]
pub struct Running {
    pub attempt: usize,
    pub stage: Stage,
    abort: bool,
}

pub struct Host {
    pub entry: Entry,
    pub process: Process,
    pub incarnation: u64,
    pub node: Option<Node>,
    pub frozen_until: u64,
    pub leaving: bool,
    pub drained: bool,
    pub requests: BTreeMap<u64, Running>,
    leases: BTreeMap<shard::Id, Instant>,
    /// Rate of the host's clock in parts of a thousand.
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

    pub fn now(&self, now: u64) -> Now {
        Now {
            at: Instant::from_micros(1_000_000 + now * self.rate / 1_000),
            unix_ms: UNIX_MS + now / 1_000,
        }
    }
}

impl World {
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
        let delay = self.rng.random_range(0..TICK);
        self.later(delay, What::Tick(process));
        self.tell_everything(process);
    }

    pub fn kill(&mut self, position: usize) {
        self.check_books(position);
        let host = &mut self.hosts[position];
        if host.node.take().is_none() {
            return;
        }
        for running in std::mem::take(&mut host.requests).into_values() {
            self.close_connection(&running.stage);
            if !matches!(running.stage, Stage::Responded { .. }) {
                self.answered(running.attempt, Answer::Lost);
            }
        }
    }

    /// Returns whether an event for a process can be handled now.
    pub fn is_running(&self, process: Process) -> bool {
        let host = &self.hosts[process.host];
        host.node.is_some() && host.process == process
    }

    pub fn tick(&mut self, process: Process) {
        self.input(process, Input::Tick);
        let host = &self.hosts[process.host];
        if host.drained && host.requests.is_empty() {
            self.kill(process.host);
            return;
        }
        self.later(TICK, What::Tick(process));
    }

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
            self.carry_out(process, output);
        }
    }

    fn carry_out(&mut self, process: Process, output: Output) {
        match output {
            Output::Send { to, message } => {
                let to = usize::from(to.port()) - 7_000;
                self.post(process.host, to, message);
            }
            Output::Write {
                shard,
                if_version,
                record,
            } => {
                let delay = self.rng.random_range(2_000..30_000);
                let write = What::Write {
                    process,
                    shard,
                    if_version,
                    record,
                };
                self.later(delay, write);
            }
            Output::Dispatch { id, order } => self.ordered(process, id, order),
            Output::Refuse {
                id,
                outcome,
                reason,
                status,
            } => {
                self.refused(process, id, (outcome, reason, status));
            }
            Output::Abort { id } => {
                let delay = self.rng.random_range(0..500);
                self.later(delay, What::Abort { process, id });
            }
            Output::Probe { shard, backend, .. } => {
                let target = position(&backend);
                let job = Job::Probe {
                    process,
                    shard,
                    id: backend,
                    answer: true,
                };
                self.send_job(target, job);
            }
            Output::Grant {
                shard,
                backend,
                fence,
                ticket,
                ..
            } => {
                let target = position(&backend);
                let job = Job::Grant {
                    process,
                    shard,
                    id: backend,
                    fence,
                    ticket,
                    answer: true,
                };
                self.send_job(target, job);
            }
            Output::Event(draft) => self.note(process, &draft),
            Output::Drained => self.hosts[process.host].drained = true,
        }
    }

    fn send_job(&mut self, target: usize, job: Job) {
        let delay = self.rng.random_range(100..3_000);
        self.later(delay, What::Job(target, job));
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        if self.cuts.contains(&(from, to)) || self.rng.random_range(0..100) < self.loss {
            return;
        }
        let peer = self.hosts[from].peer();
        if self.rng.random_range(0..100) < self.loss {
            let message = Box::new(message.clone());
            let from = peer.clone();
            let delay = self.rng.random_range(500..300_000);
            self.later(delay, What::Deliver { to, from, message });
        }
        let slow = self.rng.random_range(0..100) < self.loss;
        let delay = self
            .rng
            .random_range(200..if slow { 200_000 } else { 3_000 });
        let message = Box::new(message);
        let from = peer;
        self.later(delay, What::Deliver { to, from, message });
    }

    fn ordered(&mut self, process: Process, id: u64, order: Order) {
        let Some(running) = self.hosts[process.host].requests.get_mut(&id) else {
            let ending = Ending::NotSent;
            self.later(0, What::Input(process, Input::Ended { id, ending }));
            return;
        };
        assert!(
            matches!(running.stage, Stage::Waiting),
            "request {id} is handed over twice"
        );
        running.stage = Stage::Ordered;
        running.abort = false;
        let delay = self.rng.random_range(0..1_000);
        self.later(delay, What::Send { process, id, order });
    }

    /// Checks the lease at the last moment and sends.
    pub fn send(&mut self, process: Process, id: u64, order: Order) {
        let now = self.now;
        let host = &mut self.hosts[process.host];
        let at = host.now(now).at;
        let holds = host.leases.get(&order.shard).is_some_and(|end| at < *end);
        let Some(running) = host.requests.get_mut(&id) else {
            return;
        };
        if !holds {
            running.stage = Stage::Waiting;
            let ending = Ending::NotSent;
            self.input(process, Input::Ended { id, ending });
            return;
        }
        let backend = position(&order.backend);
        let connection = self.number();
        let attempt = {
            let running = self.hosts[process.host].requests.get_mut(&id).unwrap();
            running.stage = Stage::Sent {
                backend,
                connection,
            };
            if running.abort {
                self.later(0, What::Abort { process, id });
            }
            self.hosts[process.host].requests[&id].attempt
        };
        let handed = What::Handed {
            process,
            id,
            connection,
            order,
        };
        // Only a backend server that checks refuses what a thawed process sends too late.
        if self.backends[backend].checks && self.rng.random_range(0..1_000) < self.late_sends {
            let span = self.rng.random_range(100_000..4_000_000);
            self.fault(super::fault::Fault::Freeze(process.host, span));
        }
        self.later(0, handed);
        let deadline = self.attempts[attempt].deadline;
        let ending = Ending::Aborted;
        let give_up = What::Reply {
            process,
            id,
            connection,
            reply: Reply::Ended(ending),
        };
        self.at(deadline.max(now) + GRACE, give_up);
    }

    pub fn handed(&mut self, process: Process, id: u64, connection: u64, order: &Order) {
        let Some(running) = self.hosts[process.host].requests.get(&id) else {
            return;
        };
        let work = Work {
            process,
            id,
            connection,
            attempt: running.attempt,
            fence: order.fence,
            start: 0,
        };
        self.send_job(position(&order.backend), Job::Work(work));
    }

    pub fn abort(&mut self, process: Process, id: u64) {
        let Some(running) = self.hosts[process.host].requests.get_mut(&id) else {
            return;
        };
        match running.stage.clone() {
            Stage::Waiting => {}
            Stage::Ordered => running.abort = true,
            Stage::Sent { connection, .. } | Stage::Responded { connection, .. } => {
                let reply = Reply::Ended(Ending::Aborted);
                self.reply_arrived(process, id, connection, reply);
            }
        }
    }

    pub fn close_connection(&mut self, stage: &Stage) {
        if let Stage::Sent {
            backend,
            connection,
        }
        | Stage::Responded {
            backend,
            connection,
        } = stage
        {
            let delay = self.rng.random_range(3_000..60_000);
            self.later(delay, What::Job(*backend, Job::Close(*connection)));
        }
    }

    pub fn reply_arrived(&mut self, process: Process, id: u64, connection: u64, reply: Reply) {
        let host = &mut self.hosts[process.host];
        let Some(running) = host.requests.get_mut(&id) else {
            return;
        };
        let (responded, backend, known) = match running.stage {
            Stage::Sent {
                backend,
                connection,
            } => (false, backend, connection),
            Stage::Responded {
                backend,
                connection,
            } => (true, backend, connection),
            _ => return,
        };
        if known != connection {
            return;
        }
        let stage = running.stage.clone();
        let attempt = running.attempt;
        match reply {
            Reply::Head { instance } => {
                running.stage = Stage::Responded {
                    backend,
                    connection,
                };
                self.answered(attempt, Answer::Served);
                let responded = Input::Responded {
                    id,
                    status: 200,
                    instance: Some(instance),
                };
                self.input(process, responded);
            }
            Reply::Whole => {
                host.requests.remove(&id);
                let ending = Ending::Served;
                self.input(process, Input::Ended { id, ending });
            }
            Reply::Ended(_) if responded => {
                host.requests.remove(&id);
                self.close_connection(&stage);
                let ending = Ending::Cut;
                self.input(process, Input::Ended { id, ending });
            }
            Reply::Ended(ending) => {
                running.stage = Stage::Waiting;
                if ending == Ending::Aborted {
                    self.close_connection(&stage);
                }
                self.input(process, Input::Ended { id, ending });
            }
        }
    }

    fn refused(
        &mut self,
        process: Process,
        id: u64,
        (outcome, reason, _status): (Outcome, Reason, Option<u16>),
    ) {
        let Some(running) = self.hosts[process.host].requests.remove(&id) else {
            return;
        };
        assert!(
            matches!(running.stage, Stage::Waiting),
            "request {id} is refused ({reason:?}) while it is {:?}",
            running.stage
        );
        self.answered(running.attempt, Answer::Refused(outcome, reason));
    }

    /// Hands a request to the node that is to lead its shard.
    pub fn submit(&mut self, host: usize, attempt: usize) {
        let id = self.number();
        let process = self.hosts[host].process;
        self.trace(|| format!("h{host} submit {id} attempt {attempt}"));
        let running = Running {
            attempt,
            stage: Stage::Waiting,
            abort: false,
        };
        self.hosts[host].requests.insert(id, running);
        self.attempts[attempt].place = Some((process, id));
        let left = self.attempts[attempt].deadline.saturating_sub(self.now);
        let at = self.hosts[host].now(self.now).at;
        let deadline = at + Duration::from_micros(left);
        let submission = self.submission(id, attempt, deadline);
        self.input(process, Input::Submit(submission));
    }

    /// The caller goes away.
    pub fn cancel(&mut self, process: Process, id: u64) {
        if !self.is_running(process) {
            return;
        }
        let Some(running) = self.hosts[process.host].requests.remove(&id) else {
            return;
        };
        let input = match &running.stage {
            Stage::Waiting => Input::Cancelled { id },
            // The process has not yet looked at the order when its handling is dropped.
            Stage::Ordered => Input::Ended {
                id,
                ending: Ending::Abandoned,
            },
            stage => {
                self.close_connection(stage);
                let ending = Ending::Abandoned;
                Input::Ended { id, ending }
            }
        };
        self.input(process, input);
    }

    pub fn deliver(&mut self, to: usize, from: Peer, message: Message) {
        let process = self.hosts[to].process;
        if self.cuts.contains(&(host_position(&from.host), to)) {
            return;
        }
        self.input(process, Input::Message { from, message });
    }
}
