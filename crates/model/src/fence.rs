//! Fences, which order the reigns over a shard.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Orders two leaders of one shard: the larger fence is the later reign.
///
/// The epoch is written in the platform's object API. The succession counts the change of
/// leader within an epoch, which needs no write and so works while the store is away.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Number of the shard's record in the store.
    pub epoch: u64,
    /// Zero for the leader that the record names, one for its first standby.
    pub succession: u8,
}

impl Fence {
    /// Creates a fence.
    #[must_use]
    pub fn new(epoch: u64, succession: u8) -> Self {
        Self { epoch, succession }
    }

    /// Parses the form that `Display` writes.
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
