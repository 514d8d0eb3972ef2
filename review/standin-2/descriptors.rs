//! More users come and keep their connections, until a machine has no descriptors left.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::backend::Plan;
use crate::clients::request_id;
use crate::http::{self, Connection};
use crate::record::Record;
use crate::router;
use crate::world::{HOST, Route, World};

const ROUTE: Route = Route {
    prefix: "/charts/",
    kind: "idempotent",
    service: "chart-depot",
    timeout_ms: 1_200,
    attempts: 2,
};

const PLAN: Plan =
    Plan { service: "chart-depot", slots: 6, work: Duration::from_millis(20) };

/// Connections that clients keep to the machine, and the burst.
const KEPT: usize = 3_000;
const BURST: f64 = 1.7;
const BURST_TIME: Duration = Duration::from_secs(5);
const THREADS: usize = 20;
/// Clients that try new connections all the while, and how long each of them waits.
const NEWCOMERS: usize = 10;
const PATIENCE: Duration = Duration::from_secs(1);
/// `touch-ms` of the pages.
const TOUCH: Duration = Duration::from_millis(3_000);

/// A try of a new connection: the client, its begin, and whether it was answered at all.
struct Try {
    client: usize,
    began: Instant,
    taken: bool,
}

struct Shared {
    stop: AtomicBool,
    target: AtomicUsize,
    served: AtomicUsize,
    other: AtomicUsize,
    tries: Mutex<Vec<Try>>,
    /// Times of the probes that were answered with 200.
    ready: Mutex<Vec<Instant>>,
}

fn get(id: &str) -> Vec<u8> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("Tarragonthread-Request-Id", id.to_owned()),
        ("Tarragonthread-Deadline-Ms", "1200".to_owned()),
    ];
    http::request("GET", &format!("/charts/{id}"), &headers, b"")
}

/// Keeps connections, each with a request every 8 s.
fn keep(shared: &Shared, front: SocketAddr) {
    let mut all: Vec<(Connection, Instant)> = Vec::new();
    while !shared.stop.load(Ordering::SeqCst) {
        let target = shared.target.load(Ordering::SeqCst) / THREADS;
        all.truncate(target);
        while all.len() < target {
            match Connection::open(front, PATIENCE) {
                Ok(connection) => all.push((connection, Instant::now())),
                Err(_) => break,
            }
        }
        let now = Instant::now();
        for (connection, _) in all.iter_mut().filter(|(_, due)| *due <= now) {
            let _ = connection.send(&get(&request_id()));
        }
        all.retain_mut(|(connection, due)| {
            if *due > now {
                return true;
            }
            *due = now + Duration::from_secs(8);
            let answer = connection.receive(Duration::from_millis(1_300));
            let served = answer.as_ref().is_ok_and(|a| a.status() == 200);
            let counter = if served { &shared.served } else { &shared.other };
            counter.fetch_add(1, Ordering::SeqCst);
            answer.is_ok()
        });
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Tries one new connection after the other.
fn newcomer(shared: &Shared, client: usize, front: SocketAddr, record: &Record) {
    while !shared.stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        let answer = http::call(front, &get(&request_id()), PATIENCE);
        let taken = answer.is_ok();
        record.note(&format!("client {client} tried a new connection: taken {taken}"));
        shared.tries.lock().expect("tries").push(Try { client, began, taken });
        std::thread::sleep(Duration::from_millis(200).saturating_sub(began.elapsed()));
    }
}

/// Asks whether the machine is ready, once a second on one connection.
fn probe(shared: &Shared, ready: SocketAddr, record: &Record) {
    let bytes = http::request("GET", "/-/ready", &[("Host", "ready".to_owned())], b"");
    let mut connection = None;
    while !shared.stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        if connection.is_none() {
            connection = Connection::open(ready, PATIENCE).ok();
        }
        let answer = connection.as_mut().map(|c| c.exchange(&bytes, PATIENCE));
        let status = answer.and_then(Result::ok).map_or(0, |a| a.status());
        record.note(&format!("probe: {status}"));
        if status == 200 {
            shared.ready.lock().expect("ready").push(began);
        } else {
            connection = None;
        }
        std::thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
    }
}

