//! Changes and queries with `tarragonctl` against a fleet of real processes.

#[path = "standin/support.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
#[macro_use]
mod support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod router_fleet;

use std::fs;
use std::thread;

use http::Method;
use router_fleet::Fleet;
use serde_json::{Value, json};
use support::{Process, WorkDir, call};

/// Path of a request that is served.
const PATH: &str = "/balance/vessel-9/?work_us=100";

cases! {
    service_is_created_changed_and_removed(dir) {
        let fleet = Fleet::start(&dir).await;
        let extra = start_backend(&dir, "tally", "t1");
        let mut service = fleet.service("tally");
        service["backends"] = json!([
            { "id": "t1", "addr": extra.addr, "place": "karachi-1", "shard": 0 }
        ]);
        let file = dir.path("tally.json");
        let name = file.to_str().unwrap();
        fs::write(&file, service.to_string()).unwrap();
        let output = fleet.ctl_ok(&["service", "create", name]);
        assert!(output.contains("in force everywhere"), "{output}");
        for router in &fleet.routers {
            fleet.await_served(router.caller, "/tally/lorry-1/?work_us=100").await;
        }
        service["slots"] = json!(3);
        fs::write(&file, service.to_string()).unwrap();
        fleet.ctl_ok(&["service", "change", name]);
        let shown: Value = serde_json::from_str(&fleet.ctl_ok(&["service", "show", "tally"])).unwrap();
        assert_eq!(shown["slots"], 3);
        fleet.ctl_ok(&["service", "remove", "tally"]);
        for router in &fleet.routers {
            let response = call(router.caller, Method::GET, "/tally/lorry-1/", &[], "").await.unwrap();
            assert_eq!(response.status, 404);
        }
        fleet.await_served(fleet.routers[0].caller, PATH).await;
    }

    place_is_added_and_removed(dir) {
        let fleet = Fleet::start(&dir).await;
        fleet.ctl_ok(&["place", "add", "lahore-1", "punjab"]);
        assert!(fleet.ctl_ok(&["place", "list"]).contains("lahore-1"));
        assert_followed(&fleet);
        fleet.ctl_ok(&["place", "remove", "lahore-1"]);
        assert!(!fleet.ctl_ok(&["place", "list"]).contains("lahore-1"));
        let used = fleet.ctl(&["place", "remove", "karachi-1"]);
        assert_ne!(used.status.code(), Some(0), "{used:?}");
    }

    backend_server_is_added_drained_and_removed(dir) {
        let fleet = Fleet::start(&dir).await;
        let extra = start_backend(&dir, "balance", "b3");
        let addr = extra.addr.to_string();
        fleet.ctl_ok(&["backend", "add", "balance", "b3", &addr, "karachi-1", "0"]);
        let first = fleet.await_served(fleet.routers[0].caller, PATH).await;
        let owner = first.header("tarragon-owner").to_owned();
        fleet.ctl_ok(&["backend", "drain", "balance", &owner]);
        fleet.timeline_with(&["--kind", "backend-leaving"], &owner).await;
        fleet.timeline_with(&["--kind", "owner-moved"], &format!("from={owner}")).await;
        let moved = async {
            loop {
                let response = fleet.await_served(fleet.routers[1].caller, PATH).await;
                if response.header("tarragon-owner") != owner {
                    return;
                }
            }
        };
        tokio::time::timeout(support::TIMEOUT, moved).await.expect("the key moves");
        fleet.ctl_ok(&["backend", "remove", "balance", &owner]);
        fleet.await_served(fleet.routers[2].caller, PATH).await;
        assert_followed(&fleet);
    }

    preset_is_chosen(dir) {
        let fleet = Fleet::start(&dir).await;
        let output = fleet.ctl_ok(&["preset", "choose", "peak"]);
        assert!(output.contains("in force everywhere"), "{output}");
        assert!(fleet.ctl_ok(&["status"]).contains("preset=peak"));
        assert_followed(&fleet);
    }

    one_of_two_concurrent_changes_is_refused(dir) {
        let fleet = Fleet::start(&dir).await;
        // Both commands read the configuration before either writes it.
        fleet.store.fault(r#"{"kind":"slow","delay_ms":1500,"for_ms":4000}"#).await;
        let (peak, maintenance) = thread::scope(|scope| {
            let peak = scope.spawn(|| fleet.ctl(&["preset", "choose", "peak"]));
            let maintenance = scope.spawn(|| fleet.ctl(&["preset", "choose", "maintenance"]));
            (peak.join().unwrap(), maintenance.join().unwrap())
        });
        let codes = (peak.status.code(), maintenance.status.code());
        let (winner, loser) = match codes {
            (Some(0), Some(4)) => ("preset=peak", maintenance),
            (Some(4), Some(0)) => ("preset=maintenance", peak),
            _ => panic!("{peak:?} {maintenance:?}"),
        };
        let message = String::from_utf8_lossy(&loser.stderr);
        assert!(message.contains("another operator's change came first"), "{message}");
        let status = fleet.ctl_ok(&["status"]);
        assert!(status.contains(winner), "{status}");
    }

    lost_response_to_a_change_is_resolved(dir) {
        let fleet = Fleet::start(&dir).await;
        fleet.store.fault(r#"{"kind":"lose-answers","for_ms":3000}"#).await;
        let output = fleet.ctl_ok(&["preset", "choose", "peak"]);
        assert!(output.contains("accepted as version"), "{output}");
        assert!(fleet.ctl_ok(&["status"]).contains("preset=peak"));
    }

    explain_names_the_owner_that_responds(dir) {
        let fleet = Fleet::start(&dir).await;
        for key in ["vessel-1", "vessel-2", "vessel-3", "a key&b=%C3%A9"] {
            let path = format!("/balance/{}/?work_us=100", key.replace(' ', "%20"));
            let response = fleet.await_served(fleet.routers[0].caller, &path).await;
            let owner = format!("owner={} ", response.header("tarragon-owner"));
            let key = key.replace(' ', "%20");
            for command in ["owner", "explain"] {
                let output = fleet.ctl_ok(&[command, "balance", &key]);
                assert!(output.contains(&owner), "{command} {key}: {output} {owner}");
            }
        }
    }

    timeline_merges_all_hosts(dir) {
        let fleet = Fleet::start(&dir).await;
        let all = fleet.timeline_with(&[], "config-in-force").await;
        for host in ["host=h1 ", "host=h2 ", "host=h3 "] {
            assert!(all.contains(host), "{all}");
        }
        let position = |text: &str| all.find(text).unwrap_or_else(|| panic!("no {text} in {all}"));
        assert!(position("event=config-seen") < position("event=config-in-force"), "{all}");
        let only = fleet.ctl_ok(&["timeline", "--host", "h2"]);
        assert!(only.lines().filter(|line| line.starts_with("at=")).all(|line| line.contains("host=h2 ")));
    }
}

/// Checks that each host knows the latest version and that no shard or host is missing.
fn assert_followed(fleet: &Fleet) {
    let status = fleet.ctl_ok(&["status"]);
    let version = status
        .split_whitespace()
        .find_map(|word| word.strip_prefix("version="));
    let known = format!("config={}", version.unwrap());
    assert_eq!(
        status.matches(&known).count(),
        fleet.routers.len(),
        "{status}"
    );
    assert!(!status.contains("shards with"), "{status}");
}

fn start_backend(dir: &WorkDir, service: &str, id: &str) -> Process {
    let record = dir.path(&format!("{id}.records"));
    Process::start(&format!(
        "backend --service {service} --id {id} --listen 127.0.0.1:0 --checks --record {}",
        record.display()
    ))
}
