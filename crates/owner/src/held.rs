//! Until when grants that were ordered may hold.

use tarragon_model::time::Instant;

use crate::granter::Timing;

/// What one granter ordered for some keys of one holder, as far as it may still hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    /// Latest end of the grants of which it is known when they left.
    settled: Option<Instant>,
    /// When the grants were due of which that is not known yet.
    open: Vec<Instant>,
}

impl Held {
    /// Notes that a grant is due now.
    pub(crate) fn due(&mut self, now: Instant, timing: &Timing) {
        // A grant whose end was never told has left by now, or never does.
        while let Some(first) = self.open.first().copied()
            && now.since(first) > timing.max_send_delay
        {
            self.open.remove(0);
            self.settle(first + timing.max_send_delay, timing);
        }
        self.open.push(now);
    }

    /// Notes by when the grant that was due at `due` had left; `None` if it did not.
    pub(crate) fn left(&mut self, due: Instant, left: Option<Instant>, timing: &Timing) {
        let Some(place) = self.open.iter().position(|open| *open == due) else {
            return;
        };
        self.open.remove(place);
        if let Some(left) = left {
            self.settle(left, timing);
        }
    }

    /// Tells whether a grant that was due may still leave.
    pub(crate) fn may_leave(&self, now: Instant, timing: &Timing) -> bool {
        let last = self.open.last();
        last.is_some_and(|due| now.since(*due) <= timing.max_send_delay)
    }

    /// Returns until when any of the grants may hold.
    pub(crate) fn until(&self, timing: &Timing) -> Instant {
        let open = self.open.last();
        let open = open
            .map(|due| *due + timing.max_send_delay + timing.grant_duration + timing.clock_margin);
        self.settled.max(open).unwrap_or(Instant::ZERO)
    }

    fn settle(&mut self, left: Instant, timing: &Timing) {
        let end = left + timing.grant_duration + timing.clock_margin;
        self.settled = self.settled.max(Some(end));
    }
}
