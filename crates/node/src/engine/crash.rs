//! Finding out whether a broken connection was a crash, and which request to suspect.

use std::collections::{HashMap, HashSet, VecDeque};

use smallvec::SmallVec;
use tarragon_ledger::quarantine::{self, Decision as Suspicion};
use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;
use tarragon_policy::scheduler::Completion as SlotEnding;
use tarragon_timeline::event::{Kind, Name};

use super::{Engine, Log};
use crate::input::Now;
use crate::output::Output;
use crate::state::Entry;

/// Requests that are remembered as harmless.
const PROVEN: usize = 8_192;
/// Backend servers on which a request that never succeeded may run at the same time.
const UNPROVEN_SPREAD: usize = 2;

/// Connections to one backend server that broke, until it is known whether it crashed.
#[derive(Debug)]
pub(super) struct Trial {
    since: Instant,
    fingerprints: SmallVec<[u64; 6]>,
    flights: SmallVec<[u64; 6]>,
}

/// Where requests that never succeeded run, so that one that crashes backend servers meets few.
#[derive(Debug, Default)]
pub(super) struct Spread {
    running: HashMap<u64, SmallVec<[u16; 2]>>,
    proven: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Spread {
    /// Returns a backend server to use instead, when the request already runs on enough others.
    pub(super) fn instead(&self, fingerprint: u64, backend: u16) -> Option<u16> {
        if self.proven.contains(&fingerprint) {
            return None;
        }
        let running = self.running.get(&fingerprint)?;
        let mut distinct: SmallVec<[u16; 4]> = running.iter().copied().collect();
        distinct.sort_unstable();
        distinct.dedup();
        let full = distinct.len() >= UNPROVEN_SPREAD && !distinct.contains(&backend);
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

    /// Remembers that a request did no harm.
    pub(super) fn prove(&mut self, fingerprint: u64) {
        if !self.proven.insert(fingerprint) {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > PROVEN
            && let Some(oldest) = self.order.pop_front()
        {
            self.proven.remove(&oldest);
        }
    }
}

impl Engine {
    /// Blames the suspect that ran alone under an earlier leader: whether it crashed its backend
    /// server cannot be known any more.
    pub(super) fn settle_suspect(now: Now, log: &mut Log<'_>) {
        if let Some(fingerprint) = log.state().quarantine.running() {
            let in_flight = vec![fingerprint];
            let entry = quarantine::Entry::Crashed {
                in_flight,
                at: now.unix_ms,
            };
            log.append(now.at, Entry::Quarantine(entry));
        }
    }

    /// Holds a request whose connection broke until it is known whether the server crashed.
    pub(super) fn put_on_trial(
        &mut self,
        now: Now,
        backend: u16,
        fingerprint: u64,
        id: Option<u64>,
    ) {
        let trial = self.trials.entry(backend).or_insert_with(|| Trial {
            since: now.at,
            fingerprints: SmallVec::new(),
            flights: SmallVec::new(),
        });
        trial.since = now.at;
        trial.fingerprints.push(fingerprint);
        trial.flights.extend(id);
        if let Some(health) = self.health.get_mut(usize::from(backend)) {
            health.hurry(now.at);
        }
    }

    /// Tells whether a request is suspected of a crash that is not yet confirmed.
    pub(super) fn is_on_trial(&self, fingerprint: u64) -> bool {
        self.trials
            .values()
            .any(|trial| trial.fingerprints.contains(&fingerprint))
    }

    /// Gives the slot of a request back that came under suspicion while it waited, or that must
    /// not run beside the suspect that runs alone, until that one's trial is over.
    pub(super) fn is_stopped_by_suspicion(
        &mut self,
        now: Now,
        id: u64,
        fingerprint: u64,
        out: &mut Vec<Output>,
        log: &Log<'_>,
    ) -> bool {
        let quarantine = &log.state().quarantine;
        let suspicion = quarantine.check(fingerprint);
        let waits = suspicion == Suspicion::Alone && quarantine.running().is_some();
        let stopped = waits || suspicion == Suspicion::Refused || self.is_on_trial(fingerprint);
        if stopped {
            self.scheduler.complete(now.at, id, SlotEnding::Cancelled);
            self.hold(id);
            if suspicion == Suspicion::Refused {
                self.refuse(id, Reason::Quarantined, out);
            }
        }
        stopped
    }

    /// The backend server answered a question asked at `asked`, so it did not crash before that.
    pub(super) fn acquit(
        &mut self,
        now: Now,
        backend: u16,
        asked: Instant,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        if self
            .trials
            .get(&backend)
            .is_some_and(|trial| asked > trial.since)
            && let Some(trial) = self.trials.remove(&backend)
        {
            for fingerprint in &trial.fingerprints {
                suspect_stopped(now, *fingerprint, log);
            }
            self.release_trial(now, &trial, out, log);
        }
    }

    /// The backend server crashed: suspects what ran there.
    pub(super) fn convict(
        &mut self,
        now: Now,
        backend: u16,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(trial) = self.trials.remove(&backend) else {
            return;
        };
        let mut in_flight = trial.fingerprints.to_vec();
        in_flight.extend(self.judge_running(backend));
        let entry = quarantine::Entry::Crashed {
            in_flight,
            at: now.unix_ms,
        };
        log.append(now.at, Entry::Quarantine(entry));
        let health = &self.health[usize::from(backend)];
        let draft = self
            .event(Kind::BackendCrashed)
            .with(Name::Backend, &health.id)
            .with(Name::Count, trial.fingerprints.len());
        out.push(Output::Event(draft));
        self.release_trial(now, &trial, out, log);
    }

    /// Returns the fingerprints of what ran when the backend server crashed and has not been heard
    /// of yet, and marks it, so that its broken connections start no second trial.
    fn judge_running(&mut self, backend: u16) -> Vec<u64> {
        let running = self.flights.values_mut();
        running
            .filter(|flight| flight.backend == backend && flight.is_out())
            .map(|flight| {
                flight.history.judged = true;
                flight.submission.fingerprint
            })
            .collect()
    }

    fn release_trial(&mut self, now: Now, trial: &Trial, out: &mut Vec<Output>, log: &mut Log<'_>) {
        for id in &trial.flights {
            self.again(now, *id, out, log);
        }
    }
}

/// Records that a suspect which ran alone ended without a crash and without success.
pub(super) fn suspect_stopped(now: Now, fingerprint: u64, log: &mut Log<'_>) {
    if log.state().quarantine.running() == Some(fingerprint) {
        let entry = quarantine::Entry::Stopped { fingerprint };
        log.append(now.at, Entry::Quarantine(entry));
    }
}
