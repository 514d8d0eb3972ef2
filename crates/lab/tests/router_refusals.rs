//! What routers refuse: bad requests, strangers on their ports, and objects that they cannot read.

#[path = "standin/support.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
#[macro_use]
mod support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod router_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use http::Method;
use router_fleet::Fleet;
use serde_json::json;
use support::call;
use tarragon_model::host::Peer;
use tarragon_router::peer::auth;
use tarragon_router::wire::{Challenge, decode, encode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;

/// Path that is served.
const PATH: &str = "/balance/vessel-9/?work_us=100";
/// UUID of version 7.
const VERSION_7: &str = "01890a5d-ac96-774b-bcce-b302099a8057";
/// UUID of version 4.
const VERSION_4: &str = "f47ac10b-58cc-4372-a567-0e02b2c3d479";
/// Longest time in which a connection must be answered or closed.
const ANSWER_TIME: Duration = Duration::from_secs(20);
/// Header fields that a request may have.
const MOST_FIELDS: usize = 64;
/// Refusals that must not become as many events.
const FLOOD: usize = 200;
/// Value that is no object of any kind.
const UNREADABLE: &str = "{\"trio\": 7, \"services\": \"none\"}";
/// Small limit on pauses, in milliseconds.
const IDLE_MS: u64 = 1_500;

/// Names a request, its answer's status, and its reason.
macro_rules! refused {
    ($($name:ident: $method:ident $path:expr, $headers:expr, $body:expr => $status:expr, $reason:expr;)*) => {
        /// Requests that are refused as not run, with the statuses and reasons they get.
        fn refusals() -> Vec<(&'static str, Method, String, Vec<(&'static str, String)>, String, u16, &'static str)> {
            vec![$((
                stringify!($name), Method::$method, $path.to_owned(), $headers, $body.to_owned(),
                $status, $reason,
            )),*]
        }
    };
}

refused! {
    no_key: GET "/balance", vec![], "" => 400, "bad-request";
    empty_key: GET "/balance//x", vec![], "" => 400, "bad-request";
    unknown_service: GET "/nothing/vessel-9", vec![], "" => 404, "no-service";
    no_identifier: POST PATH, vec![], "x" => 428, "no-identifier";
    other_version: POST PATH, vec![("idempotency-key", VERSION_4.to_owned())], "x"
        => 428, "no-identifier";
    no_uuid: DELETE PATH, vec![("idempotency-key", "seven".to_owned())], "" => 428, "no-identifier";
    bad_deadline: GET PATH, vec![("tarragon-deadline-ms", "soon".to_owned())], ""
        => 400, "bad-request";
    large_header: GET PATH, vec![("x-large", "x".repeat(20_000))], "" => 400, "bad-request";
    large_body: POST PATH, vec![("idempotency-key", VERSION_7.to_owned())], "x".repeat(1_100_000)
        => 400, "bad-request";
}

