//! HTTP API that injects faults into links and reports their byte counts.

use std::sync::Arc;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::fault::{Direction, Request as FaultRequest};
use super::link::{Limiters, Network};
use crate::standin::message;

/// Responds to one request.
pub async fn respond(network: Arc<Network>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/_stats") => message::json(StatusCode::OK, &stats(&network)),
        (&Method::POST, "/_fault") => inject_fault(&network, body).await,
        _ => message::empty(StatusCode::NOT_FOUND),
    }
}

/// Injects a fault into the matching links; responds with a 404 when no link matches.
async fn inject_fault(network: &Network, body: Body) -> Response {
    let request: FaultRequest = match message::read_json(body).await {
        Ok(request) => request,
        Err(status) => return message::empty(status),
    };
    let matched = network.apply(&request);
    log::info!("event=fault links={matched} request=\"{request:?}\"");
    let status = if matched > 0 {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    message::json(status, &json!({ "links": matched }))
}

fn stats(network: &Network) -> Value {
    let links: Vec<Value> = network
        .links
        .iter()
        .map(|link| {
            let mut counts = counts(&link.name, &link.own);
            counts["listen"] = json!(link.listen);
            counts
        })
        .collect();
    let groups: Vec<Value> = network
        .groups
        .iter()
        .map(|(name, limiters)| counts(name, limiters))
        .collect();
    json!({ "links": links, "groups": groups })
}

fn counts(name: &str, limiters: &Limiters) -> Value {
    json!({
        "name": name,
        "forward_bytes": limiters.limiter(Direction::Forward).bytes(),
        "back_bytes": limiters.limiter(Direction::Back).bytes(),
    })
}
