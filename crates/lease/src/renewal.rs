//! Renewals that a leader has sent and may still be answered.

use std::collections::VecDeque;

use tarragon_model::time::Instant;

use crate::timing::LEASE_DURATION;

/// One renewal on its way.
#[derive(Clone, Copy, Debug)]
struct Sent {
    seq: u64,
    at: Instant,
}

/// Numbers renewals and remembers when they were sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Renewals {
    seq: u64,
    sent: VecDeque<Sent>,
}

impl Renewals {
    /// Numbers a renewal that is sent now.
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

    /// Returns when a renewal was sent, unless that is too long ago to matter.
    pub fn sent_at(&self, seq: u64) -> Option<Instant> {
        self.sent
            .iter()
            .find(|sent| sent.seq == seq)
            .map(|sent| sent.at)
    }
}
