//! Forwarding a request to the process that leads its shard.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderName};
use tarragon_model::outcome::{OUTCOME_HEADER, Outcome, REASON_HEADER, Reason};
use tarragon_node::input::Ending;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use volo_http::response::Response;

use crate::backend::{Call, Client, ending, text, value};
use crate::front::parse::{DEADLINE_HEADER, Task};
use crate::front::relay;
use crate::front::reply::{Answer, Content};
use crate::front::{FLEET_HEADER, HOP_HEADER, encode_hex};
use crate::peer::auth;
use crate::shared::Shared;

/// Time that the leader may take beyond a request's deadline.
const GRACE: Duration = Duration::from_millis(500);
/// Header fields of an answer that belong to one connection and are not passed on.
const HOP_BY_HOP: [&str; 5] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "trailer",
    "upgrade",
];

/// Result of forwarding a request.
pub enum Forwarded {
    /// The leader answered.
    Answered(Answer),
    /// Nothing reached the leader.
    NotSent,
    /// The request may have reached the leader, which did not answer.
    Broken,
}

/// Forwards a request to the leader behind `addr`.
pub async fn send(shared: &Shared, client: &Client, task: &Task, addr: SocketAddr) -> Forwarded {
    let headers = headers(shared, task);
    let call = Call {
        addr: shared.dialled(addr),
        method: &task.method,
        path: &task.path,
        headers: &headers,
        body: task.body.clone(),
    };
    let patience = task.deadline.since(shared.clock.at()) + GRACE;
    match timeout(patience, client.send(call)).await {
        Ok(Ok(response)) => Forwarded::Answered(answer(shared, response)),
        Ok(Err(error)) => match ending(&error) {
            Ending::NotConnected { .. } => Forwarded::NotSent,
            _ => Forwarded::Broken,
        },
        Err(_) => Forwarded::Broken,
    }
}

/// Leaves out the header fields that belong to one connection.
#[must_use]
pub fn passed_back(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}

fn headers(shared: &Shared, task: &Task) -> HeaderMap {
    let left = task.deadline.since(shared.clock.at()).as_millis();
    let proof = auth::sign(&shared.fleet_key, &[task.path.as_bytes()]);
    let mut headers = task.headers.clone();
    let mut set = |name: &'static str, text: &str| {
        headers.insert(HeaderName::from_static(name), value(text));
    };
    set(HOP_HEADER, shared.me.host.as_str());
    set(FLEET_HEADER, &encode_hex(&proof));
    set(DEADLINE_HEADER, &left.to_string());
    headers
}

fn answer(shared: &Shared, response: Response) -> Answer {
    let (head, body) = response.into_parts();
    let outcome = text(&head.headers, OUTCOME_HEADER).and_then(parse_outcome);
    let reason = text(&head.headers, REASON_HEADER).and_then(parse_reason);
    let idle = shared.patience();
    let chunks = relay::start(body, idle, CancellationToken::new(), |_| {});
    Answer {
        outcome: outcome.unwrap_or(Outcome::Unknown),
        reason,
        status: head.status,
        headers: passed_back(&head.headers),
        body: Content::Stream(chunks),
    }
}

fn parse_outcome(text: &str) -> Option<Outcome> {
    serde_json::from_value(serde_json::Value::from(text)).ok()
}

fn parse_reason(text: &str) -> Option<Reason> {
    serde_json::from_value(serde_json::Value::from(text)).ok()
}
