//! One attempt of a caller at one host, checked down to the last byte.

use std::time::Duration;

use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use tarragon_model::outcome::{OUTCOME_HEADER, Outcome, REASON_HEADER, Reason};
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

use super::balancer::Target;
use super::body::Check;
use crate::clock;
use crate::trace::{Attempt, Ending};

/// Header that names the attempt; the answer repeats it.
const REQUEST_HEADER: &str = "tarragon-request";
/// Header with the time that the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "tarragon-deadline-ms";
/// Header with the caller's identifier of a non-idempotent request.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Time beyond the deadline after which the caller gives up.
const PATIENCE: Duration = Duration::from_millis(300);

/// What a caller wants.
#[derive(Clone, Debug)]
pub struct Request {
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Service.
    pub service: String,
    /// Key.
    pub key: String,
    /// Path behind the key, and query.
    pub path_and_query: String,
    /// Size of the right answer's body.
    pub bytes: u64,
    /// Deadline.
    pub deadline: Duration,
    /// Identifier of a non-idempotent request.
    pub idempotency_key: Option<String>,
}

/// Tells whether the attempt reached its aim.
#[must_use]
pub fn is_served(attempt: &Attempt) -> bool {
    attempt.ending == Ending::Answered(Outcome::Done)
}

/// Sends a request to a host under a request identifier and checks the answer.
pub async fn send(
    client: &Client,
    target: &Target,
    request: &Request,
    request_id: String,
) -> Attempt {
    let start_us = clock::now_us();
    let limit = request.deadline + PATIENCE;
    let exchange = exchange(client, target, request, &request_id);
    let verdict = tokio::time::timeout(limit, exchange).await;
    let verdict = verdict.unwrap_or_else(|_| Verdict::new(0, Ending::TimedOut, "timeout"));
    Attempt {
        request: request_id,
        service: request.service.clone(),
        key: request.key.clone(),
        host: target.id.clone(),
        start_us,
        end_us: clock::now_us(),
        status: verdict.status,
        ending: verdict.ending,
        reason: verdict.reason,
    }
}

struct Verdict {
    status: u16,
    ending: Ending,
    reason: String,
}

impl Verdict {
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
) -> Verdict {
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
        Ok(response) => read(response, request, request_id).await,
        Err(error) if is_refused(&error) => Verdict::new(0, Ending::Unsent, "refused"),
        Err(error) => Verdict::new(0, Ending::Cut, error.to_string()),
    }
}

/// Tells whether the system refused the connection, so that nothing was sent.
fn is_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let io = error.downcast_ref::<std::io::Error>();
    let refused = io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused);
    refused || error.source().is_some_and(is_refused)
}

async fn read(response: Response, request: &Request, request_id: &str) -> Verdict {
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let outcome = outcome(&headers);
    let reason = text(&headers, REASON_HEADER).to_owned();
    let is_success = response.status().is_success();
    let mut body = response.into_body();
    let mut check = Check::new(request_id);
    let mut right = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let piece = frame.data_ref();
                right &= !is_success || piece.is_none_or(|piece| check.take(piece));
            }
            Err(error) => return Verdict::new(status, Ending::Cut, error.to_string()),
        }
    }
    if is_success {
        return whole(
            status,
            outcome,
            &headers,
            request,
            request_id,
            right.then_some(check.received()),
        );
    }
    let ending = outcome.map_or(Ending::Unmarked, Ending::Answered);
    if ending == Ending::Answered(Outcome::Done) && reason != Reason::AlreadyDone.as_str() {
        return Verdict::new(status, Ending::Wrong, format!("done with status {status}"));
    }
    Verdict::new(status, ending, reason)
}

/// Judges an answer of a success status; `received` is `None` when a byte was wrong.
fn whole(
    status: u16,
    outcome: Option<Outcome>,
    headers: &HeaderMap,
    request: &Request,
    request_id: &str,
    received: Option<u64>,
) -> Verdict {
    let answered = text(headers, REQUEST_HEADER);
    let wrong = |what: String| Verdict::new(status, Ending::Wrong, what);
    if answered != request_id {
        return wrong(format!("answer is for request {answered}"));
    }
    match received {
        None => wrong("wrong byte".to_owned()),
        Some(count) if count != request.bytes => {
            wrong(format!("{count} bytes instead of {}", request.bytes))
        }
        Some(_) if outcome != Some(Outcome::Done) => wrong(format!("outcome is {outcome:?}")),
        Some(_) => Verdict::new(status, Ending::Answered(Outcome::Done), ""),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn outcome(headers: &HeaderMap) -> Option<Outcome> {
    let all = [Outcome::Done, Outcome::NotRun, Outcome::Unknown];
    let found = text(headers, OUTCOME_HEADER);
    all.into_iter().find(|outcome| outcome.as_str() == found)
}
