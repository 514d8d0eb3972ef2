//! Running a request on its shard's leader.

use std::time::Duration;

use http::{HeaderMap, HeaderName};
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_node::input::{Ending, Input, Submission};
use tarragon_node::output::Attempt;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use volo_http::response::Response;

use crate::backend::{Call, Client, INSTANCE_HEADER, REFUSED_HEADER, ending, text, value};
use crate::control::{Command, Decision, decisions};
use crate::front::parse::{DEADLINE_HEADER, Task};
use crate::front::relay::{self, End};
use crate::front::reply::{Answer, Content, STATUS_HEADER};
use crate::shared::Shared;
use crate::view::Lease;

/// Time that the decisions may take beyond a request's deadline.
const GRACE: Duration = Duration::from_millis(250);

/// Runs a request: asks for decisions and carries them out until there is an answer.
pub async fn run(shared: &Shared, client: &Client, task: &Task) -> Answer {
    let id = shared.next_request();
    let (sender, mut inbox) = decisions();
    let command = Command::Submit {
        submission: submission(id, task),
        decisions: sender,
    };
    if shared.control.send(command).await.is_err() {
        return Answer::refuse(Reason::Draining);
    }
    let mut leave = Leave {
        shared: shared.clone(),
        id,
        input: Some(Input::Cancelled { id }),
    };
    loop {
        match inbox.recv().await {
            Some(Decision::Dispatch { order, lease }) => {
                leave.input = Some(Input::Ended {
                    id,
                    ending: Ending::Abandoned,
                });
                let sent = send(shared, client, task, &order, &lease, &mut inbox).await;
                match sent {
                    Ok(response) => return pass(shared, id, &order, response, inbox, leave),
                    Err(ending) => {
                        leave.input = Some(Input::Cancelled { id });
                        tell(shared, Input::Ended { id, ending }).await;
                    }
                }
            }
            Some(Decision::Refuse {
                outcome,
                reason,
                status,
            }) => {
                leave.input = None;
                shared.tally.decided(&task.shard, &task.key, reason);
                return told(outcome, reason, status);
            }
            Some(Decision::Abort) => {}
            None => {
                leave.input = None;
                return Answer::told(Outcome::Unknown, Reason::BackendFailed);
            }
        }
    }
}

/// Tells the decisions what became of a request whose handling is dropped.
struct Leave {
    shared: Shared,
    id: u64,
    input: Option<Input>,
}

impl Drop for Leave {
    fn drop(&mut self) {
        let Some(input) = self.input.take() else {
            return;
        };
        if let Err(error) = self.shared.control.try_send(Command::Input(input)) {
            log::warn!("event=input-dropped request={} error=\"{error}\"", self.id);
        }
    }
}

fn submission(id: u64, task: &Task) -> Submission {
    Submission {
        id,
        service: task.shard.service.clone(),
        shard: task.shard.clone(),
        key: task.hash,
        group: task.group,
        class: task.class,
        deadline: task.deadline,
        idempotent: task.idempotent,
        identifier: task.identifier,
        fingerprint: task.fingerprint,
    }
}

/// Hands the request to a backend server and waits for the head of its answer.
async fn send(
    shared: &Shared,
    client: &Client,
    task: &Task,
    order: &Attempt,
    lease: &Lease,
    inbox: &mut mpsc::Receiver<Decision>,
) -> Result<Response, Ending> {
    let headers = headers(shared, task, order);
    let call = Call {
        addr: shared.dialled(order.addr),
        method: &task.method,
        path: &task.path,
        headers: &headers,
        body: task.body.clone(),
    };
    if !lease.holds(shared.clock.at()) {
        return Err(Ending::NotSent);
    }
    shared.metrics.dispatched();
    let patience = task.deadline.since(shared.clock.at()) + GRACE;
    let response = tokio::select! {
        response = timeout(patience, client.send(call)) => response,
        () = aborted(inbox) => return Err(Ending::Aborted),
    };
    let response = match response {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(ending(&error)),
        Err(_) => return Err(Ending::Aborted),
    };
    match text(response.headers(), REFUSED_HEADER) {
        Some(why) => Err(Ending::Refused {
            fenced: matches!(why, "fence" | "expired"),
        }),
        None => Ok(response),
    }
}

async fn aborted(inbox: &mut mpsc::Receiver<Decision>) {
    loop {
        match inbox.recv().await {
            Some(Decision::Abort) => return,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

fn headers(shared: &Shared, task: &Task, order: &Attempt) -> HeaderMap {
    let left = task.deadline.since(shared.clock.at()).as_millis();
    let mut headers = task.headers.clone();
    let mut set = |name: &'static str, text: &str| {
        headers.insert(HeaderName::from_static(name), value(text));
    };
    set("tarragon-fence", &order.fence.to_string());
    set("tarragon-shard", &order.shard.object_name());
    set("tarragon-key", &task.key);
    set(DEADLINE_HEADER, &left.to_string());
    headers.remove(super::HOP_HEADER);
    headers.remove(super::FLEET_HEADER);
    headers
}

/// Passes the backend server's answer on.
fn pass(
    shared: &Shared,
    id: u64,
    order: &Attempt,
    response: Response,
    mut inbox: mpsc::Receiver<Decision>,
    mut leave: Leave,
) -> Answer {
    let (head, body) = response.into_parts();
    let instance = text(&head.headers, INSTANCE_HEADER).map(ToOwned::to_owned);
    let responded = Input::Responded {
        id,
        status: head.status.as_u16(),
        instance,
    };
    if let Err(error) = shared.control.try_send(Command::Input(responded)) {
        log::warn!("event=input-dropped request={id} error=\"{error}\"");
    }
    leave.input = Some(Input::Ended {
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
    let idle = shared.patience();
    let chunks = relay::start(body, idle, abort, move |end| {
        let ending = match end {
            End::Whole => Ending::Served,
            End::Cut => Ending::Truncated,
            End::CallerGone => Ending::Abandoned,
        };
        leave.input = Some(Input::Ended { id, ending });
        drop(leave);
        drop(guard);
    });
    let mut headers = crate::front::forward::passed_back(&head.headers);
    headers.insert("tarragon-owner", value(order.backend.as_str()));
    Answer {
        outcome: Outcome::Done,
        reason: None,
        status: head.status,
        headers,
        body: Content::Stream(chunks),
    }
}

fn told(outcome: Outcome, reason: Reason, status: Option<u16>) -> Answer {
    let mut answer = Answer::told(outcome, reason);
    if let Some(status) = status {
        answer
            .headers
            .insert(STATUS_HEADER, value(&status.to_string()));
    }
    answer
}

async fn tell(shared: &Shared, input: Input) {
    let _ = shared.control.send(Command::Input(input)).await;
}
