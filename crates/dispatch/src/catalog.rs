//! What operators decide: routes, services and limits on callers.

use std::time::Duration;

use smallvec::SmallVec;

/// One version of everything that operators decide.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Number of the version; later ones are larger.
    pub version: u64,
    /// Routes, in no order.
    pub routes: Vec<Route>,
    /// Services that routes name.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: Limits,
}

impl Catalog {
    /// Returns the service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Requests that are treated alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Rank, 0 the highest.
    pub priority: u32,
    /// Services that run the requests, with their weights.
    pub targets: SmallVec<[Target; 2]>,
    /// Backend servers that one request may be sent to, at most.
    pub attempts: u32,
}

/// What may be done with a request whose fate is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run again.
    Idempotent,
    /// It may run once at most.
    NonIdempotent,
    /// It may run again, and its answer is large.
    Download,
}

impl Kind {
    /// Tells whether a request of this kind may run more than once.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        !matches!(self, Self::NonIdempotent)
    }
}

/// Service that takes part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Part of the requests, relative to the other targets' weights.
    pub weight: u32,
}

/// Set of backend servers with one kind of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Connections that one backend server takes from all hosts together.
    pub connections: u32,
    /// Whether each key is held by one backend server.
    pub keyed: bool,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Longest time for a connection without a request.
    pub idle: Duration,
}

impl Default for Limits {
    /// Limits until the first catalog is known; its own replace them.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            idle: Duration::from_secs(15),
        }
    }
}
