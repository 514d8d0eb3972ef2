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
    timeout_ms: 8_000,
    attempts: 2,
};

const PLAN: Plan =
    Plan { service: "topup-desk", slots: 6, work: Duration::from_millis(30) };

/// Connections that clients keep to each machine, and the factor of the burst.
const KEPT: usize = 2_200;
const BURST: f64 = 1.7;
const BURST_TIME: Duration = Duration::from_secs(5);
/// Body of each request. `max-body-bytes` is 64 MiB.
const BODY: usize = 64 * 1024;
/// Time between two requests on a connection; `idle-timeout-ms` is 15 s.
const PAUSE: Duration = Duration::from_secs(8);
/// `memory-limit-mb` of the pages.
const MEMORY_MB: u64 = 260;
/// Threads that play the users of one machine, those that stay and those of the burst.
const THREADS: usize = 20;

struct Load {
    stop: AtomicBool,
    in_burst: AtomicBool,
    served: AtomicUsize,
    /// Requests whose connection ended without an answer.
    cut: Mutex<Vec<String>>,
    other: AtomicUsize,
}

/// Connection with the time of its next request.
struct Kept {
    connection: Connection,
    due: Instant,
}

fn upload(id: &str, body: &[u8]) -> Vec<u8> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("Tarragonthread-Request-Id", id.to_owned()),
        ("Tarragonthread-Deadline-Ms", "8000".to_owned()),
    ];
    http::request("POST", &format!("/topup/{id}"), &headers, body)
}

/// Plays some users. Those of the burst come with it, and leave when it is over.
fn keep(load: &Load, of_burst: bool, front: SocketAddr, record: &Record) {
    let body = vec![b'u'; BODY];
    let more = (KEPT as f64 * (BURST - 1.0)) as usize;
    let mut all: Vec<Kept> = Vec::new();
    while !load.stop.load(Ordering::SeqCst) {
        let target = match (of_burst, load.in_burst.load(Ordering::SeqCst)) {
            (false, _) => KEPT / THREADS,
            (true, true) => more / THREADS,
            (true, false) => 0,
        };
        all.truncate(target);
        if all.len() < target {
            match Connection::open(front, Duration::from_secs(1)) {
                Ok(connection) => all.push(Kept { connection, due: Instant::now() }),
                Err(_) => std::thread::sleep(Duration::from_millis(50)),
            }
        }
        let now = Instant::now();
        let Some(index) = all.iter().position(|kept| kept.due <= now) else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        let id = request_id();
        let answer = all[index].connection.exchange(&upload(&id, &body), Duration::from_secs(10));
        all[index].due = Instant::now() + PAUSE;
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
        in_burst: AtomicBool::new(false),
        served: AtomicUsize::new(0),
        cut: Mutex::default(),
        other: AtomicUsize::new(0),
    });
    let mut threads = Vec::new();
    for router in &world.routers {
        for number in 0..2 * THREADS {
            let (load, front, record) = (Arc::clone(&load), router.machine.front, record.clone());
            let of_burst = number >= THREADS;
            threads.push(std::thread::spawn(move || keep(&load, of_burst, front, &record)));
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
                "{:>7} {next}: most memory {:?} MB, {} requests served",
                record.ms(),
                most.map(|bytes| bytes >> 20),
                load.served.load(Ordering::SeqCst)
            ));
            phase = next;
        }
        load.in_burst.store(in_burst, Ordering::SeqCst);
        for (index, router) in world.routers.iter_mut().enumerate() {
            if router.has_ended() {
                return Err(format!("{} ended by itself", router.machine.node));
            }
            let bytes = router.memory();
            most[index] = most[index].max(bytes);
            if bytes > MEMORY_MB << 20 {
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
        world.runs.lock().expect("runs").iter().cloned().collect();
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
