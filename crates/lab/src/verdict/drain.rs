//! Draining backend servers get no new requests, and draining hosts cut no request.

use std::collections::HashSet;

use smallvec::smallvec;
use tarragon_model::outcome::Outcome;

use super::Breach;
use crate::trace::{Attempt, Drain, Ending, Execution};

/// Time after which a draining backend server must get no new requests, in microseconds.
pub const NEW_WORK_US: u64 = 3_000_000;

/// Returns the longest time between the start of a drain and a new request on that backend server,
/// in milliseconds, and the breaches.
#[must_use]
pub fn new_work(executions: &[Execution], drains: &[Drain]) -> (u64, Vec<Breach>) {
    let mut latest_us = 0;
    let mut breaches = Vec::new();
    for drain in drains {
        let last = executions
            .iter()
            .filter(|execution| execution.backend == drain.name)
            .filter(|execution| (drain.from_us..drain.to_us).contains(&execution.start_us))
            .max_by_key(|execution| execution.start_us);
        let Some(execution) = last else { continue };
        let after_us = execution.start_us - drain.from_us;
        latest_us = latest_us.max(after_us);
        if after_us > NEW_WORK_US {
            breaches.push(Breach {
                at_us: execution.start_us,
                check: "leaver_new_work_ms",
                key: execution.key.clone(),
                parties: smallvec![execution.backend.clone()],
                evidence: smallvec![format!("drain_us={}", drain.from_us), execution.evidence()],
            });
        }
    }
    (latest_us / 1_000, breaches)
}

/// Finds requests that were cut by the graceful shutdown of a host.
///
/// A request that a draining host had accepted must get a complete response. If no other disruptive
/// fault was active, no request at any host may end cut or unknown. A response that the backend
/// server broke off, according to its record file, was not cut by a host.
#[must_use]
pub fn cut_requests(
    attempts: &[Attempt],
    executions: &[Execution],
    drains: &[Drain],
) -> Vec<Breach> {
    let halved: HashSet<&str> = executions
        .iter()
        .filter(|execution| execution.halved)
        .map(|execution| execution.request.as_str())
        .collect();
    let mut breaches = Vec::new();
    let cut_by_host = |attempt: &&Attempt| !halved.contains(attempt.request.as_str());
    for attempt in attempts.iter().filter(|a| is_cut(a)).filter(cut_by_host) {
        let drain = drains.iter().find(|drain| is_cut_by(drain, attempt));
        if let Some(drain) = drain {
            breaches.push(Breach {
                at_us: attempt.end_us,
                check: "cut_requests",
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

fn is_cut_by(drain: &Drain, attempt: &Attempt) -> bool {
    let during = (drain.from_us..=drain.to_us).contains(&attempt.end_us);
    let accepted = attempt.start_us < drain.from_us;
    during
        && accepted
        && (drain.isolated || (drain.name == attempt.host && attempt.ending == Ending::Cut))
}
