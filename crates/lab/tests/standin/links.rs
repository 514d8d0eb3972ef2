//! The network's stand-in, between callers and a backend server's.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::support::{BufferedResponse, Process, WorkDir, call, eventually, states};

const RECORD: &str = "record.jsonl";

/// Backend server behind one link.
struct Path {
    links: Process,
    backend: Option<Process>,
    near: SocketAddr,
}

impl Path {
    /// Starts both, the link with more settings.
    async fn start(dir: &WorkDir, settings: &Value) -> Self {
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
        let fields = settings.as_object().unwrap().clone();
        link.as_object_mut().unwrap().extend(fields);
        let config = dir.path("links.json");
        std::fs::write(&config, json!({ "links": [link] }).to_string()).unwrap();
        let config = config.display();
        let links = Process::start(&format!("links --config {config} --control 127.0.0.1:0"));
        let stats = links.get("/_stats").await.json();
        let near = stats["links"][0]["listen"].as_str().unwrap();
        Self {
            near: near.parse().unwrap(),
            links,
            backend: Some(backend),
        }
    }

    async fn get(&self, path: &str) -> Result<BufferedResponse, String> {
        call(self.near, Method::GET, path, &[], "").await
    }

    fn spawn(&self, path: &'static str) -> JoinHandle<Result<BufferedResponse, String>> {
        let near = self.near;
        tokio::spawn(async move { call(near, Method::GET, path, &[], "").await })
    }

    async fn fault(&self, kind: &str) {
        let order = json!({ "link": "h1->*", "kind": kind });
        self.links.fault(&order.to_string()).await;
    }
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(500)).await;
}

cases! {
    a_cut_link_is_silent_until_it_heals(dir) {
        let path = Path::start(&dir, &json!({})).await;
        assert!(path.get("/s/k1/before").await.is_ok());
        path.fault("cut").await;
        let during = path.spawn("/s/k1/during");
        pause().await;
        assert!(!during.is_finished());
        assert!(states(&dir.path(RECORD), "/s/k1/during").is_empty());
        path.fault("none").await;
        assert!(during.await.unwrap().is_ok());
    }

    a_link_cut_back_delivers_requests_and_no_answers(dir) {
        let path = Path::start(&dir, &json!({})).await;
        let during = path.spawn("/s/k1/x?work_us=4000000&bytes=100");
        let record = dir.path(RECORD);
        eventually(|| (!states(&record, "/s/k1/x").is_empty()).then_some(())).await;
        path.fault("cut-back").await;
        eventually(|| (states(&record, "/s/k1/x").len() == 2).then_some(())).await;
        pause().await;
        assert!(!during.is_finished());
        path.fault("none").await;
        assert_eq!(during.await.unwrap().unwrap().body.len(), 100);
    }

    a_caller_that_gave_up_during_a_cut_never_arrives(dir) {
        let path = Path::start(&dir, &json!({})).await;
        path.fault("cut").await;
        let during = path.spawn("/s/k1/x");
        pause().await;
        during.abort();
        pause().await;
        path.fault("none").await;
        assert!(path.get("/s/k1/y").await.is_ok());
        assert!(states(&dir.path(RECORD), "/s/k1/x").is_empty());
    }

    a_closed_connection_cancels_work_behind_a_link(dir) {
        let path = Path::start(&dir, &json!({})).await;
        let work = path.spawn("/s/k1/x?work_us=60000000");
        let record = dir.path(RECORD);
        eventually(|| (!states(&record, "/s/k1/x").is_empty()).then_some(())).await;
        work.abort();
        eventually(|| (states(&record, "/s/k1/x") == ["started", "cancelled"]).then_some(())).await;
    }

    a_reset_ends_open_and_new_connections(dir) {
        let path = Path::start(&dir, &json!({})).await;
        let open = path.spawn("/s/k1/x?work_us=60000000");
        let record = dir.path(RECORD);
        eventually(|| (!states(&record, "/s/k1/x").is_empty()).then_some(())).await;
        path.fault("reset").await;
        assert!(open.await.unwrap().is_err());
        assert!(path.get("/s/k1/y").await.is_err());
        path.fault("none").await;
        assert!(path.get("/s/k1/y").await.is_ok());
    }

    a_target_that_refuses_makes_its_link_refuse(dir) {
        let mut path = Path::start(&dir, &json!({})).await;
        drop(path.backend.take());
        let refused = std::io::ErrorKind::ConnectionRefused;
        let near = path.near;
        eventually(|| TcpStream::connect(near).err().filter(|error| error.kind() == refused)).await;
    }

    delays_and_rates_hold_bytes_back(dir) {
        let path = Path::start(&dir, &json!({ "delay_us": 300_000, "mbit_per_s": 8, "group": "far" })).await;
        let start = Instant::now();
        let answer = path.get("/s/k1/x?bytes=1000000").await.unwrap();
        assert_eq!(answer.body.len(), 1_000_000);
        assert!(start.elapsed() > Duration::from_millis(1_400));
        let stats = path.links.get("/_stats").await.json();
        assert_eq!(stats["groups"][0]["name"], "far");
        assert!(stats["groups"][0]["back_bytes"].as_u64().unwrap() > 1_000_000);
        assert_eq!(stats["links"][0]["back_bytes"], stats["groups"][0]["back_bytes"]);
    }

    a_burst_of_losses_leaves_the_bytes_whole(dir) {
        let path = Path::start(&dir, &json!({})).await;
        let plain = path.get("/s/k1/x?bytes=1000000").await.unwrap();
        let order = json!({ "link": "*", "kind": "loss-burst", "stall_ms": 20, "share": 50 });
        path.links.fault(&order.to_string()).await;
        let stalled = path.get("/s/k1/x?bytes=1000000").await.unwrap();
        assert!(plain.body == stalled.body);
    }

    an_order_for_no_link_is_an_error(dir) {
        let path = Path::start(&dir, &json!({})).await;
        for link in ["h2->*", "*->b2", "h1", "h1->b1->"] {
            let order = json!({ "link": link, "kind": "cut" }).to_string();
            assert_eq!(path.links.post("/_fault", &order).await.status, 404);
        }
        for link in ["*", "h1->b1", "*b1", "h*->*1"] {
            let order = json!({ "link": link, "kind": "none" }).to_string();
            assert_eq!(path.links.post("/_fault", &order).await.status, 200);
        }
    }
}
