//! Scheduled events of a simulation.

use std::cmp::Ordering;

use tarragon_model::host::Peer;
use tarragon_model::record::Record;
use tarragon_model::{backend, shard};
use tarragon_node::input::{Ending, Input};
use tarragon_node::message::Message;
use tarragon_node::output::Attempt;

use super::backend::Arrival;
use super::fault::Fault;

/// One run of the router on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    pub host: usize,
    pub run: u64,
}

/// What a connection to a backend server delivers.
#[derive(Debug)]
pub enum Reply {
    /// The head of the response.
    Head { instance: String },
    /// The rest of the response.
    Whole,
    /// The end of the request without a complete response.
    Ended(Ending),
}

/// An action of the simulation.
#[derive(Debug)]
pub enum Action {
    /// A node's periodic input.
    Tick(Process),
    /// An input of a node.
    Input(Process, Box<Input>),
    /// A message arrives at a host.
    Deliver {
        to: usize,
        from: Peer,
        message: Box<Message>,
    },
    /// The driver checks the lease and sends a request.
    Send {
        process: Process,
        id: u64,
        backend_attempt: Attempt,
    },
    /// A sent request leaves for its backend server.
    ReachBackend {
        process: Process,
        id: u64,
        connection: u64,
        backend_attempt: Attempt,
    },
    /// A connection to a backend server delivers something.
    Reply {
        process: Process,
        id: u64,
        connection: u64,
        reply: Reply,
    },
    /// The driver aborts a request.
    Abort { process: Process, id: u64 },
    /// An update of a record reaches the store.
    Write {
        process: Process,
        shard: shard::Id,
        if_version: u64,
        record: Box<Record>,
    },
    /// The driver resolves an update whose response was lost.
    ResolveWrite {
        process: Process,
        shard: shard::Id,
        if_version: u64,
        record: Box<Record>,
    },
    /// Something arrives at a backend server.
    Arrival(usize, Arrival),
    /// A backend server finishes a step of a request.
    Finish {
        backend: usize,
        instance: u64,
        connection: u64,
    },
    /// A backend server restarts.
    Restart(usize),
    /// A caller issues a request.
    IssueCall,
    /// An attempt arrives at a host, directly or forwarded by another (`hop`).
    Arrive {
        host: usize,
        attempt: usize,
        hop: bool,
    },
    /// A caller retries a call.
    Resend(usize),
    /// A caller gives up an attempt.
    GiveUp(usize),
    /// A fault occurs.
    Fault(Fault),
    /// The counts of all nodes are checked.
    Check,
}

impl Action {
    pub fn input(process: Process, input: Input) -> Self {
        Self::Input(process, Box::new(input))
    }
}

/// An action at an instant of virtual time.
#[derive(Debug)]
pub struct Event {
    pub at: u64,
    pub sequence: u64,
    pub action: Action,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Returns the position of a backend server, from its name.
pub fn position(id: &backend::Id) -> usize {
    id.as_str()[1..].parse().unwrap()
}
