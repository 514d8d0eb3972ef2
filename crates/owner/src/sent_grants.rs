//! Tracks when the grants that one granter sent expire.

use std::collections::BTreeMap;

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
    /// Due times of the grants whose outcome is not known yet, by the numbers of their commands.
    unconfirmed: BTreeMap<u64, Instant>,
}

impl SentGrants {
    /// Records that the grant with the given number is due now. Its outcome has to be recorded.
    pub(crate) fn record_due(&mut self, number: u64, now: Instant) {
        self.latest_due = Some(now);
        self.unconfirmed.insert(number, now);
    }

    /// Records a time by which a grant had arrived, or never will; `None` if it was not sent.
    /// Returns whether the grant had no outcome before.
    pub(crate) fn record_outcome(&mut self, number: u64, arrived_at: Option<Instant>) -> bool {
        let found = self.unconfirmed.remove(&number).is_some();
        if found && let Some(arrived_at) = arrived_at {
            self.record_arrival(arrived_at);
        }
        found
    }

    /// Records a time by which a grant had arrived.
    pub(crate) fn record_arrival(&mut self, arrived_at: Instant) {
        self.latest_arrival = self.latest_arrival.max(Some(arrived_at));
    }

    /// Takes grants without an outcome for arrived, as [`SeededFault::DropLateOutcome`] does.
    ///
    /// [`SeededFault::DropLateOutcome`]: crate::granter::SeededFault::DropLateOutcome
    pub(crate) fn drop_late_outcomes(&mut self, timing: &Timing, now: Instant) {
        while let Some(first) = self.unconfirmed.first_entry()
            && now.since(*first.get()) > timing.max_exchange()
        {
            let due = first.remove();
            self.record_arrival(due + timing.max_exchange());
        }
    }

    /// Adds the grants of other keys.
    pub(crate) fn join(&mut self, other: Self) {
        self.latest_due = self.latest_due.max(other.latest_due);
        self.latest_arrival = self.latest_arrival.max(other.latest_arrival);
        self.unconfirmed.extend(other.unconfirmed);
    }

    /// Returns whether a grant that is due may still be sent.
    pub(crate) fn may_be_sent(&self, now: Instant, timing: &Timing) -> bool {
        let last = self.unconfirmed.last_key_value();
        last.is_some_and(|(_, due)| now.since(*due) <= timing.max_send_delay)
    }

    /// Returns the time by which all of the grants have expired, or `None` while one of them has no
    /// outcome: a host that is short of processor time may still send it.
    pub(crate) fn latest_expiry(&self, timing: &Timing) -> Option<Instant> {
        if !self.unconfirmed.is_empty() {
            return None;
        }
        let arrival = self.latest_arrival;
        Some(arrival.map_or(Instant::ZERO, |at| at + timing.max_hold()))
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
}
