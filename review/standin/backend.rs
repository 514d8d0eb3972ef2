//! Stand-in of a backend, as PROTOCOL.md tells it: slots, a short queue, grants and releases.

use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::{Random, note, now_ms, unix_ms};
use crate::router;
use crate::store::Store;

/// Work time of a request that crashes each backend that begins to run it.
pub const CRASH: u64 = u64::MAX;

pub type Work = Arc<dyn Fn(&Message) -> u64 + Send + Sync>;

#[derive(Clone)]
pub struct Kind {
    pub service: &'static str,
    pub slots: usize,
    pub queue: usize,
    pub sharded: bool,
    /// Time that a request works, in milliseconds.
    pub work: Work,
    /// Time that bytes take to it, and from it, in milliseconds.
    pub distance_ms: u64,
}

/// A run of a request at a backend.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub began_ms: u64,
}

/// Everything that the backends of a case saw.
#[derive(Default)]
pub struct Seen {
    pub runs: Mutex<Vec<Run>>,
    pub backends: Mutex<Vec<Arc<Backend>>>,
    /// What broke a rule on keys.
    pub broken: Mutex<Vec<String>>,
    pub crashes: Mutex<Vec<u64>>,
}

struct Work1 {
    key: Option<usize>,
    id: String,
}

struct Inner {
    running: usize,
    waiting: usize,
    work: Vec<Work1>,
    /// Highest fence seen, by key.
    fence: Vec<u64>,
    /// Whether new work may begin, and until when the lease runs, by key.
    open: Vec<bool>,
    lease: Vec<Option<Instant>>,
    handovers: u64,
}

pub struct Backend {
    pub id: String,
    pub kind: Kind,
    pub born: u64,
    pub address: SocketAddr,
    inner: Mutex<Inner>,
    free: Condvar,
    pub ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Part of its answers that it sends a second time, late, in thousandths.
    pub extra: AtomicU64,
    seen: Arc<Seen>,
    store: Store,
}

