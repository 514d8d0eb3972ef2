//! Backend servers that send without end: their connections are closed, their callers learn that
//! there is no answer, and the other callers of the host are served meanwhile.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::router::{Caller, Router, TIMEOUT, answer, header, read_head, with_router};
use tarragon_dispatch::catalog::Kind;
use tarragon_edge::keys::{Map, Range};
use tarragon_owner::plan::Holder;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Most time that an answer may take beyond the route's timeout.
const SLACK: Duration = Duration::from_millis(400);
/// Requests to the backend server that sends without end.
const REQUESTS: usize = 12;
/// Last key of that server.
const LAST_KEY: u16 = 0x7fff;

/// What a caller learns of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Learned {
    /// 502 or 504.
    Failed,
    /// 503: the backend server refused the request, or it was not sent.
    Refused,
    /// A success whose body has no end.
    Cut,
    /// A whole success.
    Whole,
}

/// What a backend server sends.
#[derive(Clone, Copy)]
struct Script {
    /// Text before the request is read.
    before: &'static str,
    /// Text after the request was read, with its identifier in place of `{id}`.
    start: &'static str,
    /// Text that is then sent without end.
    part: &'static str,
}

impl Script {
    /// Serves a connection, and counts the requests that it read.
    async fn run(self, mut stream: TcpStream, read: &Cell<usize>) {
        let part = self.part.repeat(0x4000 / self.part.len() + 1);
        let mut sent = stream.write_all(self.before.as_bytes()).await;
        if self.before.is_empty() {
            let Some(head) = read_head(&mut stream).await else {
                return;
            };
            read.set(read.get() + 1);
            let id = header(&head, "x-request").unwrap_or_default();
            sent = stream
                .write_all(self.start.replace("{id}", id).as_bytes())
                .await;
        }
        while sent.is_ok() {
            sent = stream.write_all(part.as_bytes()).await;
        }
    }
}

/// Divides the keys between the servers `endless` and `good`.
fn grant_halves(router: &Router) {
    let range = |to, id: &str| Range {
        to,
        holder: Holder {
            id: id.to_owned(),
            start_ms: 1,
        },
        held: true,
    };
    let map = Map {
        version: (1, 1),
        sequence: 1,
        ranges: vec![range(LAST_KEY, "endless"), range(u16::MAX, "good")],
    };
    router.state.update_key_map("s", map);
}

/// Reads what a caller learns until its connection ends or the time is over.
async fn learn(mut caller: Caller) -> Learned {
    let mut received = Vec::new();
    let end = TIMEOUT * 2 + SLACK;
    let ended = timeout(end, caller.0.read_to_end(&mut received)).await;
    let text = String::from_utf8_lossy(&received[..received.len().min(0x1000)]);
    let status = text.split(' ').nth(1).unwrap_or_default();
    match status {
        "502" | "504" => Learned::Failed,
        "503" => Learned::Refused,
        "200" if received.ends_with(b"whole") => Learned::Whole,
        "200" if ended.is_ok() && !received.ends_with(b"0\r\n\r\n") => Learned::Cut,
        _ => panic!("status {status} after {} bytes, {ended:?}", received.len()),
    }
}

/// Has requests served by the other backend server, each within the route's timeout, until `done`.
async fn serve_others(router: &Router, done: &Cell<bool>) {
    let mut caller = router.connect().await;
    while !done.get() {
        caller.send("good", Some(u16::MAX), "").await;
        assert_eq!(caller.response().await, (200, "good".to_owned()));
        sleep(Duration::from_millis(5)).await;
    }
}