/// Returns the longest span in which each probe said ready, seven clients or more tried new
/// connections, and none was taken.
fn longest(shared: &Shared) -> Duration {
    let tries = shared.tries.lock().expect("tries");
    let ready = shared.ready.lock().expect("ready");
    let mut longest = Duration::ZERO;
    let mut from: Option<Instant> = None;
    let mut clients = BTreeSet::new();
    let mut sorted: Vec<&Try> = tries.iter().collect();
    sorted.sort_by_key(|one| one.began);
    for one in sorted {
        let said = ready.iter().any(|at| *at <= one.began && one.began - *at < Duration::from_millis(1_100));
        if one.taken || !said {
            from = None;
            clients.clear();
            continue;
        }
        let begin = *from.get_or_insert(one.began);
        clients.insert(one.client);
        if clients.len() >= 7 {
            longest = longest.max(one.began - begin);
        }
    }
    longest
}

pub fn run(record: &Record, trouble: &str) -> Result<bool, String> {
    let sockets = (KEPT as f64 * BURST) as u64 + 1_000;
    if !router::allow_descriptors(sockets) {
        return Err(format!("this process may not open {sockets} descriptors"));
    }
    let mut world = World::new(record);
    world.configure(1, &[ROUTE], 16_384);
    for number in 1..=4 {
        world.backend(&format!("i-a{number}"), &PLAN);
    }
    world.machine("front-1", true);
    if !world.wait(Duration::from_secs(15), |w| w.routers.iter().all(|r| r.in_rotation())) {
        return Err("the router was not ready in time".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    let shared = Arc::new(Shared {
        stop: AtomicBool::new(false),
        target: AtomicUsize::new(KEPT),
        served: AtomicUsize::new(0),
        other: AtomicUsize::new(0),
        tries: Mutex::default(),
        ready: Mutex::default(),
    });
    let (front, ready) = (world.routers[0].machine.front, world.routers[0].machine.ready);
    let mut threads = Vec::new();
    let (of, copy) = (Arc::clone(&shared), record.clone());
    threads.push(std::thread::spawn(move || probe(&of, ready, &copy)));
    for _ in 0..THREADS {
        let of = Arc::clone(&shared);
        threads.push(std::thread::spawn(move || keep(&of, front)));
    }
    std::thread::sleep(Duration::from_secs(8));
    for client in 0..NEWCOMERS {
        let (of, copy) = (Arc::clone(&shared), record.clone());
        threads.push(std::thread::spawn(move || newcomer(&of, client, front, &copy)));
    }
    std::thread::sleep(Duration::from_secs(5));
    let steady = longest(&shared);
    if trouble != "0" {
        record.say(&format!("{:>7} the burst begins", record.ms()));
        shared.target.store((KEPT as f64 * BURST) as usize, Ordering::SeqCst);
    }
    std::thread::sleep(BURST_TIME);
    shared.target.store(KEPT, Ordering::SeqCst);
    record.say(&format!("{:>7} the burst is over", record.ms()));
    std::thread::sleep(Duration::from_secs(5));
    shared.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let span = longest(&shared);
    let tries = shared.tries.lock().expect("tries");
    record.say(&format!(
        "kept connections: {} answers 200, {} others; new connections: {} of {} taken; ready: {} probes",
        shared.served.load(Ordering::SeqCst),
        shared.other.load(Ordering::SeqCst),
        tries.iter().filter(|one| one.taken).count(),
        tries.len(),
        shared.ready.lock().expect("ready").len()
    ));
    record.say(&format!(
        "longest span in which it said ready and took no new connection: {} ms, before the burst {} ms",
        span.as_millis(),
        steady.as_millis()
    ));
    Ok(span < TOUCH)
}
