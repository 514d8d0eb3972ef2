//! More users come, keep their connections, and upload bodies within the limits.

use std::collections::HashSet;
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
    prefix: "/topup/",
    kind: "non_idempotent",
    service: "topup-desk",
    keyed: false,
    timeout_ms: 5_000,
    attempts: 2,
};

const PLAN: Plan =
    Plan { service: "topup-desk", keyed: false, slots: 6, work: Duration::from_millis(30) };

/// Connections that clients keep to each machine, and the factor of the burst.
const KEPT: usize = 2_200;
const BURST: f64 = 1.7;
const BURST_TIME: Duration = Duration::from_secs(5);
/// Body of each request. `max-body-bytes` is 64 MiB.
const BODY: usize = 64 * 1024;
/// Time between two requests on a connection; `idle-timeout-ms` is 15 s.
const PAUSE: Duration = Duration::from_secs(8);
/// `memory-limit-mb` of the pages.
const MEMORY: u64 = 260 * 1024 * 1024;
const THREADS: usize = 20;

struct Load {
    stop: AtomicBool,
    /// Connections to keep to each machine.
    target: AtomicUsize,
    open: AtomicUsize,
    served: AtomicUsize,
    /// Requests whose connection ended without an answer.
    cut: Mutex<Vec<String>>,
    other: AtomicUsize,
}

fn keep(load: &Load, share: usize, front: SocketAddr, record: &Record) {
    let body = vec![b'u'; BODY];
    let mut all: Vec<(Connection, Instant)> = Vec::new();
    while !load.stop.load(Ordering::SeqCst) {
        let target = load.target.load(Ordering::SeqCst) / THREADS + share % 2;
        while all.len() > target {
            all.pop();
            load.open.fetch_sub(1, Ordering::SeqCst);
        }
        if all.len() < target {
            match Connection::open(front, Duration::from_secs(1)) {
                Ok(connection) => {
                    all.push((connection, Instant::now()));
                    load.open.fetch_add(1, Ordering::SeqCst);
                }
                Err(_) => std::thread::sleep(Duration::from_millis(50)),
            }
        }
        let now = Instant::now();
        let due = all.iter().position(|(_, at)| *at <= now);
        let Some(index) = due else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        let id = request_id();
        let headers = [
            ("Host", HOST.to_owned()),
            ("Tarragonthread-Request-Id", id.clone()),
            ("Tarragonthread-Deadline-Ms", "5000".to_owned()),
        ];
        let bytes = http::request("POST", &format!("/topup/{id}"), &headers, &body);
        let (connection, at) = &mut all[index];
        let answer = connection.exchange(&bytes, Duration::from_secs(6));
        *at = Instant::now() + PAUSE;
        match answer {
            Ok(message) if message.status() == 200 => {
                load.served.fetch_add(1, Ordering::SeqCst);
            }
            Ok(message) => {
                record.note(&format!("client sent {id}: {}", message.status()));
                load.other.fetch_add(1, Ordering::SeqCst);
            }
            Err(error) => {
                record.note(&format!("client sent {id}: {error}"));
                load.cut.lock().expect("cut").push(id);
                all.swap_remove(index);
                load.open.fetch_sub(1, Ordering::SeqCst);
            }
        }
    }
}

pub fn run(record: &Record, trouble: &str) -> Result<bool, String> {
    let sockets = (KEPT as f64 * BURST * 2.0) as u64 + 1_500;
    if !router::allow_descriptors(sockets) {
        return Err(format!("this process may not open {sockets} descriptors"));
    }
    let mut world = World::new(record);
    world.configure(1, &[ROUTE], 16_384);
    for number in 1..=8 {
        world.backend(&format!("i-a{number}"), &PLAN);
    }
    for number in 1..=2 {
        world.machine(&format!("front-{number}"), true);
    }
    if !world.wait(Duration::from_secs(15), |w| w.routers.iter().all(|r| r.in_rotation())) {
        return Err("the routers were not ready in time".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    let load = Arc::new(Load {
        stop: AtomicBool::new(false),
        target: AtomicUsize::new(KEPT),
        open: AtomicUsize::new(0),
        served: AtomicUsize::new(0),
        cut: Mutex::default(),
        other: AtomicUsize::new(0),
    });
    let mut threads = Vec::new();
    for router in &world.routers {
        for share in 0..THREADS {
            let (load, front, record) = (Arc::clone(&load), router.machine.front, record.clone());
            threads.push(std::thread::spawn(move || keep(&load, share, front, &record)));
        }
    }
    let mut killed = 0;
    let mut most = [0_u64; 2];
    let began = Instant::now();
    let burst_at = Duration::from_secs(20);
    let mut phase = "steady";
    while began.elapsed() < Duration::from_secs(45) {
        let elapsed = began.elapsed();
        let in_burst = elapsed >= burst_at && elapsed < burst_at + BURST_TIME && trouble != "0";
        let next = if in_burst { "burst" } else { "steady" };
        if next != phase || elapsed.as_millis() % 5_000 < 20 {
            record.say(&format!(
                "{:>7} {next}: {} connections, memory {:?} MB, {} requests served",
                record.ms(),
                load.open.load(Ordering::SeqCst),
                most.map(|bytes| bytes >> 20),
                load.served.load(Ordering::SeqCst)
            ));
            phase = next;
        }
        let factor = if in_burst { BURST } else { 1.0 };
        load.target.store((KEPT as f64 * factor) as usize, Ordering::SeqCst);
        for (index, router) in world.routers.iter_mut().enumerate() {
            if router.has_ended() {
                return Err(format!("{} ended by itself", router.machine.node));
            }
            let bytes = router.memory();
            most[index] = most[index].max(bytes);
            if bytes > MEMORY {
                record.say(&format!(
                    "{:>7} {} uses {} MB: the platform kills it and starts it again",
                    record.ms(),
                    router.machine.node,
                    bytes >> 20
                ));
                router.kill();
                killed += 1;
                std::thread::sleep(Duration::from_millis(300));
                router.restart(&world.dir);
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    load.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let ran: HashSet<String> =
        world.runs.lock().expect("runs").iter().map(|run| run.request.clone()).collect();
    let cut = load.cut.lock().expect("cut");
    let lost = cut.iter().filter(|id| ran.contains(*id)).count();
    record.say(&format!(
        "served: {}, other answers: {}, ended without an answer: {}, of these passed on to a backend: {lost}",
        load.served.load(Ordering::SeqCst),
        load.other.load(Ordering::SeqCst),
        cut.len()
    ));
    record.say(&format!("most memory: {:?} MB; kills: {killed}", most.map(|bytes| bytes >> 20)));
    Ok(lost <= 3)
}
