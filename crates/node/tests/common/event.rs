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
    Head { instance: String },
    Whole,
    Ended(Ending),
}

/// An action of the simulation.
#[derive(Debug)]
pub enum Action {
    Tick(Process),
    Input(Process, Box<Input>),
    Deliver {
        to: usize,
        from: Peer,
        message: Box<Message>,
    },
    Send {
        process: Process,
        id: u64,
        backend_attempt: Attempt,
    },
    Delivered {
        process: Process,
        id: u64,
        connection: u64,
        backend_attempt: Attempt,
    },
    Reply {
        process: Process,
        id: u64,
        connection: u64,
        reply: Reply,
    },
    Abort {
        process: Process,
        id: u64,
    },
    Write {
        process: Process,
        shard: shard::Id,
        if_version: u64,
        record: Box<Record>,
    },
    ResolveWrite {
        process: Process,
        shard: shard::Id,
        if_version: u64,
        record: Box<Record>,
    },
    Arrival(usize, Arrival),
    Finish {
        backend: usize,
        instance: u64,
        connection: u64,
    },
    Restart(usize),
    IssueCall,
    Arrive {
        host: usize,
        attempt: usize,
        hop: bool,
    },
    Resend(usize),
    GiveUp(usize),
    Fault(Fault),
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
