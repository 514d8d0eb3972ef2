//! Failures that the router reports itself.

use std::time::Duration;

use http::StatusCode;

/// Default `Retry-After` of a request that was not run.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Reason of a failure because the process ends.
pub const STOPPING: &str = "the host stops";

/// Failure that the router reports itself, without a response to forward.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
}

impl Failure {
    /// Returns a failure that promises nothing about whether the request ran, unless the status
    /// does.
    #[must_use]
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Returns a refusal which guarantees that the request has not run and will not run.
    #[must_use]
    pub const fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }
}

impl Failure {
    /// Returns the status of the response.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the reason, for the log and the body of the response.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        self.reason
    }

    /// Returns the time after which the caller may send the request again.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns the outcome for the log and the metrics.
    #[must_use]
    pub fn outcome(&self) -> &'static str {
        match self.status {
            StatusCode::SERVICE_UNAVAILABLE => "not-run",
            status if status.is_client_error() => "refused",
            _ => "unknown",
        }
    }
}
