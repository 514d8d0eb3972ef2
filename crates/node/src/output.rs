//! Outputs of the state machine of a router process.

use std::net::SocketAddr;

use tarragon_model::fence::Fence;
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_model::record::Record;
use tarragon_model::{backend, shard};
use tarragon_timeline::event::Draft;

use crate::message::Message;

/// An action that the process must carry out.
#[derive(Debug)]
pub enum Output {
    /// Send a message to another router process.
    Send {
        /// Address of the receiver's peer port.
        to: SocketAddr,
        /// Message to send.
        message: Message,
    },
    /// Update a shard's record if it still has the expected version.
    Write {
        /// Shard that the record describes.
        shard: shard::Id,
        /// Version that the object must have; zero if it must not exist.
        if_version: u64,
        /// Record to write.
        record: Box<Record>,
    },
    /// Send a request to a backend server, provided that the lease is still valid.
    Dispatch {
        /// Number of the request within the process.
        id: u64,
        /// Where to send it and under which fence.
        attempt: Attempt,
    },
    /// Respond to a request without a backend server's response.
    Refuse {
        /// Number of the request within the process.
        id: u64,
        /// Whether the request ran.
        outcome: Outcome,
        /// Reason that the caller is told.
        reason: Reason,
        /// Status of the earlier run, if the request was already done.
        status: Option<u16>,
    },
    /// Abort a request that was dispatched to a backend server.
    Abort {
        /// Number of the request within the process.
        id: u64,
    },
    /// Probe the health of a backend server.
    Probe {
        /// Shard whose leader asks.
        shard: shard::Id,
        /// Backend server to probe.
        backend: backend::Id,
        /// Address of the backend server.
        addr: SocketAddr,
    },
    /// Offer a grant to a backend server.
    Grant {
        /// Shard whose leader offers the grant.
        shard: shard::Id,
        /// Backend server that the grant is offered to.
        backend: backend::Id,
        /// Address of the backend server.
        addr: SocketAddr,
        /// Fence of the term.
        fence: Fence,
        /// Clock of the backend server from an earlier response, in its own milliseconds.
        ticket: Option<u64>,
    },
    /// Record an event in the timeline.
    Event(Draft),
    /// Draining has finished; the process may exit once its open requests have ended.
    Drained,
}

/// One attempt to run a request on a backend server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Shard of the request.
    pub shard: shard::Id,
    /// Fence of the term.
    pub fence: Fence,
    /// Backend server that is to run the request.
    pub backend: backend::Id,
    /// Address of the backend server.
    pub addr: SocketAddr,
}
