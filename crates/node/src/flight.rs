//! One request while its shard's leader is responsible for it.

use tarragon_model::time::Instant;

use crate::input::Submission;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits until its key has an owner that may run it.
    Held,
    /// Waits for a slot.
    Queued,
    /// Has a slot; its dispatch is being recorded with a standby.
    Recording,
    /// Was handed to a backend server.
    Sent,
    /// Its answer has begun.
    Responded,
    /// Its connection broke; whether the backend server crashed is being found out.
    Judging,
}

/// Earlier tries of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    /// Whether there were any.
    pub retry: bool,
    /// Whether one of them may have run.
    pub maybe_run: bool,
    /// Whether the backend server is known to have crashed under the present one.
    pub judged: bool,
}

/// A request and its progress.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The request.
    pub submission: Submission,
    /// How far it has come.
    pub phase: Phase,
    /// Backend server whose slot it holds or held last.
    pub backend: u16,
    /// When it was handed over.
    pub sent: Instant,
    /// Whether its dispatch was recorded.
    pub recorded: bool,
    /// Earlier tries.
    pub history: History,
    /// Whether its caller went away.
    pub cancelled: bool,
}

impl Flight {
    /// Starts to answer for a request.
    #[must_use]
    pub fn new(submission: Submission) -> Self {
        Self {
            submission,
            phase: Phase::Held,
            backend: crate::state::NOBODY,
            sent: Instant::ZERO,
            recorded: false,
            history: History::default(),
            cancelled: false,
        }
    }

    /// Tells whether the backend server may be working on the request.
    #[must_use]
    pub fn is_out(&self) -> bool {
        matches!(self.phase, Phase::Sent | Phase::Responded)
    }
}
