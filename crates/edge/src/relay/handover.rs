//! Time between the hand-over of a request to its connection and the write.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::pool::Permit;

/// Maximum time from the hand-over of a request to its first write. The deadline that the backend
/// server is told, and the choice of the server, are as old as that.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(250);

/// Permits a request to be written soon after its hand-over and before its deadline.
pub(super) struct Handover {
    latest: Instant,
    written: Cell<bool>,
}

impl Handover {
    /// Begins the hand-over of a request with a deadline.
    pub(super) fn new(deadline: Instant) -> Self {
        Self {
            latest: deadline.min(Instant::now() + MAX_WRITE_DELAY),
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
        self.written.get() || Instant::now() <= self.latest
    }

    fn note_written(&self) {
        self.written.set(true);
    }
}
