//! Replicated state of a shard and how far a process holds it.

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tarragon_model::fence::Fence;

/// State that a leader replicates to its standbys entry by entry.
///
/// `apply` must be deterministic: equal states that apply equal entries stay equal.
pub trait State: Clone + Debug + Default + Serialize + DeserializeOwned {
    /// One change of the state.
    type Entry: Clone + Debug + Serialize + DeserializeOwned;

    /// Applies one change.
    fn apply(&mut self, entry: &Self::Entry);
}

/// Position in the history of a shard's state; the greater one holds more.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Reign whose leader appended the last entry or sent the snapshot.
    #[serde(rename = "reign")]
    pub term: Fence,
    /// Number of entries applied, counted on over reigns.
    pub index: u64,
}

/// State as held by one process, kept over a change of epoch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Replica<S: State> {
    /// Reign whose leader appended the last entry or sent the snapshot.
    #[serde(rename = "reign")]
    pub term: Fence,
    /// Number of entries applied, counted on over reigns.
    pub index: u64,
    /// False when committed entries of earlier reigns may be missing and no entry that accounts
    /// for the loss has been appended since.
    pub complete: bool,
    /// The state itself.
    pub state: S,
}

impl<S: State> Replica<S> {
    /// Returns how far the state reaches.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }

    /// Applies the next entry of the reign.
    pub(crate) fn push(&mut self, entry: &S::Entry) {
        self.state.apply(entry);
        self.index += 1;
        self.complete = true;
    }
}
