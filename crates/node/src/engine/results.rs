//! What becomes of a request after it was handed to a backend server.

use std::time::Duration;

use tarragon_ledger::ledger;
use tarragon_ledger::quarantine::{self, Decision as Suspicion};
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_model::time::Instant;
use tarragon_policy::scheduler::Completion as SlotEnding;
use tarragon_timeline::event::{Kind, Name};

use super::crash::suspect_stopped;
use super::{Engine, Log};
use crate::flight::{Flight, Phase};
use crate::health::Change;
use crate::input::{Ending, Now};
use crate::output::Output;
use crate::state::Entry;

/// Time beyond its deadline in which a backend server notices that a request is overdue.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

impl Engine {
    /// Takes in that a backend server's answer began.
    pub fn responded(
        &mut self,
        now: Now,
        id: u64,
        status: u16,
        instance: Option<&str>,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.phase = Phase::Responded;
        let (backend, identifier) = (flight.backend, flight.submission.identifier);
        if let Some(identifier) = identifier {
            let entry = ledger::Entry::Finished {
                id: identifier,
                status,
            };
            log.append(now.at, Entry::Ledger(entry));
        }
        let Some(health) = self.health.get_mut(usize::from(backend)) else {
            return;
        };
        let change = health.responded(now.at, instance);
        if change == Change::Restarted {
            self.changed(now, backend, change, now.at, out, log);
        }
    }

    /// Takes in how a request that was handed over ended.
    pub fn ended(
        &mut self,
        now: Now,
        id: u64,
        ending: &Ending,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(flight) = self.flights.get(&id).cloned() else {
            return;
        };
        self.spread
            .leave(flight.submission.fingerprint, flight.backend);
        let crashed = matches!(
            ending,
            Ending::Truncated | Ending::ConnectionLost | Ending::Served
        );
        if !crashed {
            suspect_stopped(now, flight.submission.fingerprint, log);
        }
        match ending {
            Ending::Served => self.served(now, id, &flight, log),
            Ending::Refused { fenced } => self.refused(now, id, &flight, *fenced, out, log),
            Ending::NotConnected { refused } => {
                self.not_connected(now, id, &flight, *refused, out, log);
            }
            Ending::NotSent => {
                self.give_back(now, id, SlotEnding::Cancelled);
                self.not_run(now, id, log);
                self.refuse(id, Reason::LeaseExpired, out);
            }
            Ending::Truncated | Ending::ConnectionLost | Ending::Aborted | Ending::Abandoned => {
                self.broke(now, id, &flight, ending, out, log);
            }
        }
        self.pump(now, out, log);
    }

    /// Takes in that the caller of a request that was not handed over went away.
    pub fn cancelled(&mut self, now: Now, id: u64) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        match flight.phase {
            Phase::Held | Phase::Queued | Phase::Judging => {
                self.scheduler.cancel(now.at, id);
                self.forget(id);
            }
            Phase::Recording | Phase::Sent | Phase::Responded => flight.cancelled = true,
        }
    }

    fn served(&mut self, now: Now, id: u64, flight: &Flight, log: &mut Log<'_>) {
        let submission = &flight.submission;
        let work = now.at.since(flight.sent);
        self.planner.record(
            now.at,
            submission.group,
            submission.key,
            work,
            flight.backend,
        );
        self.budget.record_success(now.at);
        self.spread.prove(submission.fingerprint);
        let fingerprint = submission.fingerprint;
        if log.state().quarantine.check(fingerprint) != Suspicion::Clear {
            let entry = quarantine::Entry::Succeeded { fingerprint };
            log.append(now.at, Entry::Quarantine(entry));
        }
        self.give_back(now, id, SlotEnding::Served);
        self.forget(id);
    }

    fn refused(
        &mut self,
        now: Now,
        id: u64,
        flight: &Flight,
        fenced: bool,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        if fenced && let Some(health) = self.health.get_mut(usize::from(flight.backend)) {
            health.fenced(now.at);
        }
        let ending = if fenced {
            SlotEnding::Cancelled
        } else {
            SlotEnding::Shed
        };
        self.give_back(now, id, ending);
        self.not_run(now, id, log);
        if fenced {
            // Nothing is wrong with the request or the server: it waits for the grant of this reign.
            self.hold(id);
        } else {
            self.again(now, id, out, log);
        }
    }

    fn not_connected(
        &mut self,
        now: Now,
        id: u64,
        flight: &Flight,
        refused: bool,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        self.give_back(now, id, SlotEnding::Failed);
        self.not_run(now, id, log);
        if let Some(health) = self.health.get_mut(usize::from(flight.backend)) {
            health.hurry(now.at);
            if refused {
                let change = health.refused(now.at);
                self.changed(now, flight.backend, change, now.at, out, log);
            }
        }
        self.again(now, id, out, log);
    }

    /// The request may have run, or may still run: its key stays bound to the backend server.
    fn broke(
        &mut self,
        now: Now,
        id: u64,
        flight: &Flight,
        ending: &Ending,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let submission = &flight.submission;
        let failed = matches!(ending, Ending::Truncated | Ending::ConnectionLost);
        let slot = if failed {
            SlotEnding::Failed
        } else {
            SlotEnding::Cancelled
        };
        self.scheduler.complete(now.at, id, slot);
        if self.service.keyed {
            let end = self.orphan_end(now, submission.deadline);
            self.occupancy.orphan(submission.key, flight.backend, end);
        }
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.history.maybe_run = true;
        }
        let over = matches!(ending, Ending::Truncated | Ending::Abandoned);
        let resend = submission.idempotent || self.flaws.resend_after_first_byte;
        let judged = flight.history.judged;
        if failed && !judged {
            let waiting = (!over && resend).then_some(id);
            self.put_on_trial(now, flight.backend, submission.fingerprint, waiting);
        }
        if over || !resend {
            self.end_unresolved(now, id, flight, out, log);
        } else if failed && !judged {
            if let Some(flight) = self.flights.get_mut(&id) {
                flight.phase = Phase::Judging;
            }
        } else {
            self.again(now, id, out, log);
        }
    }

    /// Returns until when work without a connection may go on.
    ///
    /// A backend server that checks fences commits nothing after the deadline that it was sent;
    /// of another one only the operators' bound is known.
    fn orphan_end(&self, now: Now, deadline: Instant) -> Instant {
        if self.service.checks_fences {
            return deadline.max(now.at) + DEADLINE_GRACE;
        }
        now.at + self.orphan_wait
    }

    fn end_unresolved(
        &mut self,
        now: Now,
        id: u64,
        flight: &Flight,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let responded = flight.phase == Phase::Responded;
        if let (Some(identifier), false) = (flight.submission.identifier, responded) {
            let entry = ledger::Entry::Unresolved { id: identifier };
            log.append(now.at, Entry::Ledger(entry));
            let draft = self.event(Kind::RequestUnknown).with(Name::Request, id);
            out.push(Output::Event(draft));
        }
        self.forget(id);
        out.push(Output::Refuse {
            id,
            outcome: Outcome::Unknown,
            reason: Reason::BackendFailed,
            status: None,
        });
    }

    /// Tries a request again if its deadline and the retry budget allow.
    pub(super) fn again(&mut self, now: Now, id: u64, out: &mut Vec<Output>, log: &mut Log<'_>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.phase = Phase::Held;
        flight.history.retry = true;
        if now.at >= flight.submission.deadline {
            self.refuse(id, Reason::Deadline, out);
        } else if self.budget.try_retry(now.at) {
            self.route(now, id, out, log);
        } else {
            self.refuse(id, Reason::NoBackend, out);
        }
    }
}
