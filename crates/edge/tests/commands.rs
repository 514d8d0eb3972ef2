//! Commands to backend servers: a grant is sent in time or not at all, a release however late.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{entry_at, state};
use futures::future::join_all;
use tarragon_dispatch::catalog::{Catalog, Service};
use tarragon_dispatch::fleet::Entry;
use tarragon_edge::granting::command::{self, Pending};
use tarragon_edge::pool::Pool;
use tarragon_owner::granter::{Action, Command, CommandOutcome};
use tarragon_owner::plan::Holder;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Time that the backend server takes for each command.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// More commands than there are connections for them to one backend server.
const COMMANDS: usize = 12;

/// Starts a slow backend server that counts the commands that reach it.
async fn backend(reached: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let reached = reached.clone();
            tokio::spawn(async move {
                let mut bytes = [0; 4_096];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
                    reached.fetch_add(1, Ordering::SeqCst);
                    tokio::time::sleep(RESPONSE_TIME).await;
                    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    if stream.write_all(response).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn command(action: Action, from: u16) -> Command {
    Command {
        number: 0,
        action,
        server: Holder {
            id: "a".to_owned(),
            start_ms: 1,
        },
        from,
        to: from,
        fence: 3,
        handover: None,
    }
}

/// Sends [`COMMANDS`] at once; returns how many reached the server, and how many were not sent.
async fn send_all(action: Action, max_delay: Duration) -> (usize, usize) {
    let reached = Arc::new(AtomicUsize::new(0));
    let address = backend(reached.clone()).await;
    let state = Rc::new(state());
    state.update_server(entry_at("a", address), 1);
    let pool = Rc::new(Pool::default());
    let local = LocalSet::new();
    let sends = (0..COMMANDS).map(|index| {
        let (state, pool) = (state.clone(), pool.clone());
        let command = command(action, u16::try_from(index).unwrap());
        local.spawn_local(async move {
            let send_until = Rc::new(Cell::new(state.now() + Duration::from_secs(9)));
            let pending = Pending {
                command: &command,
                due_at: state.now(),
                max_delay,
                response_timeout: RESPONSE_TIME * 2,
                send_until: &send_until,
            };
            command::send(&state, &pool, pending).await
        })
    });
    let outcomes = local.run_until(join_all(sends.collect::<Vec<_>>())).await;
    let unsent = outcomes
        .into_iter()
        .filter(|sent| matches!(sent, Ok((CommandOutcome::NotSent, None))))
        .count();
    (reached.load(Ordering::SeqCst), unsent)
}

#[tokio::test]
async fn a_grant_that_waited_too_long_for_a_connection_is_not_sent() {
    let (reached, unsent) = send_all(Action::Grant, RESPONSE_TIME / 2).await;
    assert!(unsent > 0, "some waited");
    assert_eq!(reached + unsent, COMMANDS);
}

#[tokio::test]
async fn a_grant_that_may_wait_is_sent() {
    assert_eq!(
        send_all(Action::Grant, RESPONSE_TIME * 3).await,
        (COMMANDS, 0)
    );
}

#[tokio::test]
async fn a_release_is_sent_however_late() {
    assert_eq!(
        send_all(Action::Release, RESPONSE_TIME / 2).await,
        (COMMANDS, 0)
    );
}

#[tokio::test]
async fn a_grant_is_not_sent_once_another_host_may_be_granter() {
    let reached = Arc::new(AtomicUsize::new(0));
    let address = backend(reached.clone()).await;
    let state = state();
    state.update_server(entry_at("a", address), 1);
    let pool = Pool::default();
    let command = command(Action::Grant, 7);
    let send_until = Rc::new(Cell::new(state.now()));
    tokio::time::sleep(Duration::from_millis(5)).await;
    let pending = Pending {
        command: &command,
        due_at: state.now(),
        max_delay: RESPONSE_TIME,
        response_timeout: RESPONSE_TIME * 2,
        send_until: &send_until,
    };
    let exchange = command::send(&state, &pool, pending);
    let (outcome, sent) = LocalSet::new().run_until(exchange).await;
    assert_eq!((outcome, sent), (CommandOutcome::NotSent, None));
    assert_eq!(reached.load(Ordering::SeqCst), 0);
}

/// Accepts connections, reads one command from each without responding, and returns how many
/// connections its peer reset.
async fn silent_backend() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let resets = Arc::new(AtomicUsize::new(0));
    let counted = resets.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let resets = counted.clone();
            tokio::spawn(async move {
                let mut bytes = [0; 4_096];
                let first = stream.read(&mut bytes).await;
                assert!(first.is_ok_and(|read| read > 0), "a command");
                let end = stream.read(&mut bytes).await;
                // A peer that only closed its connection would still accept the first write.
                tokio::time::sleep(Duration::from_millis(10)).await;
                if end.is_err() || stream.write_all(b"x").await.is_err() {
                    resets.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    (address, resets)
}

#[tokio::test]
async fn a_grant_without_a_response_is_given_up_and_its_bytes_are_discarded() {
    let (address, resets) = silent_backend().await;
    let state = state();
    state.update_server(entry_at("a", address), 1);
    let response_timeout = Duration::from_millis(200);
    let pool = command::pool(response_timeout);
    let command = command(Action::Grant, 7);
    let send_until = Rc::new(Cell::new(state.now() + Duration::from_secs(9)));
    let began = state.now();
    let work = async {
        for expected in 1..=2 {
            let pending = Pending {
                command: &command,
                due_at: state.now(),
                max_delay: RESPONSE_TIME,
                response_timeout,
                send_until: &send_until,
            };
            let (outcome, sent) = command::send(&state, &pool, pending).await;
            assert_eq!(outcome, CommandOutcome::Unknown);
            assert!(sent.is_some());
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert_eq!(resets.load(Ordering::SeqCst), expected, "reset, not closed");
        }
    };
    LocalSet::new().run_until(work).await;
    assert!(state.now().since(began) < response_timeout * 4);
}

/// Answers every command with a status.
async fn answering_backend(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 4_096];
            if stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
                let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                stream.write_all(text.as_bytes()).await.unwrap();
            }
        }
    });
    address
}