impl Backend {
    /// Starts a backend and registers it in the store.
    pub fn start(id: &str, number: usize, kind: &Kind, seen: &Arc<Seen>, store: &Store) -> Arc<Self> {
        let listener = TcpListener::bind((router::ip(100 + number).as_str(), 0));
        let listener = listener.expect("a backend can listen");
        let keys = if kind.sharded { 65_536 } else { 0 };
        let backend = Arc::new(Self {
            id: id.to_owned(),
            kind: kind.clone(),
            born: unix_ms(),
            address: listener.local_addr().unwrap(),
            inner: Mutex::new(Inner {
                running: 0,
                waiting: 0,
                work: Vec::new(),
                fence: vec![0; keys],
                open: vec![false; keys],
                lease: vec![None; keys],
                handovers: 0,
            }),
            free: Condvar::new(),
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
            extra: AtomicU64::new(0),
            seen: Arc::clone(seen),
            store: store.clone(),
        });
        seen.backends.lock().unwrap().push(Arc::clone(&backend));
        let serving = Arc::clone(&backend);
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while !serving.ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let backend = Arc::clone(&serving);
                        thread::spawn(move || backend.connection(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        backend.register("ready");
        backend
    }

    /// Writes its entry with a state.
    pub fn register(&self, state: &str) {
        let entry = format!(
            "{{\"addr\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"a\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"seq\":1,\"warmup-left-ms\":0}}}}",
            self.address, self.born, self.kind.service, self.kind.slots
        );
        self.store.write("servers", &self.id, &entry);
    }

    pub fn unregister(&self) {
        self.store.remove("servers", &self.id);
    }

    /// Ends the process: nothing answers at its address any more.
    pub fn end(&self) {
        if !self.ended.swap(true, Ordering::SeqCst) {
            note(&format!("backend {} ends", self.id));
            for stream in self.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            self.free.notify_all();
        }
    }

    fn connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(known)) = (stream.try_clone(), stream.try_clone()) else { return };
        let peer = stream.peer_addr().map(|peer| peer.ip().to_string()).unwrap_or_default();
        self.connections.lock().unwrap().push(known);
        let mut random = Random::new(unix_ms() ^ u64::from(stream.peer_addr().map_or(0, |p| p.port())));
        let mut reader = BufReader::new(stream);
        let mut copy: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = http::read(&mut reader) {
            thread::sleep(Duration::from_millis(self.kind.distance_ms));
            if let Some(bytes) = copy.take() {
                // An extra response, late, at the point where the next response is expected.
                let first = String::from_utf8_lossy(&bytes).lines().take(2).collect::<Vec<_>>().join(" / ");
                note(&format!("backend {} sends a second copy of an answer: {first}", self.id));
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            let Some(bytes) = self.answer(&request, &peer) else { return };
            thread::sleep(Duration::from_millis(self.kind.distance_ms));
            if self.ended.load(Ordering::SeqCst) || writer.write_all(&bytes).is_err() {
                return;
            }
            if random.below(1_000) < self.extra.load(Ordering::SeqCst) {
                copy = Some(bytes);
            }
        }
    }

    fn answer(&self, request: &Message, peer: &str) -> Option<Vec<u8>> {
        match request.word() {
            "/-/grant" => Some(self.grant(&Json::parse(&request.text()))),
            "/-/release" => Some(self.release(&Json::parse(&request.text()))),
            _ => self.run(request, peer),
        }
    }

    fn grant(&self, call: &Json) -> Vec<u8> {
        let number = |name: &str| call.get(name).number().unwrap_or(0);
        let (from, to) = (number("from") as usize, number("to") as usize);
        let (fence, hold_ms) = (number("fence"), number("hold-ms"));
        let lease = Instant::now() + Duration::from_millis(hold_ms);
        {
            let mut inner = self.inner.lock().unwrap();
            if inner.fence[from..=to].iter().any(|seen| *seen > fence) {
                note(&format!("backend {} refuses grant keys={from}-{to} fence={fence}", self.id));
                return http::response(409, &[], b"");
            }
            let new = inner.fence[from] != fence || !inner.open[from];
            inner.fence[from..=to].fill(fence);
            inner.open[from..=to].fill(true);
            inner.lease[from..=to].fill(Some(lease));
            note(&format!(
                "backend {} takes grant keys={from}-{to} fence={fence} hold_ms={hold_ms} new={new}",
                self.id
            ));
        }
        self.check_others(from, to);
        http::response(200, &[], b"")
    }

    /// Checks that no other backend still works on keys that this one was given, or holds them.
    fn check_others(&self, from: usize, to: usize) {
        let others = self.seen.backends.lock().unwrap().clone();
        for other in others {
            let gone = other.ended.load(Ordering::SeqCst);
            if other.id == self.id || gone || other.kind.service != self.kind.service {
                continue;
            }
            let inner = other.inner.lock().unwrap();
            let now = Instant::now();
            for work in &inner.work {
                let Some(key) = work.key.filter(|key| (from..=to).contains(key)) else { continue };
                let Some(left) = inner.lease[key].and_then(|lease| lease.checked_duration_since(now)) else {
                    continue;
                };
                let text = format!(
                    "OWNER: {} was given key {key} on which {} is still at work (request {}), {} ms before that one's hold runs out",
                    self.id, other.id, work.id, left.as_millis()
                );
                note(&text);
                self.seen.broken.lock().unwrap().push(text);
            }
        }
    }

    /// Returns for each key whether it is held now.
    fn held(&self) -> Vec<bool> {
        let inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let leases = inner.open.iter().zip(&inner.lease);
        leases.map(|(open, lease)| *open && lease.is_some_and(|lease| lease > now)).collect()
    }

    fn release(&self, call: &Json) -> Vec<u8> {
        let number = |name: &str| call.get(name).number().unwrap_or(0);
        let (from, to) = (number("from") as usize, number("to") as usize);
        let fence = number("fence");
        note(&format!("backend {} gets release keys={from}-{to} fence={fence}", self.id));
        let mut inner = self.inner.lock().unwrap();
        for key in from..=to {
            inner.fence[key] = inner.fence[key].max(fence);
            inner.open[key] = false;
        }
        let busy = |work: &Work1| work.key.is_some_and(|key| (from..=to).contains(&key));
        while inner.work.iter().any(busy) && !self.ended.load(Ordering::SeqCst) {
            inner = self.free.wait_timeout(inner, Duration::from_millis(20)).unwrap().0;
        }
        for key in from..=to {
            if !inner.open[key] {
                inner.lease[key] = None;
            }
        }
        inner.handovers += 1;
        let handover = format!("{:016x}", inner.handovers);
        note(&format!("backend {} answers release keys={from}-{to} fence={fence}", self.id));
        http::response(200, &[("Tarragonthread-Handover", &handover)], b"")
    }

    fn holds(&self, inner: &Inner, key: Option<usize>) -> bool {
        if !self.kind.sharded {
            return true;
        }
        let now = Instant::now();
        key.is_some_and(|key| inner.open[key] && inner.lease[key].is_some_and(|lease| lease > now))
    }

    fn run(&self, request: &Message, peer: &str) -> Option<Vec<u8>> {
        let id = request.header("tarragonthread-request-id").unwrap_or_default().to_owned();
        let refuse = |status: u16, reason: &str| {
            note(&format!("backend {} refuses id={id} status={status} ({reason})", self.id));
            let headers = [
                ("Tarragonthread-Request-Id", id.as_str()),
                ("Tarragonthread-Not-Executed", "1"),
                ("Tarragonthread-Instance-Id", self.id.as_str()),
            ];
            Some(http::response(status, &headers, b""))
        };
        if id.is_empty() {
            return refuse(400, "no id");
        }
        if request.header("tarragonthread-expect-instance").is_some_and(|wanted| wanted != self.id) {
            return refuse(421, "another backend is meant");
        }
        let key = request.header("tarragonthread-shard-key").and_then(|text| text.parse().ok());
        let deadline_ms = request.header("tarragonthread-deadline-ms").and_then(|text| text.parse().ok());
        let end = Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(30_000));
        let work = (self.kind.work)(request);
        let mut inner = self.inner.lock().unwrap();
        if !self.holds(&inner, key) {
            drop(inner);
            return refuse(421, "key not held");
        }
        if inner.running >= self.kind.slots {
            if inner.waiting >= self.kind.queue {
                drop(inner);
                return refuse(503, "full");
            }
            inner.waiting += 1;
            while inner.running >= self.kind.slots && Instant::now() < end {
                inner = self.free.wait_timeout(inner, Duration::from_millis(20)).unwrap().0;
            }
            inner.waiting -= 1;
            if Instant::now() >= end {
                drop(inner);
                return refuse(503, "deadline passed in the queue");
            }
            if !self.holds(&inner, key) {
                drop(inner);
                return refuse(421, "key not held");
            }
        }
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        inner.running += 1;
        inner.work.push(Work1 { key: key.filter(|_| self.kind.sharded), id: id.clone() });
        let run = Run { id: id.clone(), server: self.id.clone(), began_ms: now_ms() };
        note(&format!("backend {} runs id={id} from={peer} path={}", self.id, request.word()));
        self.seen.runs.lock().unwrap().push(run);
        drop(inner);
        if work == CRASH {
            thread::sleep(Duration::from_millis(20));
            note(&format!("backend {} is crashed by id={id}", self.id));
            self.seen.crashes.lock().unwrap().push(now_ms());
            self.end();
            return None;
        }
        let done = Instant::now() + Duration::from_millis(work);
        let mut status = 200;
        while Instant::now() < done {
            let left = done.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(10)));
            if self.ended.load(Ordering::SeqCst) {
                return None;
            }
            if Instant::now() >= end {
                status = 504;
                break;
            }
            let lease = || key.and_then(|key: usize| self.inner.lock().unwrap().lease[key]);
            if self.kind.sharded && lease().is_none_or(|lease| lease < Instant::now()) {
                status = 500;
                break;
            }
        }
        let mut inner = self.inner.lock().unwrap();
        inner.running -= 1;
        if let Some(at) = inner.work.iter().position(|work| work.id == id) {
            inner.work.swap_remove(at);
        }
        let load = format!("{},{},{}", inner.running, inner.waiting, self.kind.slots);
        drop(inner);
        self.free.notify_all();
        note(&format!("backend {} ends the run of id={id} status={status}", self.id));
        let stamp = format!("{}.{id}.{status}", self.id);
        let headers = [
            ("Tarragonthread-Request-Id", id.as_str()),
            ("Tarragonthread-Backend-Stamp", stamp.as_str()),
            ("Tarragonthread-Backend-Load", load.as_str()),
        ];
        Some(http::response(status, &headers, format!("answer to {id}").as_bytes()))
    }
}

