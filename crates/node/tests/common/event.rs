//! What is going to happen in a schedule, and when.

use std::cmp::Ordering;

use tarragon_model::host::Peer;
use tarragon_model::record::Record;
use tarragon_model::{backend, shard};
use tarragon_node::input::{Ending, Input};
use tarragon_node::message::Message;
use tarragon_node::output::Attempt;

use super::backend::Job;
use super::fault::Fault;

/// One run of the router on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    pub host: usize,
    pub run: u64,
}

/// What a connection to a backend server brings.
#[derive(Debug)]
pub enum Reply {
    Head { instance: String },
    Whole,
    Ended(Ending),
}

/// Something that happens.
#[derive(Debug)]
pub enum What {
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
        order: Attempt,
    },
    Handed {
        process: Process,
        id: u64,
        connection: u64,
        order: Attempt,
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
    Settle {
        process: Process,
        shard: shard::Id,
        if_version: u64,
        record: Box<Record>,
    },
    Job(usize, Job),
    Finish {
        backend: usize,
        instance: u64,
        connection: u64,
    },
    Restart(usize),
    Call,
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

impl What {
    pub fn input(process: Process, input: Input) -> Self {
        Self::Input(process, Box::new(input))
    }
}

/// Something that happens at an instant.
#[derive(Debug)]
pub struct Event {
    pub at: u64,
    pub order: u64,
    pub what: What,
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
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Position of a backend server, from its name.
pub fn position(id: &backend::Id) -> usize {
    id.as_str()[1..].parse().unwrap()
}
