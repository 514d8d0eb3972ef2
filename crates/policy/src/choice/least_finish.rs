//! Late binding: a request waits in the common queue and goes to the free slot that ends it first.
//!
//! All slots of a server run at the server's speed, so among free slots the fastest server ends
//! the request first. Of equally fast servers the one with the smaller part of its slots in use
//! is taken, which spreads the long requests that nobody can foresee.

use tarragon_model::key;

use super::{Candidate, Plugin, Policy};

/// Name that settings use.
pub(super) const NAME: &str = "least-expected-finish";

/// Part by which a fully used server counts as slower than an idle one.
const USE_PENALTY: f64 = 0.25;

inventory::submit! {
    Plugin { name: NAME, create: |_| Box::new(LeastFinish) }
}

#[derive(Debug)]
struct LeastFinish;

impl Policy for LeastFinish {
    fn bind(&mut self, _key: key::Hash, _candidates: &[Candidate]) -> Option<u16> {
        None
    }

    fn choose(&mut self, _key: key::Hash, candidates: &[Candidate]) -> u16 {
        candidates
            .iter()
            .min_by(|left, right| finish(left).total_cmp(&finish(right)))
            .map_or(0, |candidate| candidate.backend)
    }
}

/// Returns the expected time to finish, relative to an idle server of speed 1.
fn finish(candidate: &Candidate) -> f64 {
    (1.0 + USE_PENALTY * part_in_use(candidate)) / candidate.speed
}

/// Returns the part of the slots in use, from 0 to 1.
fn part_in_use(candidate: &Candidate) -> f64 {
    let running = u32::try_from(candidate.running).unwrap_or(u32::MAX);
    let limit = u32::try_from(candidate.limit.max(1)).unwrap_or(u32::MAX);
    f64::from(running) / f64::from(limit)
}
