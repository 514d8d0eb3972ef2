//! Stand-in of a backend server, as PROTOCOL.md describes it.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::json::{self, Json};
use crate::record::Record;
use crate::store::Store;

const KEYS: usize = 65_536;
/// Time of silence after which the store removes an entry: three heartbeats.
const SILENCE: Duration = Duration::from_millis(2_610);

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
}

#[derive(Clone)]
pub struct Plan {
    pub service: &'static str,
    pub keyed: bool,
    pub slots: u32,
    pub work: Duration,
}

struct Keys {
    /// Highest fence number that was seen on each key.
    seen: Vec<u64>,
    until: Vec<Option<Instant>>,
}

struct Inner {
    down: AtomicBool,
    keys: Mutex<Keys>,
    streams: Mutex<Vec<TcpStream>>,
    running: AtomicU64,
}

pub struct Backend {
    pub id: String,
    pub addr: SocketAddr,
    pub plan: Plan,
    born: u64,
    inner: Arc<Inner>,
    store: Store,
}

impl Backend {
    /// Starts a backend on a free port and registers it.
    pub fn start(
        id: &str,
        ip: &str,
        plan: Plan,
        store: &Store,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("bind");
        let addr = listener.local_addr().expect("address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis() as u64;
        let inner = Arc::new(Inner {
            down: AtomicBool::new(false),
            keys: Mutex::new(Keys { seen: vec![0; KEYS], until: vec![None; KEYS] }),
            streams: Mutex::default(),
            running: AtomicU64::new(0),
        });
        let (stopping, serving) = (Arc::clone(&inner), Arc::clone(&inner));
        let (name, record, runs, of) = (id.to_owned(), record.clone(), Arc::clone(runs), plan.clone());
        record.note(&format!("backend {id} starts at {addr}"));
        http::serve(
            listener,
            move || stopping.down.load(Ordering::SeqCst),
            move |stream| connection(&serving, &name, &of, &record, &runs, stream),
        );
        let backend = Self { id: id.to_owned(), addr, plan, born, inner, store: store.clone() };
        backend.register("ready");
        backend
    }

    /// Writes the entry.
    pub fn register(&self, state: &str) {
        let info = json::obj(vec![
            ("service", json::str(self.plan.service)),
            ("version", json::str("v1")),
            ("zone", json::str("z1")),
            ("slots", json::num(u64::from(self.plan.slots))),
        ]);
        let status = json::obj(vec![
            ("state", json::str(state)),
            ("seq", json::num(1)),
            ("warmup-left-ms", json::num(0)),
        ]);
        let fields = vec![
            ("addr", json::str(&self.addr.to_string())),
            ("born", json::num(self.born)),
            ("info", info),
            ("status", status),
        ];
        self.store.write("servers", &self.id, fields);
    }

    /// Ends the process: its connections break, and its entry expires.
    pub fn crash(&self, record: &Record) {
        record.note(&format!("backend {} loses power", self.id));
        self.inner.down.store(true, Ordering::SeqCst);
        for stream in self.inner.streams.lock().expect("streams").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (store, id) = (self.store.clone(), self.id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(SILENCE);
            store.remove("servers", &id);
        });
    }
}

fn connection(
    inner: &Inner,
    id: &str,
    plan: &Plan,
    record: &Record,
    runs: &Mutex<Vec<Run>>,
    stream: TcpStream,
) {
    let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
    inner.streams.lock().expect("streams").push(kept);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut reader) {
        if inner.down.load(Ordering::SeqCst) {
            return;
        }
        let answer = answer(inner, id, plan, record, runs, &request);
        if inner.down.load(Ordering::SeqCst) || writer.write_all(&answer).is_err() {
            return;
        }
    }
}

fn answer(
    inner: &Inner,
    id: &str,
    plan: &Plan,
    record: &Record,
    runs: &Mutex<Vec<Run>>,
    request: &Message,
) -> Vec<u8> {
    let own = ("Tarragonthread-Instance-Id", id.to_owned());
    let not_run = ("Tarragonthread-Not-Executed", "1".to_owned());
    let number = request.header("tarragonthread-request-id").unwrap_or("").to_owned();
    let echo = ("Tarragonthread-Request-Id", number.clone());
    let load = inner.running.load(Ordering::SeqCst);
    let load = ("Tarragonthread-Backend-Load", format!("{load},0,{}", plan.slots));
    if request.header("tarragonthread-expect-instance").is_some_and(|expected| expected != id) {
        return http::response(421, &[own, echo], b"");
    }
    if request.target() == "/-/grant" || request.target() == "/-/release" {
        return command(inner, id, record, request);
    }
    if request.target() == "/health" {
        return http::response(200, &[own, load], b"");
    }
    if number.is_empty() {
        return http::response(400, &[own, not_run], b"");
    }
    let key = request.header("tarragonthread-shard-key").and_then(|k| k.parse::<u16>().ok());
    if plan.keyed {
        let held = key.is_some_and(|key| {
            let keys = inner.keys.lock().expect("keys");
            keys.until[usize::from(key)].is_some_and(|until| Instant::now() < until)
        });
        if !held {
            record.note(&format!("backend {id} refuses {number} key={key:?}: not held"));
            return http::response(421, &[own, echo, not_run], b"");
        }
    }
    record.note(&format!("backend {id} runs {number} key={key:?}"));
    let run = Run { request: number.clone() };
    runs.lock().expect("runs").push(run);
    inner.running.fetch_add(1, Ordering::SeqCst);
    std::thread::sleep(plan.work);
    inner.running.fetch_sub(1, Ordering::SeqCst);
    let stamp = ("Tarragonthread-Backend-Stamp", format!("{id}.{number}"));
    http::response(200, &[echo, stamp, load], format!("done by {id}").as_bytes())
}

fn command(inner: &Inner, id: &str, record: &Record, request: &Message) -> Vec<u8> {
    let arrived = Instant::now();
    let Ok(body) = Json::parse(&request.body) else {
        return http::response(400, &[], b"");
    };
    let (Some(from), Some(to), Some(fence)) =
        (body.u64("from"), body.u64("to"), body.u64("fence"))
    else {
        return http::response(400, &[], b"");
    };
    let range = usize::try_from(from).unwrap_or(0)..=usize::try_from(to).unwrap_or(0).min(KEYS - 1);
    let mut keys = inner.keys.lock().expect("keys");
    if request.target() == "/-/release" {
        for key in range {
            keys.seen[key] = keys.seen[key].max(fence);
            keys.until[key] = None;
        }
        record.note(&format!("backend {id} releases {from}-{to} fence={fence}"));
        let handover = ("Tarragonthread-Handover", format!("{id}.{fence}"));
        return http::response(200, &[handover], b"");
    }
    let hold = Duration::from_millis(body.u64("hold-ms").unwrap_or(0));
    if range.clone().any(|key| keys.seen[key] > fence) {
        record.note(&format!("backend {id} denies grant {from}-{to} fence={fence}"));
        return http::response(409, &[], b"");
    }
    for key in range {
        keys.seen[key] = fence;
        keys.until[key] = Some(arrived + hold);
    }
    record.note(&format!("backend {id} takes {from}-{to} fence={fence}"));
    http::response(200, &[], b"")
}
