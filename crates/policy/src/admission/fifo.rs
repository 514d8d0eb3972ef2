//! Baseline policy: first in, first out, with an unbounded queue.

use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;

use super::{Arrival, Backlog, Plugin, Policy, Rank};

/// Name by which the policy is selected.
pub(super) const NAME: &str = "fifo";

inventory::submit! {
    Plugin { name: NAME, create: || Box::new(Fifo) }
}

#[derive(Debug)]
struct Fifo;

impl Policy for Fifo {
    fn rank(&self, arrival: &Arrival) -> Rank {
        Rank {
            level: 0,
            at: arrival.now,
        }
    }

    fn wait_until(&self, arrival: &Arrival) -> Instant {
        arrival.deadline
    }

    fn urgent_at(&self, arrival: &Arrival) -> Instant {
        arrival.deadline
    }

    fn admit(&self, _arrival: &Arrival, _backlog: &Backlog) -> Result<(), Reason> {
        Ok(())
    }

    fn reserve(&self, _limit: usize, _short_load: f64) -> usize {
        0
    }

    fn preempts(&self) -> bool {
        false
    }

    fn limits_classes(&self) -> bool {
        false
    }
}
