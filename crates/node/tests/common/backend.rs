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

pub struct Backend {
    pub id: backend::Id,
    pub addr: SocketAddr,
    pub service: usize,
    pub checks: bool,
    pub up: bool,
    pub declared: bool,
    pub instance: u64,
    pub frozen_until: u64,
    pub running: BTreeMap<u64, Work>,
    pub responding: BTreeMap<u64, Work>,
    closed: BTreeSet<u64>,
    tickets: BTreeSet<u64>,
    grant: Option<(Fence, u64)>,
}

impl Backend {
    pub fn new(id: backend::Id, addr: SocketAddr, service: usize, checks: bool) -> Self {
        Self {
            id,
            addr,
            service,
            checks,
            up: true,
            declared: false,
            instance: 1,
            frozen_until: 0,
            running: BTreeMap::new(),
            responding: BTreeMap::new(),
            closed: BTreeSet::new(),
            tickets: BTreeSet::new(),
            grant: None,
        }
    }

    fn text(&self) -> String {
        format!("{}-{}", self.id, self.instance)
    }

    /// Clock of the process, in its own milliseconds.
    fn clock(&self, now: u64) -> u64 {
        self.instance * 7_777 + now / 1_000
    }

    fn permits(&self, now: u64, fence: Fence) -> bool {
        let clock = self.clock(now);
        !self.checks
            || self
                .grant
                .is_some_and(|(held, until)| held == fence && clock < until)
    }

    fn offered(&mut self, now: u64, fence: Fence, ticket: Option<u64>) -> GrantResult {
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
            instance: self.text(),
        }
    }
}

impl Simulation {
    pub fn arrival(&mut self, position: usize, arrival: Arrival) {
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
                let instance = backend.text();
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
                    backend.offered(now, fence, ticket)
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

    fn respond_to(&mut self, process: Process, input: Input) {
        let delay = self.rng.random_range(200..4_000);
        self.later(delay, Action::input(process, input));
    }

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

    fn close(&mut self, position: usize, connection: u64) {
        let backend = &mut self.backends[position];
        backend.closed.insert(connection);
        backend.running.remove(&connection);
        backend.responding.remove(&connection);
    }

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
        let instance_text = self.backends[position].text();
        let head = Reply::Head {
            instance: instance_text,
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

    pub fn restart(&mut self, position: usize) {
        let backend = &mut self.backends[position];
        if backend.up || backend.declared {
            return;
        }
        let fresh = Backend::new(
            backend.id.clone(),
            backend.addr,
            backend.service,
            backend.checks,
        );
        let instance = backend.instance + 1;
        *backend = Backend { instance, ..fresh };
    }
}
