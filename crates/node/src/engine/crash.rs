//! Detection of backend server crashes and of the requests that may have caused them.

use std::collections::{HashMap, HashSet, VecDeque};

use smallvec::SmallVec;
use tarragon_ledger::quarantine::{self, Decision};
use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;
use tarragon_policy::scheduler::Completion;
use tarragon_timeline::event::{Kind, Name};

use super::{Engine, Log};
use crate::input::Now;
use crate::output::Output;
use crate::state::Entry;

/// Maximum number of fingerprints remembered as having succeeded.
const MAX_PROVEN: usize = 8_192;
/// Maximum number of backend servers that run the same request at a time until it has succeeded
/// once.
const MAX_UNPROVEN_BACKENDS: usize = 2;

/// Broken connections to one backend server, until it is known whether the server crashed.
#[derive(Debug)]
pub(super) struct SuspectedCrash {
    /// When the latest connection broke.
    since: Instant,
    /// Fingerprints of the requests whose connections broke.
    fingerprints: SmallVec<[u64; 6]>,
    /// Requests that wait to be retried.
    requests: SmallVec<[u64; 6]>,
}

/// Limits how many backend servers run a request that never succeeded, so that a request that
/// crashes them takes down few.
#[derive(Debug, Default)]
pub(super) struct Containment {
    /// Backend servers on which a request runs, by fingerprint; one entry per run.
    running: HashMap<u64, SmallVec<[u16; 2]>>,
    /// Fingerprints of requests that succeeded.
    proven: HashSet<u64>,
    /// The proven fingerprints, oldest first.
    insertion_order: VecDeque<u64>,
}

impl Containment {
    /// Returns a backend server to use instead, if the request already runs on the maximum number.
    pub(super) fn alternative(&self, fingerprint: u64, backend: u16) -> Option<u16> {
        if self.proven.contains(&fingerprint) {
            return None;
        }
        let running = self.running.get(&fingerprint)?;
        let mut distinct: SmallVec<[u16; 4]> = running.iter().copied().collect();
        distinct.sort_unstable();
        distinct.dedup();
        let full = distinct.len() >= MAX_UNPROVEN_BACKENDS && !distinct.contains(&backend);
        full.then(|| distinct[0])
    }

    /// Counts a request as running.
    pub(super) fn enter(&mut self, fingerprint: u64, backend: u16) {
        if !self.proven.contains(&fingerprint) {
            self.running.entry(fingerprint).or_default().push(backend);
        }
    }

    /// Counts a request as ended.
    pub(super) fn leave(&mut self, fingerprint: u64, backend: u16) {
        let Some(list) = self.running.get_mut(&fingerprint) else {
            return;
        };
        if let Some(position) = list.iter().position(|one| *one == backend) {
            list.swap_remove(position);
        }
        if list.is_empty() {
            self.running.remove(&fingerprint);
        }
    }

    /// Remembers that a request succeeded.
    pub(super) fn mark_proven(&mut self, fingerprint: u64) {
        if !self.proven.insert(fingerprint) {
            return;
        }
        self.insertion_order.push_back(fingerprint);
        if self.insertion_order.len() > MAX_PROVEN
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.proven.remove(&oldest);
        }
    }
}

impl Engine {
    /// Counts the suspect that an earlier leader ran alone as the cause of a crash, since it can no
    /// longer be known whether its backend server crashed.
    pub(super) fn resolve_suspect(now: Now, log: &mut Log<'_>) {
        if let Some(fingerprint) = log.state().quarantine.running() {
            let in_flight = vec![fingerprint];
            let entry = quarantine::Entry::Crashed {
                in_flight,
                at: now.unix_ms,
            };
            log.append(now.at, Entry::Quarantine(entry));
        }
    }

    /// Records a broken connection and holds its request until it is known whether the backend
    /// server crashed.
    pub(super) fn suspect_crash(
        &mut self,
        now: Now,
        backend: u16,
        fingerprint: u64,
        id: Option<u64>,
    ) {
        let suspected = self
            .suspected_crashes
            .entry(backend)
            .or_insert_with(|| SuspectedCrash {
                since: now.at,
                fingerprints: SmallVec::new(),
                requests: SmallVec::new(),
            });
        suspected.since = now.at;
        suspected.fingerprints.push(fingerprint);
        suspected.requests.extend(id);
        if let Some(health) = self.health.get_mut(usize::from(backend)) {
            health.expedite(now.at);
        }
    }

