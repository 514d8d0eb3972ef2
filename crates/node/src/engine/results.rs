//! Handling of requests after their dispatch to a backend server.

use std::time::Duration;

use tarragon_ledger::ledger;
use tarragon_ledger::quarantine::{self, Decision};
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_model::time::Instant;
use tarragon_policy::scheduler::Completion;
use tarragon_timeline::event::{Kind, Name};

use super::crash::record_suspect_stopped;
use super::{Engine, Log};
use crate::health::Change;
use crate::input::{Ending, Now};
use crate::output::Output;
use crate::request::{ActiveRequest, Phase};
use crate::state::Entry;

/// Time after its deadline within which a backend server notices that a request is overdue.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

impl Engine {
    /// Handles the start of a backend server's response.
    pub fn handle_response(
        &mut self,
        now: Now,
        id: u64,
        status: u16,
        instance: Option<&str>,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.phase = Phase::Responded;
        let (backend, identifier) = (request.backend, request.submission.identifier);
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
        let change = health.handle_response(now.at, instance);
        if change == Change::Restarted {
            self.handle_change(now, backend, change, now.at, out, log);
        }
    }

    /// Handles the end of a dispatched request.
    pub fn handle_end(
        &mut self,
        now: Now,
        id: u64,
        ending: &Ending,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(request) = self.requests.get(&id).cloned() else {
            return;
        };
        self.containment
            .leave(request.submission.fingerprint, request.backend);
        let recorded_later = matches!(
            ending,
            Ending::Truncated | Ending::ConnectionLost | Ending::Served
        );
        if !recorded_later {
            record_suspect_stopped(now, request.submission.fingerprint, log);
        }
        match ending {
            Ending::Served => self.handle_served(now, id, &request, log),
            Ending::Refused { fenced } => self.handle_refused(now, id, &request, *fenced, out, log),
            Ending::NotConnected { refused } => {
                self.handle_not_connected(now, id, &request, *refused, out, log);
            }
            Ending::NotSent => {
                self.release_slot(now, id, Completion::Cancelled);
                self.record_not_run(now, id, log);
                self.refuse(id, Reason::LeaseExpired, out);
            }
            Ending::Truncated | Ending::ConnectionLost | Ending::Aborted | Ending::Abandoned => {
                self.handle_interruption(now, id, &request, ending, out, log);
            }
        }
        self.run_scheduler(now, out, log);
    }

    /// Handles that the caller of a request disconnected before the request was dispatched.
    pub fn handle_cancel(&mut self, now: Now, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match request.phase {
            Phase::Held | Phase::Queued | Phase::CheckingCrash => {
                self.scheduler.cancel(now.at, id);
                self.remove_request(id);
            }
            Phase::Recording | Phase::Sent | Phase::Responded => request.cancelled = true,
        }
    }

    /// Completes a request whose whole response was relayed.
    fn handle_served(&mut self, now: Now, id: u64, request: &ActiveRequest, log: &mut Log<'_>) {
        let submission = &request.submission;
        let work = now.at.since(request.sent);
        self.planner.record(
            now.at,
            submission.group,
            submission.key,
            work,
            request.backend,
        );
        self.budget.record_success(now.at);
        self.containment.mark_proven(submission.fingerprint);
        let fingerprint = submission.fingerprint;
        if log.state().quarantine.check(fingerprint) != Decision::Clear {
            let entry = quarantine::Entry::Succeeded { fingerprint };
            log.append(now.at, Entry::Quarantine(entry));
        }
        self.release_slot(now, id, Completion::Served);
        self.remove_request(id);
    }

    /// Handles that the backend server refused a request before running it.
    fn handle_refused(
        &mut self,
        now: Now,
        id: u64,
        request: &ActiveRequest,
        fenced: bool,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        if fenced && let Some(health) = self.health.get_mut(usize::from(request.backend)) {
            health.handle_fenced(now.at);
        }
        let ending = if fenced {
            Completion::Cancelled
        } else {
            Completion::Shed
        };
        self.release_slot(now, id, ending);
        self.record_not_run(now, id, log);
        if fenced {
            // Neither the request nor the server is at fault: the request waits for the grant of
            // this term.
            self.hold(id);
        } else {
            self.retry(now, id, out, log);
        }
    }

