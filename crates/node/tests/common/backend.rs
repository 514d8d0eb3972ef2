//! Simulated backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::RngExt;
use tarragon_model::fence::Fence;
use tarragon_model::{backend, shard};
use tarragon_node::health::GRANT_TTL;
use tarragon_node::input::{Ending, GrantResult, Input, ProbeResult};

use super::Simulation;
use super::event::{Action, Process, Reply};
use super::setup::SLOTS;

/// Time after which a router gives up a probe or a grant, in microseconds.
const RESPONSE_TIMEOUT: u64 = 500_000;

/// Something that arrives at a backend server.
#[derive(Debug)]
pub enum Arrival {
    Probe {
        process: Process,
        shard: shard::Id,
        id: backend::Id,
        respond: bool,
    },
    Grant {
        process: Process,
        shard: shard::Id,
        id: backend::Id,
        fence: Fence,
        ticket: Option<u64>,
        respond: bool,
    },
    Work(Work),
    Close(u64),
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Work {
    pub process: Process,
    pub id: u64,
    pub connection: u64,
    pub attempt: usize,
    pub fence: Fence,
    pub start: u64,
}

/// A simulated backend server.
pub struct Backend {
    pub id: backend::Id,
    pub addr: SocketAddr,
    pub service: usize,
    /// Whether it checks fences.
    pub checks_fences: bool,
    /// Whether its process runs.
    pub up: bool,
    /// Whether operators declared it lost, so that it must not restart.
    pub declared_lost: bool,
    /// Number of the process's run.
    pub instance: u64,
    pub frozen_until: u64,
    /// Work in progress, by connection.
    pub running: BTreeMap<u64, Work>,
    /// Work whose response has begun, by connection.
    pub responding: BTreeMap<u64, Work>,
    /// Connections that the router closed.
    closed: BTreeSet<u64>,
    /// Clock values that this run of the process returned.
    tickets: BTreeSet<u64>,
    /// Current grant and its end on the process's clock.
    grant: Option<(Fence, u64)>,
}

impl Backend {
    pub fn new(id: backend::Id, addr: SocketAddr, service: usize, checks_fences: bool) -> Self {
        Self {
            id,
            addr,
            service,
            checks_fences,
            up: true,
            declared_lost: false,
            instance: 1,
            frozen_until: 0,
            running: BTreeMap::new(),
            responding: BTreeMap::new(),
            closed: BTreeSet::new(),
            tickets: BTreeSet::new(),
            grant: None,
        }
    }

    /// Returns the identifier of this run of the process.
    fn instance_name(&self) -> String {
        format!("{}-{}", self.id, self.instance)
    }

    /// Clock of the process, in its own milliseconds.
    fn clock(&self, now: u64) -> u64 {
        self.instance * 7_777 + now / 1_000
    }

    /// Returns whether a request with this fence may run.
    fn permits(&self, now: u64, fence: Fence) -> bool {
        let clock = self.clock(now);
        !self.checks_fences
            || self
                .grant
                .is_some_and(|(held, until)| held == fence && clock < until)
    }

    /// Accepts a grant if its ticket is known and its fence is not older than the current one.
    fn handle_grant(&mut self, now: u64, fence: Fence, ticket: Option<u64>) -> GrantResult {
        let clock = self.clock(now);
        let known = ticket.filter(|ticket| self.tickets.contains(ticket));
        let newer = self.grant.is_none_or(|(held, _)| fence >= held);
        let mut granted = false;
        if let (Some(ticket), true) = (known, newer) {
            let ttl = u64::try_from(GRANT_TTL.as_millis()).unwrap();
            let mut until = ticket + ttl;
            if let Some((held, before)) = self.grant
                && held == fence
            {
                until = until.max(before);
            }
            self.grant = Some((fence, until));
            granted = clock < until;
        }
        self.tickets.insert(clock);
        GrantResult::Responded {
            granted,
            ticket: clock,
            instance: self.instance_name(),
        }
    }
}

impl Simulation {
    /// Handles an arrival, after the process has thawed.
    pub fn handle_arrival(&mut self, position: usize, arrival: Arrival) {
        let backend = &self.backends[position];
        if backend.up && backend.frozen_until > self.now {
            let arrival = self.wait_frozen(arrival);
            let until = self.backends[position].frozen_until;
            self.at(until, Action::Arrival(position, arrival));
            return;
        }
        match arrival {
            Arrival::Probe {
                process,
                shard,
                id,
                respond,
            } => {
                let backend = &self.backends[position];
                let instance = backend.instance_name();
                let draining = false;
                let result = if backend.up {
                    ProbeResult::Responded { instance, draining }
                } else {
                    ProbeResult::Refused
                };
                if respond {
                    let backend = id;
                    let input = Input::Probed {
                        shard,
                        backend,
                        result,
                    };
                    self.respond_to(process, input);
                }
            }
            Arrival::Grant {
                process,
                shard,
                id,
                fence,
                ticket,
                respond,
            } => {
                let now = self.now;
                let backend = &mut self.backends[position];
                let result = if backend.up {
                    backend.handle_grant(now, fence, ticket)
                } else {
                    GrantResult::Refused
                };
                if respond {
                    let backend = id;
                    let input = Input::Granted {
                        shard,
                        backend,
                        result,
                    };
                    self.respond_to(process, input);
                }
            }
            Arrival::Work(work) => self.begin(position, work),
            Arrival::Close(connection) => self.close(position, connection),
        }
    }

