//! Updates of a shard's record in the store, at most one at a time per shard.

use tarragon_model::fence::Fence;
use tarragon_model::record::{Record, ReplicaSet};

use crate::state::State;

/// Purpose of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Creates the record, or replaces that of a shard whose whole replica set is gone.
    Create,
    /// Changes the replica set.
    ReplicaSet(ReplicaSet),
    /// Stores changed owners.
    Owners,
}

/// An update that was sent and has not ended.
#[derive(Clone, Debug)]
pub struct Update {
    /// Purpose of the update.
    pub purpose: Purpose,
    /// Record that the update writes.
    pub record: Record,
}

/// Builds a record with a token that no other update carries.
#[derive(Debug)]
pub struct RecordBuilder {
    /// Unique token of the update.
    pub token: String,
    /// First key group of the shard.
    pub first_group: u32,
}

impl RecordBuilder {
    /// Builds the record of a term from the shard's state.
    #[must_use]
    pub fn build(self, fence: Fence, replica_set: &ReplicaSet, state: &State) -> Record {
        Record {
            epoch: fence.epoch,
            fence,
            index: state.changes,
            token: self.token,
            replica_set: replica_set.clone(),
            owners: state.owners_for_record(self.first_group),
            overrides: state.overrides_for_record(),
        }
    }
}
