//! Fencing tokens, which order the terms of a shard's leaders.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Fencing token of one leader term of a shard; a larger fence belongs to a later term.
///
/// The epoch is written to the platform's object API. The succession counts the change of leader
/// within an epoch, which needs no write and so works while the store is unavailable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Epoch of the shard's record in the store.
    pub epoch: u64,
    /// Zero for the leader named in the record, one for its first standby.
    pub succession: u8,
}

impl Fence {
    /// Creates a fence from its two parts.
    #[must_use]
    pub fn new(epoch: u64, succession: u8) -> Self {
        Self { epoch, succession }
    }

    /// Parses the output of `Display`, `epoch.succession`.
    ///
    /// ```
    /// use tarragon_model::fence::Fence;
    ///
    /// let fence = Fence::new(7, 1);
    /// assert_eq!(Fence::parse(&fence.to_string()), Some(fence));
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (epoch, succession) = text.split_once('.')?;
        Some(Self::new(epoch.parse().ok()?, succession.parse().ok()?))
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.succession)
    }
}
