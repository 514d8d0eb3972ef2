//! Handling of requests from their submission to their dispatch.

use tarragon_ledger::ledger::{self, Status as LedgerStatus};
use tarragon_ledger::quarantine::{self, Decision};
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_policy::scheduler::{Action, Completion, Request, Target};
use tarragon_timeline::event::{Kind, Name};

use super::crash::record_suspect_stopped;
use super::{Effect, Engine, Log, MAX_REQUESTS};
use crate::health::Availability;
use crate::input::{Now, Submission};
use crate::output::{Attempt, Output};
use crate::request::{ActiveRequest, Phase};
use crate::state::{Entry, NO_OWNER};

/// Response to a request that is not accepted.
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
    /// Accepts a request or refuses it.
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
        self.requests.insert(id, ActiveRequest::new(submission));
        self.route(now, id, out, log);
        self.run_scheduler(now, out, log);
    }

    /// Checks whether a request may be accepted.
    fn admit(&self, now: Now, submission: &Submission, log: &Log<'_>) -> Result<(), Refusal> {
        if now.at >= submission.deadline {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        if self.requests.len() >= MAX_REQUESTS {
            return Err(Refusal::not_run(Reason::Overloaded));
        }
        if self.weight(submission.class) < self.preset.min_weight {
            return Err(Refusal::not_run(Reason::Preset));
        }
        if log.state().quarantine.check(submission.fingerprint) == Decision::Refused {
            return Err(Refusal::not_run(Reason::Quarantined));
        }
        match submission.identifier {
            Some(identifier) => self.admit_once(now, identifier, submission.fingerprint, log),
            None => Ok(()),
        }
    }

    /// Accepts a request that is not idempotent unless it has run or may have run already.
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
            LedgerStatus::Fresh => Ok(()),
            LedgerStatus::Running => Err(Refusal::unknown(Reason::Running)),
            LedgerStatus::Done { status } => Err(Refusal {
                outcome: Outcome::Done,
                reason: Reason::AlreadyDone,
                status: Some(status),
            }),
            LedgerStatus::Unknown => Err(Refusal::unknown(Reason::BackendFailed)),
            LedgerStatus::Expired => Err(Refusal::unknown(Reason::IdentifierExpired)),
            LedgerStatus::Mismatch => Err(Refusal::not_run(Reason::IdentifierMismatch)),
            LedgerStatus::Overloaded => Err(Refusal::not_run(Reason::Overloaded)),
            LedgerStatus::FromFuture | LedgerStatus::NotUuidV7 => {
                Err(Refusal::not_run(Reason::NoIdentifier))
            }
        }
    }

    /// Returns the weight of a request class; 1 if the class is not configured.
    fn weight(&self, class: u8) -> u32 {
        self.service
            .classes
            .get(usize::from(class))
            .map_or(1, |class| class.weight)
    }

    /// Queues a request for its owner, or holds it until an owner may run it.
    pub(super) fn route(&mut self, now: Now, id: u64, out: &mut Vec<Output>, log: &Log<'_>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let submission = request.submission.clone();
        let retry = request.history.retry;
        let decision = log.state().quarantine.check(submission.fingerprint);
        if decision == Decision::Refused {
            self.refuse(id, Reason::Quarantined, out);
            return;
        }
        let must_wait = decision == Decision::Alone && log.state().quarantine.running().is_some();
        let target = self.target(&submission).filter(|_| !must_wait);
        let Some(target) = target else {
            self.hold(id);
            return;
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Queued;
        }
        let request = Request {
            id,
            target,
            key: submission.key,
            group: submission.group,
            class: submission.class,
            weight: self.weight(submission.class),
            deadline: submission.deadline,
            exclusive: decision == Decision::Alone,
            retry,
        };
        self.scheduler.submit(now.at, request);
    }

    /// Returns where a request may run now, or `None` if it has to be held.
    fn target(&self, submission: &Submission) -> Option<Target> {
        if self.is_suspected(submission.fingerprint) {
            return None;
        }
        if !self.service.keyed {
            return Some(Target::Any);
        }
        let owner = self.owner_of(submission.group, submission.key);
        let health = self.health.get(usize::from(owner))?;
        let lost = health.availability() == Availability::Lost;
        let ungranted = self.service.checks_fences && !health.is_granted();
        if lost || ungranted || self.occupancy.is_elsewhere(submission.key, owner) {
            return None;
        }
        Some(Target::Owner(owner))
    }

    /// Holds a request until it is routed again.
    pub(super) fn hold(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Held;
            self.held.push(id);
        }
    }

    /// Routes every held request again, or refuses it if its deadline has passed.
    pub(super) fn retry_held(&mut self, now: Now, out: &mut Vec<Output>, log: &Log<'_>) {
        for id in std::mem::take(&mut self.held) {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            if request.phase != Phase::Held {
                continue;
            }
            if now.at >= request.submission.deadline {
                let reason = self.hold_reason(&request.submission);
                self.refuse(id, reason, out);
            } else {
                self.route(now, id, out, log);
            }
        }
    }

    /// Returns whether work of the key may still run on a lost backend server.
    fn may_run_on_lost_backend(&self, key: tarragon_model::key::Hash) -> bool {
        let mut lost = self
            .health
            .iter()
            .enumerate()
            .filter(|(_, health)| health.availability() == Availability::Lost);
        lost.any(|(position, _)| self.occupancy.is_on(key, super::backends::index(position)))
    }

    /// Returns why a request cannot run now.
    pub(super) fn hold_reason(&self, submission: &Submission) -> Reason {
        if !self.service.keyed {
            return Reason::NoBackend;
        }
        let owner = self.owner_of(submission.group, submission.key);
        match self.health.get(usize::from(owner)) {
            Some(health) if health.availability() == Availability::Lost => Reason::OwnerLost,
            Some(_) if self.may_run_on_lost_backend(submission.key) => Reason::OwnerLost,
            Some(_) if self.occupancy.is_elsewhere(submission.key, owner) => Reason::OwnerMoving,
            _ => Reason::NoBackend,
        }
    }

    /// Carries out the scheduler's decisions.
    pub(super) fn run_scheduler(&mut self, now: Now, out: &mut Vec<Output>, log: &mut Log<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.poll(now.at, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Start { id, backend } => self.handle_start(now, id, backend, out, log),
                Action::Refuse { id, reason } => {
                    self.record_refused_load(now, id);
                    self.refuse(id, reason, out);
                }
            }
        }
        self.actions = actions;
    }

    /// Counts refused work as load of its key's owner, which would otherwise appear idle.
    fn record_refused_load(&mut self, now: Now, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !self.service.keyed {
            return;
        }
        let submission = &request.submission;
        let owner = self.owner_of(submission.group, submission.key);
        let work = self
            .scheduler
            .expected_time(submission.class, submission.key, owner);
        self.planner
            .record(now.at, submission.group, submission.key, work, owner);
    }

    /// Handles that the scheduler assigned a slot to a request.
    fn handle_start(
        &mut self,
        now: Now,
        id: u64,
        backend: u16,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            self.scheduler.complete(now.at, id, Completion::Cancelled);
            return;
        };
        request.backend = backend;
        request.phase = Phase::Recording;
        let submission = request.submission.clone();
        if self.release_if_blocked(now, id, submission.fingerprint, out, log) {
            return;
        }
        if let Some(other) = self
            .containment
            .alternative(submission.fingerprint, backend)
        {
            self.redirect(now, id, other);
            return;
        }
        self.containment.enter(submission.fingerprint, backend);
        if self.service.keyed {
            if self.occupancy.is_elsewhere(submission.key, backend) {
                self.record_violation("two-owners");
            }
            self.occupancy.enter(submission.key, backend);
        }
        match self.record_dispatch(now, id, &submission, log) {
            Some(index) => self.effects.push_back((index, Effect::Dispatch(id))),
            None => self.dispatch(now, id, out),
        }
    }

    /// Appends what a successor must know before the request is dispatched, if anything; returns
    /// the index of the last entry.
    fn record_dispatch(
        &mut self,
        now: Now,
        id: u64,
        submission: &Submission,
        log: &mut Log<'_>,
    ) -> Option<u64> {
        let mut index = None;
        let fingerprint = submission.fingerprint;
        if log.state().quarantine.check(fingerprint) == Decision::Alone {
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
            if let Some(request) = self.requests.get_mut(&id) {
                request.recorded = true;
            }
        }
        index
    }

    /// Releases the slot of a request and queues it for another backend server.
    fn redirect(&mut self, now: Now, id: u64, backend: u16) {
        self.scheduler.complete(now.at, id, Completion::Cancelled);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.phase = Phase::Queued;
        let submission = request.submission.clone();
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

    /// Dispatches a request whose ledger or quarantine entry a standby now holds.
    pub(super) fn dispatch_recorded(
        &mut self,
        now: Now,
        id: u64,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.cancelled || now.at >= request.submission.deadline {
            let fingerprint = request.submission.fingerprint;
            self.containment.leave(fingerprint, request.backend);
            record_suspect_stopped(now, fingerprint, log);
            self.release_slot(now, id, Completion::Cancelled);
            self.record_not_run(now, id, log);
            self.refuse(id, Reason::Deadline, out);
            return;
        }
        self.dispatch(now, id, out);
    }

    /// Sends a request to the backend server whose slot it holds.
    fn dispatch(&mut self, now: Now, id: u64, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(health) = self.health.get(usize::from(request.backend)) else {
            return;
        };
        request.phase = Phase::Sent;
        request.history.crash_found = false;
        request.sent = now.at;
        let attempt = Attempt {
            shard: self.shard.clone(),
            fence: self.fence,
            backend: health.id.clone(),
            addr: health.addr,
        };
        if request.history.retry {
            let draft = self.event(Kind::RequestRetried).with(Name::Request, id);
            out.push(Output::Event(draft.with(Name::Backend, &attempt.backend)));
        }
        out.push(Output::Dispatch { id, attempt });
    }

    /// Records that a request did not run although its dispatch was recorded.
    pub(super) fn record_not_run(&mut self, now: Now, id: u64, log: &mut Log<'_>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let (true, Some(identifier)) = (request.recorded, request.submission.identifier) {
            request.recorded = false;
            log.append(
                now.at,
                Entry::Ledger(ledger::Entry::NotRun { id: identifier }),
            );
        }
    }

    /// Releases the slot of a request and its claim on the key.
    pub(super) fn release_slot(&mut self, now: Now, id: u64, ending: Completion) {
        self.scheduler.complete(now.at, id, ending);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.service.keyed && request.backend != NO_OWNER {
            self.occupancy
                .leave(request.submission.key, request.backend);
        }
    }
}
