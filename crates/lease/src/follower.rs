//! What a leader knows of one of its standbys.

use tarragon_model::host::Peer;
use tarragon_model::time::Instant;

use crate::log::Log;
use crate::message::Message;
use crate::state::{Replica, State};
use crate::timing::{
    ENTRIES_RESEND_TIMEOUT, LEASE_DURATION, SILENCE_TIMEOUT, SNAPSHOT_RESEND_TIMEOUT,
};

/// Entries that may be unacknowledged before further ones wait for the next batch.
const WINDOW: u64 = 64;

/// Whether a standby still takes part in the reign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It follows, as far as is known.
    Follows,
    /// It has sealed and follows.
    Sealed,
    /// It has refused the reign.
    Refused,
}

/// A standby as its leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct Follower {
    pub peer: Peer,
    /// Number of entries that the standby holds; absent before it has the snapshot.
    pub acked: Option<u64>,
    /// Number of entries sent.
    sent: u64,
    resend_at: Instant,
    /// When the latest renewal that was answered was sent.
    pub renewed: Option<Instant>,
    /// When the standby last answered.
    pub heard: Instant,
    pub standing: Standing,
    /// When the standby may be reported as suspect again.
    pub report_at: Instant,
}

impl Follower {
    pub fn new(peer: Peer, now: Instant) -> Self {
        Self {
            peer,
            acked: None,
            sent: 0,
            resend_at: now,
            renewed: None,
            heard: now,
            standing: Standing::Follows,
            report_at: Instant::ZERO,
        }
    }

    /// Notes an answer.
    pub fn hear(&mut self, now: Instant) {
        self.heard = now;
        if self.standing == Standing::Refused {
            self.standing = Standing::Follows;
        }
    }

    pub fn is_silent(&self, now: Instant) -> bool {
        now >= self.heard + SILENCE_TIMEOUT
    }

    pub fn lease_until(&self) -> Instant {
        self.renewed
            .map_or(Instant::ZERO, |sent| sent + LEASE_DURATION)
    }

    /// Notes that the standby holds `index` entries.
    pub fn on_appended(&mut self, index: u64) {
        self.acked = self.acked.max(Some(index));
    }

    /// Notes that the standby lacks the snapshot.
    pub fn on_missing(&mut self, now: Instant) {
        self.acked = None;
        self.resend_at = now;
    }

    /// Returns the state or the entries that the standby needs next.
    ///
    /// `flush` sends what has not been sent, however much is unacknowledged.
    pub fn replicate<S: State>(
        &mut self,
        now: Instant,
        replica: &Replica<S>,
        log: &Log<S::Entry>,
        flush: bool,
    ) -> Option<Message<S>> {
        if self.standing == Standing::Refused {
            return None;
        }
        let due = now >= self.resend_at;
        let Some(acked) = self.acked else {
            return due.then(|| self.snapshot(now, replica));
        };
        let from = if due { acked } else { self.sent.max(acked) };
        if from >= replica.index || (!flush && from - acked >= WINDOW) {
            return None;
        }
        let Some(entries) = log.since(from) else {
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
