//! Admission of requests while the servers of a service are short of capacity.
//!
//! Hosts report what they receive and how full servers are. The granter computes the share of the
//! requests of each priority that is admitted, and sends it to all hosts. Whether a request is within
//! the share depends only on the request and the time, so all hosts decide alike without a record of
//! the callers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::poison::Fingerprint;

mod controller;
mod shares;

pub use self::controller::Controller;
pub use self::shares::{SHARE_TTL, Shares};

/// Period of the positions of a route's requests, as a multiple of its timeout. Callers wait for at
/// most a third of their time, which is a sixth of the period. In a short period all of them would
/// return and be admitted, so that the load would not fall.
const PERIOD_FACTOR: u32 = 2;
/// Part of the admitted time over which returning callers are spread.
const SPREAD_PART: f64 = 0.25;
/// Share below which no return is promised: it would soon be 0, and callers would return in vain.
const MIN_SHARE: f64 = 0.1;
/// Minimum `Retry-After` of a request that is not admitted.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Requests of one service and priority that a host received since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the service.
    pub service: String,
    /// Priority of the route, 0 being the highest.
    pub priority: u32,
    /// Requests received.
    pub received: u32,
    /// Requests admitted.
    pub admitted: u32,
    /// Requests that a server processed.
    pub served: u32,
    /// Requests of `served` that took more than half of the response time objective. Queues become
    /// so long before they make responses miss it.
    pub late: u32,
}

/// What the servers of one service reported to a host since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pressure {
    /// Name of the service.
    pub service: String,
    /// Attempts that a server answered or whose connection it reset.
    pub attempts: u32,
    /// Attempts that a full server refused, or whose connection it reset.
    pub refused: u32,
    /// Sum of the requests that waited at a server, over all load reports.
    pub waiting: u32,
    /// Sum of the slots of the servers that reported.
    pub slots: u32,
}

/// Report of one host to the granter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests by service and priority.
    #[serde(default)]
    pub demand: Vec<Demand>,
    /// Load of the servers by service.
    #[serde(default)]
    pub pressure: Vec<Pressure>,
}

/// Share of the requests of a service and priority that hosts admit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Priority of the route, 0 being the highest.
    pub priority: u32,
    /// Admitted share, from 0 to 1.
    pub admitted: f64,
    /// Time since it was computed, in milliseconds.
    pub age_ms: u64,
}

/// Returns the period after which the position of a request repeats.
///
/// ```
/// use std::time::Duration;
/// use tarragon_dispatch::admission;
///
/// let timeout = Duration::from_millis(1_500);
/// assert_eq!(admission::period(timeout), Duration::from_secs(3));
/// ```
#[must_use]
pub fn period(timeout: Duration) -> Duration {
    (timeout * PERIOD_FACTOR).max(Duration::from_millis(100))
}

/// Returns the position of a request at a time that all hosts share, from 0 to 1. It falls steadily
/// and starts again at 1, so that a request that waits long enough comes under every share.
///
/// ```
/// use std::time::Duration;
/// use tarragon_dispatch::admission;
///
/// let period = Duration::from_secs(4);
/// let first = admission::position(1 << 63, Duration::ZERO, period);
/// assert!((first - 0.5).abs() < 1e-9);
/// let later = admission::position(1 << 63, Duration::from_secs(1), period);
/// assert!((later - 0.25).abs() < 1e-9);
/// ```
#[must_use]
pub fn position(fingerprint: Fingerprint, time: Duration, period: Duration) -> f64 {
    let high = u32::try_from(fingerprint >> 32).unwrap_or_default();
    let start = f64::from(high) / (f64::from(u32::MAX) + 1.0);
    (start - time.as_secs_f64() / period.as_secs_f64()).rem_euclid(1.0)
}

/// Admits a request at `position` if it is within the share.
///
/// `random`, between 0 and 1, spreads the return of callers.
///
/// # Errors
///
/// Returns the time after which the request will be within the share, or the whole period if the
/// share is so small that it may end before.
///
/// ```
/// use std::time::Duration;
/// use tarragon_dispatch::admission;
///
/// let period = Duration::from_secs(4);
/// assert!(admission::admit(0.5, 0.4, period, 0.0).is_ok());
/// let wait = admission::admit(0.5, 0.75, period, 0.0).unwrap_err();
/// assert!(wait >= Duration::from_secs(1) && wait < Duration::from_millis(1_100));
/// ```
pub fn admit(share: f64, position: f64, period: Duration, random: f64) -> Result<(), Duration> {
    if position < share {
        return Ok(());
    }
    if share < MIN_SHARE {
        return Err(period);
    }
    let late = share * SPREAD_PART * random;
    let wait = period.mul_f64((position - share + late).clamp(0.0, 1.0));
    Err(wait + MIN_WAIT)
}
