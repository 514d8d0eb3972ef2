//! Runs a request on the leader of its shard.

use std::time::Duration;

use http::{HeaderMap, HeaderName};
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_node::input::{Ending, Input, Submission};
use tarragon_node::output::Attempt;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use volo_http::response::Response;

use crate::backend::{
    Call, Client, INSTANCE_HEADER, REFUSED_HEADER, classify_error, header_text, header_value,
};
use crate::control::{Command, Decision, decisions};
use crate::front::parse::{DEADLINE_HEADER, ParsedRequest};
use crate::front::relay::{self, End};
use crate::front::response::{CallerResponse, Content, STATUS_HEADER};
use crate::shared::Shared;
use crate::view::Lease;

/// Time after a request's deadline at which an attempt without a response is aborted, if the node
/// has not aborted it.
const GRACE: Duration = Duration::from_millis(250);

/// Submits a request to the node and executes its decisions until there is a response.
pub async fn run(shared: &Shared, client: &Client, request: &ParsedRequest) -> CallerResponse {
    let id = shared.next_request_id();
    let (sender, mut inbox) = decisions();
    let command = Command::Submit {
        submission: submission(id, request),
        decisions: sender,
    };
    if shared.control.send(command).await.is_err() {
        return CallerResponse::refused(Reason::Draining);
    }
    let mut on_drop = ReportOnDrop {
        shared: shared.clone(),
        id,
        input: Some(Input::Cancelled { id }),
    };
    loop {
        match inbox.recv().await {
            Some(Decision::Dispatch { attempt, lease }) => {
                on_drop.input = Some(Input::Ended {
                    id,
                    ending: Ending::Abandoned,
                });
                let sent = send(shared, client, request, &attempt, &lease, &mut inbox).await;
                match sent {
                    Ok(response) => return stream(shared, id, &attempt, response, inbox, on_drop),
                    Err(ending) => {
                        on_drop.input = Some(Input::Cancelled { id });
                        send_input(shared, Input::Ended { id, ending }).await;
                    }
                }
            }
            Some(Decision::Refuse {
                outcome,
                reason,
                status,
            }) => {
                on_drop.input = None;
                shared
                    .refusals
                    .count_by_leader(&request.shard, &request.key, reason);
                return refusal(outcome, reason, status);
            }
            Some(Decision::Abort) => {}
            None => {
                on_drop.input = None;
                return CallerResponse::without_backend(Outcome::Unknown, Reason::BackendFailed);
            }
        }
    }
}

/// Reports to the node how a request ended, when the handling of the request is dropped.
struct ReportOnDrop {
    shared: Shared,
    id: u64,
    /// Input to send; `None` if the node already knows how the request ended.
    input: Option<Input>,
}

impl Drop for ReportOnDrop {
    fn drop(&mut self) {
        let Some(input) = self.input.take() else {
            return;
        };
        if let Err(error) = self.shared.control.try_send(Command::Input(input)) {
            log::warn!("event=input-dropped request={} error=\"{error}\"", self.id);
        }
    }
}

fn submission(id: u64, request: &ParsedRequest) -> Submission {
    Submission {
        id,
        service: request.shard.service.clone(),
        shard: request.shard.clone(),
        key: request.hash,
        group: request.group,
        class: request.class,
        deadline: request.deadline,
        idempotent: request.idempotent,
        identifier: request.identifier,
        fingerprint: request.fingerprint,
    }
}

