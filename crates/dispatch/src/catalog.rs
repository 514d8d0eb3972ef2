//! Configuration by operators: routes, services and limits for callers.

use std::time::Duration;

use smallvec::SmallVec;

use crate::homes::Homes;
use crate::warmup;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version number; later versions are larger.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services that the routes refer to.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Values that this version of the router does not know, and replaced by careful defaults.
    pub unknown: Vec<Unknown>,
}

/// Value in the configuration that this version of the router does not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unknown {
    /// Name of the route.
    pub route: String,
    /// Name of the field.
    pub field: &'static str,
    /// The value.
    pub value: String,
    /// What the router takes in its place.
    pub handled_as: &'static str,
}

impl Catalog {
    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the regions that all routes to a service allow. Only a backend server there can
    /// process every request for a key that it holds.
    ///
    /// ```
    /// use tarragon_dispatch::catalog::Catalog;
    /// use tarragon_dispatch::homes::Homes;
    ///
    /// assert_eq!(Catalog::default().homes("orders"), Homes::anywhere());
    /// ```
    #[must_use]
    pub fn homes(&self, service: &str) -> Homes {
        let leads_there = |route: &&Route| route.targets.iter().any(|t| t.service == service);
        let routes = self.routes.iter().filter(leads_there);
        routes.fold(Homes::anywhere(), |homes, route| {
            homes.intersection(&route.homes)
        })
    }
}

/// Requests with a common host and path prefix, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may be retried.
    pub kind: Kind,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
    /// Response time objective; a later response is worth less to the caller.
    pub objective: Duration,
    /// Priority, 0 being the highest.
    pub priority: u32,
    /// Services that process the requests, with their weights.
    pub targets: SmallVec<[Target; 2]>,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Regions whose backend servers may process the requests.
    pub homes: Homes,
}

/// What may be done with a request whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// It may run more than once, and its response is large.
    Download,
    /// It may run at most once, and its body is large.
    Upload,
}

impl Kind {
    /// Returns whether a request of this kind may run more than once.
    ///
    /// ```
    /// use tarragon_dispatch::catalog::Kind;
    ///
    /// assert!(Kind::Download.is_retryable());
    /// assert!(!Kind::Upload.is_retryable());
    /// ```
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// Service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// Set of backend servers that process the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections to one backend server, over all hosts.
    pub connections: u32,
    /// Whether every key is held exclusively by one backend server.
    pub keyed: bool,
    /// Load that a cold backend server bears; `None` if it bears any load.
    pub warmup: Option<warmup::Rate>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: u64,
    /// Maximum time that a connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until the first catalog is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            idle: Duration::from_secs(15),
        }
    }
}
