//! Writing a shard's record to the store, one update at a time.

use tarragon_lease::state::State as _;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::record::{Record, Trio};

use crate::state::State;

/// What an update of a record is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Creates the record.
    Create,
    /// Changes the trio.
    Trio(Trio),
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

/// Builds records with a token that no other update carries.
#[derive(Debug)]
pub struct Draft<'a> {
    /// The writing process.
    pub writer: &'a Peer,
    /// Number of the update within the process.
    pub number: u64,
    /// First group of the shard.
    pub first_group: u32,
}

impl Draft<'_> {
    /// Builds the record of an epoch from the shard's state.
    #[must_use]
    pub fn record(&self, epoch: u64, fence: Fence, trio: &Trio, state: &State) -> Record {
        Record {
            epoch,
            fence,
            index: state.changes,
            token: format!("{}-{}", self.writer, self.number),
            trio: trio.clone(),
            owners: state.owners_for_record(self.first_group),
            overrides: state.overrides_for_record(),
        }
    }
}

/// Rebuilds a state by applying entries to it, for the owners of a new shard.
pub fn apply_all(state: &mut State, entries: &[crate::state::Entry]) {
    for entry in entries {
        state.apply(entry);
    }
}
