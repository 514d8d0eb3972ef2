//! Default policy: a request waits in the shared queue and takes the slot that should finish it
//! first.
//!
//! All slots of a server run at the server's speed, so the fastest server with a free slot should
//! finish the request first. A penalty on utilization prefers the less utilized of similarly fast
//! servers, which spreads unpredictably long requests.

use tarragon_model::key;

use super::{Candidate, Plugin, Policy};

/// Name by which the policy is selected.
pub(super) const NAME: &str = "least-expected-finish";

/// Relative increase of the expected time on a fully utilized server over an idle one.
const UTILIZATION_PENALTY: f64 = 0.25;

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
            .min_by(|left, right| expected_finish(left).total_cmp(&expected_finish(right)))
            .map_or(0, |candidate| candidate.backend)
    }
}

/// Returns the expected time to finish, relative to an idle server at speed 1.
fn expected_finish(candidate: &Candidate) -> f64 {
    (1.0 + UTILIZATION_PENALTY * utilization(candidate)) / candidate.speed
}

/// Returns the share of the slots in use, from 0 to 1.
fn utilization(candidate: &Candidate) -> f64 {
    let running = u32::try_from(candidate.running).unwrap_or(u32::MAX);
    let limit = u32::try_from(candidate.limit.max(1)).unwrap_or(u32::MAX);
    f64::from(running) / f64::from(limit)
}