macro_rules! classifies {
    ($name:ident, $status:literal, $executed:expr, $outcome:expr) => {
        #[tokio::test]
        async fn $name() {
            let state = state();
            state.update_server(entry_at("a", answering_backend($status).await), 1);
            let pool = command::pool(RESPONSE_TIME);
            let command = command(Action::Grant, 7);
            let send_until = Rc::new(Cell::new(state.now() + RESPONSE_TIME));
            let pending = Pending {
                command: &command,
                due_at: state.now(),
                max_delay: RESPONSE_TIME,
                response_timeout: RESPONSE_TIME,
                send_until: &send_until,
            };
            let exchange = command::send(&state, &pool, pending);
            let (outcome, sent) = LocalSet::new().run_until(exchange).await;
            assert_eq!((outcome, sent.is_some()), ($outcome, $executed));
        }
    };
}

classifies!(
    an_accepted_grant,
    "200 OK",
    true,
    CommandOutcome::Done { handover: None }
);
classifies!(
    a_grant_with_an_old_fence,
    "409 Conflict",
    true,
    CommandOutcome::StaleFence
);
classifies!(
    a_grant_that_another_server_refuses,
    "421 Misdirected",
    false,
    CommandOutcome::Refused
);
classifies!(
    a_grant_that_the_server_cannot_read,
    "400 Bad Request",
    false,
    CommandOutcome::Refused
);
classifies!(
    a_grant_that_a_full_server_refuses,
    "503 Service Unavailable",
    true,
    CommandOutcome::Unknown
);
classifies!(
    a_grant_answered_with_a_status_that_promises_nothing,
    "404 Not Found",
    true,
    CommandOutcome::Unknown
);
classifies!(
    a_grant_whose_execution_is_unknown,
    "500 Failed",
    true,
    CommandOutcome::Unknown
);

/// Sends a grant and a release to a server whose address a later entry of `service` has too, while
/// the catalog names the services `s` and `t`; returns whether each was done, and how many arrived.
async fn send_beside_later_entry(service: &str) -> ([bool; 2], usize) {
    let reached = Arc::new(AtomicUsize::new(0));
    let address = backend(reached.clone()).await;
    let state = state();
    let services = ["s", "t"].map(|name| Service {
        name: name.to_owned(),
        connections: 100,
        keyed: true,
        warmup: None,
    });
    let catalog = Catalog {
        version: 1,
        services: services.to_vec(),
        ..Catalog::default()
    };
    state.apply_catalog(catalog, 1);
    state.update_server(entry_at("a", address), 1);
    let later = Entry {
        start_ms: 2,
        service: service.to_owned(),
        ..entry_at("b", address)
    };
    state.update_server(later, 2);
    let pool = command::pool(RESPONSE_TIME * 2);
    let send_until = Rc::new(Cell::new(state.now() + RESPONSE_TIME * 4));
    let mut done = [false; 2];
    for (action, done) in [Action::Grant, Action::Release].into_iter().zip(&mut done) {
        let pending = Pending {
            command: &command(action, 7),
            due_at: state.now(),
            max_delay: RESPONSE_TIME,
            response_timeout: RESPONSE_TIME * 2,
            send_until: &send_until,
        };
        let exchange = command::send(&state, &pool, pending);
        let (outcome, _) = LocalSet::new().run_until(exchange).await;
        match outcome {
            CommandOutcome::Done { .. } => *done = true,
            outcome => assert_eq!(outcome, CommandOutcome::NotSent),
        }
    }
    (done, reached.load(Ordering::SeqCst))
}

