//! Keys, and the key groups that are the unit of ownership.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hash(pub u64);

impl Hash {
    /// Hashes a key with XXH3.
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

    /// Returns the group of the key in a service that has `groups` groups.
    #[must_use]
    pub fn group(self, groups: u32) -> Group {
        let product = u128::from(self.0) * u128::from(groups);
        Group(u32::try_from(product >> 64).unwrap_or(u32::MAX))
    }
}

/// Index of a key group within its service, from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group(pub u32);
