//! Orders to the links, and their counts.

use std::sync::Arc;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::fault::{Direction, Order};
use super::link::{Lines, Network};
use crate::standin::reply;

/// Answers one request.
pub async fn answer(network: Arc<Network>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/_stats") => reply::json(StatusCode::OK, &stats(&network)),
        (&Method::POST, "/_fault") => fault(&network, body).await,
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

/// Follows an order; 404 when no link matches.
async fn fault(network: &Network, body: Body) -> Response {
    let order: Order = match reply::read_json(body).await {
        Ok(order) => order,
        Err(status) => return reply::empty(status),
    };
    let hit = network.apply(&order);
    log::info!("event=fault links={hit} order=\"{order:?}\"");
    let status = if hit > 0 {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    reply::json(status, &json!({ "links": hit }))
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
        .map(|(name, lines)| counts(name, lines))
        .collect();
    json!({ "links": links, "groups": groups })
}

fn counts(name: &str, lines: &Lines) -> Value {
    json!({
        "name": name,
        "forward_bytes": lines.way(Direction::Forward).bytes(),
        "back_bytes": lines.way(Direction::Back).bytes(),
    })
}
