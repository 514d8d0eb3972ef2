//! From a request's arrival to its dispatch.

use tarragon_ledger::ledger::{self, Status as Memory};
use tarragon_ledger::quarantine::{self, Decision as Suspicion};
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_policy::scheduler::{Action, Completion as SlotEnding, Request, Target};
use tarragon_timeline::event::{Kind, Name};

use super::crash::suspect_stopped;
use super::{Effect, Engine, Log, MAX_FLIGHTS};
use crate::flight::{Flight, Phase};
use crate::health::Standing;
use crate::input::{Now, Submission};
use crate::output::{Attempt, Output};
use crate::state::{Entry, NOBODY};

/// Answer to a request that is not taken in.
struct Refusal {
    outcome: Outcome,
    reason: Reason,
    status: Option<u16>,
}

impl Refusal {
    fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            status: None,
        }
    }

    fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            status: None,
        }
    }
}

impl Engine {
    /// Takes in a request or refuses it.
    pub fn submit(
        &mut self,
        now: Now,
        submission: Submission,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let id = submission.id;
        if let Err(refusal) = self.admit(now, &submission, log) {
            let Refusal {
                outcome,
                reason,
                status,
            } = refusal;
            out.push(Output::Refuse {
                id,
                outcome,
                reason,
                status,
            });
            return;
        }
        if let Some(identifier) = submission.identifier {
            self.identifiers.insert(identifier, id);
        }
        self.flights.insert(id, Flight::new(submission));
        self.route(now, id, out, log);
        self.pump(now, out, log);
    }

    fn admit(&self, now: Now, submission: &Submission, log: &Log<'_>) -> Result<(), Refusal> {
        if now.at >= submission.deadline {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        if self.flights.len() >= MAX_FLIGHTS {
            return Err(Refusal::not_run(Reason::Overloaded));
        }
        if self.weight(submission.class) < self.preset.min_weight {
            return Err(Refusal::not_run(Reason::Preset));
        }
        if log.state().quarantine.check(submission.fingerprint) == Suspicion::Refused {
            return Err(Refusal::not_run(Reason::Quarantined));
        }
        match submission.identifier {
            Some(identifier) => self.admit_once(now, identifier, submission.fingerprint, log),
            None => Ok(()),
        }
    }

    /// Admits a request that is not idempotent unless it was, or may have been, run already.
    fn admit_once(
        &self,
        now: Now,
        identifier: u128,
        fingerprint: u64,
        log: &Log<'_>,
    ) -> Result<(), Refusal> {
        if self.identifiers.contains_key(&identifier) {
            return Err(Refusal::unknown(Reason::Running));
        }
        match log
            .state()
            .ledger
            .check(now.unix_ms, identifier, fingerprint)
        {
            Memory::Fresh => Ok(()),
            Memory::Running => Err(Refusal::unknown(Reason::Running)),
            Memory::Done { status } => Err(Refusal {
                outcome: Outcome::Done,
                reason: Reason::AlreadyDone,
                status: Some(status),
            }),
            Memory::Unknown => Err(Refusal::unknown(Reason::BackendFailed)),
            Memory::Expired => Err(Refusal::unknown(Reason::IdentifierExpired)),
            Memory::Mismatch => Err(Refusal::not_run(Reason::IdentifierMismatch)),
            Memory::Overloaded => Err(Refusal::not_run(Reason::Overloaded)),
            Memory::FromFuture | Memory::NotUuidV7 => Err(Refusal::not_run(Reason::NoIdentifier)),
        }
    }

    fn weight(&self, class: u8) -> u32 {
        self.service
            .classes
            .get(usize::from(class))
            .map_or(1, |class| class.weight)
    }

    /// Queues a request for its owner, or holds it until an owner may run it.
    pub(super) fn route(&mut self, now: Now, id: u64, out: &mut Vec<Output>, log: &Log<'_>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let submission = flight.submission.clone();
        let retry = flight.history.retry;
        let suspicion = log.state().quarantine.check(submission.fingerprint);
        if suspicion == Suspicion::Refused {
            self.refuse(id, Reason::Quarantined, out);
            return;
        }
        let waits = suspicion == Suspicion::Alone && log.state().quarantine.running().is_some();
        let target = self.target(&submission).filter(|_| !waits);
        let Some(target) = target else {
            self.hold(id);
            return;
        };
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.phase = Phase::Queued;
        }
        let request = Request {
            id,
            target,
            key: submission.key,
            group: submission.group,
            class: submission.class,
            weight: self.weight(submission.class),
            deadline: submission.deadline,
            exclusive: suspicion == Suspicion::Alone,
            retry,
        };
        self.scheduler.submit(now.at, request);
    }

