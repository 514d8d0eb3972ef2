//! Tests of the backend server's stand-in: work, records and faults.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use rustix::process::Signal;
use xxhash_rust::xxh3::xxh3_64;

use crate::support::{self, BufferedResponse, Process, WorkDir, eventually, open, states};

const RECORD: &str = "record.jsonl";

fn start(dir: &WorkDir, args: &str) -> Process {
    let record = dir.path(RECORD);
    let record = record.display();
    Process::start(&format!(
        "backend --service s --id b1 --listen 127.0.0.1:0 --record {record} {args}"
    ))
}

async fn call(process: &Process, path: &str) -> Result<BufferedResponse, String> {
    support::call(process.addr, Method::GET, path, &[], "").await
}

/// Starts a call; aborting the handle closes its connection.
fn spawn(
    process: &Process,
    path: &'static str,
) -> tokio::task::JoinHandle<Result<BufferedResponse, String>> {
    let addr = process.addr;
    tokio::spawn(async move { support::call(addr, Method::GET, path, &[], "").await })
}

async fn wait_for_states(dir: &WorkDir, request: &str, expected: &[&str]) {
    let path = dir.path(RECORD);
    eventually(|| (states(&path, request) == expected).then_some(())).await;
}

async fn load(process: &Process, name: &str) -> u64 {
    process.get("/_load").await.json()[name].as_u64().unwrap()
}

