//! State of a backend server as the shard leader knows it.

use serde::{Deserialize, Serialize};

/// Availability of a backend server for requests and key ownership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes requests on all its slots.
    Live,
    /// Started recently: the number of usable slots ramps up from one.
    Cold,
    /// Shutting down: finishes running requests and takes no new ones.
    Leaving,
    /// Stopped or unreachable: takes no requests.
    #[default]
    Lost,
    /// Has not responded recently: takes one request at a time and no further keys.
    Suspect,
}

impl State {
    /// Returns whether new requests may be started on the backend server.
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

    /// Returns whether the backend server may become the owner of further keys.
    #[must_use]
    pub const fn takes_keys(self) -> bool {
        matches!(self, Self::Live | Self::Cold)
    }
}
