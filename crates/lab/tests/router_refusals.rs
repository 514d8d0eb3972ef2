//! What routers refuse: bad requests, unauthenticated connections and unreadable objects.

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

/// Path of a request that is served.
const PATH: &str = "/balance/vessel-9/?work_us=100";
/// UUID of version 7.
const VERSION_7: &str = "01890a5d-ac96-774b-bcce-b302099a8057";
/// UUID of version 4.
const VERSION_4: &str = "f47ac10b-58cc-4372-a567-0e02b2c3d479";
/// Time limit for a connection to be closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Limit on the header fields of a request.
const MAX_FIELDS: usize = 64;
/// Number of refusals that must be merged into far fewer events.
const FLOOD: usize = 200;
/// Value that parses as no kind of object.
const UNREADABLE: &str = "{\"trio\": 7, \"services\": \"none\"}";
/// Short limit on idle time within a body, in milliseconds.
const IDLE_MS: u64 = 1_500;

/// Defines refused requests by name, with the status and reason of the response.
macro_rules! refused {
    ($($name:ident: $method:ident $path:expr, $headers:expr, $body:expr => $status:expr, $reason:expr;)*) => {
        /// Returns the requests, which are all refused as not run.
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
            let response = call(caller, method, &path, &headers, &body).await;
            let response = response.unwrap_or_else(|error| panic!("{name}: {error}"));
            assert_eq!(response.status.as_u16(), status, "{name}: {response:?}");
            assert_eq!(response.header("tarragon-outcome"), "not-run", "{name}");
            assert_eq!(response.header("tarragon-reason"), reason, "{name}");
        }
        let events = fleet.timeline_with(&["--kind", "request-refused"], "reason=no-service").await;
        for reason in ["bad-request", "no-identifier"] {
            assert!(events.contains(&format!("reason={reason}")), "{events}");
        }
        assert_serving(&mut fleet).await;
    }

    too_many_header_fields_are_refused(dir) {
        let mut fleet = Fleet::start(&dir).await;
        let fields = "x-field: x\r\n".repeat(MAX_FIELDS + 1);
        let text = format!("GET {PATH} HTTP/1.1\r\n{fields}\r\n");
        let response = send(fleet.routers[0].caller, &text).await;
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
        assert_serving(&mut fleet).await;
    }

    half_sent_requests_are_closed(dir) {
        let mut fleet = Fleet::with_limits(&dir, json!({ "body_idle_ms": IDLE_MS })).await;
        let caller = fleet.routers[0].caller;
        let head = format!("POST {PATH} HTTP/1.1\r\nhost: x\r\nidempotency-key: {VERSION_7}\r\n");
        let half_head = send(caller, &head).await;
        assert_eq!(half_head, "", "a half-sent head is closed without a response");
        let half_body = send(caller, &format!("{head}content-length: 100\r\n\r\nhalf")).await;
        assert!(half_body.contains("tarragon-reason: bad-request"), "{half_body}");
        assert!(half_body.contains("tarragon-outcome: not-run"), "{half_body}");
        fleet.timeline_with(&["--kind", "connection-idle"], "connection-idle").await;
        assert_serving(&mut fleet).await;
    }

    garbage_is_rejected_on_every_port(dir) {
        let mut fleet = Fleet::start(&dir).await;
        for port in [
            fleet.routers[0].caller, fleet.routers[0].forward, fleet.routers[0].admin,
            fleet.routers[0].peer,
        ] {
            let mut stream = TcpStream::connect(port).await.unwrap();
            stream.write_all(&[0xFF; 4_096]).await.unwrap();
            let mut response = Vec::new();
            let ended = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut response)).await;
            assert!(ended.is_ok(), "{port} stays open");
        }
        assert_serving(&mut fleet).await;
    }

    wrong_key_on_the_peer_port_is_refused(dir) {
        let mut fleet = Fleet::start(&dir).await;
        authenticate_and_send_garbage(fleet.routers[0].peer, b"another key, as long as the fleet's key is").await;
        fleet.timeline_with(&["--kind", "connection-refused"], "fleet key").await;
        assert_serving(&mut fleet).await;
    }

    bad_frame_from_a_peer_is_reported(dir) {
        let mut fleet = Fleet::start(&dir).await;
        authenticate_and_send_garbage(fleet.routers[0].peer, router_fleet::FLEET_KEY).await;
        fleet.timeline_with(&["--kind", "bad-frame"], "bad-frame").await;
        assert_serving(&mut fleet).await;
    }

    wrong_key_on_the_forward_port_is_refused(dir) {
        let mut fleet = Fleet::start(&dir).await;
        let headers = [("tarragon-hop", "h2"), ("tarragon-fleet", "00ff")];
        let response = call(fleet.routers[0].forward, Method::GET, PATH, &headers, "").await.unwrap();
        assert_eq!(response.status, 400);
        assert_eq!(response.header("tarragon-outcome"), "not-run");
        fleet.timeline_with(&["--kind", "connection-refused"], "fleet key").await;
        assert_serving(&mut fleet).await;
    }

    unreadable_configuration_is_not_followed(dir) {
        let mut fleet = Fleet::start(&dir).await;
        overwrite(&fleet, "config", "main", UNREADABLE).await;
        await_event(&fleet, "bad-object", "config/main").await;
        assert_serving(&mut fleet).await;
    }

    wrong_configuration_is_not_followed(dir) {
        let mut fleet = Fleet::start(&dir).await;
        let config = fleet.get_json(fleet.store.addr, "/v1/objects/config/main").await;
        let mut value = config["value"].clone();
        value["services"][0]["slots"] = json!(0);
        overwrite(&fleet, "config", "main", &value.to_string()).await;
        await_event(&fleet, "config-refused", "config/main").await;
        assert_serving(&mut fleet).await;
    }

    flood_of_refusals_is_aggregated(dir) {
        let fleet = Fleet::start(&dir).await;
        let caller = fleet.routers[0].caller;
        for _ in 0..FLOOD {
            let response = call(caller, Method::GET, "/nothing/x", &[], "").await.unwrap();
            assert_eq!(response.status, 404);
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let events = fleet.ctl_ok(&["timeline", "--kind", "request-refused"]);
        let counts = events.split_whitespace().filter_map(|word| word.strip_prefix("count="));
        let counts: Vec<usize> = counts.map(|count| count.parse().unwrap()).collect();
        assert_eq!(counts.iter().sum::<usize>(), FLOOD, "{events}");
        assert!(counts.len() < FLOOD / 4, "{events}");
    }

    unreadable_record_is_not_followed(dir) {
        let mut fleet = Fleet::start(&dir).await;
        overwrite(&fleet, "shards", "balance.0", UNREADABLE).await;
        await_event(&fleet, "bad-object", "shards/balance.0").await;
        assert_serving(&mut fleet).await;
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
        assert_serving(&mut fleet).await;
    }
}

