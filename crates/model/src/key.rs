//! Keys and the groups that ownership moves in.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hash(pub u64);

impl Hash {
    /// Hashes the text of a key.
    ///
    /// ```
    /// use tarragon_model::key::Hash;
    ///
    /// assert_eq!(Hash::of("vessel-9"), Hash::of("vessel-9"));
    /// ```
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(xxh3_64(key.as_bytes()))
    }

    /// Returns the group of the key when its service has `groups` groups.
    #[must_use]
    pub fn group(self, groups: u32) -> Group {
        let wide = u128::from(self.0) * u128::from(groups);
        Group(u32::try_from(wide >> 64).unwrap_or(u32::MAX))
    }
}

/// Number of a key group within its service, from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group(pub u32);
