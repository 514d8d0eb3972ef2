//! Lease renewals that have been sent and may still be confirmed.

use std::collections::VecDeque;

use tarragon_model::time::Instant;

use crate::timing::LEASE_DURATION;

/// Renewal that has been sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    seq: u64,
    at: Instant,
}

/// Assigns sequence numbers to renewals and records when each was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Renewals {
    seq: u64,
    sent: VecDeque<Sent>,
}

impl Renewals {
    /// Returns the sequence number for a renewal that is sent at `now`.
    pub fn next(&mut self, now: Instant) -> u64 {
        while self
            .sent
            .front()
            .is_some_and(|sent| sent.at + LEASE_DURATION <= now)
        {
            self.sent.pop_front();
        }
        self.seq += 1;
        self.sent.push_back(Sent {
            seq: self.seq,
            at: now,
        });
        self.seq
    }

    /// Returns when a renewal was sent, or `None` if a lease counted from then has expired.
    pub fn sent_at(&self, seq: u64) -> Option<Instant> {
        self.sent
            .iter()
            .find(|sent| sent.seq == seq)
            .map(|sent| sent.at)
    }
}