    /// Returns whether a request is suspected of a crash that is not yet confirmed.
    pub(super) fn is_suspected(&self, fingerprint: u64) -> bool {
        self.suspected_crashes
            .values()
            .any(|suspected| suspected.fingerprints.contains(&fingerprint))
    }

    /// Releases the slot of a request that must not start now, and returns whether it did so.
    ///
    /// This applies to a request that became a suspect while it was queued, that is refused by the
    /// quarantine, or that must not run beside the suspect that currently runs alone, until that
    /// one's result is known.
    pub(super) fn release_if_blocked(
        &mut self,
        now: Now,
        id: u64,
        fingerprint: u64,
        out: &mut Vec<Output>,
        log: &Log<'_>,
    ) -> bool {
        let quarantine = &log.state().quarantine;
        let decision = quarantine.check(fingerprint);
        let must_wait = decision == Decision::Alone && quarantine.running().is_some();
        let blocked = must_wait || decision == Decision::Refused || self.is_suspected(fingerprint);
        if blocked {
            self.scheduler.complete(now.at, id, Completion::Cancelled);
            self.hold(id);
            if decision == Decision::Refused {
                self.refuse(id, Reason::Quarantined, out);
            }
        }
        blocked
    }

    /// Clears the suspects: the backend server responded to a query sent at `asked`, so it had not
    /// crashed before that.
    pub(super) fn dismiss_crash(
        &mut self,
        now: Now,
        backend: u16,
        asked: Instant,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        if self
            .suspected_crashes
            .get(&backend)
            .is_some_and(|suspected| asked > suspected.since)
            && let Some(suspected) = self.suspected_crashes.remove(&backend)
        {
            for fingerprint in &suspected.fingerprints {
                record_suspect_stopped(now, *fingerprint, log);
            }
            self.retry_suspects(now, &suspected, out, log);
        }
    }

    /// Records a crash of the backend server and suspects the requests that ran there.
    pub(super) fn confirm_crash(
        &mut self,
        now: Now,
        backend: u16,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(suspected) = self.suspected_crashes.remove(&backend) else {
            return;
        };
        let mut in_flight = suspected.fingerprints.to_vec();
        in_flight.extend(self.mark_running_as_crashed(backend));
        let entry = quarantine::Entry::Crashed {
            in_flight,
            at: now.unix_ms,
        };
        log.append(now.at, Entry::Quarantine(entry));
        let health = &self.health[usize::from(backend)];
        let draft = self
            .event(Kind::BackendCrashed)
            .with(Name::Backend, &health.id)
            .with(Name::Count, suspected.fingerprints.len());
        out.push(Output::Event(draft));
        self.retry_suspects(now, &suspected, out, log);
    }

    /// Returns the fingerprints of the requests that were still running when the backend server
    /// crashed, and marks them, so that their broken connections do not count as another crash.
    fn mark_running_as_crashed(&mut self, backend: u16) -> Vec<u64> {
        let running = self.requests.values_mut();
        running
            .filter(|request| request.backend == backend && request.is_dispatched())
            .map(|request| {
                request.history.crash_found = true;
                request.submission.fingerprint
            })
            .collect()
    }

    /// Retries the requests that waited for the result of a suspected crash.
    fn retry_suspects(
        &mut self,
        now: Now,
        suspected: &SuspectedCrash,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        for id in &suspected.requests {
            self.retry(now, *id, out, log);
        }
    }
}

/// Records that a suspect that ran alone ended without a crash and without success.
pub(super) fn record_suspect_stopped(now: Now, fingerprint: u64, log: &mut Log<'_>) {
    if log.state().quarantine.running() == Some(fingerprint) {
        let entry = quarantine::Entry::Stopped { fingerprint };
        log.append(now.at, Entry::Quarantine(entry));
    }
}