    /// Retries a request that was not sent because no connection could be made.
    fn handle_not_connected(
        &mut self,
        now: Now,
        id: u64,
        request: &ActiveRequest,
        refused: bool,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        self.release_slot(now, id, Completion::Failed);
        self.record_not_run(now, id, log);
        if let Some(health) = self.health.get_mut(usize::from(request.backend)) {
            health.expedite(now.at);
            if refused {
                let change = health.handle_connection_refused(now.at);
                self.handle_change(now, request.backend, change, now.at, out, log);
            }
        }
        self.retry(now, id, out, log);
    }

    /// Handles an attempt that may have run or may still run: its key stays bound to the backend
    /// server.
    fn handle_interruption(
        &mut self,
        now: Now,
        id: u64,
        request: &ActiveRequest,
        ending: &Ending,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let submission = &request.submission;
        let failed = matches!(ending, Ending::Truncated | Ending::ConnectionLost);
        let completion = if failed {
            Completion::Failed
        } else {
            Completion::Cancelled
        };
        self.scheduler.complete(now.at, id, completion);
        if self.service.keyed {
            let end = self.orphan_end(now, submission.deadline);
            self.occupancy.orphan(submission.key, request.backend, end);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.history.maybe_run = true;
        }
        let concluded = matches!(ending, Ending::Truncated | Ending::Abandoned);
        let may_resend = submission.idempotent || self.seeded_faults.resend_after_first_byte;
        let crash_found = request.history.crash_found;
        if failed && !crash_found {
            let waiting = (!concluded && may_resend).then_some(id);
            self.suspect_crash(now, request.backend, submission.fingerprint, waiting);
        }
        if concluded || !may_resend {
            self.end_unresolved(now, id, request, out, log);
        } else if failed && !crash_found {
            if let Some(request) = self.requests.get_mut(&id) {
                request.phase = Phase::CheckingCrash;
            }
        } else {
            self.retry(now, id, out, log);
        }
    }

    /// Returns until when work without a connection may run.
    ///
    /// A backend server that checks fences commits nothing after the deadline that it was sent; for
    /// any other, only the limit in the service's configuration (`orphan_ms`) is known.
    fn orphan_end(&self, now: Now, deadline: Instant) -> Instant {
        if self.service.checks_fences {
            return deadline.max(now.at) + DEADLINE_GRACE;
        }
        now.at + self.orphan_wait
    }

    /// Ends a request whose outcome is unknown.
    fn end_unresolved(
        &mut self,
        now: Now,
        id: u64,
        request: &ActiveRequest,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let responded = request.phase == Phase::Responded;
        if let (Some(identifier), false) = (request.submission.identifier, responded) {
            let entry = ledger::Entry::Unresolved { id: identifier };
            log.append(now.at, Entry::Ledger(entry));
            let draft = self.event(Kind::RequestUnknown).with(Name::Request, id);
            out.push(Output::Event(draft));
        }
        self.remove_request(id);
        out.push(Output::Refuse {
            id,
            outcome: Outcome::Unknown,
            reason: Reason::BackendFailed,
            status: None,
        });
    }

    /// Retries a request if its deadline and the retry budget allow it, and refuses it otherwise.
    pub(super) fn retry(&mut self, now: Now, id: u64, out: &mut Vec<Output>, log: &mut Log<'_>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.phase = Phase::Held;
        request.history.retry = true;
        if now.at >= request.submission.deadline {
            self.refuse(id, Reason::Deadline, out);
        } else if self.budget.try_retry(now.at) {
            self.route(now, id, out, log);
        } else {
            self.refuse(id, Reason::NoBackend, out);
        }
    }
}