    /// Lets the router that sent a probe or a grant to a frozen process time out.
    fn wait_frozen(&mut self, arrival: Arrival) -> Arrival {
        match arrival {
            Arrival::Probe {
                process,
                shard,
                id,
                respond: true,
            } => {
                let backend = id.clone();
                let result = ProbeResult::Failed;
                let input = Input::Probed {
                    shard: shard.clone(),
                    backend,
                    result,
                };
                self.later(RESPONSE_TIMEOUT, Action::input(process, input));
                Arrival::Probe {
                    process,
                    shard,
                    id,
                    respond: false,
                }
            }
            Arrival::Grant {
                process,
                shard,
                id,
                fence,
                ticket,
                respond: true,
            } => {
                let backend = id.clone();
                let result = GrantResult::Failed;
                let input = Input::Granted {
                    shard: shard.clone(),
                    backend,
                    result,
                };
                self.later(RESPONSE_TIMEOUT, Action::input(process, input));
                Arrival::Grant {
                    process,
                    shard,
                    id,
                    fence,
                    ticket,
                    respond: false,
                }
            }
            other => other,
        }
    }

    /// Delivers an input to a node after a delay.
    fn respond_to(&mut self, process: Process, input: Input) {
        let delay = self.rng.random_range(200..4_000);
        self.later(delay, Action::input(process, input));
    }

    /// Refuses a request or starts to run it.
    fn begin(&mut self, position: usize, mut work: Work) {
        let now = self.now;
        work.start = now;
        let backend = &self.backends[position];
        if !backend.up {
            self.reply(&work, Reply::Ended(Ending::NotConnected { refused: true }));
            return;
        }
        if !backend.permits(now, work.fence) {
            self.reply(&work, Reply::Ended(Ending::Refused { fenced: true }));
            return;
        }
        if backend.running.len() >= usize::from(SLOTS) * 2 {
            self.reply(&work, Reply::Ended(Ending::Refused { fenced: false }));
            return;
        }
        let closed = self.backends[position].closed.contains(&work.connection);
        if closed && self.rng.random_bool(0.5) {
            return;
        }
        self.check_start(position, &work);
        let connection = work.connection;
        let call = &self.calls[self.attempts[work.attempt].call];
        let span = if call.poison { 3_000 } else { call.work };
        let instance = self.backends[position].instance;
        self.backends[position].running.insert(connection, work);
        self.later(
            span,
            Action::Finish {
                backend: position,
                instance,
                connection,
            },
        );
        if closed {
            self.later(5_000, Action::Arrival(position, Arrival::Close(connection)));
        }
    }

    /// Handles a closed connection: its work stops.
    fn close(&mut self, position: usize, connection: u64) {
        let backend = &mut self.backends[position];
        backend.closed.insert(connection);
        backend.running.remove(&connection);
        backend.responding.remove(&connection);
    }

    /// Finishes the run of a request, or its response.
    pub fn finish(&mut self, position: usize, instance: u64, connection: u64) {
        let now = self.now;
        let backend = &mut self.backends[position];
        if backend.instance != instance || !backend.up {
            return;
        }
        if backend.frozen_until > now {
            let until = backend.frozen_until;
            let again = Action::Finish {
                backend: position,
                instance,
                connection,
            };
            self.at(until, again);
            return;
        }
        if let Some(work) = backend.responding.remove(&connection) {
            self.reply(&work, Reply::Whole);
            return;
        }
        let Some(work) = backend.running.remove(&connection) else {
            return;
        };
        let call = self.attempts[work.attempt].call;
        if self.calls[call].poison {
            self.backends[position].running.insert(connection, work);
            self.record_poison_crash(call);
            self.crash(position);
            let delay = self.rng.random_range(300_000..1_500_000);
            self.later(delay, Action::Restart(position));
            return;
        }
        if !self.backends[position].permits(now, work.fence) {
            self.reply(&work, Reply::Ended(Ending::ConnectionLost));
            return;
        }
        self.check_commit(position, &work);
        let instance_name = self.backends[position].instance_name();
        let head = Reply::Head {
            instance: instance_name,
        };
        self.reply(&work, head);
        self.backends[position].responding.insert(connection, work);
        let again = Action::Finish {
            backend: position,
            instance,
            connection,
        };
        self.later(3_000, again);
    }

    /// Delivers a reply to the router after a delay.
    fn reply(&mut self, work: &Work, reply: Reply) {
        let (process, id, connection) = (work.process, work.id, work.connection);
        let base = if matches!(reply, Reply::Whole) {
            1_500
        } else {
            200
        };
        let delay = base + self.rng.random_range(0..1_300);
        self.later(
            delay,
            Action::Reply {
                process,
                id,
                connection,
                reply,
            },
        );
    }

    /// Stops the process; its connections break.
    pub fn crash(&mut self, position: usize) {
        let backend = &mut self.backends[position];
        if !backend.up {
            return;
        }
        backend.up = false;
        let running = std::mem::take(&mut backend.running);
        let responding = std::mem::take(&mut backend.responding);
        for work in running.into_values().chain(responding.into_values()) {
            self.reply(&work, Reply::Ended(Ending::ConnectionLost));
        }
    }

    /// Starts a new process without any state of the former one.
    pub fn restart(&mut self, position: usize) {
        let backend = &mut self.backends[position];
        if backend.up || backend.declared_lost {
            return;
        }
        let fresh = Backend::new(
            backend.id.clone(),
            backend.addr,
            backend.service,
            backend.checks_fences,
        );
        let instance = backend.instance + 1;
        *backend = Backend { instance, ..fresh };
    }
}
