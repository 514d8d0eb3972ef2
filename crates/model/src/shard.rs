//! Shards: the parts of a service, each routed by one leader.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::service;

/// Identifies one shard of a service.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Service that the shard belongs to.
    pub service: service::Id,
    /// Index of the shard within its service, from zero.
    pub index: u16,
}

impl Id {
    /// Creates the identifier of one shard.
    #[must_use]
    pub fn new(service: service::Id, index: u16) -> Self {
        Self { service, index }
    }

    /// Returns the name of the shard's object in the platform's object API.
    ///
    /// ```
    /// use tarragon_model::shard::Id;
    ///
    /// assert_eq!(Id::new("balance".into(), 2).object_name(), "balance.2");
    /// ```
    #[must_use]
    pub fn object_name(&self) -> String {
        format!("{}.{}", self.service, self.index)
    }

    /// Parses the output of [`Id::object_name`].
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (service, index) = text.rsplit_once('.')?;
        Some(Self::new(service.into(), index.parse().ok()?))
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.service, self.index)
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