/// Watches until `stop` whether two backends of a service that are up hold the same keys for over
/// half a second.
pub fn watch_holders(seen: &Arc<Seen>, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (seen, stop) = (Arc::clone(seen), Arc::clone(stop));
    thread::spawn(move || {
        // Since when a pair of backends has held a key together, by the pair and the key.
        let mut since: HashMap<(String, String, usize), Instant> = HashMap::new();
        let mut told: HashSet<(String, String)> = HashSet::new();
        while !stop.load(Ordering::SeqCst) {
            let all = seen.backends.lock().unwrap().clone();
            let up = all.iter().filter(|known| known.kind.sharded && !known.ended.load(Ordering::SeqCst));
            let held: Vec<_> = up.map(|known| (known, known.held())).collect();
            let mut still = HashMap::new();
            for (index, (one, left)) in held.iter().enumerate() {
                for (other, right) in &held[index + 1..] {
                    if one.kind.service != other.kind.service {
                        continue;
                    }
                    for key in (0..left.len()).filter(|key| left[*key] && right[*key]) {
                        let name = (one.id.clone(), other.id.clone(), key);
                        let began = since.get(&name).copied().unwrap_or_else(Instant::now);
                        still.insert(name, began);
                    }
                }
            }
            for ((one, other, key), began) in &still {
                if began.elapsed() > Duration::from_millis(500) && told.insert((one.clone(), other.clone())) {
                    let text = format!("OWNER: {one} and {other} have both held key {key} for over half a second");
                    note(&text);
                    seen.broken.lock().unwrap().push(text);
                }
            }
            since = still;
            thread::sleep(Duration::from_millis(25));
        }
    })
}
