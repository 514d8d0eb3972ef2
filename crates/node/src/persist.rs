//! Writing a shard's record to the store, one update at a time.

use tarragon_model::fence::Fence;
use tarragon_model::record::{Record, ReplicaSet};

use crate::state::State;

/// What an update of a record is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Creates the record.
    Create,
    /// Changes the trio.
    ReplicaSet(ReplicaSet),
    /// Keeps changed owners.
    Owners,
}

/// An update that was sent and has not ended.
#[derive(Clone, Debug)]
pub struct Update {
    /// What the update is for.
    pub purpose: Purpose,
    /// The record that it writes.
    pub record: Record,
}

/// Builds a record with a token that no other update carries.
#[derive(Debug)]
pub struct RecordBuilder {
    /// Unique text of the update.
    pub token: String,
    /// First group of the shard.
    pub first_group: u32,
}

impl RecordBuilder {
    /// Builds the record of a reign from the shard's state.
    #[must_use]
    pub fn build(self, fence: Fence, trio: &ReplicaSet, state: &State) -> Record {
        Record {
            epoch: fence.epoch,
            fence,
            index: state.changes,
            token: self.token,
            replica_set: trio.clone(),
            owners: state.owners_for_record(self.first_group),
            overrides: state.overrides_for_record(),
        }
    }
}
