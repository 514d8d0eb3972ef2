//! What callers receive when a backend server answers with a status that no response can have.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::router::{answer, read_head, with_router};
use tarragon_dispatch::catalog::Kind;
use tokio::io::AsyncWriteExt;

/// Result of a request whose response has a broken status line, and of the one after it.
#[derive(Debug, PartialEq)]
struct Seen {
    /// Statuses that the caller received.
    statuses: [u16; 2],
    /// Number of requests that the server read, on each of its connections.
    read: Vec<u32>,
}

/// Sends two requests to a server that answers the first with `line` for a status line.
async fn answered_with(kind: Kind, line: &'static str, header_line: &'static str) -> Seen {
    with_router(kind, false, async |router| {
        let connections = Rc::new(Cell::new(Vec::<u32>::new()));
        let counted = connections.clone();
        let script = move |mut stream: tokio::net::TcpStream| {
            let connections = counted.clone();
            async move {
                let mut all = connections.take();
                let own = all.len();
                all.push(0);
                connections.set(all);
                while let Some(head) = read_head(&mut stream).await {
                    let mut all = connections.take();
                    let is_first = all.iter().sum::<u32>() == 0;
                    all[own] += 1;
                    connections.set(all);
                    let good = answer(&head, "body");
                    let text = match good.split_once("\r\n") {
                        Some((_, rest)) if is_first => format!("{line}\r\n{header_line}{rest}"),
                        _ => good,
                    };
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            }
        };
        router.add_server("a", script).await;
        let mut caller = router.connect().await;
        let mut statuses = [0; 2];
        for (number, status) in statuses.iter_mut().enumerate() {
            caller.send(&number.to_string(), None, "").await;
            *status = caller.response().await.0;
        }
        Seen {
            statuses,
            read: connections.take(),
        }
    })
    .await
}

macro_rules! broken_status {
    ($($name:ident: $line:expr, $header:expr;)*) => {$(
        /// Guards against a broken status that a caller takes for an answer, against a refusal of a
        /// request that may have run, and against another request on the connection.
        #[tokio::test]
        async fn $name() {
            let seen = answered_with(Kind::NonIdempotent, $line, $header).await;
            assert_eq!(seen, Seen { statuses: [502, 200], read: vec![1, 1] });
        }
    )*};
}

broken_status! {
    status_000: "HTTP/1.1 000 Nothing", "";
    status_099: "HTTP/1.1 099 Low", "";
    status_600: "HTTP/1.1 600 High", "";
    status_999: "HTTP/1.1 999 High", "";
    status_1000: "HTTP/1.1 1000 Long", "";
    status_with_two_digits: "HTTP/1.1 20 OK", "";
    status_with_a_sign: "HTTP/1.1 -20 OK", "";
    status_that_is_no_number: "HTTP/1.1 abc OK", "";
    no_status: "HTTP/1.1 ", "";
    no_status_and_no_space: "HTTP/1.1", "";
    other_version: "HTTP/7.0 200 OK", "";
    no_status_line: "200 OK", "";
    interim_status_alone: "HTTP/1.1 101 Switching", "";
    broken_status_that_states_not_run: "HTTP/1.1 000 Nothing", "x-not-run: 1\r\n";
    high_status_that_states_not_run: "HTTP/1.1 600 High", "x-not-run: 1\r\n";
}

/// Guards against a read that is not repeated after a broken status.
#[tokio::test]
async fn a_request_that_may_run_again_is_retried_after_a_broken_status() {
    for line in ["HTTP/1.1 000 Nothing", "HTTP/1.1 600 High"] {
        let seen = answered_with(Kind::Idempotent, line, "").await;
        assert_eq!(seen.statuses, [200, 200], "{line}: {seen:?}");
        assert_eq!(seen.read[0], 1, "{line}: {seen:?}");
    }
}
