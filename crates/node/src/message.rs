//! Messages between router processes.

use serde::{Deserialize, Serialize};
use tarragon_lease::message::Message as LeaseMessage;
use tarragon_model::config::Config;
use tarragon_model::fence::Fence;
use tarragon_model::host::{self, Peer};
use tarragon_model::record::Record;
use tarragon_model::shard;

use crate::state::State;

/// What one router process tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Sign of life, sent regularly.
    Heartbeat(Heartbeat),
    /// Part of the protocol that keeps one leader for a shard.
    Lease(Envelope),
    /// A shard's record, for the members of its trio.
    Record(VersionedRecord),
    /// The latest configuration that the sender knows.
    Config(VersionedConfig),
    /// Asks for the latest configuration.
    ConfigWanted,
}

/// Sign of life of a router process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Addresses and place of the sender.
    pub entry: host::Entry,
    /// Version of the configuration that the sender knows; zero for none.
    pub config_version: u64,
    /// Shards that the sender leads.
    pub leads: Vec<Leadership>,
    /// Whether the sender is shutting down.
    pub draining: bool,
}

/// One shard and the reign over it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leadership {
    /// The shard.
    pub shard: shard::Id,
    /// Fence of the reign.
    pub fence: Fence,
    /// Process that leads.
    pub leader: Peer,
}

/// Message of the lease protocol of one shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The shard.
    pub shard: shard::Id,
    /// The message.
    pub message: LeaseMessage<State>,
}

/// Record of a shard as the store holds it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionedRecord {
    /// The shard.
    pub shard: shard::Id,
    /// Version of the object in the store.
    pub version: u64,
    /// The record.
    pub record: Record,
}

/// Configuration as the store holds it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionedConfig {
    /// Version of the object in the store.
    pub version: u64,
    /// The configuration.
    pub config: Config,
}
