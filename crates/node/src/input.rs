//! What happens to a router process.

use tarragon_model::config::Config;
use tarragon_model::host::{self, Peer};
use tarragon_model::record::Record;
use tarragon_model::time::Instant;
use tarragon_model::{backend, key, service, shard};

use crate::message::Message;

/// The time at which something happened.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time of the process.
    pub at: Instant,
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Something that happened to the process.
#[derive(Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// Another process sent a message.
    Message {
        /// The sender.
        from: Peer,
        /// What it said.
        message: Message,
    },
    /// The platform's host list was read.
    Hosts(Vec<host::Entry>),
    /// Operators declared this incarnation, and earlier ones, of a host lost.
    HostLost(Peer),
    /// The configuration was read from the store.
    Config {
        /// Version of the object.
        version: u64,
        /// The configuration.
        config: Box<Config>,
    },
    /// All records of shards were read from the store.
    Records(Vec<ReadRecord>),
    /// An update of a shard's record ended.
    WriteEnded {
        /// The shard.
        shard: shard::Id,
        /// How the update ended.
        result: WriteOutcome,
    },
    /// The store does not answer, or answers again.
    StoreUnavailable(bool),
    /// A caller's request arrived at the leader of its shard.
    Submit(Submission),
    /// The backend server's answer to a request began.
    Responded {
        /// The request.
        id: u64,
        /// HTTP status of the answer.
        status: u16,
        /// Start of the process that answered.
        instance: Option<String>,
    },
    /// A request that was handed to a backend server ended.
    Ended {
        /// The request.
        id: u64,
        /// How it ended.
        ending: Ending,
    },
    /// The caller of a request went away, or its answer was given up.
    Cancelled {
        /// The request.
        id: u64,
    },
    /// A backend server's health was asked for.
    Probed {
        /// The shard that asked.
        shard: shard::Id,
        /// The backend server.
        backend: backend::Id,
        /// What it answered.
        result: ProbeResult,
    },
    /// A grant was offered to a backend server.
    Granted {
        /// The shard that offered it.
        shard: shard::Id,
        /// The backend server.
        backend: backend::Id,
        /// What it answered.
        result: GrantResult,
    },
    /// The process is asked to leave.
    Drain,
}

/// Record of a shard read from the store.
#[derive(Debug)]
pub struct ReadRecord {
    /// The shard.
    pub shard: shard::Id,
    /// Version of the object.
    pub version: u64,
    /// The record.
    pub record: Record,
}

/// How an update of a shard's record ended.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The update took effect.
    Won {
        /// Version of the object now.
        version: u64,
    },
    /// Another update came first.
    Lost {
        /// Version of the object now; zero when it is absent.
        version: u64,
        /// The record, unless absent.
        record: Option<Box<Record>>,
    },
    /// The update did not take effect and may be tried again.
    Failed,
    /// Whether the update took effect is not known yet.
    Unresolved,
}

/// Request for work, as its shard's leader sees it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Number of the request within the process.
    pub id: u64,
    /// Service that the request names.
    pub service: service::Id,
    /// Shard that the key belongs to.
    pub shard: shard::Id,
    /// Hash of the key.
    pub key: key::Hash,
    /// Group of the key.
    pub group: key::Group,
    /// Position of the request's class among the service's classes.
    pub class: u8,
    /// Instant at which the answer is worthless.
    pub deadline: Instant,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Identifier of a request that is not idempotent.
    pub identifier: Option<u128>,
    /// Hash of what makes two requests the same request.
    pub fingerprint: u64,
}

/// How a request that was handed to a backend server ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer was passed on.
    Served,
    /// The backend server refused before running the request.
    Refused {
        /// Whether the refusal concerns the fence of the reign.
        fenced: bool,
    },
    /// No connection could be made, so nothing was sent.
    NotConnected {
        /// Whether the peer refused the connection, which shows that no process listens.
        refused: bool,
    },
    /// The lease had lapsed at the last moment, so nothing was sent.
    NotSent,
    /// The connection broke after something was sent and before an answer began.
    ConnectionLost,
    /// The answer broke off after it began.
    Truncated,
    /// The router gave the request up after something was sent.
    Aborted,
    /// The caller went away after something was sent.
    Abandoned,
}

/// Answer to a health probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The backend server answered.
    Responded {
        /// Unique text of the start of the process.
        instance: String,
        /// Whether it is about to leave.
        draining: bool,
    },
    /// The connection was refused, so no process listens.
    Refused,
    /// No answer came.
    Failed,
}

/// Answer to an offered grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantResult {
    /// The backend server answered.
    Responded {
        /// Whether the grant was taken.
        granted: bool,
        /// Clock of the backend server at the answer, in its own milliseconds.
        ticket: u64,
        /// Unique text of the start of the process.
        instance: String,
    },
    /// The connection was refused, so no process listens.
    Refused,
    /// No answer came.
    Failed,
}
