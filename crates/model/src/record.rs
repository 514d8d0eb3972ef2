//! The record of a shard that lasts in the platform's object API.

use serde::{Deserialize, Serialize};

use crate::fence::Fence;
use crate::host::Peer;
use crate::{backend, key};

/// The three router processes that share the authority over a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// Acts for the shard while a standby renews its lease.
    pub leader: Peer,
    /// Succeeds the leader.
    pub first: Peer,
    /// Must agree before the first standby succeeds.
    pub second: Peer,
}

impl ReplicaSet {
    /// Tells whether `peer` is one of the three.
    #[must_use]
    pub fn contains(&self, peer: &Peer) -> bool {
        self.leader == *peer || self.first == *peer || self.second == *peer
    }
}

/// Owner of a run of key groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// First group of the run.
    pub from: key::Group,
    /// Last group of the run.
    pub to: key::Group,
    /// Backend server that owns the groups.
    pub backend: backend::Id,
}

/// Key whose owner differs from that of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Override {
    /// Hash of the key.
    pub key: key::Hash,
    /// Backend server that owns the key.
    pub backend: backend::Id,
}

/// Object of the kind `shards` in the platform's object API.
///
/// The object is only ever written with a conditional update. `token` names the writer's
/// attempt, so that a writer whose answer was lost can recognise its own write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Epoch of the trio; each change of the trio adds one.
    pub epoch: u64,
    /// Reign in which the owners were last written.
    pub fence: Fence,
    /// Index of the last ownership change within the reign.
    pub index: u64,
    /// Unique text of the write attempt.
    pub token: String,
    /// Processes that share the authority.
    #[serde(rename = "trio")]
    pub replica_set: ReplicaSet,
    /// Owners of the shard's groups.
    pub owners: Vec<Owner>,
    /// Keys with an owner of their own.
    pub overrides: Vec<Override>,
}
