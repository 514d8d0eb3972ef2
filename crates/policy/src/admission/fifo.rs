//! Baseline: first come, first served, with an unbounded queue.

use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;

use super::{Backlog, Offer, Plugin, Policy, Rank};

/// Name that settings use.
pub(super) const NAME: &str = "fifo";

inventory::submit! {
    Plugin { name: NAME, create: || Box::new(Fifo) }
}

#[derive(Debug)]
struct Fifo;

impl Policy for Fifo {
    fn rank(&self, offer: &Offer) -> Rank {
        Rank {
            level: 0,
            at: offer.now,
        }
    }

    fn give_up(&self, offer: &Offer) -> Instant {
        offer.deadline
    }

    fn urgent_at(&self, offer: &Offer) -> Instant {
        offer.deadline
    }

    fn admit(&self, _offer: &Offer, _backlog: &Backlog) -> Result<(), Reason> {
        Ok(())
    }

    fn reserve(&self, _limit: usize, _short_load: f64) -> usize {
        0
    }

    fn preempts(&self) -> bool {
        false
    }

    fn bounds_classes(&self) -> bool {
        false
    }
}
