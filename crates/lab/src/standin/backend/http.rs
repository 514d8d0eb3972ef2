//! HTTP API of the backend server's stand-in.

use std::pin::{Pin, pin};
use std::sync::Arc;

use futures::future::{MaybeDone, maybe_done};
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyExt;
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::body;
use super::fault;
use super::grant::{self, Request as GrantRequest};
use super::run::{Attempt, Run};
use super::slots;
use super::state::State;
use crate::standin::{clock, message};

const INSTANCE: HeaderName = HeaderName::from_static("tarragon-instance");
const REFUSED: HeaderName = HeaderName::from_static("tarragon-refused");
const REQUEST: HeaderName = HeaderName::from_static("tarragon-request");
/// Exit code after a poison request; shells report the same code for a process killed by SIGABRT.
const EXIT_POISONED: i32 = 134;
/// Content length of a truncated response when the caller asked for less, in bytes.
const MIN_TRUNCATED_BYTES: u64 = 2;

/// Responds to one request.
pub async fn respond(state: Arc<State>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let mut response = match (&head.method, path.as_str()) {
        (&Method::POST, "/_fault") => inject_fault(&state, body).await,
        (&Method::POST, "/_drain") => drain(&state),
        (&Method::POST, "/_grant") => delayed(&state, grant(&state, body).await).await,
        (&Method::GET, "/_health") => health(&state).await,
        (&Method::GET, "/_load") => delayed(&state, load(&state)).await,
        (&Method::GET, "/_stats") => message::json(StatusCode::OK, &*state.stats()),
        _ => delayed(&state, work(&state, &head, body).await).await,
    };
    if let Ok(instance) = HeaderValue::from_str(&state.instance) {
        response.headers_mut().insert(INSTANCE, instance);
    }
    response
}

/// Delays a response while the `late` fault is active.
async fn delayed(state: &State, response: Response) -> Response {
    let delay = state.faults().delay();
    tokio::time::sleep(delay).await;
    response
}

async fn inject_fault(state: &State, body: Body) -> Response {
    match message::read_json::<fault::Request>(body).await {
        Ok(request) => {
            log::info!("event=fault request=\"{request:?}\"");
            state.faults().apply(&request);
            message::empty(StatusCode::OK)
        }
        Err(status) => message::empty(status),
    }
}

fn drain(state: &State) -> Response {
    log::info!("event=drain");
    state.drain();
    message::empty(StatusCode::OK)
}

async fn grant(state: &State, body: Body) -> Response {
    match message::read_json::<GrantRequest>(body).await {
        Ok(request) => {
            let mut grants = state.grants();
            let response = grants.apply(&request, clock::millis(), &state.instance);
            message::json(StatusCode::OK, &response)
        }
        Err(status) => message::empty(status),
    }
}

async fn health(state: &State) -> Response {
    if state.faults().hangs() {
        return std::future::pending().await;
    }
    let health_state = if state.is_draining() {
        "draining"
    } else {
        "live"
    };
    let health = json!({
        "state": health_state,
        "instance": state.instance,
        "running": state.slots.running(),
    });
    delayed(state, message::json(StatusCode::OK, &health)).await
}

fn load(state: &State) -> Response {
    let load = state.faults().false_load();
    message::json(StatusCode::OK, &load.unwrap_or_else(|| state.load()))
}

/// Admits a request and runs its work, or refuses it.
///
/// The body is read while the request waits for a slot, because the server detects that the
/// caller disconnected only once the body has been read.
async fn work(state: &Arc<State>, head: &Parts, body: Body) -> Response {
    let attempt = Attempt::read(head);
    let mut body = pin!(maybe_done(discard(body)));
    let slot = {
        let mut admitted = pin!(admit(state, &attempt));
        tokio::select! {
            biased;
            slot = &mut admitted => slot,
            () = &mut body => admitted.await,
        }
    };
    match slot {
        Ok(slot) => execute(state, &attempt, body, slot).await,
        Err(reason) => refusal(state, reason),
    }
}

/// Runs the work of an attempt in its slot.
async fn execute<F>(
    state: &Arc<State>,
    attempt: &Attempt,
    mut body: Pin<&mut MaybeDone<F>>,
    slot: OwnedSemaphorePermit,
) -> Response
where
    F: Future<Output = Result<(), BrokenBody>>,
{
    let run = Run::start(Arc::clone(state), attempt.clone());
    if attempt.poison {
        log::warn!("event=poisoned request={}", attempt.request);
        std::process::exit(EXIT_POISONED);
    }
    let time = state.work_time(attempt.work_us);
    let execution = async {
        body.as_mut().await;
        body.take_output().unwrap_or(Ok(()))?;
        tokio::time::sleep(time).await;
        Ok(())
    };
    match before_deadline(attempt, execution).await {
        Some(Ok(())) => {}
        Some(Err(BrokenBody)) => return message::close_connection(),
        None => {
            run.abort();
            return refusal(state, "deadline");
        }
    }
    let truncate = state.faults().truncates_responses();
    match run.commit(truncate) {
        Ok(()) => success(attempt, slot, truncate),
        Err(_) => refusal(state, "expired"),
    }
}

/// Acquires a slot for an attempt, or returns the reason for refusing it.
async fn admit(state: &State, attempt: &Attempt) -> Result<OwnedSemaphorePermit, &'static str> {
    if state.faults().sheds() {
        return Err("shed");
    }
    if state.is_draining() {
        return Err("draining");
    }
    check(state, attempt)?;
    if attempt.is_past_deadline() {
        return Err("deadline");
    }
    let slot = state.slots.acquire(attempt.time_left()).await;
    let slot = slot.map_err(|refusal| match refusal {
        slots::Refusal::Full => "busy",
        slots::Refusal::Deadline => "deadline",
    })?;
    check(state, attempt)?;
    Ok(slot)
}

fn check(state: &State, attempt: &Attempt) -> Result<(), &'static str> {
    state.check(attempt).map_err(|refusal| match refusal {
        grant::Refusal::Fence => "fence",
        grant::Refusal::Expired => "expired",
    })
}

/// The request body ended before it was complete.
struct BrokenBody;

/// Reads a body to its end and drops the content.
async fn discard(mut body: Body) -> Result<(), BrokenBody> {
    while let Some(frame) = body.frame().await {
        frame.map_err(|_| BrokenBody)?;
    }
    Ok(())
}

/// Awaits `execution`, or returns `None` at the attempt's deadline.
async fn before_deadline<T>(attempt: &Attempt, execution: impl Future<Output = T>) -> Option<T> {
    match attempt.deadline {
        Some(deadline) => tokio::time::timeout_at(deadline, execution).await.ok(),
        None => Some(execution.await),
    }
}

fn success(attempt: &Attempt, slot: OwnedSemaphorePermit, truncate: bool) -> Response {
    let length = if truncate {
        attempt.bytes.max(MIN_TRUNCATED_BYTES)
    } else {
        attempt.bytes
    };
    let body = body::generate(&attempt.request, length, truncate, slot);
    let mut response = message::with_body(StatusCode::OK, body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    if let Ok(request) = HeaderValue::from_str(&attempt.request) {
        headers.insert(REQUEST, request);
    }
    response
}

fn refusal(state: &State, reason: &'static str) -> Response {
    state.stats().count_refusal(reason);
    let mut response = message::empty(StatusCode::SERVICE_UNAVAILABLE);
    let reason = HeaderValue::from_static(reason);
    response.headers_mut().insert(REFUSED, reason);
    response
}
