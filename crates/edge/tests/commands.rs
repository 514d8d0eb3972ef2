//! Orders to backend servers leave when they are due, or not at all.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{entry_at, state};
use futures::future::join_all;
use tarragon_edge::granting::command::{self, Due};
use tarragon_edge::pool::Pool;
use tarragon_owner::granter::{Action, Command, CommandOutcome};
use tarragon_owner::plan::Holder;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Time that the backend server takes for each order.
const SLOW: Duration = Duration::from_millis(500);
/// More orders than one backend server has connections for them.
const ORDERS: usize = 12;

/// A backend server that takes its time; it counts the orders that reach it.
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
                    tokio::time::sleep(SLOW).await;
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    if stream.write_all(answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn order(action: Action, from: u16) -> Command {
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

/// Sends many orders at once and returns how many reached the server, and how many did not leave.
async fn crowd(task: Action, late: Duration) -> (usize, usize) {
    let reached = Arc::new(AtomicUsize::new(0));
    let address = backend(reached.clone()).await;
    let state = Rc::new(state());
    state.update_server(entry_at("a", address), 1);
    let pool = Rc::new(Pool::default());
    let local = LocalSet::new();
    let sends = (0..ORDERS).map(|index| {
        let (state, pool) = (state.clone(), pool.clone());
        let order = order(task, u16::try_from(index).unwrap());
        local.spawn_local(async move {
            let office = Cell::new(state.now() + Duration::from_secs(9));
            let due = Due {
                order: &order,
                at: state.now(),
                late,
                office: &office,
            };
            command::send(&state, &pool, due).await
        })
    });
    let replies = local.run_until(join_all(sends.collect::<Vec<_>>())).await;
    let unsent = replies
        .into_iter()
        .filter(|sent| matches!(sent, Ok((CommandOutcome::NotSent, None))))
        .count();
    (reached.load(Ordering::SeqCst), unsent)
}

#[tokio::test]
async fn a_grant_that_waited_too_long_for_a_connection_is_not_sent() {
    let (reached, unsent) = crowd(Action::Grant, SLOW / 2).await;
    assert!(unsent > 0, "some waited");
    assert_eq!(reached + unsent, ORDERS);
}

#[tokio::test]
async fn a_grant_that_may_wait_is_sent() {
    assert_eq!(crowd(Action::Grant, SLOW * 3).await, (ORDERS, 0));
}

#[tokio::test]
async fn a_release_is_sent_however_late() {
    assert_eq!(crowd(Action::Release, SLOW / 2).await, (ORDERS, 0));
}

#[tokio::test]
async fn a_grant_does_not_leave_once_the_office_may_be_another_s() {
    let reached = Arc::new(AtomicUsize::new(0));
    let address = backend(reached.clone()).await;
    let state = state();
    state.update_server(entry_at("a", address), 1);
    let pool = Pool::default();
    let order = order(Action::Grant, 7);
    let office = Cell::new(state.now());
    tokio::time::sleep(Duration::from_millis(5)).await;
    let due = Due {
        order: &order,
        at: state.now(),
        late: SLOW,
        office: &office,
    };
    let send = command::send(&state, &pool, due);
    let (reply, left) = LocalSet::new().run_until(send).await;
    assert_eq!((reply, left), (CommandOutcome::NotSent, None));
    assert_eq!(reached.load(Ordering::SeqCst), 0);
}
