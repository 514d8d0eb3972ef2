//! Tracks when the grants that one granter sent expire.

use tarragon_model::time::Instant;

use crate::granter::Timing;

/// Grants that one granter issued for the keys of one holder, as far as they determine when the
/// last one expires.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentGrants {
    /// When the latest grant became due.
    latest_due: Option<Instant>,
    /// Latest arrival among the grants whose latest time of arrival is known.
    latest_arrival: Option<Instant>,
    /// Due times of the grants whose outcome is not known yet.
    unconfirmed: Vec<Instant>,
}

impl SentGrants {
    /// Records that a grant is due now.
    pub(crate) fn record_due(&mut self, now: Instant, timing: &Timing) {
        // A grant whose outcome was never reported has arrived by now or never will.
        while let Some(first) = self.unconfirmed.first().copied()
            && now.since(first) > timing.max_exchange()
        {
            self.unconfirmed.remove(0);
            self.extend(first + timing.max_exchange());
        }
        self.latest_due = Some(now);
        self.unconfirmed.push(now);
    }

    /// Records a time by which the grant due at `due_at` had arrived, or never will; `None` if it was
    /// not sent.
    pub(crate) fn record_sent(&mut self, due_at: Instant, arrived_at: Option<Instant>) {
        let Some(index) = self.unconfirmed.iter().position(|due| *due == due_at) else {
            return;
        };
        self.unconfirmed.remove(index);
        if let Some(arrived_at) = arrived_at {
            self.extend(arrived_at);
        }
    }

    /// Adds the grants of other keys.
    pub(crate) fn join(&mut self, other: Self) {
        self.latest_due = self.latest_due.max(other.latest_due);
        self.latest_arrival = self.latest_arrival.max(other.latest_arrival);
        self.unconfirmed.extend(other.unconfirmed);
        self.unconfirmed.sort_unstable();
    }

    /// Returns whether a grant that is due may still be sent.
    pub(crate) fn may_be_sent(&self, now: Instant, timing: &Timing) -> bool {
        let last = self.unconfirmed.last();
        last.is_some_and(|due| now.since(*due) <= timing.max_send_delay)
    }

    /// Returns the time by which all of the grants have expired.
    pub(crate) fn latest_expiry(&self, timing: &Timing) -> Instant {
        let unconfirmed = self.unconfirmed.last();
        let unconfirmed = unconfirmed.map(|due| *due + timing.max_exchange());
        let arrival = self.latest_arrival.max(unconfirmed);
        arrival.map_or(Instant::ZERO, |at| at + timing.max_hold())
    }

    /// Returns when the latest grant became due.
    pub(crate) fn latest_due(&self) -> Option<Instant> {
        self.latest_due
    }

    /// Returns the latest arrival among the grants whose outcome is known.
    pub(crate) fn latest_arrival(&self) -> Option<Instant> {
        self.latest_arrival
    }

    /// Returns the number of grants whose outcome is not known yet.
    pub(crate) fn unconfirmed(&self) -> usize {
        self.unconfirmed.len()
    }

    fn extend(&mut self, arrived_at: Instant) {
        self.latest_arrival = self.latest_arrival.max(Some(arrived_at));
    }
}
