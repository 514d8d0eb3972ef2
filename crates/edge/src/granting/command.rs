//! One order to a backend server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use tarragon_model::time::Instant;
use tarragon_owner::granter::{Order, Reply, Task};

use super::HOLD;
use crate::pool::{Need, Pool};
use crate::state::State;

/// Time within which a release must be answered: it waits for running work.
const RELEASE_TIME: Duration = Duration::from_secs(4);
/// Connections for orders to one backend server.
const ORDER_CONNECTIONS: u32 = 6;

/// An order that is due, and what it may still count on.
#[derive(Clone, Copy)]
pub struct Due<'a> {
    /// The order.
    pub order: &'a Order,
    /// When it was decided.
    pub at: Instant,
    /// Time within which a grant leaves, or never does.
    pub late: Duration,
    /// Until when the granter's office is surely its own; grants leave before that only.
    pub office: &'a Cell<Instant>,
}

/// Sends one order; returns how it ended, and when it left this host if it did.
pub async fn send(state: &State, pool: &Pool, due: Due<'_>) -> (Reply, Option<Instant>) {
    let order = due.order;
    let Some(addr) = address(state, order) else {
        return (Reply::NotSent, None);
    };
    let time = match order.task {
        Task::Grant => due.late,
        Task::Release => RELEASE_TIME,
    };
    let until = tokio::time::Instant::now() + time;
    let need = Need {
        limit: ORDER_CONNECTIONS,
        idle: Duration::from_mins(1),
        until,
    };
    let left = Cell::new(None);
    let exchange = exchange(state, pool, due, &left, addr, need);
    let reply = match tokio::time::timeout_at(until, exchange).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(text)) => {
            log::debug!(
                "event=order-failed server={} error=\"{text}\"",
                order.server.id
            );
            Reply::Unknown
        }
        Err(_) if left.get().is_none() => Reply::NotSent,
        Err(_) => Reply::Unknown,
    };
    let left = left.get().filter(|_| reply != Reply::NotSent);
    (reply, left)
}

/// Returns where an order goes.
///
/// Grants are for one life of a backend server; a release is for whichever life it has now.
fn address(state: &State, order: &Order) -> Option<SocketAddr> {
    let fleet = state.fleet.borrow();
    let server = fleet.get(&order.server.id)?;
    let same = server.entry.born == order.server.born;
    (same || order.task == Task::Release).then_some(server.entry.addr)
}

async fn exchange(
    state: &State,
    pool: &Pool,
    due: Due<'_>,
    left: &Cell<Option<Instant>>,
    addr: SocketAddr,
    need: Need,
) -> Result<Reply, String> {
    let order = due.order;
    loop {
        let mut lease = match pool.lease(&order.server.id, addr, need).await {
            Ok(lease) => lease,
            Err(error) => {
                log::debug!("event=order-not-sent error=\"{error}\"");
                return Ok(Reply::NotSent);
            }
        };
        let now = state.now();
        let stopped = now > due.office.get() || now.since(due.at) > due.late;
        if order.task == Task::Grant && stopped {
            log::info!(
                "event=order-stopped server={} fence={} late_ms={} office={}",
                order.server.id,
                order.fence,
                now.since(due.at).as_millis(),
                now <= due.office.get()
            );
            lease.give_back(None);
            return Ok(Reply::NotSent);
        }
        left.set(Some(now));
        let response = match lease.send(request(state, order)).await {
            Ok(response) => response,
            Err((Some(_), _)) if lease.reused => continue,
            Err((Some(_), _)) => return Ok(Reply::NotSent),
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
        lease.give_back(None);
        return Ok(match status {
            StatusCode::OK => Reply::Done { handover },
            StatusCode::CONFLICT => Reply::Outdated,
            status => {
                log::warn!(
                    "event=order-refused server={} status={status}",
                    order.server.id
                );
                Reply::Unknown
            }
        });
    }
}

fn request(state: &State, order: &Order) -> Request<Full<Bytes>> {
    let hold = HOLD.min(state.bounds.get().hold).as_millis();
    let call = state.platform.order(order, hold);
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
        headers.insert(state.platform.headers().expect.clone(), id);
    }
    request
}
