//! Standing of a backend server, as far as the leader of its shard knows it.

use serde::{Deserialize, Serialize};

/// What a backend server may be given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes work on all its slots.
    Live,
    /// Started a short while ago: takes work on few slots at first.
    Cold,
    /// Ends what it runs and takes no new work.
    Leaving,
    /// Gone: takes no work.
    #[default]
    Lost,
    /// Has not answered lately: takes one request at a time.
    Suspect,
}

impl State {
    /// Tells whether work may be started at all.
    ///
    /// ```
    /// use tarragon_policy::backend::State;
    ///
    /// assert!(State::Suspect.takes_work());
    /// assert!(!State::Leaving.takes_work());
    /// ```
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Live | Self::Cold | Self::Suspect)
    }

    /// Tells whether the backend server may become the owner of more keys.
    #[must_use]
    pub const fn takes_keys(self) -> bool {
        matches!(self, Self::Live | Self::Cold)
    }
}
