//! Sends one command to a backend server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tarragon_model::time::Instant;
use tarragon_owner::granter::{Action, Command, CommandOutcome};

use super::GRANT_DURATION;
use super::departure::Departure;
use crate::pool::{Pool, Requirements};
use crate::state::State;

/// Timeout of a release. The backend server responds only after its running requests have ended.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most connections for commands to one backend server.
const MAX_CONNECTIONS: u32 = 6;

/// Turns of the event loop that a response is waited for after its timeout, so that what waits in
/// the socket is read.
const LATE_TURNS: u32 = 3;

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
    /// Time without a response after which a grant is given up.
    pub response_timeout: Duration,
    /// Until when no other host can be granter; grants are sent only before.
    pub send_until: &'a Rc<Cell<Instant>>,
}

/// Creates the pool of connections that carry commands.
///
/// The kernel gives up unacknowledged bytes like [`send`] does, also while the process is paused.
#[must_use]
pub fn pool(response_timeout: Duration) -> Pool {
    Pool::new(response_timeout)
}

/// Sends a command; returns how it ended, and when it was written if it may have been executed.
///
/// A grant without a response is given up: closing its connection discards what has not left the
/// host, so it arrives soon or never. The idle connections to the same server are closed as well.
/// The next grant needs a new connection then, and a server that cannot be reached gets none.
pub async fn send(
    state: &State,
    pool: &Pool,
    pending: Pending<'_>,
) -> (CommandOutcome, Option<Instant>) {
    let command = pending.command;
    let Some(addr) = address(state, command) else {
        return (CommandOutcome::NotSent, None);
    };
    let sent = Cell::new(None);
    let outcome = match exchange(state, pool, pending, &sent, addr).await {
        Ok(outcome) => outcome,
        Err(text) => {
            log::debug!(
                "event=command-failed server={} error=\"{text}\"",
                command.server.id
            );
            pool.close_idle(&command.server.id);
            CommandOutcome::Unknown
        }
    };
    let arrives = !matches!(outcome, CommandOutcome::NotSent | CommandOutcome::Refused);
    let sent = sent.get().filter(|_| arrives);
    (outcome, sent)
}

