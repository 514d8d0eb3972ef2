//! Replicated state of a shard, and one process's copy of it.

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tarragon_model::fence::Fence;

/// State machine that a leader replicates to its standbys entry by entry.
///
/// `apply` must be deterministic: applying equal entries to equal states gives equal states.
pub trait State: Clone + Debug + Default + Serialize + DeserializeOwned {
    /// One change of the state.
    type Entry: Clone + Debug + Serialize + DeserializeOwned;

    /// Applies one change.
    fn apply(&mut self, entry: &Self::Entry);
}

/// Position in a shard's replicated history, ordered by term and then by index. Of two replicas,
/// the one at the greater position is the more recent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term whose leader appended the last entry or sent the snapshot.
    #[serde(rename = "reign")]
    pub term: Fence,
    /// Number of entries applied, counted across terms.
    pub index: u64,
}

/// One process's copy of the replicated state, kept across changes of epoch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Replica<S: State> {
    /// Term whose leader appended the last entry or sent the snapshot.
    #[serde(rename = "reign")]
    pub term: Fence,
    /// Number of entries applied, counted across terms.
    pub index: u64,
    /// False if committed entries of earlier terms may be missing and no entry that accounts for
    /// the loss has been appended since.
    pub complete: bool,
    /// Replicated state.
    pub state: S,
}

impl<S: State> Replica<S> {
    /// Returns the position of the last entry applied.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }

    /// Applies the next entry of the term.
    pub(crate) fn push(&mut self, entry: &S::Entry) {
        self.state.apply(entry);
        self.index += 1;
        self.complete = true;
    }
}
