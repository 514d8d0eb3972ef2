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
            let send_until = Cell::new(state.now() + Duration::from_secs(9));
            let pending = Pending {
                command: &command,
                due_at: state.now(),
                max_delay,
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
    let send_until = Cell::new(state.now());
    tokio::time::sleep(Duration::from_millis(5)).await;
    let pending = Pending {
        command: &command,
        due_at: state.now(),
        max_delay: RESPONSE_TIME,
        send_until: &send_until,
    };
    let exchange = command::send(&state, &pool, pending);
    let (outcome, sent) = LocalSet::new().run_until(exchange).await;
    assert_eq!((outcome, sent), (CommandOutcome::NotSent, None));
    assert_eq!(reached.load(Ordering::SeqCst), 0);
}
