//! Whole answers to the caller's own request.

use smallvec::smallvec;

use super::Breach;
use crate::trace::{Attempt, Ending};

/// Finds answers that were marked as whole but are wrong, mixed, short or another request's.
#[must_use]
pub fn broken(attempts: &[Attempt]) -> Vec<Breach> {
    attempts
        .iter()
        .filter(|attempt| attempt.ending == Ending::Wrong)
        .map(|attempt| Breach {
            at_us: attempt.end_us,
            promise: "broken_answers",
            key: format!("{}/{}", attempt.service, attempt.key),
            parties: smallvec![attempt.host.clone()],
            evidence: smallvec![attempt.evidence()],
        })
        .collect()
}