async fn check(script: Script, expected: Learned) {
    with_router(Kind::NonIdempotent, true, async |router| {
        let open = Rc::new(Cell::new(0));
        let read = Rc::new(Cell::new(0));
        let (counted, heads) = (open.clone(), read.clone());
        router
            .add_server("endless", move |stream| {
                let (open, read) = (counted.clone(), heads.clone());
                async move {
                    open.set(open.get() + 1);
                    script.run(stream, &read).await;
                    open.set(open.get() - 1);
                }
            })
            .await;
        router
            .add_server("good", |mut stream| async move {
                while let Some(head) = read_head(&mut stream).await {
                    let text = answer(&head, "good");
                    stream.write_all(text.as_bytes()).await.unwrap();
                }
            })
            .await;
        grant_halves(&router);
        let done = Cell::new(false);
        let callers = async {
            let mut callers = Vec::new();
            for index in 0..REQUESTS {
                let mut caller = router.connect().await;
                caller.send(&format!("x{index}"), Some(7), "").await;
                callers.push(learn(caller));
            }
            let learned = futures::future::join_all(callers).await;
            done.set(true);
            learned
        };
        let (learned, ()) = tokio::join!(callers, serve_others(&router, &done));
        let others = learned.iter().filter(|each| **each != expected);
        let refused = others.clone().filter(|each| **each == Learned::Refused);
        assert_eq!(others.count(), refused.clone().count(), "{learned:?}");
        assert!(
            refused.count() + read.get() <= REQUESTS,
            "refused, but sent"
        );
        sleep(SLACK).await;
        assert_eq!(open.get(), 0, "connections are open");
        assert_eq!(router.state.body_memory.used(), 0);
    })
    .await;
}

macro_rules! without_end {
    ($($name:ident: $before:expr, $start:expr, $part:expr, $expected:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let script = Script {
                before: $before,
                start: $start,
                part: $part,
            };
            check(script, Learned::$expected).await;
        }
    )*};
}

/// Head of an answer to a request, and further header lines.
macro_rules! head {
    ($status:literal, $lines:literal) => {
        concat!(
            "HTTP/1.1 ",
            $status,
            "\r\nx-request: {id}\r\nx-receipt: 1\r\n",
            $lines,
            "\r\n"
        )
    };
}

without_end! {
    status_line: "", "HTTP/1.1 200 ", "OK", Failed;
    header_lines: "", "HTTP/1.1 200 OK\r\n", "x-more: 1\r\n", Failed;
    header_value: "", "HTTP/1.1 200 OK\r\nx-more: ", "1", Failed;
    header_value_over_lines: "", "HTTP/1.1 200 OK\r\nx-more: 1\r\n", " 1\r\n", Failed;
    empty_lines: "", "", "\r\n", Failed;
    interim_responses: "", "", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n", Failed;
    bytes_after_a_change_of_protocol:
        "", head!("101 Switching Protocols", "upgrade: x\r\nconnection: upgrade\r\n"), "x", Failed;
    chunk_of_huge_size:
        "", head!("200 OK", "transfer-encoding: chunked\r\n"), "fffffffffffffff\r\n", Cut;
    chunk_size:
        "", head!("200 OK", "transfer-encoding: chunked\r\n"), "0", Failed;
    chunks_of_one_byte:
        "", head!("200 OK", "transfer-encoding: chunked\r\n"), "1\r\nx\r\n", Failed;
    chunk_extension:
        "", concat!(head!("200 OK", "transfer-encoding: chunked\r\n"), "1;"), "x", Failed;
    trailers:
        "", concat!(head!("200 OK", "transfer-encoding: chunked\r\n"), "5\r\nwhole\r\n0\r\n"),
        "x-more: 1\r\n", Failed;
    body_of_huge_length: "", head!("200 OK", "content-length: 9223372036854775808\r\n"), "x", Cut;
    body_until_close: "", head!("200 OK", "connection: close\r\n"), "x", Cut;
    body_of_a_refusal: "", head!("503 Full", "x-not-run: 1\r\nconnection: close\r\n"), "x", Refused;
    bytes_after_an_answer:
        "", concat!(head!("200 OK", "content-length: 5\r\n"), "whole"), "x", Whole;
    answers_after_an_answer:
        "", concat!(head!("200 OK", "content-length: 5\r\n"), "whole"),
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", Whole;
    bytes_before_a_request: "x", "", "x", Failed;
    interim_responses_before_a_request:
        "HTTP/1.1 100 Continue\r\n\r\n", "", "HTTP/1.1 100 Continue\r\n\r\n", Failed;
}
