//! Responses to callers.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tarragon_model::outcome::{OUTCOME_HEADER, Outcome, REASON_HEADER, Reason};
use volo_http::body::Body;
use volo_http::response::Response;

use crate::backend::header_value;
use crate::front::relay;

/// Response header with the HTTP status of the first run of a request that was already run.
pub const STATUS_HEADER: &str = "tarragon-status";

/// Response to a caller, before its conversion into an HTTP response.
pub struct CallerResponse {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for a refusal or an unknown outcome.
    pub reason: Option<Reason>,
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields; outcome and reason are added to them.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Content,
}

/// Body of a response.
pub enum Content {
    /// Body held in memory.
    Whole(Bytes),
    /// Body relayed as it arrives.
    Stream(relay::Chunks),
}

impl CallerResponse {
    /// Returns the refusal of a request that no backend server has run.
    #[must_use]
    pub fn refused(reason: Reason) -> Self {
        Self::without_backend(Outcome::NotRun, reason)
    }

    /// Returns a response that reports an outcome without a backend server's response.
    #[must_use]
    pub fn without_backend(outcome: Outcome, reason: Reason) -> Self {
        let text = format!("outcome={outcome} reason={reason}\n");
        Self {
            outcome,
            reason: Some(reason),
            status: status(reason),
            headers: HeaderMap::new(),
            body: Content::Whole(Bytes::from(text)),
        }
    }

    /// Returns whether the request did not run and may still succeed at another leader.
    #[must_use]
    pub fn is_misrouted(&self) -> bool {
        let elsewhere = matches!(
            self.reason,
            Some(Reason::NoLeader | Reason::LeaseExpired | Reason::Draining)
        );
        elsewhere && self.outcome == Outcome::NotRun
    }

    /// Builds the HTTP response; a streamed body holds `guard` until it is fully relayed.
    #[must_use]
    pub fn into_response(self, guard: relay::RequestGuard) -> Response {
        let body = match self.body {
            Content::Whole(bytes) => Body::from(bytes),
            Content::Stream(chunks) => chunks.into_body(guard),
        };
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, header_value(self.outcome.as_str()));
        if let Some(reason) = self.reason {
            headers.insert(REASON_HEADER, header_value(reason.as_str()));
        }
        response
    }
}

/// Returns the HTTP status that reports a reason.
#[must_use]
pub fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest | Reason::IdentifierMismatch => StatusCode::BAD_REQUEST,
        Reason::NoService => StatusCode::NOT_FOUND,
        Reason::Running | Reason::AlreadyDone => StatusCode::CONFLICT,
        Reason::NoIdentifier => StatusCode::PRECONDITION_REQUIRED,
        Reason::Overloaded | Reason::Preset | Reason::Shed => StatusCode::TOO_MANY_REQUESTS,
        Reason::BackendFailed => StatusCode::BAD_GATEWAY,
        Reason::NoLeader
        | Reason::LeaseExpired
        | Reason::OwnerLost
        | Reason::OwnerMoving
        | Reason::NoBackend
        | Reason::Fenced
        | Reason::Draining => StatusCode::SERVICE_UNAVAILABLE,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::Quarantined => StatusCode::LOOP_DETECTED,
        Reason::IdentifierExpired => StatusCode::GONE,
    }
}
