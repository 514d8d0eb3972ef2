//! Which backend servers are cold, and who may send to them.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_dispatch::fleet::{Change, Entry, Fleet, Location};
use tarragon_dispatch::warmup::{Bound, Limit};
use tarragon_model::time::Instant;

const NOW: Instant = Instant::from_millis(100_000);
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
        let limit = ("s".to_owned(), Limit::new(6.5, BOUND));
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
