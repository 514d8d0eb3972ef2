//! Outcome of a request, as reported to its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Response header that carries the [`Outcome`] of a request.
pub const OUTCOME_HEADER: &str = "tarragon-outcome";
/// Response header that carries the [`Reason`] for a refusal or an unknown outcome.
pub const REASON_HEADER: &str = "tarragon-reason";

/// Outcome of a request, as far as the router can prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran the request and sent a response.
    Done,
    /// No backend server has run the request, and none will.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
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

/// Why the router refused a request or cannot tell its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// No service of that name is configured.
    NoService,
    /// A non-idempotent request carries no valid identifier.
    NoIdentifier,
    /// The identifier was already used for a different request.
    IdentifierMismatch,
    /// The request was already dispatched and is still running.
    Running,
    /// The request was already run; its response is not kept.
    AlreadyDone,
    /// The identifier is older than the retention of the router's ledger.
    #[serde(rename = "beyond-memory")]
    IdentifierExpired,
    /// Too many requests are already waiting.
    Overloaded,
    /// The deadline passed, or would pass before the request could complete.
    Deadline,
    /// No leader is known for the shard of the key.
    NoLeader,
    /// The leader's lease expired.
    #[serde(rename = "lease-lapsed")]
    LeaseExpired,
    /// The owner of the key is lost, and assigning a new one is not safe yet.
    OwnerLost,
    /// The key is moving to another owner.
    OwnerMoving,
    /// No backend server can take the request.
    NoBackend,
    /// The backend server rejected the request before running it.
    Shed,
    /// The backend server rejected the leader's fence.
    Fenced,
    /// The request has crashed backend servers and is quarantined.
    Quarantined,
    /// The backend server failed after it may have run the request.
    BackendFailed,
    /// The router is shutting down.
    Draining,
    /// The active preset does not admit the request.
    Preset,
}

impl Reason {
    /// Returns the value of the reason header.
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
