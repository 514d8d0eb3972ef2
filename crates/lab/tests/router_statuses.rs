//! What callers receive when a backend server answers with a status that no response can have.

#[path = "standin/support.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
#[macro_use]
mod support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod router_fleet;

use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use http::Method;
use router_fleet::Fleet;
use serde_json::json;
use support::{BufferedResponse, call};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use uuid::Uuid;

/// Status lines of broken responses. Each has a key of its own.
const LINES: [&str; 10] = [
    "HTTP/1.1 000 Nothing",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 600 High",
    "HTTP/1.1 999 High",
    "HTTP/1.1 1000 Long",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 abc OK",
    "HTTP/1.1 ",
    "HTTP/1.1",
    "HTTP/1.1 101 Switching",
];
const HEALTH: &str = r#"{"state":"ready","instance":"odd-1"}"#;

/// Paths of the requests that a backend server read, by connection.
type Read = Arc<Mutex<Vec<Vec<String>>>>;

/// Serves health probes, and answers `/odd/vessel-N/` with the broken status line N, and all else
/// with 200.
async fn serve(stream: TcpStream, read: Read) -> std::io::Result<()> {
    let own = {
        let mut all = read.lock().unwrap();
        all.push(Vec::new());
        all.len() - 1
    };
    let mut stream = BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if stream.read_line(&mut head).await? == 0 {
                return Ok(());
            }
        }
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let number = path.strip_prefix("/odd/vessel-").and_then(|rest| {
            let (number, _) = rest.split_once('/')?;
            number.parse::<usize>().ok()
        });
        let line = number.and_then(|number| LINES.get(number));
        let line = line.unwrap_or(&"HTTP/1.1 200 OK");
        let body = if path == "/_health" { HEALTH } else { "body" };
        read.lock().unwrap()[own].push(path);
        let length = body.len();
        let text =
            format!("{line}\r\ntarragon-instance: odd-1\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.get_mut().write_all(text.as_bytes()).await?;
    }
}

async fn start_server(read: Read) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, read.clone()));
        }
    });
    addr
}

async fn order(caller: SocketAddr, number: usize) -> Result<BufferedResponse, String> {
    let id = Uuid::now_v7().to_string();
    let headers = [("idempotency-key", id.as_str())];
    let path = format!("/odd/vessel-{number}/");
    call(caller, Method::POST, &path, &headers, "x").await
}

cases! {
    // Guards against a broken status that a caller takes for an answer, against a refusal of a
    // request that may have run, and against another request on the connection.
    a_broken_status_is_an_unknown_outcome(dir) {
        let fleet = Fleet::start(&dir).await;
        let read = Read::default();
        let addr = start_server(read.clone()).await;
        let mut service = fleet.service("odd");
        service["checks_fences"] = json!(false);
        service["backends"] = json!([
            { "id": "o1", "addr": addr, "place": "karachi-1", "shard": 0 }
        ]);
        let file = dir.path("odd.json");
        fs::write(&file, service.to_string()).unwrap();
        fleet.ctl_ok(&["service", "create", file.to_str().unwrap()]);
        let caller = fleet.routers[0].caller;
        fleet.await_served(caller, "/odd/vessel-99/").await;
        let mut wrong = Vec::new();
        for (number, line) in LINES.iter().enumerate() {
            let response = order(caller, number).await;
            let found = response.as_ref().map(|r| (r.status.as_u16(), r.header("tarragon-outcome").to_owned()));
            if found != Ok((502, "unknown".to_owned())) {
                wrong.push(format!("{line}: {response:?}"));
            }
            // Attempts whose outcome is unknown keep the server from further requests for a while.
            fleet.await_served(caller, "/odd/vessel-99/").await;
        }
        for paths in read.lock().unwrap().iter() {
            let broken = paths.iter().position(|path| path.len() == "/odd/vessel-0/".len());
            if broken.is_some_and(|at| at + 1 < paths.len()) {
                wrong.push(format!("reused: {paths:?}"));
            }
        }
        assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    }
}
