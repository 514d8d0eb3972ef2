//! Messages between router processes.

use serde::{Deserialize, Serialize};
use tarragon_lease::message::Message as LeaseMessage;
use tarragon_model::config::Config;
use tarragon_model::fence::Fence;
use tarragon_model::host::{self, Peer};
use tarragon_model::record::Record;
use tarragon_model::shard;

use crate::state::State;

/// A message from one router process to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat, sent at a fixed interval.
    Heartbeat(Heartbeat),
    /// Message of the lease protocol, which keeps at most one leader per shard.
    Lease(Envelope),
    /// A shard's record, sent when its replica set changes and to a process that has an older one.
    Record(VersionedRecord),
    /// The latest configuration that the sender knows.
    Config(VersionedConfig),
    /// Asks for the latest configuration.
    ConfigWanted,
}

/// Heartbeat of a router process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Addresses, region and failure domain of the sender.
    pub entry: host::Entry,
    /// Version of the configuration that the sender knows; zero for none.
    pub config_version: u64,
    /// Shards that the sender leads.
    pub leads: Vec<Leadership>,
    /// Whether the sender is draining.
    pub draining: bool,
}

/// The leader of one shard and its term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leadership {
    /// Shard that is led.
    pub shard: shard::Id,
    /// Fence of the term.
    pub fence: Fence,
    /// Process that leads the shard.
    pub leader: Peer,
}

/// Message of the lease protocol, addressed to the members of one shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Shard whose members exchange the message.
    pub shard: shard::Id,
    /// Message for the shard's member.
    pub message: LeaseMessage<State>,
}

/// Record of a shard and its version in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionedRecord {
    /// Shard that the record describes.
    pub shard: shard::Id,
    /// Version of the stored object.
    pub version: u64,
    /// Content of the object.
    pub record: Record,
}

/// Configuration and its version in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionedConfig {
    /// Version of the stored object.
    pub version: u64,
    /// Content of the object.
    pub config: Config,
}