/// Sends the request to a backend server and waits for the head of the response.
async fn send(
    shared: &Shared,
    client: &Client,
    request: &ParsedRequest,
    attempt: &Attempt,
    lease: &Lease,
    inbox: &mut mpsc::Receiver<Decision>,
) -> Result<Response, Ending> {
    let headers = headers(shared, request, attempt);
    let call = Call {
        addr: shared.dial_addr(attempt.addr),
        method: &request.method,
        path: &request.path,
        headers: &headers,
        body: request.body.clone(),
    };
    if !lease.is_valid(shared.clock.monotonic()) {
        return Err(Ending::NotSent);
    }
    shared.metrics.dispatched();
    let time_limit = request.deadline.since(shared.clock.monotonic()) + GRACE;
    let response = tokio::select! {
        response = timeout(time_limit, client.send(call)) => response,
        () = aborted(inbox) => return Err(Ending::Aborted),
    };
    let response = match response {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(classify_error(&error)),
        Err(_) => return Err(Ending::Aborted),
    };
    match header_text(response.headers(), REFUSED_HEADER) {
        Some(why) => Err(Ending::Refused {
            fenced: matches!(why, "fence" | "expired"),
        }),
        None => Ok(response),
    }
}

/// Completes when the node aborts the attempt; discards other decisions.
async fn aborted(inbox: &mut mpsc::Receiver<Decision>) {
    loop {
        match inbox.recv().await {
            Some(Decision::Abort) => return,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

fn headers(shared: &Shared, request: &ParsedRequest, attempt: &Attempt) -> HeaderMap {
    let remaining_ms = request.deadline.since(shared.clock.monotonic()).as_millis();
    let mut headers = request.headers.clone();
    let mut set = |name: &'static str, text: &str| {
        headers.insert(HeaderName::from_static(name), header_value(text));
    };
    set("tarragon-fence", &attempt.fence.to_string());
    set("tarragon-shard", &attempt.shard.object_name());
    set("tarragon-key", &request.key);
    set(DEADLINE_HEADER, &remaining_ms.to_string());
    headers.remove(super::HOP_HEADER);
    headers.remove(super::FLEET_HEADER);
    headers
}

/// Streams the backend server's response to the caller and reports its end to the node.
fn stream(
    shared: &Shared,
    id: u64,
    attempt: &Attempt,
    response: Response,
    mut inbox: mpsc::Receiver<Decision>,
    mut on_drop: ReportOnDrop,
) -> CallerResponse {
    let (head, body) = response.into_parts();
    let instance = header_text(&head.headers, INSTANCE_HEADER).map(ToOwned::to_owned);
    let responded = Input::Responded {
        id,
        status: head.status.as_u16(),
        instance,
    };
    if let Err(error) = shared.control.try_send(Command::Input(responded)) {
        log::warn!("event=input-dropped request={id} error=\"{error}\"");
    }
    on_drop.input = Some(Input::Ended {
        id,
        ending: Ending::Truncated,
    });
    let abort = CancellationToken::new();
    let watch = abort.clone();
    let guard = abort.clone().drop_guard();
    tokio::spawn(async move {
        tokio::select! {
            () = aborted(&mut inbox) => watch.cancel(),
            () = watch.cancelled() => {}
        }
    });
    let idle = shared.idle_timeout();
    let chunks = relay::start(body, idle, abort, move |end| {
        let ending = match end {
            End::Complete => Ending::Served,
            End::Truncated => Ending::Truncated,
            End::CallerGone => Ending::Abandoned,
        };
        on_drop.input = Some(Input::Ended { id, ending });
        drop(on_drop);
        drop(guard);
    });
    let mut headers = crate::front::forward::response_headers(&head.headers);
    headers.insert("tarragon-owner", header_value(attempt.backend.as_str()));
    CallerResponse {
        outcome: Outcome::Done,
        reason: None,
        status: head.status,
        headers,
        body: Content::Stream(chunks),
    }
}

fn refusal(outcome: Outcome, reason: Reason, status: Option<u16>) -> CallerResponse {
    let mut response = CallerResponse::without_backend(outcome, reason);
    if let Some(status) = status {
        response
            .headers
            .insert(STATUS_HEADER, header_value(&status.to_string()));
    }
    response
}

async fn send_input(shared: &Shared, input: Input) {
    let _ = shared.control.send(Command::Input(input)).await;
}
