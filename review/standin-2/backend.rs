//! Stand-in of a backend server of a service without keys, as PROTOCOL.md describes it.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::json;
use crate::record::Record;
use crate::store::Store;

/// Identifiers of the requests that were run.
pub type Runs = Arc<Mutex<Vec<String>>>;

#[derive(Clone)]
pub struct Plan {
    pub service: &'static str,
    pub slots: u32,
    /// Time that a request takes.
    pub work: Duration,
}

/// Starts a backend on a free port and registers it.
pub fn start(id: &str, plan: &Plan, store: &Store, record: &Record, runs: &Runs) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("bind");
    let addr = listener.local_addr().expect("address");
    let (name, of) = (id.to_owned(), plan.clone());
    let (notes, ran, running) = (record.clone(), Arc::clone(runs), AtomicU64::new(0));
    record.note(&format!("backend {id} starts at {addr}"));
    http::serve(listener, move |stream| connection(&name, &of, &notes, &ran, &running, stream));
    let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis();
    let info = json::obj(vec![
        ("service", json::str(plan.service)),
        ("version", json::str("v1")),
        ("zone", json::str("z1")),
        ("slots", json::num(u64::from(plan.slots))),
    ]);
    let status = json::obj(vec![
        ("state", json::str("ready")),
        ("seq", json::num(1)),
        ("warmup-left-ms", json::num(0)),
    ]);
    let fields = vec![
        ("addr", json::str(&addr.to_string())),
        ("born", json::num(u64::try_from(born).expect("clock"))),
        ("info", info),
        ("status", status),
    ];
    store.write("servers", id, fields);
}

fn connection(
    id: &str,
    plan: &Plan,
    record: &Record,
    runs: &Runs,
    running: &AtomicU64,
    stream: TcpStream,
) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut reader) {
        let answer = answer(id, plan, record, runs, running, &request);
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}

fn answer(
    id: &str,
    plan: &Plan,
    record: &Record,
    runs: &Runs,
    running: &AtomicU64,
    request: &Message,
) -> Vec<u8> {
    let own = ("Tarragonthread-Instance-Id", id.to_owned());
    let not_run = ("Tarragonthread-Not-Executed", "1".to_owned());
    let number = request.header("tarragonthread-request-id").unwrap_or("").to_owned();
    let echo = ("Tarragonthread-Request-Id", number.clone());
    let count = running.load(Ordering::SeqCst);
    let load = ("Tarragonthread-Backend-Load", format!("{count},0,{}", plan.slots));
    if request.header("tarragonthread-expect-instance").is_some_and(|expected| expected != id) {
        return http::response(421, &[own, echo], b"");
    }
    if request.target() == "/health" {
        return http::response(200, &[own, load], b"");
    }
    if number.is_empty() {
        return http::response(400, &[own, not_run], b"");
    }
    record.note(&format!("backend {id} runs {number}"));
    runs.lock().expect("runs").push(number.clone());
    running.fetch_add(1, Ordering::SeqCst);
    std::thread::sleep(plan.work);
    running.fetch_sub(1, Ordering::SeqCst);
    let stamp = ("Tarragonthread-Backend-Stamp", format!("{id}.{number}"));
    http::response(200, &[echo, stamp, load], format!("done by {id}").as_bytes())
}
