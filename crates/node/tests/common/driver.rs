//! Requests in the process that drives a node.

use std::time::Duration;

use rand::RngExt;
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_node::input::{Ending, Input};
use tarragon_node::output::Attempt;

use super::Simulation;
use super::backend::{Arrival, Work};
use super::caller::AttemptResult;
use super::event::{Action, Process, Reply, position};

/// Time that a router gives a backend server beyond the deadline, in microseconds.
const DEADLINE_GRACE_US: u64 = 250_000;

/// Progress of a request in the driver.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Submitted to the node.
    Waiting,
    /// The node returned a dispatch that the driver has not yet acted on.
    Dispatched,
    /// Sent to a backend server.
    Sent { backend: usize, connection: u64 },
    /// The backend server's response has begun.
    Responded { backend: usize, connection: u64 },
}

/// A request that is open in the driver.
#[derive(Debug)]
pub struct Running {
    pub attempt: usize,
    pub stage: Stage,
    abort: bool,
}

impl Simulation {
    /// Takes a dispatch from the node; it is sent after a short delay.
    pub fn accept_dispatch(&mut self, process: Process, id: u64, backend_attempt: Attempt) {
        let Some(running) = self.hosts[process.host].requests.get_mut(&id) else {
            let ending = Ending::NotSent;
            self.later(0, Action::input(process, Input::Ended { id, ending }));
            return;
        };
        assert!(
            matches!(running.stage, Stage::Waiting),
            "request {id} is dispatched twice"
        );
        running.stage = Stage::Dispatched;
        running.abort = false;
        let delay = self.rng.random_range(0..1_000);
        self.later(
            delay,
            Action::Send {
                process,
                id,
                backend_attempt,
            },
        );
    }

    /// Checks the lease at the last moment and sends the request.
    pub fn send(&mut self, process: Process, id: u64, backend_attempt: Attempt) {
        let now = self.now;
        let host = &mut self.hosts[process.host];
        let at = host.now(now).at;
        let holds = host
            .leases
            .get(&backend_attempt.shard)
            .is_some_and(|end| at < *end);
        let Some(running) = host.requests.get_mut(&id) else {
            return;
        };
        if !holds {
            running.stage = Stage::Waiting;
            let ending = Ending::NotSent;
            self.input(process, Input::Ended { id, ending });
            return;
        }
        let backend = position(&backend_attempt.backend);
        let connection = self.next_number();
        let attempt = {
            let running = self.hosts[process.host].requests.get_mut(&id).unwrap();
            running.stage = Stage::Sent {
                backend,
                connection,
            };
            if running.abort {
                self.later(0, Action::Abort { process, id });
            }
            self.hosts[process.host].requests[&id].attempt
        };
        let reach_backend = Action::ReachBackend {
            process,
            id,
            connection,
            backend_attempt,
        };
        // Only a backend server that checks fences refuses what a process sends too late after a
        // freeze.
        if self.backends[backend].checks_fences
            && self.rng.random_range(0..1_000) < self.late_send_rate
        {
            let span = self.rng.random_range(100_000..4_000_000);
            self.inject_fault(super::fault::Fault::Freeze(process.host, span));
        }
        self.later(0, reach_backend);
        let deadline = self.attempts[attempt].deadline;
        let ending = Ending::Aborted;
        let give_up = Action::Reply {
            process,
            id,
            connection,
            reply: Reply::Ended(ending),
        };
        self.at(deadline.max(now) + DEADLINE_GRACE_US, give_up);
    }

    /// Lets a sent request travel to its backend server.
    pub fn reach_backend(
        &mut self,
        process: Process,
        id: u64,
        connection: u64,
        backend_attempt: &Attempt,
    ) {
        let Some(running) = self.hosts[process.host].requests.get(&id) else {
            return;
        };
        let work = Work {
            process,
            id,
            connection,
            attempt: running.attempt,
            fence: backend_attempt.fence,
            start: 0,
        };
        self.send_to_backend(position(&backend_attempt.backend), Arrival::Work(work));
    }

    /// Aborts a request; one that is not sent yet is aborted after it is sent.
    pub fn abort(&mut self, process: Process, id: u64) {
        let Some(running) = self.hosts[process.host].requests.get_mut(&id) else {
            return;
        };
        match running.stage.clone() {
            Stage::Waiting => {}
            Stage::Dispatched => running.abort = true,
            Stage::Sent { connection, .. } | Stage::Responded { connection, .. } => {
                let reply = Reply::Ended(Ending::Aborted);
                self.handle_reply(process, id, connection, reply);
            }
        }
    }

    /// Closes the connection of a request that was sent.
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
            self.later(
                delay,
                Action::Arrival(*backend, Arrival::Close(*connection)),
            );
        }
    }

    /// Handles what a connection to a backend server delivered.
    pub fn handle_reply(&mut self, process: Process, id: u64, connection: u64, reply: Reply) {
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
                self.complete_attempt(attempt, AttemptResult::Served);
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
                let ending = Ending::Truncated;
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

    /// Handles the node's refusal of a request.
    pub fn handle_refusal(
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
        self.complete_attempt(running.attempt, AttemptResult::Refused(outcome, reason));
    }

    /// Submits a request to the node that should lead its shard.
    pub fn submit(&mut self, host: usize, attempt: usize) {
        let id = self.next_number();
        let process = self.hosts[host].process;
        self.trace(|| format!("h{host} submit {id} attempt {attempt}"));
        let running = Running {
            attempt,
            stage: Stage::Waiting,
            abort: false,
        };
        self.hosts[host].requests.insert(id, running);
        self.attempts[attempt].submission = Some((process, id));
        let left = self.attempts[attempt].deadline.saturating_sub(self.now);
        let at = self.hosts[host].now(self.now).at;
        let deadline = at + Duration::from_micros(left);
        let submission = self.submission(id, attempt, deadline);
        self.input(process, Input::Submit(submission));
    }

    /// Lets the caller of a request disconnect.
    pub fn cancel(&mut self, process: Process, id: u64) {
        if !self.is_running(process) {
            return;
        }
        let Some(running) = self.hosts[process.host].requests.remove(&id) else {
            return;
        };
        let input = match &running.stage {
            Stage::Waiting => Input::Cancelled { id },
            // The driver drops the request before it has read the dispatch.
            Stage::Dispatched => Input::Ended {
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
}
