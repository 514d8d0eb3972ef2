//! Replication and lease state that a leader keeps for each standby.

use tarragon_model::host::Peer;
use tarragon_model::time::Instant;

use crate::log::Log;
use crate::message::Message;
use crate::state::{Replica, State};
use crate::timing::{
    ENTRIES_RESEND_TIMEOUT, LEASE_DURATION, SILENCE_TIMEOUT, SNAPSHOT_RESEND_TIMEOUT,
};

/// Number of unacknowledged entries at which further entries wait, to be sent in one batch.
const MAX_UNACKED: u64 = 64;

/// Whether a standby still follows the term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// It follows the term, as far as the leader knows.
    Following,
    /// It follows the term and has sealed.
    Sealed,
    /// It has refused the term.
    Refused,
}

/// Leader's view of one standby.
#[derive(Clone, Debug)]
pub(crate) struct Follower {
    pub peer: Peer,
    /// Index of the last entry that the standby holds; absent until it has the snapshot.
    pub acked: Option<u64>,
    /// Index of the last entry sent.
    sent: u64,
    resend_at: Instant,
    /// When the latest renewal that the standby confirmed was sent.
    pub renewal_sent_at: Option<Instant>,
    /// When the standby last responded.
    pub responded_at: Instant,
    pub status: Status,
    /// Earliest time at which the standby may be reported as suspect again.
    pub next_report_at: Instant,
}

impl Follower {
    pub fn new(peer: Peer, now: Instant) -> Self {
        Self {
            peer,
            acked: None,
            sent: 0,
            resend_at: now,
            renewal_sent_at: None,
            responded_at: now,
            status: Status::Following,
            next_report_at: Instant::ZERO,
        }
    }

    /// Records a response, which also shows that the standby follows the term again.
    pub fn record_response(&mut self, now: Instant) {
        self.responded_at = now;
        if self.status == Status::Refused {
            self.status = Status::Following;
        }
    }

    pub fn is_silent(&self, now: Instant) -> bool {
        now >= self.responded_at + SILENCE_TIMEOUT
    }

    pub fn lease_until(&self) -> Instant {
        self.renewal_sent_at
            .map_or(Instant::ZERO, |sent| sent + LEASE_DURATION)
    }

    /// Records that the standby holds the entries up to `index`.
    pub fn on_appended(&mut self, index: u64) {
        self.acked = self.acked.max(Some(index));
    }

    /// Records that the standby lacks the snapshot.
    pub fn on_missing(&mut self, now: Instant) {
        self.acked = None;
        self.resend_at = now;
    }

    /// Returns the snapshot or the entries to send to the standby next, if any.
    ///
    /// `flush` sends all unsent entries, however many are unacknowledged.
    pub fn replicate<S: State>(
        &mut self,
        now: Instant,
        replica: &Replica<S>,
        log: &Log<S::Entry>,
        flush: bool,
    ) -> Option<Message<S>> {
        if self.status == Status::Refused {
            return None;
        }
        let due = now >= self.resend_at;
        let Some(acked) = self.acked else {
            return due.then(|| self.snapshot(now, replica));
        };
        let from = if due { acked } else { self.sent.max(acked) };
        if from >= replica.index || (!flush && from - acked >= MAX_UNACKED) {
            return None;
        }
        let Some(entries) = log.entries_after(from) else {
            return due.then(|| self.snapshot(now, replica));
        };
        self.sent = replica.index;
        self.resend_at = now + ENTRIES_RESEND_TIMEOUT;
        Some(Message::Append {
            fence: replica.term,
            from,
            entries,
        })
    }

    fn snapshot<S: State>(&mut self, now: Instant, replica: &Replica<S>) -> Message<S> {
        self.sent = replica.index;
        self.resend_at = now + SNAPSHOT_RESEND_TIMEOUT;
        Message::Snapshot {
            replica: replica.clone(),
        }
    }
}
