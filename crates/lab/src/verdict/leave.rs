//! Leaving backend servers get no new work, and leaving hosts cut no request.

use std::collections::HashSet;

use smallvec::smallvec;
use tarragon_model::outcome::Outcome;

use super::Breach;
use crate::trace::{Attempt, Ending, Leave, Work};

/// Time after which a leaving backend server gets no new work, in microseconds.
pub const NEW_WORK_US: u64 = 3_000_000;

/// Returns how long after its drain a backend server got new work at the latest, in
/// milliseconds, and the breaches.
#[must_use]
pub fn new_work(works: &[Work], leaves: &[Leave]) -> (u64, Vec<Breach>) {
    let mut latest_us = 0;
    let mut breaches = Vec::new();
    for leave in leaves {
        let last = works
            .iter()
            .filter(|work| work.backend == leave.name)
            .filter(|work| (leave.from_us..leave.to_us).contains(&work.start_us))
            .max_by_key(|work| work.start_us);
        let Some(work) = last else { continue };
        let after_us = work.start_us - leave.from_us;
        latest_us = latest_us.max(after_us);
        if after_us > NEW_WORK_US {
            breaches.push(Breach {
                at_us: work.start_us,
                promise: "leaver_new_work_ms",
                key: work.key.clone(),
                parties: smallvec![work.backend.clone()],
                evidence: smallvec![format!("drain_us={}", leave.from_us), work.evidence()],
            });
        }
    }
    (latest_us / 1_000, breaches)
}

/// Finds requests that the graceful end of a host cut.
///
/// A request that a leaving host had taken must be answered whole. When nothing else went wrong
/// meanwhile, no request at any host may end cut or unknown. An answer that its backend server
/// broke off, by that server's own record, was not cut by a host.
#[must_use]
pub fn cut(attempts: &[Attempt], works: &[Work], drains: &[Leave]) -> Vec<Breach> {
    let halved: HashSet<&str> = works
        .iter()
        .filter(|work| work.halved)
        .map(|work| work.request.as_str())
        .collect();
    let mut breaches = Vec::new();
    let by_a_host = |attempt: &&Attempt| !halved.contains(attempt.request.as_str());
    for attempt in attempts.iter().filter(|a| is_cut(a)).filter(by_a_host) {
        let drain = drains.iter().find(|drain| blames(drain, attempt));
        if let Some(drain) = drain {
            breaches.push(Breach {
                at_us: attempt.end_us,
                promise: "cut_requests",
                key: format!("{}/{}", attempt.service, attempt.key),
                parties: smallvec![drain.name.clone(), attempt.host.clone()],
                evidence: smallvec![
                    format!("drain_us={} exit_us={}", drain.from_us, drain.to_us),
                    attempt.evidence()
                ],
            });
        }
    }
    breaches
}

fn is_cut(attempt: &Attempt) -> bool {
    let unknown = attempt.ending == Ending::Answered(Outcome::Unknown);
    attempt.ending == Ending::Cut || (unknown && attempt.reason == "backend-failed")
}

fn blames(drain: &Leave, attempt: &Attempt) -> bool {
    let during = (drain.from_us..=drain.to_us).contains(&attempt.end_us);
    let taken = attempt.start_us < drain.from_us;
    during
        && taken
        && (drain.alone || (drain.name == attempt.host && attempt.ending == Ending::Cut))
}
