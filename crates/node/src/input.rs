//! Inputs of the state machine of a router process.

use tarragon_model::config::Config;
use tarragon_model::host::{self, Peer};
use tarragon_model::record::Record;
use tarragon_model::time::Instant;
use tarragon_model::{backend, key, service, shard};

use crate::message::Message;

/// The time at which an input is handled.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time of the process.
    pub at: Instant,
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Something that happened and that the node must handle.
#[derive(Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message from another router process arrived.
    Message {
        /// Sender of the message.
        from: Peer,
        /// Message that was sent.
        message: Message,
    },
    /// The platform's host list was read.
    Hosts(Vec<host::Entry>),
    /// Operators declared this incarnation of a host, and all earlier ones, lost.
    HostLost(Peer),
    /// The configuration was read from the store.
    Config {
        /// Version of the configuration object.
        version: u64,
        /// Content of the object.
        config: Box<Config>,
    },
    /// The records of all shards were read from the store.
    Records(Vec<ReadRecord>),
    /// An update of a shard's record ended, or its outcome became unknown.
    WriteEnded {
        /// Shard whose record was written.
        shard: shard::Id,
        /// Outcome of the update.
        result: WriteOutcome,
    },
    /// The store stopped responding (`true`) or responds again (`false`).
    StoreUnavailable(bool),
    /// A caller's request arrived at the leader of its shard.
    Submit(Submission),
    /// A backend server's response to a request began.
    Responded {
        /// Number of the request within the process.
        id: u64,
        /// HTTP status of the response.
        status: u16,
        /// Incarnation of the backend server that responded, if it sent one.
        instance: Option<String>,
    },
    /// A request that was dispatched to a backend server ended.
    Ended {
        /// Number of the request within the process.
        id: u64,
        /// How it ended.
        ending: Ending,
    },
    /// The caller of a request disconnected or gave up waiting for the response.
    Cancelled {
        /// Number of the request within the process.
        id: u64,
    },
    /// A probe of a backend server ended.
    Probed {
        /// Shard whose leader sent the probe.
        shard: shard::Id,
        /// Backend server that was probed.
        backend: backend::Id,
        /// Result of the probe.
        result: ProbeResult,
    },
    /// The offer of a grant to a backend server ended.
    Granted {
        /// Shard whose leader offered the grant.
        shard: shard::Id,
        /// Backend server that the grant was offered to.
        backend: backend::Id,
        /// Result of the offer.
        result: GrantResult,
    },
    /// The process is asked to drain and stop.
    Drain,
}

/// A shard's record as read from the store.
#[derive(Debug)]
pub struct ReadRecord {
    /// Shard that the record describes.
    pub shard: shard::Id,
    /// Version of the stored object.
    pub version: u64,
    /// Content of the object.
    pub record: Record,
}

/// Outcome of an update of a shard's record.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The update took effect.
    Applied {
        /// Version that the update produced.
        version: u64,
    },
    /// The object had another version, so the update did not take effect.
    Conflict {
        /// Current version of the object; zero if it does not exist.
        version: u64,
        /// Current record, if it exists and could be read.
        record: Option<Box<Record>>,
    },
    /// The update did not take effect and may be retried.
    Failed,
    /// Whether the update took effect is not known yet; another outcome follows.
    Unresolved,
}

/// A caller's request as it is submitted to its shard's leader.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Number of the request within the process.
    pub id: u64,
    /// Service that the request names.
    pub service: service::Id,
    /// Shard of the key.
    pub shard: shard::Id,
    /// Hash of the key.
    pub key: key::Hash,
    /// Group of the key.
    pub group: key::Group,
    /// Position of the request's class among the service's classes.
    pub class: u8,
    /// Instant after which the caller no longer needs the response.
    pub deadline: Instant,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Identifier of a request that is not idempotent, a UUID of version 7.
    pub identifier: Option<u128>,
    /// Hash that identifies retries of the same request.
    pub fingerprint: u64,
}

/// How a request that was dispatched to a backend server ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole response was relayed.
    Served,
    /// The backend server refused before running the request.
    Refused {
        /// Whether it refused because of the fence of the term.
        fenced: bool,
    },
    /// No connection could be made, so nothing was sent.
    NotConnected {
        /// Whether the connection was refused, which shows that no process listens.
        refused: bool,
    },
    /// The lease had expired when the request was about to be sent, so nothing was sent.
    NotSent,
    /// The connection broke after something was sent and before a response began.
    ConnectionLost,
    /// The response broke off after it began.
    Truncated,
    /// The router gave the request up after something was sent.
    Aborted,
    /// The caller disconnected after something was sent.
    Abandoned,
}

/// Result of a health probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The backend server responded.
    Responded {
        /// Unique identifier of the backend server's incarnation.
        instance: String,
        /// Whether it is draining.
        draining: bool,
    },
    /// The connection was refused, so no process listens.
    Refused,
    /// No response came.
    Failed,
}

/// Result of a grant offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantResult {
    /// The backend server responded.
    Responded {
        /// Whether it accepted the grant.
        granted: bool,
        /// Clock of the backend server when it responded, in its own milliseconds.
        ticket: u64,
        /// Unique identifier of the backend server's incarnation.
        instance: String,
    },
    /// The connection was refused, so no process listens.
    Refused,
    /// No response came.
    Failed,
}