/// Returns the requirements of a command for its connection.
fn requirements(pending: &Pending<'_>, waited: Duration) -> Requirements<'static> {
    let (max_idle, time) = match pending.command.action {
        Action::Grant => (
            Duration::from_mins(1),
            pending.max_delay.saturating_sub(waited),
        ),
        // The response to a release frees the keys, so a late response to an earlier command must
        // not be taken for it.
        Action::Release => (Duration::ZERO, RELEASE_TIMEOUT),
    };
    Requirements {
        max_connections: MAX_CONNECTIONS,
        max_idle,
        deadline: tokio::time::Instant::now() + time,
        excluded: &[],
        may_open: true,
    }
}

/// Returns the address to which a command goes.
///
/// A grant is for one incarnation of a backend server. A release goes to the present one, whichever
/// that is. Nothing goes to an address that another server uses, which may hold keys of its own.
fn address(state: &State, command: &Command) -> Option<SocketAddr> {
    let fleet = state.fleet.borrow();
    let server = fleet.get(&command.server.id)?;
    if server.is_superseded() {
        return None;
    }
    let same = server.entry.start_ms == command.server.start_ms;
    (same || command.action == Action::Release).then_some(server.entry.addr)
}

/// Sends a command and waits for its response; sets `sent` to when it was written.
///
/// # Errors
///
/// Returns why there is no response to a command of which bytes were written.
async fn exchange(
    state: &State,
    pool: &Pool,
    pending: Pending<'_>,
    sent: &Cell<Option<Instant>>,
    addr: SocketAddr,
) -> Result<CommandOutcome, String> {
    let command = pending.command;
    let response_timeout = match command.action {
        Action::Grant => pending.response_timeout,
        Action::Release => RELEASE_TIMEOUT,
    };
    loop {
        let need = requirements(&pending, state.now().since(pending.due_at));
        let acquired = pool.acquire(&command.server.id, addr, need);
        let mut connection = match tokio::time::timeout_at(need.deadline, acquired).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                log::debug!("event=command-not-sent error=\"{error}\"");
                return Ok(CommandOutcome::NotSent);
            }
            Err(_) => return Ok(CommandOutcome::NotSent),
        };
        let departure = Rc::new(Departure::new(state.clock, &pending));
        if departure.is_withheld() {
            log_withheld(state, &pending, &departure);
            connection.recycle(None);
            return Ok(CommandOutcome::NotSent);
        }
        connection.restrict(departure.clone());
        let exchanged = async {
            let response = connection.send(request(state, command)).await?;
            receive(state, command, response)
                .await
                .map_err(|text| (None, text))
        };
        let result = within(response_timeout, exchanged).await;
        let written_at = departure.close();
        let (text, broke) = match result {
            Ok(Ok(outcome)) => {
                sent.set(written_at.or_else(|| Some(state.now())));
                // A late copy of a refusal must not be taken for the response to a later grant.
                let executed = matches!(
                    outcome,
                    CommandOutcome::Done { .. } | CommandOutcome::StaleFence
                );
                if command.action == Action::Grant && executed {
                    connection.recycle(None);
                }
                return Ok(outcome);
            }
            Ok(Err((_, text))) => (text, true),
            Err(Elapsed) => ("no response".to_owned(), false),
        };
        if written_at.is_some() {
            sent.set(written_at);
            return Err(text);
        }
        if departure.is_withheld() {
            log_withheld(state, &pending, &departure);
            return Ok(CommandOutcome::NotSent);
        }
        // The server may have closed an idle connection, so another one is tried.
        if !(broke && connection.reused) {
            log::debug!("event=command-not-sent error=\"{text}\"");
            return Ok(CommandOutcome::NotSent);
        }
    }
}

/// A timeout has passed.
struct Elapsed;

/// Waits for a future until a timeout, and then for [`LATE_TURNS`].
///
/// On a host short of processor time, the timer may fire while the response waits in the socket.
async fn within<F: Future>(timeout: Duration, future: F) -> Result<F::Output, Elapsed> {
    tokio::pin!(future);
    if let Ok(output) = tokio::time::timeout(timeout, &mut future).await {
        return Ok(output);
    }
    for _ in 0..LATE_TURNS {
        tokio::task::yield_now().await;
        if let Some(output) = (&mut future).now_or_never() {
            return Ok(output);
        }
    }
    Err(Elapsed)
}

/// Logs that a grant is not sent, as it is late or another host may be granter.
fn log_withheld(state: &State, pending: &Pending<'_>, departure: &Departure) {
    let now = state.now();
    log::info!(
        "event=grant-withheld server={} fence={} late_ms={} confirmed={}",
        pending.command.server.id,
        pending.command.fence,
        now.since(pending.due_at).as_millis(),
        departure.is_confirmed(now)
    );
}

async fn receive(
    state: &State,
    command: &Command,
    response: Response<Incoming>,
) -> Result<CommandOutcome, String> {
    let status = response.status();
    let handover = response
        .headers()
        .get(&state.platform.headers().handover)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
    body.await.map_err(|error| error.to_string())?;
    Ok(match status {
        StatusCode::OK => CommandOutcome::Done { handover },
        StatusCode::CONFLICT => CommandOutcome::StaleFence,
        status => {
            log::warn!(
                "event=command-refused server={} status={status}",
                command.server.id
            );
            match status {
                // Malformed, or for another server: the only refusals of a command.
                StatusCode::BAD_REQUEST | StatusCode::MISDIRECTED_REQUEST => {
                    CommandOutcome::Refused
                }
                _ => CommandOutcome::Unknown,
            }
        }
    })
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