#[tokio::test]
async fn no_command_goes_to_an_address_that_another_server_uses() {
    assert_eq!(send_beside_later_entry("t").await, ([false; 2], 0));
}

/// Guards against a holder that loses its keys by another program's entry with its address.
#[tokio::test]
async fn an_entry_of_an_unnamed_service_takes_no_address() {
    assert_eq!(send_beside_later_entry("unnamed").await, ([true; 2], 2));
}

/// Guards against a late copy of a refusal that is taken for the response to a later grant.
#[tokio::test]
async fn a_connection_that_carried_a_refusal_carries_no_further_grant() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let opened = Arc::new(AtomicUsize::new(0));
    let counted = opened.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let mut bytes = [0; 4_096];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
                    let response = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
                    if stream.write_all(response).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    let state = state();
    state.update_server(entry_at("a", address), 1);
    let pool = command::pool(RESPONSE_TIME);
    let command = command(Action::Grant, 7);
    let send_until = Rc::new(Cell::new(state.now() + RESPONSE_TIME * 4));
    let work = async {
        for _ in 0..2 {
            let pending = Pending {
                command: &command,
                due_at: state.now(),
                max_delay: RESPONSE_TIME,
                response_timeout: RESPONSE_TIME,
                send_until: &send_until,
            };
            let (outcome, _) = command::send(&state, &pool, pending).await;
            assert_eq!(outcome, CommandOutcome::Refused);
        }
    };
    LocalSet::new().run_until(work).await;
    assert_eq!(opened.load(Ordering::SeqCst), 2);
}

/// Sends one command to a server that answers with `start` and then `part` without end; returns the
/// outcome after the server's connection has closed.
async fn endless_response(
    action: Action,
    start: &'static str,
    part: &'static str,
) -> CommandOutcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let state = Rc::new(state());
    state.update_server(entry_at("a", listener.local_addr().unwrap()), 1);
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await.unwrap();
        let mut sent = stream.write_all(start.as_bytes()).await;
        while sent.is_ok() {
            sent = stream.write_all(part.repeat(512).as_bytes()).await;
        }
    };
    let sending = async {
        let command = command(action, 7);
        let send_until = Rc::new(Cell::new(state.now() + Duration::from_secs(9)));
        let pending = Pending {
            command: &command,
            due_at: state.now(),
            max_delay: RESPONSE_TIME,
            response_timeout: RESPONSE_TIME,
            send_until: &send_until,
        };
        command::send(&state, &Pool::default(), pending).await.0
    };
    let exchange = async { tokio::join!(sending, server).0 };
    let ended = tokio::time::timeout(RESPONSE_TIME * 2, exchange);
    let ended = Box::pin(LocalSet::new().run_until(ended)).await;
    ended.expect("an end in time")
}

macro_rules! endless_response {
    ($($name:ident: $action:ident, $start:expr, $part:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let outcome = endless_response(Action::$action, $start, $part).await;
            assert!(matches!(outcome, CommandOutcome::Unknown), "{outcome:?}");
        }
    )*};
}

const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

endless_response! {
    a_grant_ends_in_spite_of_interim_responses: Grant, "", INTERIM;
    a_release_ends_in_spite_of_interim_responses: Release, "", INTERIM;
    a_grant_ends_in_spite_of_a_head: Grant, "HTTP/1.1 200 OK\r\n", "x-more: 1\r\n";
    a_release_ends_in_spite_of_a_head: Release, "HTTP/1.1 200 OK\r\n", "x-more: 1\r\n";
    a_grant_ends_in_spite_of_a_body: Grant, CHUNKED, "1\r\nx\r\n";
    a_release_ends_in_spite_of_a_body: Release, CHUNKED, "1\r\nx\r\n";
    a_release_ends_in_spite_of_a_chunk_size: Release, CHUNKED, "0";
}