/// Checks that each router is running and serves requests.
async fn assert_serving(fleet: &mut Fleet) {
    for at in 0..fleet.routers.len() {
        let caller = fleet.routers[at].caller;
        fleet.await_served(caller, PATH).await;
        assert!(fleet.routers[at].try_wait().is_none());
    }
}

/// Sends a text and returns what is received until the connection is closed.
async fn send(addr: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let read = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection stays open: {response:?}");
    String::from_utf8(response).unwrap()
}

/// Authenticates on the peer port with `key`, sends an unreadable frame and waits until the
/// connection is closed.
async fn authenticate_and_send_garbage(addr: SocketAddr, key: &[u8]) {
    let stream = TcpStream::connect(addr).await.unwrap();
    let url = format!("ws://{addr}/");
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    let challenge = socket.next().await.unwrap().unwrap().into_data();
    let challenge: Challenge = decode(&challenge).unwrap();
    let me = Peer::new("h9".into(), 1);
    let response = encode(&auth::respond(key, &challenge, &me)).unwrap();
    socket.send(Message::Binary(response.into())).await.unwrap();
    // The router may close the connection before this frame.
    let _ = socket.send(Message::Binary(vec![0xFF; 64].into())).await;
    let ended = async { while let Some(Ok(_)) = socket.next().await {} };
    tokio::time::timeout(CLOSE_TIMEOUT, ended)
        .await
        .expect("the connection stays open");
}

/// Overwrites the value of an object in the store.
async fn overwrite(fleet: &Fleet, kind: &str, name: &str, body: &str) {
    let path = format!("/v1/objects/{kind}/{name}");
    for _ in 0..20 {
        let object = fleet.get_json(fleet.store.addr, &path).await;
        let path = format!("{path}?if_version={}", object["version"]);
        let response = call(fleet.store.addr, Method::PUT, &path, &[], body)
            .await
            .unwrap();
        if response.status == 200 {
            return;
        }
    }
    panic!("{path} keeps changing");
}

/// Waits until the first host has an event of this kind about the object.
///
/// This queries the host directly, because `tarragonctl` needs a readable configuration.
async fn await_event(fleet: &Fleet, kind: &str, object: &str) {
    let end = std::time::Instant::now() + support::TIMEOUT;
    while std::time::Instant::now() < end {
        let events = fleet
            .get_json(fleet.routers[0].admin, "/events?after=0")
            .await;
        let text = events["events"].to_string();
        if text.contains(&format!("\"{kind}\"")) && text.contains(object) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no {kind} about {object}");
}
