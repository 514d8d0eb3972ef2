//! Settings of a process, as the platform crate reads them from the settings file.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tarragon_dispatch::{budget, warmup};

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub zone: String,
    /// Region of each failure domain, by name of the failure domain.
    pub regions: HashMap<String, String>,
    /// Whether the whole system starts for the first time, so that no callers wait for the process
    /// yet.
    pub first_start: bool,
    /// CPU share of the host, in cores.
    pub cores: f64,
    /// Memory limit of the process, in bytes.
    pub memory: usize,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the readiness probes of the platform's load balancer.
    pub ready: SocketAddr,
    /// Listening address for links from other hosts.
    pub control: SocketAddr,
    /// Separate listening address for metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Control addresses of some other hosts, possibly outdated.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Durations and limits that the platform imposes.
    pub bounds: Bounds,
}

/// Durations and limits that the platform imposes; they change on reload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time for which a backend server still receives requests after this host learned that it is
    /// leaving.
    pub drain: Duration,
    /// Time between the stop signal and the end of the process.
    pub grace: Duration,
    /// Maximum grant duration.
    pub max_grant: Duration,
    /// Limit on retries, shared by all hosts.
    pub retries: budget::Bound,
    /// Limit on the requests to a cold backend server, shared by all hosts; `None` if there is none.
    pub warmup: Option<warmup::Bound>,
    /// Whether the granter limits the requests of low priorities while servers are short of capacity.
    pub admission: bool,
    /// Time after which no request may reach the backend servers of a zone that is being emptied;
    /// `None` if the platform empties no zones.
    pub evacuation: Option<Duration>,
}