async fn wait_for_queued(process: &Process, expected: u64) {
    let reached = async {
        while load(process, "queued").await != expected {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(support::TIMEOUT, reached)
        .await
        .unwrap();
}

fn peak_memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let size = line.unwrap().split_whitespace().nth(1);
    size.unwrap().parse().unwrap()
}

cases! {
    work_is_recorded_and_gets_a_response(dir) {
        let process = start(&dir, "");
        let headers = [("tarragon-request", "r1"), ("idempotency-key", "e1"), ("tarragon-key", "k9")];
        let path = "/s/k1/x?work_us=1000&bytes=300";
        let response = support::call(process.addr, Method::POST, path, &headers, "body").await.unwrap();
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.header("tarragon-request"), "r1");
        assert!(response.header("tarragon-instance").starts_with("b1-"));
        let first = xxh3_64(b"r1") % 251;
        let expected: Vec<u8> = (0..300).map(|i| u8::try_from((first + i) % 251).unwrap()).collect();
        assert_eq!(response.body, expected);
        wait_for_states(&dir, "r1", &["started", "committed"]).await;
        let text = std::fs::read_to_string(dir.path(RECORD)).unwrap();
        assert!(text.contains(r#""key":"k9","request":"r1","effect_id":"e1""#));
    }

    a_large_body_is_streamed_in_little_memory(dir) {
        let process = start(&dir, "");
        let path = "/s/k1/x?bytes=200000000";
        let response = open(process.addr, Method::GET, path, &[], "").await.unwrap();
        let mut body = response.into_body();
        let mut next = xxh3_64(b"/s/k1/x") % 251;
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let bytes = frame.unwrap().into_data().unwrap();
            for byte in bytes.iter().step_by(251) {
                assert_eq!(u64::from(*byte), next);
            }
            let size = u64::try_from(bytes.len()).unwrap();
            next = (next + size) % 251;
            length += size;
        }
        assert_eq!(length, 200_000_000);
        assert!(peak_memory_kib(process.pid()) < 64 * 1024);
    }

    work_beyond_the_slots_is_refused(dir) {
        let process = start(&dir, "--slots 2");
        let one = spawn(&process, "/s/k1/one?work_us=60000000");
        let two = spawn(&process, "/s/k1/two?work_us=60000000");
        wait_for_states(&dir, "/s/k1/one", &["started"]).await;
        wait_for_states(&dir, "/s/k1/two", &["started"]).await;
        let response = call(&process, "/s/k1/three").await.unwrap();
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(response.header("tarragon-refused"), "busy");
        assert_eq!(load(&process, "running").await, 2);
        one.abort();
        two.abort();
        wait_for_states(&dir, "/s/k1/one", &["started", "cancelled"]).await;
        assert_eq!(call(&process, "/s/k1/four").await.unwrap().status, StatusCode::OK);
        assert!(states(&dir.path(RECORD), "/s/k1/three").is_empty());
    }

    work_waits_in_the_queue(dir) {
        let process = start(&dir, "--slots 1 --queue 1");
        let one = spawn(&process, "/s/k1/one?work_us=60000000");
        wait_for_states(&dir, "/s/k1/one", &["started"]).await;
        let two = spawn(&process, "/s/k1/two");
        wait_for_queued(&process, 1).await;
        assert!(states(&dir.path(RECORD), "/s/k1/two").is_empty());
        one.abort();
        assert_eq!(two.await.unwrap().unwrap().status, StatusCode::OK);
    }

    queued_work_whose_caller_disconnected_never_starts(dir) {
        let process = start(&dir, "--slots 1 --queue 1");
        let one = spawn(&process, "/s/k1/one?work_us=60000000");
        wait_for_states(&dir, "/s/k1/one", &["started"]).await;
        let addr = process.addr;
        let two = tokio::spawn(async move {
            // More than the server reads ahead of the handler.
            let body = "x".repeat(4_000_000);
            support::call(addr, Method::POST, "/s/k1/two", &[], &body).await
        });
        wait_for_queued(&process, 1).await;
        two.abort();
        wait_for_queued(&process, 0).await;
        one.abort();
        assert_eq!(call(&process, "/s/k1/three").await.unwrap().status, StatusCode::OK);
        assert!(states(&dir.path(RECORD), "/s/k1/two").is_empty());
    }

    a_closed_connection_cancels_the_work(dir) {
        let process = start(&dir, "");
        let work = spawn(&process, "/s/k1/x?work_us=60000000");
        wait_for_states(&dir, "/s/k1/x", &["started"]).await;
        work.abort();
        wait_for_states(&dir, "/s/k1/x", &["started", "cancelled"]).await;
    }

    work_is_aborted_at_its_deadline(dir) {
        let process = start(&dir, "");
        let headers = [("tarragon-deadline-ms", "200")];
        let path = "/s/k1/x?work_us=60000000";
        let response = support::call(process.addr, Method::GET, path, &headers, "").await.unwrap();
        assert_eq!(response.header("tarragon-refused"), "deadline");
        wait_for_states(&dir, "/s/k1/x", &["started", "aborted"]).await;
    }

    sigterm_records_the_end_and_sigkill_does_not(dir) {
        let mut process = start(&dir, "");
        let _work = spawn(&process, "/s/k1/term?work_us=60000000");
        wait_for_states(&dir, "/s/k1/term", &["started"]).await;
        process.signal(Signal::TERM);
        assert!(process.wait().success());
        wait_for_states(&dir, "/s/k1/term", &["started", "cancelled"]).await;
        let mut process = start(&dir, "");
        let _work = spawn(&process, "/s/k1/kill?work_us=60000000");
        wait_for_states(&dir, "/s/k1/kill", &["started"]).await;
        process.signal(Signal::KILL);
        process.wait();
        wait_for_states(&dir, "/s/k1/kill", &["started"]).await;
    }

    poison_ends_the_process(dir) {
        let mut process = start(&dir, "");
        assert!(call(&process, "/s/k1/x?poison=1").await.is_err());
        assert!(!process.wait().success());
        wait_for_states(&dir, "/s/k1/x", &["started"]).await;
    }

    a_truncated_response_is_an_error_for_the_caller(dir) {
        let process = start(&dir, "");
        process.fault(r#"{"kind":"half-answer"}"#).await;
        for path in ["/s/k1/x", "/s/k1/x?bytes=1000000"] {
            let response = open(process.addr, Method::GET, path, &[], "").await.unwrap();
            assert_eq!(response.status(), StatusCode::OK);
            assert!(response.into_body().collect().await.is_err());
        }
        let states = states(&dir.path(RECORD), "/s/k1/x");
        assert_eq!(states, ["started", "committed", "started", "committed"]);
    }

    connections_beyond_the_limit_are_reset(dir) {
        let process = start(&dir, "--connections 2");
        let one = spawn(&process, "/s/k1/one?work_us=60000000");
        let two = spawn(&process, "/s/k1/two?work_us=60000000");
        wait_for_states(&dir, "/s/k1/one", &["started"]).await;
        wait_for_states(&dir, "/s/k1/two", &["started"]).await;
        assert!(call(&process, "/s/k1/three").await.is_err());
        one.abort();
        two.abort();
        wait_for_states(&dir, "/s/k1/one", &["started", "cancelled"]).await;
        wait_for_states(&dir, "/s/k1/two", &["started", "cancelled"]).await;
        let recovered = async {
            while call(&process, "/s/k1/four").await.is_err() {}
        };
        tokio::time::timeout(support::TIMEOUT, recovered).await.unwrap();
    }

    delays_of_connections_work_and_responses_add_up(dir) {
        let process = start(&dir, "--speed 0.5 --cold-ms 60000 --connect-us 50000");
        process.fault(r#"{"kind":"slow","factor":2}"#).await;
        process.fault(r#"{"kind":"late","delay_ms":100}"#).await;
        let start = Instant::now();
        let response = call(&process, "/s/k1/x?work_us=10000").await.unwrap();
        assert_eq!(response.status, StatusCode::OK);
        // Connection setup 50 ms; work 10 ms at half speed, times 4 while cold, times 2 by the
        // fault: 160 ms; delayed response 100 ms.
        assert!(start.elapsed() >= Duration::from_millis(50 + 160 + 100));
        let stats = process.get("/_stats").await.json();
        assert_eq!(stats["committed"], 1);
        assert!(stats["busy_us"].as_u64().unwrap() >= 160_000);
    }

    draining_refuses_new_work_and_finishes_running_work(dir) {
        let process = start(&dir, "");
        let old = spawn(&process, "/s/k1/old?work_us=1000000");
        wait_for_states(&dir, "/s/k1/old", &["started"]).await;
        assert_eq!(process.post("/_drain", "").await.status, StatusCode::OK);
        assert_eq!(process.get("/_health").await.json()["state"], "draining");
        let new = call(&process, "/s/k1/new").await.unwrap();
        assert_eq!(new.header("tarragon-refused"), "draining");
        assert_eq!(old.await.unwrap().unwrap().status, StatusCode::OK);
    }

    faults_of_reports_do_not_affect_work(dir) {
        let process = start(&dir, "");
        process.fault(r#"{"kind":"lie","running":77}"#).await;
        process.fault(r#"{"kind":"hang"}"#).await;
        assert_eq!(load(&process, "running").await, 77);
        let health = spawn(&process, "/_health");
        assert_eq!(call(&process, "/s/k1/x").await.unwrap().status, StatusCode::OK);
        assert!(!health.is_finished());
        process.fault(r#"{"kind":"shed"}"#).await;
        let shed = call(&process, "/s/k1/y").await.unwrap();
        assert_eq!(shed.header("tarragon-refused"), "shed");
        process.fault(r#"{"kind":"none"}"#).await;
        assert_eq!(call(&process, "/s/k1/z").await.unwrap().status, StatusCode::OK);
    }
}