    /// Returns where a request may run now, or `None` when it has to be held.
    fn target(&self, submission: &Submission) -> Option<Target> {
        if self.is_on_trial(submission.fingerprint) {
            return None;
        }
        if !self.service.keyed {
            return Some(Target::Any);
        }
        let owner = self.owner_of(submission.group, submission.key);
        let health = self.health.get(usize::from(owner))?;
        let lost = health.standing() == Standing::Lost;
        let ungranted = self.service.checks_fences && !health.is_granted();
        if lost || ungranted || self.occupancy.is_elsewhere(submission.key, owner) {
            return None;
        }
        Some(Target::Owner(owner))
    }

    pub(super) fn hold(&mut self, id: u64) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.phase = Phase::Held;
            self.held.push(id);
        }
    }

    /// Looks again at every held request.
    pub(super) fn retry_held(&mut self, now: Now, out: &mut Vec<Output>, log: &Log<'_>) {
        for id in std::mem::take(&mut self.held) {
            let Some(flight) = self.flights.get(&id) else {
                continue;
            };
            if flight.phase != Phase::Held {
                continue;
            }
            if now.at >= flight.submission.deadline {
                let reason = self.why_held(&flight.submission);
                self.refuse(id, reason, out);
            } else {
                self.route(now, id, out, log);
            }
        }
    }

    /// Tells whether work of the key may still run on a lost backend server.
    fn is_bound_to_lost(&self, key: tarragon_model::key::Hash) -> bool {
        let mut lost = self
            .health
            .iter()
            .enumerate()
            .filter(|(_, health)| health.standing() == Standing::Lost);
        lost.any(|(position, _)| self.occupancy.is_on(key, super::backends::index(position)))
    }

    /// Says why a request cannot run now.
    pub(super) fn why_held(&self, submission: &Submission) -> Reason {
        if !self.service.keyed {
            return Reason::NoBackend;
        }
        let owner = self.owner_of(submission.group, submission.key);
        match self.health.get(usize::from(owner)) {
            Some(health) if health.standing() == Standing::Lost => Reason::OwnerLost,
            Some(_) if self.is_bound_to_lost(submission.key) => Reason::OwnerLost,
            Some(_) if self.occupancy.is_elsewhere(submission.key, owner) => Reason::OwnerMoving,
            _ => Reason::NoBackend,
        }
    }

    /// Carries out what the scheduler decides.
    pub(super) fn pump(&mut self, now: Now, out: &mut Vec<Output>, log: &mut Log<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.poll(now.at, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Start { id, backend } => self.started(now, id, backend, out, log),
                Action::Refuse { id, reason } => {
                    self.count_refused(now, id);
                    self.refuse(id, reason, out);
                }
            }
        }
        self.actions = actions;
    }

    /// Counts work that was refused as load of its key's owner, which would look idle otherwise.
    fn count_refused(&mut self, now: Now, id: u64) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if !self.service.keyed {
            return;
        }
        let submission = &flight.submission;
        let owner = self.owner_of(submission.group, submission.key);
        let work = self
            .scheduler
            .expected_time(submission.class, submission.key, owner);
        self.planner
            .record(now.at, submission.group, submission.key, work, owner);
    }

    fn started(
        &mut self,
        now: Now,
        id: u64,
        backend: u16,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            self.scheduler.complete(now.at, id, SlotEnding::Cancelled);
            return;
        };
        flight.backend = backend;
        flight.phase = Phase::Recording;
        let submission = flight.submission.clone();
        if self.is_stopped_by_suspicion(now, id, submission.fingerprint, out, log) {
            return;
        }
        if let Some(other) = self.spread.instead(submission.fingerprint, backend) {
            self.redirect(now, id, other);
            return;
        }
        self.spread.enter(submission.fingerprint, backend);
        if self.service.keyed {
            if self.occupancy.is_elsewhere(submission.key, backend) {
                self.broken("two-owners");
            }
            self.occupancy.enter(submission.key, backend);
        }
        match self.record_dispatch(now, id, &submission, log) {
            Some(index) => self.effects.push_back((index, Effect::Dispatch(id))),
            None => self.dispatch(now, id, out),
        }
    }

    /// Appends what a successor must know before the request is handed over, if anything.
    fn record_dispatch(
        &mut self,
        now: Now,
        id: u64,
        submission: &Submission,
        log: &mut Log<'_>,
    ) -> Option<u64> {
        let mut index = None;
        let fingerprint = submission.fingerprint;
        if log.state().quarantine.check(fingerprint) == Suspicion::Alone {
            let entry = quarantine::Entry::Started { fingerprint };
            index = Some(log.append(now.at, Entry::Quarantine(entry)));
        }
        if let Some(identifier) = submission.identifier {
            let at = now.unix_ms;
            let entry = ledger::Entry::Dispatched {
                id: identifier,
                fingerprint,
                at,
            };
            index = Some(log.append(now.at, Entry::Ledger(entry)));
            if let Some(flight) = self.flights.get_mut(&id) {
                flight.recorded = true;
            }
        }
        index
    }

    /// Gives a slot back and queues the request for another backend server.
    fn redirect(&mut self, now: Now, id: u64, backend: u16) {
        self.scheduler.complete(now.at, id, SlotEnding::Cancelled);
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.phase = Phase::Queued;
        let submission = flight.submission.clone();
        let request = Request {
            id,
            target: Target::Owner(backend),
            key: submission.key,
            group: submission.group,
            class: submission.class,
            weight: self.weight(submission.class),
            deadline: submission.deadline,
            exclusive: false,
            retry: true,
        };
        self.scheduler.submit(now.at, request);
    }

    /// Hands a request over whose dispatch a standby has recorded.
    pub(super) fn dispatch_recorded(
        &mut self,
        now: Now,
        id: u64,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if flight.cancelled || now.at >= flight.submission.deadline {
            let fingerprint = flight.submission.fingerprint;
            self.spread.leave(fingerprint, flight.backend);
            suspect_stopped(now, fingerprint, log);
            self.give_back(now, id, SlotEnding::Cancelled);
            self.not_run(now, id, log);
            self.refuse(id, Reason::Deadline, out);
            return;
        }
        self.dispatch(now, id, out);
    }

    fn dispatch(&mut self, now: Now, id: u64, out: &mut Vec<Output>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(health) = self.health.get(usize::from(flight.backend)) else {
            return;
        };
        flight.phase = Phase::Sent;
        flight.history.judged = false;
        flight.sent = now.at;
        let attempt = Attempt {
            shard: self.shard.clone(),
            fence: self.fence,
            backend: health.id.clone(),
            addr: health.addr,
        };
        if flight.history.retry {
            let draft = self.event(Kind::RequestRetried).with(Name::Request, id);
            out.push(Output::Event(draft.with(Name::Backend, &attempt.backend)));
        }
        out.push(Output::Dispatch { id, attempt });
    }

    /// Records that a request whose dispatch was recorded did not run after all.
    pub(super) fn not_run(&mut self, now: Now, id: u64, log: &mut Log<'_>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if let (true, Some(identifier)) = (flight.recorded, flight.submission.identifier) {
            flight.recorded = false;
            log.append(
                now.at,
                Entry::Ledger(ledger::Entry::NotRun { id: identifier }),
            );
        }
    }

    /// Gives the slot of a request back and counts its key as free.
    pub(super) fn give_back(&mut self, now: Now, id: u64, ending: SlotEnding) {
        self.scheduler.complete(now.at, id, ending);
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if self.service.keyed && flight.backend != NOBODY {
            self.occupancy.leave(flight.submission.key, flight.backend);
        }
    }
}
