//! Sends one attempt of a request to a host and verifies the whole response.

use std::time::Duration;

use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use tarragon_model::outcome::{OUTCOME_HEADER, Outcome, REASON_HEADER, Reason};
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

use super::balancer::Target;
use super::body;
use crate::clock;
use crate::trace::{Attempt, Ending};

/// Header with the request identifier, unique to the attempt; the response echoes it.
const REQUEST_HEADER: &str = "tarragon-request";
/// Header with the caller's deadline, in milliseconds from the start of the attempt.
const DEADLINE_HEADER: &str = "tarragon-deadline-ms";
/// Header with the caller's idempotency key of a non-idempotent request.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Time after the deadline at which the caller abandons the attempt.
const DEADLINE_GRACE: Duration = Duration::from_millis(300);

/// Request of a caller, which may take several attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// Whether the request may run more than once; sent as GET if so, as POST if not.
    pub idempotent: bool,
    /// Name of the addressed service.
    pub service: String,
    /// Key within the service.
    pub key: String,
    /// Path after the key, with the query.
    pub path_and_query: String,
    /// Expected size of the response body, in bytes.
    pub bytes: u64,
    /// Deadline of each attempt, relative to its start; it also limits the retries of idempotent
    /// requests, relative to the first attempt.
    pub deadline: Duration,
    /// Idempotency key of a non-idempotent request.
    pub idempotency_key: Option<String>,
}

/// Returns whether the attempt ended with the outcome `Done`.
#[must_use]
pub fn is_served(attempt: &Attempt) -> bool {
    attempt.ending == Ending::Answered(Outcome::Done)
}

/// Sends a request to a host under a request identifier and checks the response.
pub async fn send(
    client: &Client,
    target: &Target,
    request: &Request,
    request_id: String,
) -> Attempt {
    let start_us = clock::now_us();
    let limit = request.deadline + DEADLINE_GRACE;
    let exchange = exchange(client, target, request, &request_id);
    let completion = tokio::time::timeout(limit, exchange).await;
    let completion = completion.unwrap_or_else(|_| Completion::new(0, Ending::TimedOut, "timeout"));
    Attempt {
        request: request_id,
        service: request.service.clone(),
        key: request.key.clone(),
        host: target.id.clone(),
        start_us,
        end_us: clock::now_us(),
        status: completion.status,
        ending: completion.ending,
        reason: completion.reason,
    }
}

/// Status, ending and reason of an attempt; status 0 when there was no response.
struct Completion {
    status: u16,
    ending: Ending,
    reason: String,
}

impl Completion {
    fn new(status: u16, ending: Ending, reason: impl Into<String>) -> Self {
        Self {
            status,
            ending,
            reason: reason.into(),
        }
    }
}

async fn exchange(
    client: &Client,
    target: &Target,
    request: &Request,
    request_id: &str,
) -> Completion {
    let uri = format!(
        "http://{}/{}/{}/{}",
        target.caller_addr, request.service, request.key, request.path_and_query
    );
    let method = if request.idempotent {
        Method::GET
    } else {
        Method::POST
    };
    let mut builder = client
        .request(method, uri)
        .header(REQUEST_HEADER, request_id)
        .header(DEADLINE_HEADER, request.deadline.as_millis().to_string());
    if let Some(idempotency_key) = &request.idempotency_key {
        builder = builder.header(IDEMPOTENCY_HEADER, idempotency_key.as_str());
    }
    match builder.send::<Body>().await {
        Ok(response) => read_response(response, request, request_id).await,
        Err(error) if is_connection_refused(&error) => {
            Completion::new(0, Ending::Unsent, "refused")
        }
        Err(error) => Completion::new(0, Ending::Cut, error.to_string()),
    }
}

/// Returns whether the connection was refused, so that nothing was sent.
fn is_connection_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let io = error.downcast_ref::<std::io::Error>();
    let refused = io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused);
    refused || error.source().is_some_and(is_connection_refused)
}

async fn read_response(response: Response, request: &Request, request_id: &str) -> Completion {
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let outcome = parse_outcome(&headers);
    let reason = header_text(&headers, REASON_HEADER).to_owned();
    let is_success = response.status().is_success();
    let mut body = response.into_body();
    let mut checker = body::Checker::new(request_id);
    let mut matches = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let piece = frame.data_ref();
                matches &= !is_success || piece.is_none_or(|piece| checker.check(piece));
            }
            Err(error) => return Completion::new(status, Ending::Cut, error.to_string()),
        }
    }
    if is_success {
        return check_success(
            status,
            outcome,
            &headers,
            request,
            request_id,
            matches.then_some(checker.received()),
        );
    }
    let ending = outcome.map_or(Ending::Unmarked, Ending::Answered);
    if ending == Ending::Answered(Outcome::Done) && reason != Reason::AlreadyDone.as_str() {
        return Completion::new(status, Ending::Wrong, format!("done with status {status}"));
    }
    Completion::new(status, ending, reason)
}

/// Checks a response with a success status; `received` is `None` when a byte of the body was wrong.
fn check_success(
    status: u16,
    outcome: Option<Outcome>,
    headers: &HeaderMap,
    request: &Request,
    request_id: &str,
    received: Option<u64>,
) -> Completion {
    let echoed = header_text(headers, REQUEST_HEADER);
    let wrong = |reason: String| Completion::new(status, Ending::Wrong, reason);
    if echoed != request_id {
        return wrong(format!("response is for request {echoed}"));
    }
    match received {
        None => wrong("wrong byte".to_owned()),
        Some(count) if count != request.bytes => {
            wrong(format!("{count} bytes instead of {}", request.bytes))
        }
        Some(_) if outcome != Some(Outcome::Done) => wrong(format!("outcome is {outcome:?}")),
        Some(_) => Completion::new(status, Ending::Answered(Outcome::Done), ""),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn parse_outcome(headers: &HeaderMap) -> Option<Outcome> {
    let all = [Outcome::Done, Outcome::NotRun, Outcome::Unknown];
    let found = header_text(headers, OUTCOME_HEADER);
    all.into_iter().find(|outcome| outcome.as_str() == found)
}
