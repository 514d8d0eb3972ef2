//! Departure of a command: when its bytes may be written, and when they were.

use std::cell::Cell;
use std::rc::Rc;

use tarragon_model::time::Instant;
use tarragon_owner::granter::Action;

use super::command::Pending;
use crate::clock::Clock;
use crate::pool::Permit;

/// Permits the bytes of a grant to be written while it may be sent, and those of a release always.
pub(super) struct Departure {
    clock: Clock,
    action: Action,
    /// Latest time at which a grant may be sent.
    latest: Instant,
    /// Until when no other host can be granter.
    send_until: Rc<Cell<Instant>>,
    /// Whether the command was given up.
    closed: Cell<bool>,
    /// When bytes were last written.
    written_at: Cell<Option<Instant>>,
}

impl Departure {
    pub(super) fn new(clock: Clock, pending: &Pending<'_>) -> Self {
        Self {
            clock,
            action: pending.command.action,
            latest: pending.due_at + pending.max_delay,
            send_until: Rc::clone(pending.send_until),
            closed: Cell::new(false),
            written_at: Cell::new(None),
        }
    }

    /// Returns whether the command must not be sent: it is late, or another host may be granter.
    pub(super) fn is_withheld(&self) -> bool {
        let now = self.clock.now();
        self.action == Action::Grant && (now > self.latest || !self.is_confirmed(now))
    }

    /// Returns whether no other host can be granter.
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        now <= self.send_until.get()
    }

    /// Permits no further write; returns when bytes were last written, if any were.
    pub(super) fn close(&self) -> Option<Instant> {
        self.closed.set(true);
        self.written_at.get()
    }
}

impl Permit for Departure {
    fn allows(&self) -> bool {
        !self.closed.get() && !self.is_withheld()
    }

    fn note_written(&self) {
        self.written_at.set(Some(self.clock.now()));
    }
}
