//! Turn of a keyed request at a holder that refused requests lately.

use http::StatusCode;
use tarragon_dispatch::fleet::Criteria;
use tarragon_dispatch::holdback::{Limits, Ticket, Verdict};

use super::{Failure, Request, Target};
use crate::relay::Outcome;
use crate::state::State;

/// Request that waits for its turn; it gives the turn up when it is dropped.
struct Turn<'a> {
    state: &'a State,
    id: &'a str,
    ticket: Ticket,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let mut holdback = self.state.holdback.borrow_mut();
        holdback.leave(self.id, self.ticket);
    }
}

impl Request<'_> {
    /// Records whether a holder refused or processed a request.
    pub(super) fn record_load(&self, id: &str, outcome: &Outcome) {
        let state = self.state;
        match outcome {
            Outcome::NotRun(status) if *status != StatusCode::MISDIRECTED_REQUEST => {
                let work = state.fleet.borrow().work(id);
                if let Some((slots, work)) = work {
                    let mut holdback = state.holdback.borrow_mut();
                    holdback.record_refused(id, slots, work, state.now());
                }
            }
            Outcome::Response(_) => state.holdback.borrow_mut().record_served(id),
            _ => {}
        }
    }

    /// Returns the target if the request may be sent to the holder of its key; otherwise waits for a
    /// while, and returns `None` so that the holder is looked up again.
    ///
    /// The request is rejected if it cannot be served within its objective, or, if that has passed,
    /// within half of the time that its caller still waits.
    pub(super) async fn wait_for_turn(&self, target: Target) -> Result<Option<Target>, Failure> {
        const FULL: &str = "the key's backend server is full";
        let state = self.state;
        let now = state.now();
        let criteria = Criteria {
            objective: self.time_left() / 2,
            ..self.criteria()
        };
        let id = &target.pick.id;
        let after = state.fleet.borrow().retry_after(id, &criteria, now);
        if let Some(after) = after.filter(|_| self.sends == 0) {
            return Err(self.failure(FULL, after));
        }
        let ticket = Ticket {
            priority: self.route.priority,
            started: now - self.started.elapsed(),
            number: rand::random(),
        };
        let limits = Limits {
            objective: ticket.started + self.route.objective,
            deadline: now + self.time_left(),
        };
        let verdict = state.holdback.borrow_mut().admit(id, ticket, limits, now);
        match verdict {
            Verdict::Send => Ok(Some(target)),
            Verdict::Wait(time) => {
                let _turn = Turn { state, id, ticket };
                state.metrics.count_held_back("waited");
                // The holder is looked up again in either case.
                let changed = state.keys_changed.notified();
                let _ = tokio::time::timeout(time, changed).await;
                Ok(None)
            }
            Verdict::Reject(after) => {
                state.metrics.count_held_back("rejected");
                log::info!(
                    "event=held-back-rejected service={} server={id} priority={} after_ms={}",
                    self.service,
                    ticket.priority,
                    after.as_millis()
                );
                Err(self.failure(FULL, after))
            }
        }
    }
}
