//! What a caller is told about the fate of its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Name of the header that carries the [`Outcome`] of a request.
pub const OUTCOME_HEADER: &str = "tarragon-outcome";
/// Name of the header that carries the [`Reason`] of a refusal.
pub const REASON_HEADER: &str = "tarragon-reason";

/// Fate of a request, as far as the router can prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran the request and answered.
    Done,
    /// No backend server has run the request, nor will one.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the text that the outcome header carries.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why the router refused a request or could not tell its fate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// No service of that name is configured.
    NoService,
    /// A non-idempotent request carries no usable identifier.
    NoIdentifier,
    /// The identifier was used for another request.
    IdentifierMismatch,
    /// The request was already dispatched and still runs.
    Running,
    /// The request was already run; its answer is not kept.
    AlreadyDone,
    /// The identifier is older than the router's memory.
    #[serde(rename = "beyond-memory")]
    IdentifierExpired,
    /// Too much work waits already.
    Overloaded,
    /// The deadline passed, or would pass before the work could end.
    Deadline,
    /// The router has no leader for the shard of the key.
    NoLeader,
    /// The leader's lease lapsed.
    #[serde(rename = "lease-lapsed")]
    LeaseExpired,
    /// The owner of the key is lost and a new one is not yet safe.
    OwnerLost,
    /// The key is moving to another owner.
    OwnerMoving,
    /// No backend server can take the request.
    NoBackend,
    /// The backend server refused the request before running it.
    Shed,
    /// The backend server refused the leader's fence.
    Fenced,
    /// The request crashed backend servers and is quarantined.
    Quarantined,
    /// The backend server failed while it may have run the request.
    BackendFailed,
    /// The router is shutting down.
    Draining,
    /// The preset in force does not admit this work.
    Preset,
}

impl Reason {
    /// Returns the text that the reason header carries.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::NoService => "no-service",
            Self::NoIdentifier => "no-identifier",
            Self::IdentifierMismatch => "identifier-mismatch",
            Self::Running => "running",
            Self::AlreadyDone => "already-done",
            Self::IdentifierExpired => "beyond-memory",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::NoLeader => "no-leader",
            Self::LeaseExpired => "lease-lapsed",
            Self::OwnerLost => "owner-lost",
            Self::OwnerMoving => "owner-moving",
            Self::NoBackend => "no-backend",
            Self::Shed => "shed",
            Self::Fenced => "fenced",
            Self::Quarantined => "quarantined",
            Self::BackendFailed => "backend-failed",
            Self::Draining => "draining",
            Self::Preset => "preset",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
