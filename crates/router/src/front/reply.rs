//! Answers to callers.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tarragon_model::outcome::{OUTCOME_HEADER, Outcome, REASON_HEADER, Reason};
use volo_http::body::Body;
use volo_http::response::Response;

use crate::backend::value;
use crate::front::relay;

/// Header with the status of the first run of a request that was already done.
pub const STATUS_HEADER: &str = "tarragon-status";

/// An answer before it is passed to the caller.
pub struct Answer {
    /// The request's fate.
    pub outcome: Outcome,
    /// Why the request was refused, if it was.
    pub reason: Option<Reason>,
    /// Status of the answer.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Content,
}

/// Body of an answer.
pub enum Content {
    /// A short body.
    Whole(Bytes),
    /// A body that is passed on as it comes.
    Stream(relay::Chunks),
}

impl Answer {
    /// Refuses a request that no backend server has run.
    #[must_use]
    pub fn refuse(reason: Reason) -> Self {
        Self::told(Outcome::NotRun, reason)
    }

    /// Answers a request whose fate is told without a backend server's answer.
    #[must_use]
    pub fn told(outcome: Outcome, reason: Reason) -> Self {
        let text = format!("outcome={outcome} reason={reason}\n");
        Self {
            outcome,
            reason: Some(reason),
            status: status(reason),
            headers: HeaderMap::new(),
            body: Content::Whole(Bytes::from(text)),
        }
    }

    /// Tells whether another try elsewhere may still serve the request.
    #[must_use]
    pub fn is_misrouted(&self) -> bool {
        let elsewhere = matches!(
            self.reason,
            Some(Reason::NoLeader | Reason::LeaseExpired | Reason::Draining)
        );
        elsewhere && self.outcome == Outcome::NotRun
    }

    /// Builds the HTTP answer; the request counts as in flight until its body was passed on.
    #[must_use]
    pub fn into_response(self, guard: relay::Guard) -> Response {
        let body = match self.body {
            Content::Whole(bytes) => Body::from(bytes),
            Content::Stream(chunks) => chunks.into_body(guard),
        };
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, value(self.outcome.as_str()));
        if let Some(reason) = self.reason {
            headers.insert(REASON_HEADER, value(reason.as_str()));
        }
        response
    }
}

/// Returns the status with which a reason is reported.
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