cases! {
    bad_requests_are_refused_as_not_run(dir) {
        let mut fleet = Fleet::start(&dir).await;
        for (name, method, path, headers, body, status, reason) in refusals() {
            let headers: Vec<_> = headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
            let caller = fleet.routers[0].caller;
            let answer = call(caller, method, &path, &headers, &body).await;
            let answer = answer.unwrap_or_else(|error| panic!("{name}: {error}"));
            assert_eq!(answer.status.as_u16(), status, "{name}: {answer:?}");
            assert_eq!(answer.header("tarragon-outcome"), "not-run", "{name}");
            assert_eq!(answer.header("tarragon-reason"), reason, "{name}");
        }
        let events = fleet.timeline_with(&["--kind", "request-refused"], "reason=no-service").await;
        for reason in ["bad-request", "no-identifier"] {
            assert!(events.contains(&format!("reason={reason}")), "{events}");
        }
        alive(&mut fleet).await;
    }

    too_many_header_fields_are_refused(dir) {
        let mut fleet = Fleet::start(&dir).await;
        let fields = "x-field: x\r\n".repeat(MOST_FIELDS + 1);
        let text = format!("GET {PATH} HTTP/1.1\r\n{fields}\r\n");
        let answer = send(fleet.routers[0].caller, &text).await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
        alive(&mut fleet).await;
    }

    half_sent_requests_are_closed(dir) {
        let mut fleet = Fleet::with_limits(&dir, json!({ "body_idle_ms": IDLE_MS })).await;
        let caller = fleet.routers[0].caller;
        let head = format!("POST {PATH} HTTP/1.1\r\nhost: x\r\nidempotency-key: {VERSION_7}\r\n");
        let half_head = send(caller, &head).await;
        assert_eq!(half_head, "", "a half-sent head is closed without an answer");
        let half_body = send(caller, &format!("{head}content-length: 100\r\n\r\nhalf")).await;
        assert!(half_body.contains("tarragon-reason: bad-request"), "{half_body}");
        assert!(half_body.contains("tarragon-outcome: not-run"), "{half_body}");
        fleet.timeline_with(&["--kind", "connection-idle"], "connection-idle").await;
        alive(&mut fleet).await;
    }

    garbage_harms_nothing(dir) {
        let mut fleet = Fleet::start(&dir).await;
        for port in [
            fleet.routers[0].caller, fleet.routers[0].forward, fleet.routers[0].admin,
            fleet.routers[0].peer,
        ] {
            let mut stream = TcpStream::connect(port).await.unwrap();
            stream.write_all(&[0xFF; 4_096]).await.unwrap();
            let mut answer = Vec::new();
            let ended = tokio::time::timeout(ANSWER_TIME, stream.read_to_end(&mut answer)).await;
            assert!(ended.is_ok(), "{port} stays open");
        }
        alive(&mut fleet).await;
    }

    stranger_on_the_peer_port_is_refused(dir) {
        let mut fleet = Fleet::start(&dir).await;
        introduce(fleet.routers[0].peer, b"another key, as long as the fleet's key is").await;
        fleet.timeline_with(&["--kind", "connection-refused"], "fleet key").await;
        alive(&mut fleet).await;
    }

    bad_frame_of_a_peer_is_noted(dir) {
        let mut fleet = Fleet::start(&dir).await;
        introduce(fleet.routers[0].peer, router_fleet::FLEET_KEY).await;
        fleet.timeline_with(&["--kind", "bad-frame"], "bad-frame").await;
        alive(&mut fleet).await;
    }

    stranger_on_the_forward_port_is_refused(dir) {
        let mut fleet = Fleet::start(&dir).await;
        let headers = [("tarragon-hop", "h2"), ("tarragon-fleet", "00ff")];
        let answer = call(fleet.routers[0].forward, Method::GET, PATH, &headers, "").await.unwrap();
        assert_eq!(answer.status, 400);
        assert_eq!(answer.header("tarragon-outcome"), "not-run");
        fleet.timeline_with(&["--kind", "connection-refused"], "fleet key").await;
        alive(&mut fleet).await;
    }

    unreadable_configuration_is_not_followed(dir) {
        let mut fleet = Fleet::start(&dir).await;
        overwrite(&fleet, "config", "main", UNREADABLE).await;
        fleet_events(&fleet, "bad-object", "config/main").await;
        alive(&mut fleet).await;
    }

    wrong_configuration_is_not_followed(dir) {
        let mut fleet = Fleet::start(&dir).await;
        let config = fleet.ask(fleet.store.addr, "/v1/objects/config/main").await;
        let mut value = config["value"].clone();
        value["services"][0]["slots"] = json!(0);
        overwrite(&fleet, "config", "main", &value.to_string()).await;
        fleet_events(&fleet, "config-refused", "config/main").await;
        alive(&mut fleet).await;
    }

    flood_of_refusals_is_summed_up(dir) {
        let fleet = Fleet::start(&dir).await;
        let caller = fleet.routers[0].caller;
        for _ in 0..FLOOD {
            let answer = call(caller, Method::GET, "/nothing/x", &[], "").await.unwrap();
            assert_eq!(answer.status, 404);
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let events = fleet.done(&["timeline", "--kind", "request-refused"]);
        let counts = events.split_whitespace().filter_map(|word| word.strip_prefix("count="));
        let counts: Vec<usize> = counts.map(|count| count.parse().unwrap()).collect();
        assert_eq!(counts.iter().sum::<usize>(), FLOOD, "{events}");
        assert!(counts.len() < FLOOD / 4, "{events}");
    }

    unreadable_record_is_not_followed(dir) {
        let mut fleet = Fleet::start(&dir).await;
        overwrite(&fleet, "shards", "balance.0", UNREADABLE).await;
        fleet_events(&fleet, "bad-object", "shards/balance.0").await;
        alive(&mut fleet).await;
    }

    connections_beyond_the_limit_are_refused(dir) {
        let mut fleet = Fleet::with_limits(&dir, json!({ "connections": 3 })).await;
        let caller = fleet.routers[0].caller;
        let mut kept = Vec::new();
        for _ in 0..3 {
            let mut stream = TcpStream::connect(caller).await.unwrap();
            let request = format!("GET {PATH} HTTP/1.1\r\nhost: x\r\n\r\n");
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut start = [0; 12];
            stream.read_exact(&mut start).await.unwrap();
            assert_eq!(&start, b"HTTP/1.1 200");
            kept.push(stream);
        }
        assert!(call(caller, Method::GET, PATH, &[], "").await.is_err());
        fleet.timeline_with(&["--kind", "connection-refused"], &caller.to_string()).await;
        drop(kept);
        alive(&mut fleet).await;
    }
}

/// Checks that all processes live and that each host serves.
async fn alive(fleet: &mut Fleet) {
    for at in 0..fleet.routers.len() {
        let caller = fleet.routers[at].caller;
        fleet.served(caller, PATH).await;
        assert!(fleet.routers[at].ended().is_none());
    }
}

/// Sends bytes and returns what comes until the connection is closed.
async fn send(addr: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(ANSWER_TIME, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the connection stays open: {answer:?}");
    String::from_utf8(answer).unwrap()
}

/// Introduces itself on the peer port, then sends a frame that cannot be read, and waits for the
/// end of the connection.
async fn introduce(addr: SocketAddr, key: &[u8]) {
    let stream = TcpStream::connect(addr).await.unwrap();
    let url = format!("ws://{addr}/");
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    let challenge = socket.next().await.unwrap().unwrap().into_data();
    let challenge: Challenge = decode(&challenge).unwrap();
    let me = Peer::new("h9".into(), 1);
    let answer = encode(&auth::respond(key, &challenge, &me)).unwrap();
    socket.send(Message::Binary(answer.into())).await.unwrap();
    // The other side may close before this frame.
    let _ = socket.send(Message::Binary(vec![0xFF; 64].into())).await;
    let ended = async { while let Some(Ok(_)) = socket.next().await {} };
    tokio::time::timeout(ANSWER_TIME, ended)
        .await
        .expect("the connection stays open");
}

/// Writes a value over an object.
async fn overwrite(fleet: &Fleet, kind: &str, name: &str, body: &str) {
    let path = format!("/v1/objects/{kind}/{name}");
    for _ in 0..20 {
        let object = fleet.ask(fleet.store.addr, &path).await;
        let path = format!("{path}?if_version={}", object["version"]);
        let answer = call(fleet.store.addr, Method::PUT, &path, &[], body)
            .await
            .unwrap();
        if answer.status == 200 {
            return;
        }
    }
    panic!("{path} changes all the time");
}

/// Waits until the events of the first host hold one of a kind about an object.
///
/// The hosts are asked, not `tarragonctl`, which needs a readable configuration for its part.
async fn fleet_events(fleet: &Fleet, kind: &str, object: &str) {
    let end = std::time::Instant::now() + support::TIMEOUT;
    while std::time::Instant::now() < end {
        let events = fleet.ask(fleet.routers[0].admin, "/events?after=0").await;
        let text = events["events"].to_string();
        if text.contains(&format!("\"{kind}\"")) && text.contains(object) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no {kind} about {object}");
}
