//! A request that the leader of its shard has accepted and not yet completed.

use tarragon_model::time::Instant;

use crate::input::Submission;

/// Processing phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits until its key has an owner that may run it.
    Held,
    /// Queued in the scheduler for a backend slot.
    Queued,
    /// Holds a slot; its dispatch is being replicated to a standby.
    Recording,
    /// Sent to a backend server; the response has not begun.
    Sent,
    /// The backend server's response has begun.
    Responded,
    /// Its connection broke; the leader is finding out whether the backend server crashed.
    CheckingCrash,
}

/// What is known from earlier attempts of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    /// Whether there was an earlier attempt.
    pub retry: bool,
    /// Whether an earlier attempt may have run.
    pub maybe_run: bool,
    /// Whether the backend server is known to have crashed during the current attempt.
    pub crash_found: bool,
}

/// An accepted request and its processing state.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// The request as it was submitted.
    pub submission: Submission,
    /// Current processing phase.
    pub phase: Phase,
    /// Backend server whose slot it holds or held last, or [`NO_OWNER`](crate::state::NO_OWNER).
    pub backend: u16,
    /// When it was last sent to a backend server.
    pub sent: Instant,
    /// Whether its dispatch is recorded in the ledger.
    pub recorded: bool,
    /// What is known from earlier attempts.
    pub history: History,
    /// Whether its caller disconnected.
    pub cancelled: bool,
}

impl ActiveRequest {
    /// Starts tracking a submitted request.
    #[must_use]
    pub fn new(submission: Submission) -> Self {
        Self {
            submission,
            phase: Phase::Held,
            backend: crate::state::NO_OWNER,
            sent: Instant::ZERO,
            recorded: false,
            history: History::default(),
            cancelled: false,
        }
    }

    /// Returns whether the backend server may be working on the request.
    #[must_use]
    pub fn is_dispatched(&self) -> bool {
        matches!(self.phase, Phase::Sent | Phase::Responded)
    }
}
