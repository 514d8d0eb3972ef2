//! What a router process is asked to do.

use std::net::SocketAddr;

use tarragon_model::fence::Fence;
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_model::record::Record;
use tarragon_model::{backend, shard};
use tarragon_timeline::event::Draft;

use crate::message::Message;

/// Something that the process must do.
#[derive(Debug)]
pub enum Output {
    /// Send a message to another process.
    Send {
        /// Address of the receiver's peer port.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Update a shard's record if it still has the version; zero means that it must be absent.
    Write {
        /// The shard.
        shard: shard::Id,
        /// Version that the object must have.
        if_version: u64,
        /// The new record.
        record: Box<Record>,
    },
    /// Hand a request to a backend server, provided that the lease still holds.
    Dispatch {
        /// The request.
        id: u64,
        /// What to do.
        attempt: Attempt,
    },
    /// Answer a request without a backend server's answer.
    Refuse {
        /// The request.
        id: u64,
        /// The request's fate.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// Status of the first run of a request that was already done.
        status: Option<u16>,
    },
    /// Give up a request that was handed to a backend server.
    Abort {
        /// The request.
        id: u64,
    },
    /// Ask a backend server for its health.
    Probe {
        /// The shard that asks.
        shard: shard::Id,
        /// The backend server.
        backend: backend::Id,
        /// Its address.
        addr: SocketAddr,
    },
    /// Offer a grant to a backend server.
    Grant {
        /// The shard that offers.
        shard: shard::Id,
        /// The backend server.
        backend: backend::Id,
        /// Its address.
        addr: SocketAddr,
        /// Fence of the reign.
        fence: Fence,
        /// Clock of the backend server from an earlier answer.
        ticket: Option<u64>,
    },
    /// Record an event in the time line.
    Event(Draft),
    /// Everything was handed over; the process may end once its requests have.
    Drained,
}

/// Where and under which reign a request is to run.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The shard.
    pub shard: shard::Id,
    /// Fence of the reign.
    pub fence: Fence,
    /// The backend server.
    pub backend: backend::Id,
    /// Its address.
    pub addr: SocketAddr,
}
