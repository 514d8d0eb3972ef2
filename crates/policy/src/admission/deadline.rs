//! Admission by predicted wait; order by worth for time spent, then by latest start.
//!
//! When not all work can be done in time, the most worth is had by starting what yields most
//! weight for each second of a slot. Ratios of weight to typical work are put into levels, a
//! factor of the square root of two apart, so that noise in the estimates does not reorder work.
//! Within a level the request that must start first goes first.
//!
//! An admitted request that is about to wait too long goes first all the same: it was told that it
//! would be served, and a late refusal costs its caller the wait.
//!
//! A request is refused on arrival when the work before it, together with the work of smaller
//! levels that keeps arriving, would keep it waiting beyond its limit. So the queue holds little
//! that will not run, and a refusal costs the caller no wait.

use std::time::Duration;

use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;

use super::{Backlog, Offer, Plugin, Policy, Rank};

/// Name that settings use.
pub(super) const NAME: &str = "weighted-deadline";

/// Levels for each doubling of weight over typical work.
const LEVELS_PER_DOUBLING: f64 = 2.0;
/// Levels that a retry goes behind the first attempts.
const RETRY_LEVELS: i32 = 2;
/// Least part of the slots that likely-long work may not hold: one of so many.
const RESERVE_DIVISOR: usize = 3;
/// Largest part of the slots that likely-long work may not hold: one of so many.
const MAX_RESERVE_DIVISOR: usize = 2;
/// Least part of the capacity that a level is taken to have, however much arrives before it.
const MIN_SHARE: f64 = 0.05;
/// Largest part of the time left that typical work may take off the waiting time.
const MAX_TYPICAL_PART: f64 = 0.5;

/// Part of the longest wait up to which a predicted wait is admitted; the rest covers its error.
const ADMITTED_PART: f64 = 0.7;

/// Part of the longest wait after which an admitted request is urgent.
const URGENT_PART: f64 = 0.85;

inventory::submit! {
    Plugin { name: NAME, create: || Box::new(WeightedDeadline) }
}

#[derive(Debug)]
struct WeightedDeadline;

impl Policy for WeightedDeadline {
    fn rank(&self, offer: &Offer) -> Rank {
        let typical = offer.estimate.typical.as_secs_f64().max(1e-6);
        let worth = f64::from(offer.weight.max(1)) / typical;
        let retry = if offer.retry { RETRY_LEVELS } else { 0 };
        Rank {
            level: retry - level(worth),
            at: offer.now + time_for_wait(offer),
        }
    }

    fn give_up(&self, offer: &Offer) -> Instant {
        offer.now + longest_wait(offer)
    }

    fn urgent_at(&self, offer: &Offer) -> Instant {
        offer.now + longest_wait(offer).mul_f64(URGENT_PART)
    }

    fn admit(&self, offer: &Offer, backlog: &Backlog) -> Result<(), Reason> {
        let limit = longest_wait(offer).as_secs_f64() * ADMITTED_PART;
        if backlog.idle || predicted_wait(offer, backlog) <= limit {
            return Ok(());
        }
        Err(Reason::Overloaded)
    }

    fn reserve(&self, limit: usize, short_load: f64) -> usize {
        let least = limit / RESERVE_DIVISOR;
        let most = limit / MAX_RESERVE_DIVISOR;
        let mut slots = (0_u32..).zip(least..most);
        let least_load = f64::from(u32::try_from(least).unwrap_or(u32::MAX));
        slots
            .find(|(more, _)| least_load + f64::from(*more) >= short_load)
            .map_or(most, |(_, slots)| slots)
    }

    fn preempts(&self) -> bool {
        true
    }

    fn bounds_classes(&self) -> bool {
        true
    }
}

/// Puts a ratio of weight to seconds into levels.
#[expect(clippy::cast_possible_truncation, reason = "logarithms are small")]
fn level(worth: f64) -> i32 {
    (worth.log2() * LEVELS_PER_DOUBLING).round() as i32
}

/// Returns how long the request can wait and still end in time, typically.
///
/// A wrong estimate must not keep a class from ever running again, so at least half the time
/// left remains.
fn time_for_wait(offer: &Offer) -> Duration {
    let left = offer.time_left();
    let typical = offer.typical_time().min(left.mul_f64(MAX_TYPICAL_PART));
    left.saturating_sub(typical)
}

/// Returns how long the request may wait under the preset.
fn longest_wait(offer: &Offer) -> Duration {
    let part = f64::from(offer.wait_percent.min(100)) / 100.0;
    time_for_wait(offer).min(offer.time_left().mul_f64(part))
}

/// Returns the expected wait in seconds, as in a queue with priorities.
fn predicted_wait(offer: &Offer, backlog: &Backlog) -> f64 {
    let share = (1.0 - backlog.claimed).max(MIN_SHARE);
    let before = backlog.ahead + offer.estimate.mean;
    before.as_secs_f64() / (backlog.capacity * share)
}
