//! Time between the hand-over of a request to its connection and the write.

use std::cell::Cell;
use std::time::Duration;

use tarragon_dispatch::fleet::Pick;
use tokio::time::Instant;

use crate::evacuation::Check;
use crate::pool::Permit;
use crate::state::State;

/// Maximum time from the hand-over of a request to its first write. The deadline that the backend
/// server is told, and the choice of the server, are as old as that.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(250);

/// Permits a request to be written soon after its hand-over, before its deadline, and unless the zone
/// of its backend server has been evacuated meanwhile.
pub(super) struct Handover {
    latest: Instant,
    evacuation: Option<Check>,
    written: Cell<bool>,
}

impl Handover {
    /// Begins the hand-over of a request with a deadline to a backend server.
    pub(super) fn new(state: &State, pick: &Pick, deadline: Instant) -> Self {
        Self {
            latest: deadline.min(Instant::now() + MAX_WRITE_DELAY),
            evacuation: Check::new(state, pick),
            written: Cell::new(false),
        }
    }

    /// Returns whether any bytes were written.
    pub(super) fn is_written(&self) -> bool {
        self.written.get()
    }
}

impl Permit for Handover {
    fn allows(&self) -> bool {
        self.written.get()
            || Instant::now() <= self.latest && self.evacuation.as_ref().is_none_or(Check::allows)
    }

    fn note_written(&self) {
        self.written.set(true);
    }
}
