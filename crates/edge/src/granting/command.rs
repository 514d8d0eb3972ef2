//! Sends one command to a backend server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use tarragon_model::time::Instant;
use tarragon_owner::granter::{Action, Command, CommandOutcome};

use super::GRANT_DURATION;
use crate::pool::{Pool, Requirements};
use crate::state::State;

/// Timeout of a release. The backend server responds only after its running requests have ended.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most connections for commands to one backend server.
const MAX_CONNECTIONS: u32 = 6;

/// Maximum size of the body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Command that is due, and the limits within which it may be sent.
#[derive(Clone, Copy)]
pub struct Pending<'a> {
    /// The command.
    pub command: &'a Command,
    /// When it was due.
    pub due_at: Instant,
    /// Time after `due_at` within which a grant must be sent; later it is not sent at all.
    pub max_delay: Duration,
    /// Until when no other host can be granter; grants are sent only before.
    pub send_until: &'a Cell<Instant>,
}

/// Sends a command; returns how it ended, and when it was sent if it was.
pub async fn send(
    state: &State,
    pool: &Pool,
    pending: Pending<'_>,
) -> (CommandOutcome, Option<Instant>) {
    let command = pending.command;
    let Some(addr) = address(state, command) else {
        return (CommandOutcome::NotSent, None);
    };
    let timeout = match command.action {
        Action::Grant => pending.max_delay,
        Action::Release => RELEASE_TIMEOUT,
    };
    let deadline = tokio::time::Instant::now() + timeout;
    let max_idle = match command.action {
        Action::Grant => Duration::from_mins(1),
        // The response to a release frees the keys, so a late response to an earlier command must
        // not be taken for it.
        Action::Release => Duration::ZERO,
    };
    let requirements = Requirements {
        max_connections: MAX_CONNECTIONS,
        max_idle,
        deadline,
    };
    let sent = Cell::new(None);
    let exchange = exchange(state, pool, pending, &sent, addr, requirements);
    let outcome = match tokio::time::timeout_at(deadline, exchange).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(text)) => {
            log::debug!(
                "event=command-failed server={} error=\"{text}\"",
                command.server.id
            );
            CommandOutcome::Unknown
        }
        Err(_) if sent.get().is_none() => CommandOutcome::NotSent,
        Err(_) => CommandOutcome::Unknown,
    };
    let sent = sent.get().filter(|_| outcome != CommandOutcome::NotSent);
    (outcome, sent)
}

/// Returns the address to which a command goes.
///
/// A grant is for one incarnation of a backend server. A release goes to the present one, whichever
/// that is.
fn address(state: &State, command: &Command) -> Option<SocketAddr> {
    let fleet = state.fleet.borrow();
    let server = fleet.get(&command.server.id)?;
    let same = server.entry.start_ms == command.server.start_ms;
    (same || command.action == Action::Release).then_some(server.entry.addr)
}

async fn exchange(
    state: &State,
    pool: &Pool,
    pending: Pending<'_>,
    sent: &Cell<Option<Instant>>,
    addr: SocketAddr,
    requirements: Requirements,
) -> Result<CommandOutcome, String> {
    let command = pending.command;
    loop {
        let mut connection = match pool.acquire(&command.server.id, addr, requirements).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!("event=command-not-sent error=\"{error}\"");
                return Ok(CommandOutcome::NotSent);
            }
        };
        let now = state.now();
        let too_late =
            now > pending.send_until.get() || now.since(pending.due_at) > pending.max_delay;
        if command.action == Action::Grant && too_late {
            log::info!(
                "event=grant-withheld server={} fence={} late_ms={} confirmed={}",
                command.server.id,
                command.fence,
                now.since(pending.due_at).as_millis(),
                now <= pending.send_until.get()
            );
            connection.recycle(None);
            return Ok(CommandOutcome::NotSent);
        }
        sent.set(Some(now));
        let response = match connection.send(request(state, command)).await {
            Ok(response) => response,
            Err((Some(_), _)) if connection.reused => continue,
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
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
        body.await.map_err(|error| error.to_string())?;
        if command.action == Action::Grant {
            connection.recycle(None);
        }
        return Ok(match status {
            StatusCode::OK => CommandOutcome::Done { handover },
            StatusCode::CONFLICT => CommandOutcome::StaleFence,
            status => {
                log::warn!(
                    "event=command-refused server={} status={status}",
                    command.server.id
                );
                CommandOutcome::Unknown
            }
        });
    }
}

fn request(state: &State, command: &Command) -> Request<Full<Bytes>> {
    let duration = GRANT_DURATION.min(state.bounds.get().max_grant).as_millis();
    let call = state.platform.encode_command(command, duration);
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
        headers.insert(state.platform.headers().expected_server.clone(), id);
    }
    request
}
