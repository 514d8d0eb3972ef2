//! The operator raises `max-header-bytes` while clients keep their connections open.

use std::time::{Duration, Instant};

use crate::backend::Plan;
use crate::clients::request_id;
use crate::http::{self, Connection};
use crate::record::Record;
use crate::world::{HOST, Route, World};

const ROUTE: Route = Route {
    prefix: "/topup/",
    kind: "non_idempotent",
    service: "topup-desk",
    timeout_ms: 1_200,
    attempts: 2,
};

const PLAN: Plan =
    Plan { service: "topup-desk", slots: 6, work: Duration::from_millis(10) };

/// Limits before and after the change, and the size of the long head, in bytes.
const BEFORE: u64 = 16_384;
const AFTER: u64 = 32_768;
const LONG: usize = 20_000;
/// Connections that the clients keep to each router.
const KEPT: usize = 30;
/// `config-apply-ms` of the pages.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Counts of all requests.
#[derive(Default)]
struct Counts {
    all: usize,
    served: usize,
    denied: usize,
    other: usize,
}

fn purchase(connection: &mut Connection, head_bytes: usize, record: &Record, counts: &mut Counts) {
    let id = request_id();
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("Tarragonthread-Request-Id", id.clone()),
        ("Tarragonthread-Deadline-Ms", "1200".to_owned()),
    ];
    let target = format!("/topup/{id}");
    let length = http::request("POST", &target, &headers, b"").len();
    if length + 12 < head_bytes {
        headers.push(("Cookie", "c".repeat(head_bytes - length - 12)));
    }
    let mut bytes = http::request("POST", &target, &headers, b"");
    let head = bytes.len();
    bytes.extend_from_slice(b"");
    let answer = connection.exchange(&bytes, Duration::from_millis(1_200));
    counts.all += 1;
    let status = answer.as_ref().map_or(0, http::Message::status);
    let own = answer.as_ref().is_ok_and(|a| a.header("tarragonthread-backend-stamp").is_none());
    match status {
        200 => counts.served += 1,
        408 | 421 | 429 => counts.other += 1,
        300..=499 if own => counts.denied += 1,
        _ => counts.other += 1,
    }
    record.note(&format!("client sent {id} with a head of {head} bytes: {status}"));
}

pub fn run(record: &Record, trouble: &str) -> Result<bool, String> {
    let first = if trouble == "0" { AFTER } else { BEFORE };
    let mut world = World::new(record);
    world.configure(1, &[ROUTE], first);
    for number in 1..=3 {
        world.backend(&format!("i-a{number}"), &PLAN);
    }
    for number in 1..=2 {
        world.machine(&format!("front-{number}"), true);
    }
    if !world.wait(Duration::from_secs(15), |w| w.routers.iter().all(|r| r.in_rotation())) {
        return Err("the routers were not ready in time".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut counts = Counts::default();
    let mut kept = Vec::new();
    for router in &world.routers {
        for _ in 0..KEPT {
            let opened = Connection::open(router.machine.front, Duration::from_secs(1));
            kept.push((router.machine.front, opened.map_err(|error| error.to_string())?));
        }
    }
    for _ in 0..4 {
        for (_, connection) in &mut kept {
            purchase(connection, 0, record, &mut counts);
        }
    }
    if counts.served != counts.all {
        return Err(format!("only {} of {} short requests were served", counts.served, counts.all));
    }
    world.configure(2, &[ROUTE], AFTER);
    let acked = Instant::now();
    // Short requests go on, so that no connection is idle for long.
    while acked.elapsed() < CONFIG_APPLY + Duration::from_secs(4) {
        for (_, connection) in &mut kept {
            purchase(connection, 0, record, &mut counts);
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    record.say(&format!(
        "{:>7} long heads of {LONG} bytes, {} ms after the ack; {} requests so far",
        record.ms(),
        acked.elapsed().as_millis(),
        counts.all
    ));
    let before = counts.denied;
    for (front, connection) in &mut kept {
        purchase(connection, LONG, record, &mut counts);
        if counts.denied > before {
            // The router has closed it. The client doesn't retry after 431, and goes on elsewhere.
            *connection = Connection::open(*front, Duration::from_secs(1))
                .map_err(|error| error.to_string())?;
        }
    }
    let denied = counts.denied;
    for (_, connection) in &mut kept {
        purchase(connection, LONG, record, &mut counts);
    }
    record.say(&format!(
        "denied on connections of before the change: {denied} of {}; on newer ones: {}",
        kept.len(),
        counts.denied - denied
    ));
    let limit = 5.0 + counts.all as f64 / 500.0;
    record.say(&format!(
        "all: {}, served: {}, ended with a 4xx of the router's own: {}, other: {}; at most {limit:.1} may be",
        counts.all, counts.served, counts.denied, counts.other
    ));
    Ok(counts.denied as f64 <= limit)
}
