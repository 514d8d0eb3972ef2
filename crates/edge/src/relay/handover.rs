//! Time between the hand-over of a request to its connection and the write.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tarragon_dispatch::fleet::warmup::Slot;
use tarragon_dispatch::fleet::{Fleet, Pick};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::evacuation::Check;
use crate::pool::Permit;
use crate::state::State;

/// Maximum time from the hand-over of a request to its first write. The deadline that the backend
/// server is told, and the choice of the server, are as old as that.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(250);

/// Permits a request to be written soon after its hand-over and before its deadline, unless the zone
/// of its backend server has been evacuated meanwhile, and to a cold server only under this host's
/// share.
pub(super) struct Handover {
    latest: Instant,
    evacuation: Option<Check>,
    written: Cell<bool>,
    withheld: Cell<bool>,
    pick: Pick,
    slot: Cell<Slot>,
    fleet: Rc<RefCell<Fleet>>,
    clock: Clock,
}

impl Handover {
    /// Begins the hand-over of a request with a deadline; `None` if the server is cold and this host
    /// may not send to it now.
    pub(super) fn new(state: &State, pick: &Pick, deadline: Instant) -> Option<Self> {
        let Some(slot) = state.fleet.borrow_mut().reserve(pick, state.now()) else {
            state.metrics.count_cold_send("withheld");
            return None;
        };
        if matches!(slot, Slot::Counted(_)) {
            state.metrics.count_cold_send("sent");
        }
        Some(Self {
            latest: deadline.min(Instant::now() + MAX_WRITE_DELAY),
            evacuation: Check::new(state, pick),
            written: Cell::new(false),
            withheld: Cell::new(false),
            pick: pick.clone(),
            slot: Cell::new(slot),
            fleet: Rc::clone(&state.fleet),
            clock: state.clock,
        })
    }

    /// Returns whether any bytes were written.
    pub(super) fn is_written(&self) -> bool {
        self.written.get()
    }

    /// Returns whether the request was not written because that was not, or is no longer, permitted.
    pub(super) fn is_withheld(&self) -> bool {
        self.withheld.get() || !self.written.get() && self.is_late()
    }

    fn is_late(&self) -> bool {
        Instant::now() > self.latest
    }

    /// Counts the request at the present time, as the first of it is about to be written.
    fn confirm(&self) -> bool {
        let mut slot = self.slot.get();
        let now = self.clock.now();
        let confirmed = self.fleet.borrow_mut().confirm(&self.pick, &mut slot, now);
        self.slot.set(slot);
        confirmed
    }
}

impl Permit for Handover {
    fn allows(&self) -> bool {
        let allows = self.written.get()
            || !self.is_late()
                && self.evacuation.as_ref().is_none_or(Check::allows)
                && self.confirm();
        self.withheld.set(!allows);
        allows
    }

    fn note_written(&self) {
        self.written.set(true);
    }
}
