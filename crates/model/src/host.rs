//! Hosts, and the incarnations of the router process on them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name::name_type;

name_type! {
    /// Name of a host, stable across restarts.
    Id
}

/// One incarnation of the router on a host.
///
/// A router process that starts on a host ends every earlier incarnation there, so the existence
/// of a larger incarnation proves that the smaller ones have ended.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Host that runs the process.
    pub host: Id,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

impl Peer {
    /// Creates the identity of one router process.
    #[must_use]
    pub fn new(host: Id, incarnation: u64) -> Self {
        Self { host, incarnation }
    }

    /// Returns whether `other` is a later incarnation on the same host.
    ///
    /// ```
    /// use tarragon_model::host::{Id, Peer};
    ///
    /// let old = Peer::new(Id::new("h1"), 1);
    /// let new = Peer::new(Id::new("h1"), 2);
    /// assert!(old.is_superseded_by(&new));
    /// assert!(!new.is_superseded_by(&old));
    /// ```
    #[must_use]
    pub fn is_superseded_by(&self, other: &Self) -> bool {
        self.host == other.host && self.incarnation < other.incarnation
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}

impl fmt::Debug for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// State of a host in the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The host is expected to stay.
    Live,
    /// The platform is about to remove the host.
    Leaving,
}

/// Entry of the platform's host list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the host.
    pub id: Id,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address on which the router accepts connections from other routers.
    pub peer_addr: std::net::SocketAddr,
    /// Address on which the router accepts requests forwarded by other routers.
    pub forward_addr: std::net::SocketAddr,
    /// Address of the admin endpoint for operators.
    pub admin_addr: std::net::SocketAddr,
    /// Whether the platform is about to remove the host.
    pub state: State,
}
