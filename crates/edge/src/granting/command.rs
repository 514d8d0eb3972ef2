//! One order to a backend server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use tarragon_model::time::Instant;
use tarragon_owner::granter::{Action, Command, CommandOutcome};

use super::HOLD;
use crate::pool::{Pool, Requirements};
use crate::state::State;

/// Time within which a release must be answered: it waits for running work.
const RELEASE_TIME: Duration = Duration::from_secs(4);
/// Connections for orders to one backend server.
const ORDER_CONNECTIONS: u32 = 6;

/// An order that is due, and what it may still count on.
#[derive(Clone, Copy)]
pub struct Due<'a> {
    /// The order.
    pub order: &'a Command,
    /// When it was decided.
    pub at: Instant,
    /// Time within which a grant leaves, or never does.
    pub late: Duration,
    /// Until when the granter's office is surely its own; grants leave before that only.
    pub office: &'a Cell<Instant>,
}

/// Sends one order; returns how it ended, and when it left this host if it did.
pub async fn send(state: &State, pool: &Pool, due: Due<'_>) -> (CommandOutcome, Option<Instant>) {
    let order = due.order;
    let Some(addr) = address(state, order) else {
        return (CommandOutcome::NotSent, None);
    };
    let time = match order.action {
        Action::Grant => due.late,
        Action::Release => RELEASE_TIME,
    };
    let deadline = tokio::time::Instant::now() + time;
    let need = Requirements {
        max_connections: ORDER_CONNECTIONS,
        max_idle: Duration::from_mins(1),
        deadline,
    };
    let left = Cell::new(None);
    let exchange = exchange(state, pool, due, &left, addr, need);
    let reply = match tokio::time::timeout_at(deadline, exchange).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(text)) => {
            log::debug!(
                "event=order-failed server={} error=\"{text}\"",
                order.server.id
            );
            CommandOutcome::Unknown
        }
        Err(_) if left.get().is_none() => CommandOutcome::NotSent,
        Err(_) => CommandOutcome::Unknown,
    };
    let left = left.get().filter(|_| reply != CommandOutcome::NotSent);
    (reply, left)
}

/// Returns where an order goes.
///
/// Grants are for one life of a backend server; a release is for whichever life it has now.
fn address(state: &State, order: &Command) -> Option<SocketAddr> {
    let fleet = state.fleet.borrow();
    let server = fleet.get(&order.server.id)?;
    let same = server.entry.start_ms == order.server.start_ms;
    (same || order.action == Action::Release).then_some(server.entry.addr)
}

async fn exchange(
    state: &State,
    pool: &Pool,
    due: Due<'_>,
    left: &Cell<Option<Instant>>,
    addr: SocketAddr,
    need: Requirements,
) -> Result<CommandOutcome, String> {
    let order = due.order;
    loop {
        let mut lease = match pool.acquire(&order.server.id, addr, need).await {
            Ok(lease) => lease,
            Err(error) => {
                log::debug!("event=order-not-sent error=\"{error}\"");
                return Ok(CommandOutcome::NotSent);
            }
        };
        let now = state.now();
        let stopped = now > due.office.get() || now.since(due.at) > due.late;
        if order.action == Action::Grant && stopped {
            log::info!(
                "event=order-stopped server={} fence={} late_ms={} office={}",
                order.server.id,
                order.fence,
                now.since(due.at).as_millis(),
                now <= due.office.get()
            );
            lease.recycle(None);
            return Ok(CommandOutcome::NotSent);
        }
        left.set(Some(now));
        let response = match lease.send(request(state, order)).await {
            Ok(response) => response,
            Err((Some(_), _)) if lease.reused => continue,
            Err((Some(_), _)) => return Ok(CommandOutcome::NotSent),
            Err((None, text)) => return Err(text),
        };
        let names = state.platform.headers();
        let status = response.status();
        let handover = response
            .headers()
            .get(&names.handover)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = response.into_body().collect().await;
        body.map_err(|error| error.to_string())?;
        lease.recycle(None);
        return Ok(match status {
            StatusCode::OK => CommandOutcome::Done { handover },
            StatusCode::CONFLICT => CommandOutcome::StaleFence,
            status => {
                log::warn!(
                    "event=order-refused server={} status={status}",
                    order.server.id
                );
                CommandOutcome::Unknown
            }
        });
    }
}

fn request(state: &State, order: &Command) -> Request<Full<Bytes>> {
    let hold = HOLD.min(state.bounds.get().max_grant).as_millis();
    let call = state.platform.encode_command(order, hold);
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    match call.path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(error) => log::error!(
            "event=order-unspellable path={} error=\"{error}\"",
            call.path
        ),
    }
    let headers = request.headers_mut();
    let json = http::HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    if let Ok(host) = http::HeaderValue::from_str(&order.server.id) {
        headers.insert(http::header::HOST, host);
    }
    if let Ok(id) = http::HeaderValue::from_str(&order.server.id) {
        headers.insert(state.platform.headers().expected_server.clone(), id);
    }
    request
}
