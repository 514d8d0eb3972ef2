//! Tests of fences and grants in the backend server's stand-in.

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::support::{self, BufferedResponse, Process, WorkDir, eventually, states};

const RECORD: &str = "record.jsonl";

fn start(dir: &WorkDir, args: &str) -> Process {
    let record = dir.path(RECORD);
    let record = record.display();
    Process::start(&format!(
        "backend --service s --id b1 --listen 127.0.0.1:0 --record {record} {args}"
    ))
}

async fn request_grant(process: &Process, epoch: u64, ttl_ms: u64, ticket: &Value) -> Value {
    let request = json!({
        "shard": "s.0",
        "epoch": epoch,
        "succession": 0,
        "ttl_ms": ttl_ms,
        "ticket": ticket,
    });
    process.post("/_grant", &request.to_string()).await.json()
}

/// Requests a ticket, then a grant with it.
async fn grant(process: &Process, epoch: u64, ttl_ms: u64) -> Value {
    // A ticket is valid only if it is at least 1 ms later than the start of the process.
    tokio::time::sleep(Duration::from_millis(5)).await;
    let first = request_grant(process, epoch, ttl_ms, &Value::Null).await;
    request_grant(process, epoch, ttl_ms, &first["ticket"]).await
}

async fn work(process: &Process, fence: &str, path: &str) -> BufferedResponse {
    let headers = [("tarragon-shard", "s.0"), ("tarragon-fence", fence)];
    support::call(process.addr, Method::GET, path, &headers, "")
        .await
        .unwrap()
}

cases! {
    work_runs_only_under_a_grant_of_its_fence(dir) {
        let process = start(&dir, "--checks");
        assert_eq!(work(&process, "3.0", "/s/k1/a").await.header("tarragon-refused"), "fence");
        assert_eq!(grant(&process, 3, 60_000).await["granted"], true);
        assert_eq!(work(&process, "3.0", "/s/k1/b").await.status, StatusCode::OK);
        assert_eq!(work(&process, "2.0", "/s/k1/c").await.header("tarragon-refused"), "fence");
        assert_eq!(work(&process, "3.1", "/s/k1/d").await.header("tarragon-refused"), "fence");
        let bare = support::call(process.addr, Method::GET, "/s/k1/e", &[], "").await.unwrap();
        assert_eq!(bare.header("tarragon-refused"), "fence");
        assert_eq!(support::records(&dir.path(RECORD)).len(), 2);
    }

    a_backend_server_without_checks_runs_all_work(dir) {
        let process = start(&dir, "");
        assert_eq!(grant(&process, 3, 60_000).await["granted"], true);
        assert_eq!(work(&process, "2.0", "/s/k1/a").await.status, StatusCode::OK);
    }

    an_older_fence_gets_no_grant(dir) {
        let process = start(&dir, "--checks");
        assert_eq!(grant(&process, 3, 60_000).await["granted"], true);
        let older = grant(&process, 2, 60_000).await;
        assert_eq!((&older["granted"], &older["epoch"]), (&json!(false), &json!(3)));
    }

    a_grant_expires(dir) {
        let process = start(&dir, "--checks");
        assert_eq!(grant(&process, 3, 2_000).await["granted"], true);
        tokio::time::sleep(Duration::from_millis(2_100)).await;
        assert_eq!(work(&process, "3.0", "/s/k1/a").await.header("tarragon-refused"), "expired");
        assert!(support::records(&dir.path(RECORD)).is_empty());
    }

    work_whose_grant_expired_is_not_committed(dir) {
        let process = start(&dir, "--checks");
        assert_eq!(grant(&process, 3, 2_000).await["granted"], true);
        let response = work(&process, "3.0", "/s/k1/a?work_us=4000000").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(response.header("tarragon-refused"), "expired");
        assert_eq!(states(&dir.path(RECORD), "/s/k1/a"), ["started", "aborted"]);
    }

    work_whose_grant_was_superseded_is_not_committed(dir) {
        let process = start(&dir, "--checks");
        assert_eq!(grant(&process, 3, 60_000).await["granted"], true);
        let old = work(&process, "3.0", "/s/k1/a?work_us=4000000");
        let supersede = async {
            let path = dir.path(RECORD);
            eventually(|| (!states(&path, "/s/k1/a").is_empty()).then_some(())).await;
            assert_eq!(grant(&process, 4, 60_000).await["granted"], true);
        };
        let (response, ()) = tokio::join!(old, supersede);
        assert_eq!(response.header("tarragon-refused"), "expired");
        assert_eq!(states(&dir.path(RECORD), "/s/k1/a"), ["started", "aborted"]);
    }

    a_ticket_of_an_earlier_instance_gets_no_grant(dir) {
        let process = start(&dir, "--checks");
        let ticket = grant(&process, 3, 60_000).await["ticket"].clone();
        drop(process);
        let process = start(&dir, "--checks");
        assert_eq!(request_grant(&process, 3, 60_000, &ticket).await["granted"], false);
        assert_eq!(request_grant(&process, 3, 60_000, &json!(u64::MAX)).await["granted"], false);
        assert_eq!(work(&process, "3.0", "/s/k1/a").await.header("tarragon-refused"), "fence");
    }

    a_grant_counts_from_its_ticket(dir) {
        let process = start(&dir, "--checks");
        let ticket = grant(&process, 3, 1).await["ticket"].clone();
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(request_grant(&process, 3, 300, &ticket).await["granted"], false);
        assert_eq!(request_grant(&process, 3, 60_000, &ticket).await["granted"], true);
    }
}
