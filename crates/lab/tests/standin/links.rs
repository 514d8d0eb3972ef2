//! Tests of the network's stand-in, with a link between callers and a backend server.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::support::{BufferedResponse, Process, WorkDir, call, eventually, states};

const RECORD: &str = "record.jsonl";

/// Backend server behind one link.
struct LinkedBackend {
    links: Process,
    backend: Option<Process>,
    listen: SocketAddr,
}

impl LinkedBackend {
    /// Starts both; `extra_fields` are added to the link's configuration.
    async fn start(dir: &WorkDir, extra_fields: &Value) -> Self {
        let record = dir.path(RECORD);
        let record = record.display();
        let backend = Process::start(&format!(
            "backend --service s --id b1 --listen 127.0.0.1:0 --record {record}"
        ));
        let mut link = json!({
            "name": "h1->b1",
            "listen": "127.0.0.1:0",
            "target": backend.addr,
        });
        let fields = extra_fields.as_object().unwrap().clone();
        link.as_object_mut().unwrap().extend(fields);
        let config = dir.path("links.json");
        std::fs::write(&config, json!({ "links": [link] }).to_string()).unwrap();
        let config = config.display();
        let links = Process::start(&format!("links --config {config} --control 127.0.0.1:0"));
        let stats = links.get("/_stats").await.json();
        let listen = stats["links"][0]["listen"].as_str().unwrap();
        Self {
            listen: listen.parse().unwrap(),
            links,
            backend: Some(backend),
        }
    }

    async fn get(&self, path: &str) -> Result<BufferedResponse, String> {
        call(self.listen, Method::GET, path, &[], "").await
    }

    fn spawn(&self, path: &'static str) -> JoinHandle<Result<BufferedResponse, String>> {
        let listen = self.listen;
        tokio::spawn(async move { call(listen, Method::GET, path, &[], "").await })
    }

    async fn fault(&self, kind: &str) {
        let fault_request = json!({ "link": "h1->*", "kind": kind });
        self.links.fault(&fault_request.to_string()).await;
    }
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(500)).await;
}

cases! {
    a_cut_link_is_silent_until_the_cut_ends(dir) {
        let server = LinkedBackend::start(&dir, &json!({})).await;
        assert!(server.get("/s/k1/before").await.is_ok());
        server.fault("cut").await;
        let pending_call = server.spawn("/s/k1/during");
        pause().await;
        assert!(!pending_call.is_finished());
        assert!(states(&dir.path(RECORD), "/s/k1/during").is_empty());
        server.fault("none").await;
        assert!(pending_call.await.unwrap().is_ok());
    }

    a_link_cut_back_delivers_requests_but_no_responses(dir) {
        let server = LinkedBackend::start(&dir, &json!({})).await;
        let pending_call = server.spawn("/s/k1/x?work_us=4000000&bytes=100");
        let record = dir.path(RECORD);
        eventually(|| (!states(&record, "/s/k1/x").is_empty()).then_some(())).await;
        server.fault("cut-back").await;
        eventually(|| (states(&record, "/s/k1/x").len() == 2).then_some(())).await;
        pause().await;
        assert!(!pending_call.is_finished());
        server.fault("none").await;
        assert_eq!(pending_call.await.unwrap().unwrap().body.len(), 100);
    }

    a_caller_that_gave_up_during_a_cut_never_arrives(dir) {
        let server = LinkedBackend::start(&dir, &json!({})).await;
        server.fault("cut").await;
        let pending_call = server.spawn("/s/k1/x");
        pause().await;
        pending_call.abort();
        pause().await;
        server.fault("none").await;
        assert!(server.get("/s/k1/y").await.is_ok());
        assert!(states(&dir.path(RECORD), "/s/k1/x").is_empty());
    }

    a_closed_connection_cancels_work_behind_a_link(dir) {
        let server = LinkedBackend::start(&dir, &json!({})).await;
        let work = server.spawn("/s/k1/x?work_us=60000000");
        let record = dir.path(RECORD);
        eventually(|| (!states(&record, "/s/k1/x").is_empty()).then_some(())).await;
        work.abort();
        eventually(|| (states(&record, "/s/k1/x") == ["started", "cancelled"]).then_some(())).await;
    }

    a_reset_ends_open_and_new_connections(dir) {
        let server = LinkedBackend::start(&dir, &json!({})).await;
        let open = server.spawn("/s/k1/x?work_us=60000000");
        let record = dir.path(RECORD);
        eventually(|| (!states(&record, "/s/k1/x").is_empty()).then_some(())).await;
        server.fault("reset").await;
        assert!(open.await.unwrap().is_err());
        assert!(server.get("/s/k1/y").await.is_err());
        server.fault("none").await;
        assert!(server.get("/s/k1/y").await.is_ok());
    }

    a_target_that_refuses_makes_its_link_refuse(dir) {
        let mut server = LinkedBackend::start(&dir, &json!({})).await;
        drop(server.backend.take());
        let refused = std::io::ErrorKind::ConnectionRefused;
        let listen = server.listen;
        eventually(|| TcpStream::connect(listen).err().filter(|error| error.kind() == refused)).await;
    }

    delays_and_rates_hold_bytes_back(dir) {
        let server = LinkedBackend::start(&dir, &json!({ "delay_us": 300_000, "mbit_per_s": 8, "group": "far" })).await;
        let start = Instant::now();
        let response = server.get("/s/k1/x?bytes=1000000").await.unwrap();
        assert_eq!(response.body.len(), 1_000_000);
        assert!(start.elapsed() > Duration::from_millis(1_400));
        let stats = server.links.get("/_stats").await.json();
        assert_eq!(stats["groups"][0]["name"], "far");
        assert!(stats["groups"][0]["back_bytes"].as_u64().unwrap() > 1_000_000);
        assert_eq!(stats["links"][0]["back_bytes"], stats["groups"][0]["back_bytes"]);
    }

    a_loss_burst_delivers_all_bytes_unchanged(dir) {
        let server = LinkedBackend::start(&dir, &json!({})).await;
        let without_fault = server.get("/s/k1/x?bytes=1000000").await.unwrap();
        let fault_request = json!({ "link": "*", "kind": "loss-burst", "stall_ms": 20, "share": 50 });
        server.links.fault(&fault_request.to_string()).await;
        let with_fault = server.get("/s/k1/x?bytes=1000000").await.unwrap();
        assert!(without_fault.body == with_fault.body);
    }

    a_fault_for_no_link_is_an_error(dir) {
        let server = LinkedBackend::start(&dir, &json!({})).await;
        for link in ["h2->*", "*->b2", "h1", "h1->b1->"] {
            let fault_request = json!({ "link": link, "kind": "cut" }).to_string();
            assert_eq!(server.links.post("/_fault", &fault_request).await.status, 404);
        }
        for link in ["*", "h1->b1", "*b1", "h*->*1"] {
            let fault_request = json!({ "link": link, "kind": "none" }).to_string();
            assert_eq!(server.links.post("/_fault", &fault_request).await.status, 200);
        }
    }
}
