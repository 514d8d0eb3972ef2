//! What a process is told at its start.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tarragon_dispatch::budget;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Failure domain in which it stands.
    pub zone: String,
    /// Region of each failure domain.
    pub regions: HashMap<String, String>,
    /// Whether the whole system starts for the first time: no caller waits for the process then.
    pub first_start: bool,
    /// Processor that the host has, in cores.
    pub cores: f64,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the platform's balancer asks whether the host takes connections.
    pub ready: SocketAddr,
    /// Address for other hosts.
    pub control: SocketAddr,
    /// Address for metrics, where one is set.
    pub metrics: Option<SocketAddr>,
    /// Control addresses of some hosts; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Times and limits that the platform sets.
    pub bounds: Bounds,
}

/// Times and limits that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after the news of a leaving backend server until which it may be sent requests.
    pub drain: Duration,
    /// Time between the signal to stop and the end of the process.
    pub grace: Duration,
    /// Longest time that a grant may hold.
    pub max_grant: Duration,
    /// Bound on repeated sends over all hosts.
    pub retries: budget::Bound,
}
