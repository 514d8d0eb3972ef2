//! A planned stop under load: what was accepted is answered.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::router::{Router, answer, header, read_head, with_router};
use socket2::SockRef;
use tarragon_dispatch::catalog::Kind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// Number of callers.
const CALLERS: usize = 60;
/// Time that the backend server takes.
const WORK: Duration = Duration::from_millis(150);
/// Bytes of a response that does not fit into the caller's receive buffer.
const LARGE_BYTES: usize = 900_000;
/// Bytes of a request that the router leaves unread.
const UNREAD_BYTES: usize = 100_000;
/// Time within which every caller must have its response.
const LIMIT: Duration = Duration::from_secs(4);

async fn add_slow_server(router: &Router) {
    router
        .add_server("a", |mut stream| async move {
            while let Some(head) = read_head(&mut stream).await {
                sleep(WORK).await;
                let text = answer(&head, "done");
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        })
        .await;
}

/// Adds a backend server with a response of [`LARGE_BYTES`].
async fn add_large_server(router: &Router) {
    router
        .add_server("a", |mut stream| async move {
            while let Some(head) = read_head(&mut stream).await {
                sleep(WORK).await;
                let text = answer(&head, &"x".repeat(LARGE_BYTES));
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        })
        .await;
}

/// Opens a connection and sends a request without giving the router time to accept it.
fn send(router: &Router, id: usize) -> TcpStream {
    let mut stream = TcpStream::connect(router.address).unwrap();
    let request = format!("GET /p HTTP/1.1\r\nhost: h\r\nx-request: {id}\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Returns how many callers received a complete response; the others were cut off.
async fn count_responses(callers: Vec<TcpStream>) -> usize {
    let reads = callers.into_iter().map(|mut stream| {
        tokio::task::spawn_blocking(move || {
            stream.set_read_timeout(Some(LIMIT)).unwrap();
            let mut bytes = [0; 1_024];
            let read = stream.read(&mut bytes).unwrap_or_default();
            bytes[..read].starts_with(b"HTTP/1.1 ")
        })
    });
    let answered = futures::future::join_all(reads.collect::<Vec<_>>()).await;
    answered
        .into_iter()
        .filter(|done| matches!(done, Ok(true)))
        .count()
}

#[tokio::test]
async fn requests_that_wait_to_be_accepted_are_answered() {
    with_router(Kind::NonIdempotent, false, async |router| {
        add_slow_server(&router).await;
        let callers: Vec<_> = (0..CALLERS).map(|id| send(&router, id)).collect();
        router.state.drain.cancel();
        assert_eq!(count_responses(callers).await, CALLERS);
    })
    .await;
}

#[tokio::test]
async fn requests_that_were_just_accepted_are_answered() {
    with_router(Kind::NonIdempotent, false, async |router| {
        add_slow_server(&router).await;
        let mut callers = Vec::new();
        for id in 0..CALLERS {
            callers.push(send(&router, id));
            tokio::task::yield_now().await;
        }
        router.state.drain.cancel();
        assert_eq!(count_responses(callers).await, CALLERS);
    })
    .await;
}

#[tokio::test]
async fn a_request_on_a_kept_connection_is_answered_when_the_stop_begins() {
    with_router(Kind::NonIdempotent, false, async |router| {
        add_slow_server(&router).await;
        let mut caller = router.connect().await;
        caller.send("first", None, "").await;
        assert_eq!(caller.response().await.0, 200);
        caller.send("second", None, "").await;
        sleep(WORK / 3).await;
        router.state.drain.cancel();
        assert_eq!(caller.response().await.0, 200);
    })
    .await;
}

#[tokio::test]
async fn a_request_that_arrives_as_the_stop_begins_is_answered_and_closes_its_connection() {
    with_router(Kind::NonIdempotent, false, async |router| {
        add_slow_server(&router).await;
        let mut caller = router.connect().await;
        caller.send("first", None, "").await;
        assert_eq!(caller.response().await.0, 200);
        router.state.leaving.cancel();
        router.state.drain.cancel();
        sleep(WORK).await;
        caller.send("second", None, "").await;
        let head = read_head(&mut caller.0).await.expect("a response");
        assert!(head.starts_with("http/1.1 200"));
        assert_eq!(header(&head, "connection"), Some("close"));
    })
    .await;
}

/// Guards against a reset that discards the end of a response.
#[tokio::test]
async fn a_response_that_closes_its_connection_arrives_before_unread_requests() {
    with_router(Kind::NonIdempotent, false, async |router| {
        add_large_server(&router).await;
        let mut caller = router.connect().await;
        SockRef::from(&caller.0)
            .set_recv_buffer_size(65_536)
            .unwrap();
        router.state.leaving.cancel();
        caller.send("first", None, "").await;
        caller.send("second", None, &"y".repeat(UNREAD_BYTES)).await;
        sleep(2 * WORK).await;
        let (status, body) = caller.response().await;
        assert_eq!((status, body.len()), (200, LARGE_BYTES));
        let mut rest = Vec::new();
        caller.0.read_to_end(&mut rest).await.expect("no reset");
        assert_eq!(rest.len(), 0);
    })
    .await;
}
