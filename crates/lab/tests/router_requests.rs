//! Requests through real routers: they are served, run once, and survive losses and drains.

#[path = "standin/support.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
#[macro_use]
mod support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod router_fleet;

use std::time::Duration;

use http::Method;
use router_fleet::Fleet;
use serde_json::json;
use support::{call, eventually};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use uuid::Uuid;

/// Size of a download that exceeds all buffers between the processes, in bytes.
const DOWNLOAD_BYTES: usize = 64 * 1024 * 1024;
/// Number of reads of a slow download.
const SLOW_READS: usize = 12;
/// Pause before each read of a slow download.
const SLOW_PAUSE: Duration = Duration::from_millis(500);
/// Time limit for a process to exit once it drains or gets SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_mins(1);
/// Period of the byte sequence of a response body.
const PERIOD: usize = 251;
/// Short limit on idle time, in milliseconds.
const IDLE_MS: u64 = 1_500;
/// Time after which the idle limit has expired on each host that a request passes.
const IDLE_EXPIRED: Duration = Duration::from_secs(8);

cases! {
    served_through_each_host(dir) {
        let fleet = Fleet::start(&dir).await;
        let mut owners = Vec::new();
        for router in &fleet.routers {
            let path = "/balance/vessel-9/?work_us=100&bytes=20";
            let response = call(router.caller, Method::GET, path, &[], "").await.unwrap();
            assert_eq!(response.status, 200);
            assert_eq!(response.header("tarragon-outcome"), "done");
            assert_eq!(response.body.len(), 20);
            owners.push(response.header("tarragon-owner").to_owned());
        }
        assert!(owners.iter().all(|owner| *owner == owners[0] && !owner.is_empty()), "{owners:?}");
    }

    same_identifier_runs_once(dir) {
        let fleet = Fleet::start(&dir).await;
        let id = Uuid::now_v7().to_string();
        let headers = [("idempotency-key", id.as_str()), ("tarragon-request", "once")];
        let path = "/balance/vessel-9/?work_us=100";
        let first = call(fleet.routers[0].caller, Method::POST, path, &headers, "x").await.unwrap();
        assert_eq!((first.status.as_u16(), first.header("tarragon-outcome")), (200, "done"));
        let second = call(fleet.routers[1].caller, Method::POST, path, &headers, "x").await.unwrap();
        assert_eq!(second.status, 409);
        assert_eq!(second.header("tarragon-outcome"), "done");
        assert_eq!(second.header("tarragon-reason"), "already-done");
        assert_eq!(second.header("tarragon-status"), "200");
        assert_eq!(fleet.record_states("once"), ["started", "committed"]);
    }

    other_body_under_the_same_identifier_is_refused(dir) {
        let fleet = Fleet::start(&dir).await;
        let id = Uuid::now_v7().to_string();
        let headers = [("idempotency-key", id.as_str()), ("tarragon-request", "once")];
        let path = "/balance/vessel-9/?work_us=100";
        let caller = fleet.routers[0].caller;
        call(caller, Method::POST, path, &headers, "x").await.unwrap();
        let second = call(caller, Method::POST, path, &headers, "y").await.unwrap();
        assert_eq!(second.status, 400);
        assert_eq!(second.header("tarragon-reason"), "identifier-mismatch");
        assert_eq!(fleet.record_states("once"), ["started", "committed"]);
    }

    standby_takes_over_from_a_killed_leader(dir) {
        let mut fleet = Fleet::start(&dir).await;
        let id = Uuid::now_v7().to_string();
        let headers = [("idempotency-key", id.as_str()), ("tarragon-request", "before")];
        let path = "/balance/vessel-9/?work_us=100";
        let leader = fleet.leader().await;
        let other = (leader + 1) % fleet.routers.len();
        let caller = fleet.routers[other].caller;
        let first = call(caller, Method::POST, path, &headers, "").await.unwrap();
        assert_eq!(first.status, 200);
        fleet.routers[leader].kill();
        fleet.await_served(caller, path).await;
        let again = call(caller, Method::POST, path, &headers, "").await.unwrap();
        assert_eq!((again.status.as_u16(), again.header("tarragon-outcome")), (409, "done"));
        assert_eq!(fleet.record_states("before"), ["started", "committed"]);
        fleet.timeline_with(&["--kind", "reign-began"], "fence=1.1").await;
    }

    drain_cuts_no_download(dir) {
        let mut fleet = Fleet::start(&dir).await;
        let leader = fleet.leader().await;
        let mut stream = download(&fleet, leader).await;
        let mut got = Vec::new();
        stream.read_buf(&mut got).await.unwrap();
        let drained = call(fleet.routers[leader].admin, Method::POST, "/drain", &[], "").await;
        assert_eq!(drained.unwrap().status, 202);
        for _ in 0..SLOW_READS {
            tokio::time::sleep(SLOW_PAUSE).await;
            assert!(stream.read_buf(&mut got).await.unwrap() > 0);
        }
        assert!(fleet.routers[leader].try_wait().is_none(), "the process waits for the download");
        stream.read_to_end(&mut got).await.unwrap();
        check_download(&got);
        let status = fleet.routers[leader].wait(SHUTDOWN_TIMEOUT).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        let other = (leader + 1) % fleet.routers.len();
        fleet.await_served(fleet.routers[other].caller, "/balance/vessel-9/?work_us=100").await;
    }

    caller_that_never_reads_is_cut(dir) {
        let fleet = Fleet::with_limits(&dir, json!({ "body_idle_ms": IDLE_MS })).await;
        let mut stream = download(&fleet, 0).await;
        tokio::time::sleep(IDLE_EXPIRED).await;
        let mut got = Vec::new();
        let read = stream.read_to_end(&mut got).await;
        assert!(got.len() < DOWNLOAD_BYTES, "{} bytes, {read:?}", got.len());
        fleet.timeline_with(&["--kind", "connection-idle"], "connection-idle").await;
        let leader = fleet.leader().await;
        let shards = fleet.get_json(fleet.routers[leader].admin, "/shards").await;
        let backends = shards["shards"][0]["backends"].as_array().unwrap();
        assert!(backends.iter().all(|backend| backend["running"] == 0), "{backends:?}");
    }

    caller_that_never_reads_does_not_block_a_shutdown(dir) {
        let limits = json!({ "body_idle_ms": 600_000, "shutdown_idle_ms": IDLE_MS });
        let mut fleet = Fleet::with_limits(&dir, limits).await;
        let leader = fleet.leader().await;
        let _stream = download(&fleet, leader).await;
        // The response stalls before the shutdown begins.
        tokio::time::sleep(SLOW_PAUSE).await;
        fleet.routers[leader].signal(rustix::process::Signal::TERM);
        let status = fleet.routers[leader].wait(SHUTDOWN_TIMEOUT).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
    }
}

/// Starts a download without reading the response.
async fn download(fleet: &Fleet, at: usize) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.routers[at].caller).await.unwrap();
    let request = format!(
        "GET /balance/vessel-9/?work_us=100&bytes={DOWNLOAD_BYTES} HTTP/1.1\r\nhost: x\r\n\
         tarragon-request: download\r\ntarragon-deadline-ms: 600000\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    eventually(|| fleet.record_states("download").first().cloned()).await;
    stream
}

/// Checks that a response is complete.
fn check_download(got: &[u8]) {
    let end = got
        .windows(4)
        .position(|bytes| bytes == b"\r\n\r\n")
        .unwrap();
    let (head, body) = (String::from_utf8_lossy(&got[..end]), &got[end + 4..]);
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert!(
        head.contains(&format!("content-length: {DOWNLOAD_BYTES}")),
        "{head}"
    );
    assert_eq!(body.len(), DOWNLOAD_BYTES, "{head}");
    let is_next = |pair: &[u8]| (usize::from(pair[0]) + 1) % PERIOD == usize::from(pair[1]);
    assert!(
        body.windows(2).all(is_next),
        "bytes are missing within the body"
    );
}
