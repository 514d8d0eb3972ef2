//! Default policy: admission by predicted wait, order by value density and then by latest start.
//!
//! Under overload, starting the requests with the most weight per second of work (the value
//! density) serves the most weight in time. Value densities are rounded to levels a factor of the
//! square root of two apart, so that noise in the estimates does not reorder requests. Within a
//! level, the request that must start soonest to meet its deadline goes first.
//!
//! An admitted request close to its maximum wait starts before all others regardless of its
//! level: it was accepted, and a late refusal costs its caller the whole wait.
//!
//! A request is refused on arrival if the work ahead of it, together with the work of smaller
//! levels that keeps arriving, is predicted to delay it beyond its maximum wait. The queue thus
//! holds few requests that will not run, and refused callers do not wait.

use std::time::Duration;

use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;

use super::{Arrival, Backlog, Plugin, Policy, Rank};

/// Name by which the policy is selected.
pub(super) const NAME: &str = "weighted-deadline";

/// Number of levels per doubling of the value density.
const LEVELS_PER_DOUBLING: f64 = 2.0;
/// Number of levels by which a retry ranks behind a first attempt.
const RETRY_LEVEL_PENALTY: i32 = 2;
/// At least one of this many slots is reserved for short requests.
const MIN_RESERVE_DIVISOR: usize = 3;
/// At most one of this many slots is reserved for short requests.
const MAX_RESERVE_DIVISOR: usize = 2;
/// Minimum share of the capacity assumed for a level, regardless of the load of smaller levels.
const MIN_CAPACITY_SHARE: f64 = 0.05;
/// The typical duration reduces the slack by at most this share of the time left.
const MAX_TYPICAL_SHARE: f64 = 0.5;

/// Share of the maximum wait up to which a predicted wait is admitted; the rest is a margin for
/// the error of the prediction.
const ADMITTED_WAIT_SHARE: f64 = 0.7;

/// Share of the maximum wait after which an admitted request is urgent.
const URGENT_WAIT_SHARE: f64 = 0.85;

inventory::submit! {
    Plugin { name: NAME, create: || Box::new(WeightedDeadline) }
}

#[derive(Debug)]
struct WeightedDeadline;

impl Policy for WeightedDeadline {
    fn rank(&self, arrival: &Arrival) -> Rank {
        let typical = arrival.estimate.typical.as_secs_f64().max(1e-6);
        let value_density = f64::from(arrival.weight.max(1)) / typical;
        let retry = if arrival.retry {
            RETRY_LEVEL_PENALTY
        } else {
            0
        };
        Rank {
            level: retry - level(value_density),
            at: arrival.now + slack(arrival),
        }
    }

    fn wait_until(&self, arrival: &Arrival) -> Instant {
        arrival.now + max_wait(arrival)
    }

    fn urgent_at(&self, arrival: &Arrival) -> Instant {
        arrival.now + max_wait(arrival).mul_f64(URGENT_WAIT_SHARE)
    }

    fn admit(&self, arrival: &Arrival, backlog: &Backlog) -> Result<(), Reason> {
        let limit = max_wait(arrival).as_secs_f64() * ADMITTED_WAIT_SHARE;
        if backlog.idle || predicted_wait(arrival, backlog) <= limit {
            return Ok(());
        }
        Err(Reason::Overloaded)
    }

    fn reserve(&self, limit: usize, short_load: f64) -> usize {
        let min_slots = limit / MIN_RESERVE_DIVISOR;
        let max_slots = limit / MAX_RESERVE_DIVISOR;
        let mut slots = (0_u32..).zip(min_slots..max_slots);
        let min_load = f64::from(u32::try_from(min_slots).unwrap_or(u32::MAX));
        slots
            .find(|(extra, _)| min_load + f64::from(*extra) >= short_load)
            .map_or(max_slots, |(_, slots)| slots)
    }

    fn preempts(&self) -> bool {
        true
    }

    fn limits_classes(&self) -> bool {
        true
    }
}

/// Rounds a value density, in weight per second, to a level.
#[expect(clippy::cast_possible_truncation, reason = "logarithms are small")]
fn level(value_density: f64) -> i32 {
    (value_density.log2() * LEVELS_PER_DOUBLING).round() as i32
}

/// Returns how long the request can wait and typically still finish before its deadline.
///
/// The result is at least half the time left, so that a wrong estimate cannot keep a class from
/// ever running again.
fn slack(arrival: &Arrival) -> Duration {
    let left = arrival.time_left();
    let typical = arrival.typical_time().min(left.mul_f64(MAX_TYPICAL_SHARE));
    left.saturating_sub(typical)
}

/// Returns the maximum wait of the request under the preset.
fn max_wait(arrival: &Arrival) -> Duration {
    let share = f64::from(arrival.wait_percent.min(100)) / 100.0;
    slack(arrival).min(arrival.time_left().mul_f64(share))
}

/// Returns the expected wait in seconds, as in a priority queue: the work ahead divided by the
/// capacity that smaller levels leave. The work ahead includes the request itself.
fn predicted_wait(arrival: &Arrival, backlog: &Backlog) -> f64 {
    let share = (1.0 - backlog.higher_priority_load).max(MIN_CAPACITY_SHARE);
    let before = backlog.ahead + arrival.estimate.mean;
    before.as_secs_f64() / (backlog.capacity * share)
}
