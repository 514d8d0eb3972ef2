//! Limit on the requests to a backend server that has just started.

use std::time::Duration;

/// Load that a cold backend server of a service bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests per second.
    pub per_s: f64,
    /// Time for which a server stays cold after its start.
    pub time: Duration,
}

/// Bound on the requests to one cold backend server in any one second, over all hosts:
/// `overrun` times [`Rate::per_s`], plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Factor of the service's rate.
    pub overrun: f64,
    /// Requests allowed in addition.
    pub slack: f64,
}
