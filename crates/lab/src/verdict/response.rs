//! Complete responses must belong to the caller's own request.

use smallvec::smallvec;

use super::Breach;
use crate::trace::{Attempt, Ending};

/// Finds responses that claim to be complete but are wrong, mixed up, truncated or for another
/// request.
#[must_use]
pub fn broken(attempts: &[Attempt]) -> Vec<Breach> {
    attempts
        .iter()
        .filter(|attempt| attempt.ending == Ending::Wrong)
        .map(|attempt| Breach {
            at_us: attempt.end_us,
            check: "broken_answers",
            key: format!("{}/{}", attempt.service, attempt.key),
            parties: smallvec![attempt.host.clone()],
            evidence: smallvec![attempt.evidence()],
        })
        .collect()
}
