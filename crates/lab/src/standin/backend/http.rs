//! The backend server's HTTP port.

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
use super::grant::{self, Ask};
use super::run::{Order, Run};
use super::slots;
use super::state::State;
use crate::standin::{clock, reply};

const INSTANCE: HeaderName = HeaderName::from_static("tarragon-instance");
const REFUSED: HeaderName = HeaderName::from_static("tarragon-refused");
const REQUEST: HeaderName = HeaderName::from_static("tarragon-request");
/// Exit code of a process that a poison request ended.
const EXIT_POISONED: i32 = 134;
/// Length that half an answer claims when the caller asked for less, in bytes.
const MIN_HALVED: u64 = 2;

/// Answers one request.
pub async fn answer(state: Arc<State>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let mut response = match (&head.method, path.as_str()) {
        (&Method::POST, "/_fault") => order_fault(&state, body).await,
        (&Method::POST, "/_drain") => drain(&state),
        (&Method::POST, "/_grant") => late(&state, grant(&state, body).await).await,
        (&Method::GET, "/_health") => health(&state).await,
        (&Method::GET, "/_load") => late(&state, load(&state)).await,
        (&Method::GET, "/_stats") => reply::json(StatusCode::OK, &*state.stats()),
        _ => late(&state, work(&state, &head, body).await).await,
    };
    if let Ok(instance) = HeaderValue::from_str(&state.instance) {
        response.headers_mut().insert(INSTANCE, instance);
    }
    response
}

/// Holds an answer back while answers are late.
async fn late(state: &State, response: Response) -> Response {
    let delay = state.faults().delay();
    tokio::time::sleep(delay).await;
    response
}

async fn order_fault(state: &State, body: Body) -> Response {
    match reply::read_json::<fault::Order>(body).await {
        Ok(order) => {
            log::info!("event=fault order=\"{order:?}\"");
            state.faults().apply(&order);
            reply::empty(StatusCode::OK)
        }
        Err(status) => reply::empty(status),
    }
}

fn drain(state: &State) -> Response {
    log::info!("event=drain");
    state.drain();
    reply::empty(StatusCode::OK)
}

async fn grant(state: &State, body: Body) -> Response {
    match reply::read_json::<Ask>(body).await {
        Ok(ask) => {
            let mut grants = state.grants();
            let answer = grants.ask(&ask, clock::millis(), &state.instance);
            reply::json(StatusCode::OK, &answer)
        }
        Err(status) => reply::empty(status),
    }
}

async fn health(state: &State) -> Response {
    if state.faults().hangs() {
        return std::future::pending().await;
    }
    let word = if state.is_draining() {
        "draining"
    } else {
        "live"
    };
    let health = json!({
        "state": word,
        "instance": state.instance,
        "running": state.slots.running(),
    });
    late(state, reply::json(StatusCode::OK, &health)).await
}

fn load(state: &State) -> Response {
    let load = state.faults().false_load();
    reply::json(StatusCode::OK, &load.unwrap_or_else(|| state.load()))
}

/// Runs the work of a request, if it may run.
///
/// The body is read while the request waits for a slot, since the server only sees the caller go
/// away once the body is read.
async fn work(state: &Arc<State>, head: &Parts, body: Body) -> Response {
    let order = Order::read(head);
    let mut body = pin!(maybe_done(consume(body)));
    let slot = {
        let mut admitted = pin!(admit(state, &order));
        tokio::select! {
            biased;
            slot = &mut admitted => slot,
            () = &mut body => admitted.await,
        }
    };
    match slot {
        Ok(slot) => perform(state, &order, body, slot).await,
        Err(reason) => refused(state, reason),
    }
}

/// Runs the work of an order in its slot.
async fn perform<F>(
    state: &Arc<State>,
    order: &Order,
    mut body: Pin<&mut MaybeDone<F>>,
    slot: OwnedSemaphorePermit,
) -> Response
where
    F: Future<Output = Result<(), BrokenBody>>,
{
    let run = Run::start(Arc::clone(state), order.clone());
    if order.poison {
        log::warn!("event=poisoned request={}", order.request);
        std::process::exit(EXIT_POISONED);
    }
    let time = state.time_of(order.work_us);
    let labour = async {
        body.as_mut().await;
        body.take_output().unwrap_or(Ok(()))?;
        tokio::time::sleep(time).await;
        Ok(())
    };
    match within(order, labour).await {
        Some(Ok(())) => {}
        Some(Err(BrokenBody)) => return reply::closed_connection(),
        None => {
            run.abort();
            return refused(state, "deadline");
        }
    }
    let half = state.faults().halves_answers();
    match run.commit(half) {
        Ok(()) => done(order, slot, half),
        Err(_) => refused(state, "expired"),
    }
}

/// Gives a slot to an order, or the reason for its refusal.
async fn admit(state: &State, order: &Order) -> Result<OwnedSemaphorePermit, &'static str> {
    if state.faults().sheds() {
        return Err("shed");
    }
    if state.is_draining() {
        return Err("draining");
    }
    check(state, order)?;
    if order.is_late() {
        return Err("deadline");
    }
    let slot = state.slots.take(order.left()).await;
    let slot = slot.map_err(|refusal| match refusal {
        slots::Refusal::Full => "busy",
        slots::Refusal::Deadline => "deadline",
    })?;
    check(state, order)?;
    Ok(slot)
}

fn check(state: &State, order: &Order) -> Result<(), &'static str> {
    state.check(order).map_err(|refusal| match refusal {
        grant::Refusal::Fence => "fence",
        grant::Refusal::Expired => "expired",
    })
}

/// The caller's body broke off.
struct BrokenBody;

/// Reads a body to its end without keeping it.
async fn consume(mut body: Body) -> Result<(), BrokenBody> {
    while let Some(frame) = body.frame().await {
        frame.map_err(|_| BrokenBody)?;
    }
    Ok(())
}

/// Awaits until the deadline of the order, which `None` stands for.
async fn within<T>(order: &Order, labour: impl Future<Output = T>) -> Option<T> {
    match order.deadline {
        Some(deadline) => tokio::time::timeout_at(deadline, labour).await.ok(),
        None => Some(labour.await),
    }
}

fn done(order: &Order, slot: OwnedSemaphorePermit, half: bool) -> Response {
    let length = if half {
        order.bytes.max(MIN_HALVED)
    } else {
        order.bytes
    };
    let body = body::answer(&order.request, length, half, slot);
    let mut response = reply::with_body(StatusCode::OK, body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    if let Ok(request) = HeaderValue::from_str(&order.request) {
        headers.insert(REQUEST, request);
    }
    response
}

fn refused(state: &State, reason: &'static str) -> Response {
    state.stats().refuse(reason);
    let mut response = reply::empty(StatusCode::SERVICE_UNAVAILABLE);
    let reason = HeaderValue::from_static(reason);
    response.headers_mut().insert(REFUSED, reason);
    response
}
