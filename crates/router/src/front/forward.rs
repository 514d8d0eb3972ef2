//! Forwards a request to the process that leads its shard.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderName};
use tarragon_model::outcome::{OUTCOME_HEADER, Outcome, REASON_HEADER, Reason};
use tarragon_node::input::Ending;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use volo_http::response::Response;

use crate::backend::{Call, Client, classify_error, header_text, header_value};
use crate::front::parse::{DEADLINE_HEADER, ParsedRequest};
use crate::front::relay;
use crate::front::response::{CallerResponse, Content};
use crate::front::{FLEET_HEADER, HOP_HEADER, encode_hex};
use crate::peer::auth;
use crate::shared::Shared;

/// Time to wait for the leader's response after the request's deadline.
const GRACE: Duration = Duration::from_millis(500);
/// Hop-by-hop header fields that are removed from responses.
const HOP_BY_HOP: [&str; 5] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "trailer",
    "upgrade",
];

/// Result of forwarding a request.
pub enum Forwarded {
    /// The leader responded.
    Responded(CallerResponse),
    /// Nothing reached the leader.
    NotSent,
    /// The request may have reached the leader, but no response came.
    Broken,
}

/// Forwards a request to the leader with the forward address `addr`.
pub async fn send(
    shared: &Shared,
    client: &Client,
    request: &ParsedRequest,
    addr: SocketAddr,
) -> Forwarded {
    let headers = headers(shared, request);
    let call = Call {
        addr: shared.dial_addr(addr),
        method: &request.method,
        path: &request.path,
        headers: &headers,
        body: request.body.clone(),
    };
    let time_limit = request.deadline.since(shared.clock.monotonic()) + GRACE;
    match timeout(time_limit, client.send(call)).await {
        Ok(Ok(response)) => Forwarded::Responded(caller_response(shared, response)),
        Ok(Err(error)) => match classify_error(&error) {
            Ending::NotConnected { .. } => Forwarded::NotSent,
            _ => Forwarded::Broken,
        },
        Err(_) => Forwarded::Broken,
    }
}

/// Returns the header fields of a response without the hop-by-hop fields.
#[must_use]
pub fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}

fn headers(shared: &Shared, request: &ParsedRequest) -> HeaderMap {
    let remaining_ms = request.deadline.since(shared.clock.monotonic()).as_millis();
    let proof = auth::sign(&shared.fleet_key, &[request.path.as_bytes()]);
    let mut headers = request.headers.clone();
    let mut set = |name: &'static str, text: &str| {
        headers.insert(HeaderName::from_static(name), header_value(text));
    };
    set(HOP_HEADER, shared.me.host.as_str());
    set(FLEET_HEADER, &encode_hex(&proof));
    set(DEADLINE_HEADER, &remaining_ms.to_string());
    headers
}

fn caller_response(shared: &Shared, response: Response) -> CallerResponse {
    let (head, body) = response.into_parts();
    let outcome = header_text(&head.headers, OUTCOME_HEADER).and_then(parse_outcome);
    let reason = header_text(&head.headers, REASON_HEADER).and_then(parse_reason);
    let idle = shared.idle_timeout();
    let chunks = relay::start(body, idle, CancellationToken::new(), |_| {});
    CallerResponse {
        outcome: outcome.unwrap_or(Outcome::Unknown),
        reason,
        status: head.status,
        headers: response_headers(&head.headers),
        body: Content::Stream(chunks),
    }
}

fn parse_outcome(text: &str) -> Option<Outcome> {
    serde_json::from_value(serde_json::Value::from(text)).ok()
}

fn parse_reason(text: &str) -> Option<Reason> {
    serde_json::from_value(serde_json::Value::from(text)).ok()
}
