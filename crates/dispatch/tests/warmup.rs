//! Which backend servers are cold, and who may send to them.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_dispatch::fleet::{
    AttemptClass, Change, Criteria, Entry, Fleet, Location, Observation,
};
use tarragon_dispatch::homes::Homes;
use tarragon_dispatch::warmup::{Bound, Limit, Rate};
use tarragon_model::time::Instant;

const NOW: Instant = Instant::from_millis(100_000);
const RATE: Rate = Rate {
    per_s: 6.5,
    time: Duration::from_secs(20),
};
const BOUND: Bound = Bound {
    overrun: 1.5,
    slack: 8.0,
};

fn fleet(limited: bool) -> Fleet {
    let mut fleet = Fleet::new(Location {
        zone: "a1".to_owned(),
        regions: HashMap::new(),
    });
    fleet.set_services(["s"].into_iter());
    if limited {
        let limit = ("s".to_owned(), Limit::new(RATE, BOUND));
        fleet.set_warmup_limits(HashMap::from([limit]));
    }
    fleet
}

fn entry(start_ms: u64, warmup_ms: u64) -> Entry {
    Entry {
        id: "x".to_owned(),
        start_ms,
        service: "s".to_owned(),
        addr: "127.0.0.1:9".parse().unwrap(),
        zone: "a1".to_owned(),
        slots: 6,
        draining: false,
        warmup: Duration::from_millis(warmup_ms),
    }
}

fn criteria() -> Criteria<'static> {
    static ANYWHERE: Homes = Homes::anywhere();
    Criteria {
        service: "s",
        homes: &ANYWHERE,
        tried: &[],
        remaining: Duration::from_secs(1),
        objective: Duration::from_millis(500),
        priority: 1,
        large_response: false,
        request_bytes: 0,
        retryable: true,
        random: 0.5,
    }
}

/// Guards against requests to a server whose later entry says that it is cold, and against
/// limits where there is no rate or bound.
#[test]
fn a_server_is_cold_as_its_latest_entry_says() {
    // Entry (start, warm-up, revision), change, and whether the server is cold 1.5 s later.
    let steps = [
        ((1, 2_000, 1), Change::New, true),
        ((1, 2_000, 1), Change::None, true),
        ((1, 0, 2), Change::None, false),
        ((1, 1_000, 3), Change::Cold, false),
        ((1, 3_000, 4), Change::None, true),
        ((1, 9_000, 3), Change::None, true),
        ((2, 0, 5), Change::Restarted, false),
        ((2, 4_000, 6), Change::Cold, true),
    ];
    let (mut limited, mut unlimited) = (fleet(true), fleet(false));
    for ((start_ms, warmup_ms, revision), change, cold) in steps {
        let entry = entry(start_ms, warmup_ms);
        let seen = limited.update(entry.clone(), revision, NOW);
        assert_eq!(seen, change, "revision {revision}");
        let later = NOW + Duration::from_millis(1_500);
        let server = limited.get("x").unwrap();
        assert_eq!(limited.is_cold(server, later), cold, "revision {revision}");
        assert_ne!(unlimited.update(entry, revision, NOW), Change::Cold);
        let server = unlimited.get("x").unwrap();
        assert!(!unlimited.is_cold(server, NOW), "revision {revision}");
    }
}

/// Guards against hosts that together overload a server which restarted before its entry says so:
/// they fail at the same time, and each would return after its own pause. The load is 71 hosts that
/// each send four requests per second to the server.
#[test]
fn hosts_return_slowly_to_a_server_that_was_unreachable() {
    // The server is down until `UP`; the store is unavailable until `STORED`.
    const UP: u64 = 3_000;
    const STORED: u64 = 20_000;
    let mut fleets: Vec<Fleet> = (0..71).map(|_| fleet(true)).collect();
    let mut reached = Vec::new();
    for fleet in &mut fleets {
        fleet.update(entry(1, 0), 1, NOW);
    }
    for ms in (0..30_000).step_by(5) {
        for (host, fleet) in (0..).zip(&mut fleets) {
            // The clocks of hosts differ.
            let now = NOW + Duration::from_millis(ms) + Duration::from_secs(host);
            fleet.set_surroundings(71, if ms < STORED { NOW } else { now });
            if (ms + host * 3) % 250 >= 5 {
                continue;
            }
            let Ok(pick) = fleet.pick(&criteria(), &|_| true, now) else {
                continue;
            };
            fleet.record_sent("x");
            let class = if ms < UP {
                AttemptClass::Unreachable
            } else if fleet.reserve(&pick, now).is_some() {
                reached.push(ms);
                AttemptClass::Served
            } else {
                AttemptClass::Abandoned
            };
            let observation = Observation {
                elapsed: Duration::from_millis(100),
                load: None,
                bytes: 100,
                class,
            };
            fleet.record_ended("x", observation, now);
        }
    }
    let most = |from: u64, to: u64| {
        let within = |at: u64| {
            reached
                .iter()
                .filter(move |ms| (at..at + 1_000).contains(*ms))
        };
        let seconds = (from..to).step_by(50);
        seconds.map(|at| within(at).count()).max().unwrap()
    };
    let probes = most(UP, STORED - 1_000);
    assert!((1..=17).contains(&probes), "{probes} in a second");
    let returned = most(STORED + 2_000, STORED + 4_000);
    assert!(
        returned > 200,
        "{returned} in a second after the store is back"
    );
}
