//! Clients that send requests at a steady rate, each on a new connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::world::HOST;

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    /// Status, or 0 if the connection ended or no answer came in time.
    pub status: u16,
    /// Whether the answer has a receipt.
    pub receipt: bool,
}

/// A node of the entry: its address, and whether the platform's balancer uses it.
pub type Node = (SocketAddr, Arc<AtomicBool>);

pub struct Clients {
    pub nodes: Arc<Mutex<Vec<Node>>>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    stop: Arc<AtomicBool>,
}

/// Small generator of pseudo-random numbers.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id.
pub fn request_id() -> String {
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::SeqCst))
}

impl Clients {
    /// Starts `count` clients that send one request each `pause`.
    pub fn start(count: u64, pause: Duration, path: &'static str, record: &Record) -> Self {
        let clients = Self {
            nodes: Arc::default(),
            sent: Arc::default(),
            stop: Arc::default(),
        };
        for client in 0..count {
            let (nodes, sent) = (Arc::clone(&clients.nodes), Arc::clone(&clients.sent));
            let (stop, record) = (Arc::clone(&clients.stop), record.clone());
            std::thread::spawn(move || {
                let mut random = Random(0x9e37_79b9_7f4a_7c15 ^ (client + 1) * 7_919);
                std::thread::sleep(pause * (random.next() % 100) as u32 / 100);
                while !stop.load(Ordering::SeqCst) {
                    let began = Instant::now();
                    let all = nodes.lock().expect("nodes").clone();
                    let used: Vec<&Node> =
                        all.iter().filter(|(_, inside)| inside.load(Ordering::SeqCst)).collect();
                    // With none in rotation the platform uses all of them.
                    let used = if used.is_empty() { all.iter().collect() } else { used };
                    if !used.is_empty() {
                        let (front, _) = used[random.next() as usize % used.len()];
                        let key = (random.next() % 65_536) as u16;
                        let one = send(*front, path, key, &record);
                        sent.lock().expect("sent").push(one);
                    }
                    std::thread::sleep(pause.saturating_sub(began.elapsed()));
                }
            });
        }
        clients
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Returns how many requests were sent and how many were served from `from` to `to`.
    pub fn share(&self, from: Instant, to: Instant) -> (usize, usize) {
        let sent = self.sent.lock().expect("sent");
        let within = sent.iter().filter(|one| one.at >= from && one.at < to);
        let all: Vec<_> = within.collect();
        let served = all.iter().filter(|one| one.status == 200 && one.receipt).count();
        (all.len(), served)
    }
}

fn send(front: SocketAddr, path: &str, key: u16, record: &Record) -> Sent {
    let id = request_id();
    let headers = [
        ("Host", HOST.to_owned()),
        ("Tarragonthread-Request-Id", id.clone()),
        ("Tarragonthread-Deadline-Ms", "1200".to_owned()),
        ("Tarragonthread-Shard-Key", key.to_string()),
    ];
    let at = Instant::now();
    let bytes = http::request("GET", &format!("{path}{id}"), &headers, b"");
    let answer = http::call(front, &bytes, Duration::from_millis(1_200));
    let (status, receipt) = match &answer {
        Ok(message) => {
            (message.status(), message.header("tarragonthread-backend-stamp").is_some())
        }
        Err(_) => (0, false),
    };
    let text = answer.map_or_else(
        |error| error.to_string(),
        |message| String::from_utf8_lossy(&message.body).into_owned(),
    );
    record.note(&format!("client sent {id} key={key} to {front}: {status} {text}"));
    Sent { at, status, receipt }
}
