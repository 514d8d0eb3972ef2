//! Record of a shard, kept in the platform's object API.

use serde::{Deserialize, Serialize};

use crate::fence::Fence;
use crate::host::Peer;
use crate::{backend, key};

/// The three router processes that are responsible for a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// Leads the shard as long as a standby renews its lease.
    pub leader: Peer,
    /// First standby, which succeeds the leader.
    pub first: Peer,
    /// Second standby, which must agree before the first one succeeds the leader.
    pub second: Peer,
}

impl ReplicaSet {
    /// Returns whether `peer` is one of the three processes.
    #[must_use]
    pub fn contains(&self, peer: &Peer) -> bool {
        self.leader == *peer || self.first == *peer || self.second == *peer
    }
}

/// Owner of a contiguous range of key groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// First group of the range.
    pub from: key::Group,
    /// Last group of the range, inclusive.
    pub to: key::Group,
    /// Backend server that owns the groups.
    pub backend: backend::Id,
}

/// Key whose owner differs from the owner of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Override {
    /// Hash of the key.
    pub key: key::Hash,
    /// Backend server that owns the key.
    pub backend: backend::Id,
}

/// Object of the kind `shards` in the platform's object API.
///
/// The object is written by conditional updates only. `token` identifies the write attempt, so
/// that a writer that received no response can recognise its own write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Epoch of the replica set; each change of the replica set increments it.
    pub epoch: u64,
    /// Fence of the term in which the owners were last written.
    pub fence: Fence,
    /// Number of ownership changes of the shard up to this record.
    pub index: u64,
    /// Unique token of the write attempt.
    pub token: String,
    /// Processes that are responsible for the shard.
    #[serde(rename = "trio")]
    pub replica_set: ReplicaSet,
    /// Owners of the shard's groups.
    pub owners: Vec<Owner>,
    /// Keys that have an owner of their own.
    pub overrides: Vec<Override>,
}
