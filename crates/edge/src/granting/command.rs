//! Sends one command to a backend server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use tarragon_model::time::Instant;
use tarragon_owner::granter::{Order, Reply, Task};

use super::MAX_GRANT_DURATION;
use crate::pool::{Need, Pool};
use crate::state::State;

/// Time within which a release must be answered; the backend server first ends running requests.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most connections for commands to one backend server.
const MAX_CONNECTIONS: u32 = 6;

/// Command that is due, and the limits within which it may be sent.
#[derive(Clone, Copy)]
pub struct Pending<'a> {
    /// The command.
    pub command: &'a Order,
    /// When it was due.
    pub due_at: Instant,
    /// Time after `due_at` within which a grant must be sent; later it is not sent at all.
    pub max_delay: Duration,
    /// Until when no other host can be granter; grants are sent only before.
    pub send_until: &'a Cell<Instant>,
}

/// Sends a command; returns how it ended, and when it was sent if it was.
pub async fn send(state: &State, pool: &Pool, pending: Pending<'_>) -> (Reply, Option<Instant>) {
    let command = pending.command;
    let Some(addr) = address(state, command) else {
        return (Reply::NotSent, None);
    };
    let timeout = match command.task {
        Task::Grant => pending.max_delay,
        Task::Release => RELEASE_TIMEOUT,
    };
    let until = tokio::time::Instant::now() + timeout;
    let need = Need {
        limit: MAX_CONNECTIONS,
        idle: Duration::from_mins(1),
        until,
    };
    let sent = Cell::new(None);
    let exchange = exchange(state, pool, pending, &sent, addr, need);
    let reply = match tokio::time::timeout_at(until, exchange).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(text)) => {
            log::debug!(
                "event=command-failed server={} error=\"{text}\"",
                command.server.id
            );
            Reply::Unknown
        }
        Err(_) if sent.get().is_none() => Reply::NotSent,
        Err(_) => Reply::Unknown,
    };
    let sent = sent.get().filter(|_| reply != Reply::NotSent);
    (reply, sent)
}

/// Returns the address to which a command goes.
///
/// A grant is for one incarnation of a backend server. A release goes to the present one, whichever
/// that is.
fn address(state: &State, command: &Order) -> Option<SocketAddr> {
    let fleet = state.fleet.borrow();
    let server = fleet.get(&command.server.id)?;
    let same = server.entry.born == command.server.born;
    (same || command.task == Task::Release).then_some(server.entry.addr)
}

async fn exchange(
    state: &State,
    pool: &Pool,
    pending: Pending<'_>,
    sent: &Cell<Option<Instant>>,
    addr: SocketAddr,
    need: Need,
) -> Result<Reply, String> {
    let command = pending.command;
    loop {
        let mut lease = match pool.lease(&command.server.id, addr, need).await {
            Ok(lease) => lease,
            Err(error) => {
                log::debug!("event=command-not-sent error=\"{error}\"");
                return Ok(Reply::NotSent);
            }
        };
        let now = state.now();
        let too_late =
            now > pending.send_until.get() || now.since(pending.due_at) > pending.max_delay;
        if command.task == Task::Grant && too_late {
            log::info!(
                "event=grant-withheld server={} fence={} late_ms={} confirmed={}",
                command.server.id,
                command.fence,
                now.since(pending.due_at).as_millis(),
                now <= pending.send_until.get()
            );
            lease.give_back(None);
            return Ok(Reply::NotSent);
        }
        sent.set(Some(now));
        let response = match lease.send(request(state, command)).await {
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
                    "event=command-refused server={} status={status}",
                    command.server.id
                );
                Reply::Unknown
            }
        });
    }
}

fn request(state: &State, command: &Order) -> Request<Full<Bytes>> {
    let duration = MAX_GRANT_DURATION.min(state.bounds.get().hold).as_millis();
    let call = state.platform.order(command, duration);
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    match call.path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(error) => log::error!(
            "event=command-path-invalid path={} error=\"{error}\"",
            call.path
        ),
    }
    let headers = request.headers_mut();
    let json = http::HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    if let Ok(host) = http::HeaderValue::from_str(&command.server.id) {
        headers.insert(http::header::HOST, host);
    }
    if let Ok(id) = http::HeaderValue::from_str(&command.server.id) {
        headers.insert(state.platform.headers().expect.clone(), id);
    }
    request
}
