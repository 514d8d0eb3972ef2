//! Results that the program derives from the responses of the hosts.

mod common;

use common::{Hosts, Store, entry};
use proptest::prelude::*;
use serde_json::json;
use tarragon_model::config::Config;
use tarragon_store::object::Version;
use tarragon_timeline::event::{Draft, Event, Kind, Name};
use tarragon_timeline::journal::Journal;
use tarragonctl::command::KeyQuery;
use tarragonctl::error::Error;
use tarragonctl::follow::ReorderBuffer;
use tarragonctl::host::{Explanation, Label, Shards, Status};
use tarragonctl::rollout::{self, Progress};
use tarragonctl::{explain, host_list, lost_host};
use tokio_util::sync::CancellationToken;

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(work)
}

fn config() -> Config {
    serde_json::from_value(json!({
        "places": [],
        "services": [{
            "name": "balance", "keyed": true, "checks_fences": true, "groups": 8,
            "shards": [{ "weight": 1 }, { "weight": 1 }], "backends": [],
            "slots": 6, "connections": 110, "deadline_ms": 1000
        }]
    }))
    .expect("a configuration")
}

fn status(host: &str, version: u64, in_force: &[(&str, u64)]) -> Status {
    Status {
        host: host.to_owned(),
        incarnation: 5,
        config_version: version,
        config_in_force: in_force
            .iter()
            .map(|(shard, v)| ((*shard).to_owned(), *v))
            .collect(),
        ..Status::default()
    }
}

/// Defines a test: the statuses of two hosts, and where version 7 is not in force yet.
macro_rules! rollout_cases {
    ($($name:ident: $first:expr, $second:expr => $shards:expr, $hosts:expr, $unreachable:expr;)*) => {$(
        #[test]
        fn $name() {
            let statuses = [("h1".to_owned(), $first), ("h2".to_owned(), $second)];
            let strings = |names: &[&str]| names.iter().map(|&name| name.to_owned()).collect();
            let expected = Progress {
                lagging_shards: strings(&$shards),
                lagging_hosts: strings(&$hosts),
                unreachable_hosts: strings(&$unreachable),
            };
            let progress = rollout::evaluate(&config(), Version(7), &statuses);
            assert_eq!(progress.is_complete(), progress == Progress::default());
            assert_eq!(progress, expected);
        }
    )*};
}

rollout_cases! {
    everywhere: Some(status("h1", 7, &[("balance.0", 7)])), Some(status("h2", 8, &[("balance.1", 8)]))
        => [], [], [];
    shard_without_leader: Some(status("h1", 7, &[("balance.0", 7)])), Some(status("h2", 7, &[]))
        => ["balance.1"], [], [];
    shard_behind: Some(status("h1", 7, &[("balance.0", 6), ("balance.1", 7)])), Some(status("h2", 7, &[]))
        => ["balance.0"], [], [];
    one_of_two_behind: Some(status("h1", 7, &[("balance.0", 7), ("balance.1", 7)])),
        Some(status("h2", 7, &[("balance.0", 6)])) => ["balance.0"], [], [];
    host_behind: Some(status("h1", 7, &[("balance.0", 7), ("balance.1", 7)])), Some(status("h2", 6, &[]))
        => [], ["h2"], [];
    host_unreachable: Some(status("h1", 7, &[("balance.0", 7), ("balance.1", 7)])), None
        => [], [], ["h2"];
}

fn store_with_hosts() -> Store {
    let store = Store::default();
    store.write(host_list::KIND, "h1", entry("h1", 1));
    store.write(host_list::KIND, "h2", entry("h2", 2));
    let peer = |host: &str, incarnation: u64| json!({ "host": host, "incarnation": incarnation });
    store.write(
        "shards",
        "balance.0",
        json!({
            "epoch": 1, "fence": { "epoch": 1, "succession": 0 }, "index": 0, "token": "t",
            "trio": { "leader": peer("h1", 4), "first": peer("h2", 9), "second": peer("h1", 5) },
            "owners": [], "overrides": []
        }),
    );
    store
}

fn declare(store: &Store, hosts: &Hosts, name: &str) -> Result<lost_host::Declaration, Error> {
    block_on(lost_host::declare(
        store,
        hosts,
        &name.into(),
        &CancellationToken::new(),
    ))
}

#[test]
fn an_unreachable_host_is_declared_lost_once() {
    let store = store_with_hosts();
    let declaration = declare(&store, &Hosts::default(), "h1").expect("declared");
    assert_eq!(
        (declaration.incarnation, declaration.version),
        (5, Version(4))
    );
    let again = declare(&store, &Hosts::default(), "h1").expect("declared already");
    assert_eq!(again, declaration);
    assert_eq!(store.puts(), 1);
}

#[test]
fn a_declaration_of_uncertain_outcome_is_read_back() {
    let store = store_with_hosts();
    store.fail_next(common::Fault::ResponseLost);
    declare(&store, &Hosts::default(), "h1").expect("declared");
    let store = store_with_hosts();
    store.fail_next(common::Fault::RequestLost);
    let error = declare(&store, &Hosts::default(), "h1").expect_err("nothing declared");
    assert!(
        error.to_string().contains("write outcome unknown"),
        "{error}"
    );
    assert_eq!(store.puts(), 1);
}

#[test]
fn a_host_that_responds_is_not_declared_lost() {
    let store = store_with_hosts();
    let mut hosts = Hosts::default();
    hosts.statuses.insert(1, status("h1", 1, &[]));
    let error = declare(&store, &hosts, "h1").expect_err("a host that responds");
    assert!(
        matches!(error, Error::NotLost { incarnation: 5, .. }),
        "{error}"
    );
    assert_eq!(store.puts(), 0);
}

#[test]
fn a_host_without_replicas_is_not_declared_lost() {
    let error =
        declare(&store_with_hosts(), &Hosts::default(), "h3").expect_err("a host without replicas");
    assert!(error.to_string().contains("\"h3\""), "{error}");
}

fn explanation(leader: &str, owner: Option<&str>) -> Explanation {
    Explanation {
        leader: Some(Label(leader.to_owned())),
        owner: owner.map(|owner| Label(owner.to_owned())),
        shard: Some(Label("balance.0".to_owned())),
        ..Explanation::default()
    }
}

/// Defines a test: the explanations of two hosts, and the owner that is reported.
macro_rules! explained {
    ($($name:ident: $first:expr, $second:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut hosts = Hosts::default();
            let responses: [Option<Explanation>; 2] = [$first, $second];
            for (port, found) in (1..).zip(responses) {
                hosts.explanations.extend(found.map(|found| (port, found)));
            }
            let store = store_with_hosts();
            let query = KeyQuery { service: "balance".into(), key: "k".to_owned() };
            let found = block_on(async {
                let entries = host_list::read(&store, &CancellationToken::new()).await.expect("hosts");
                explain::ask(&hosts, &entries, &query).await
            });
            let owner = found.ok().map(|found| found.owner.map(|owner| owner.0));
            assert_eq!(owner, $expected);
        }
    )*};
}

explained! {
    leader_knows: Some(explanation("h2#9", None)), Some(explanation("h2#9", Some("b0")))
        => Some(Some("b0".to_owned()));
    leader_unreachable: Some(explanation("h2#9", Some("b1"))), None => Some(Some("b1".to_owned()));
    first_unreachable: None, Some(explanation("h2#9", Some("b0"))) => Some(Some("b0".to_owned()));
    all_unreachable: None, None => None;
    first_knows_no_service: Some(Explanation::default()), Some(explanation("h2#9", Some("b0")))
        => Some(Some("b0".to_owned()));
    none_knows_the_service: Some(Explanation::default()), None => None;
}

#[test]
fn labels_parse_strings_and_objects() {
    let shards: Shards = serde_json::from_value(json!({ "shards": [
        { "shard": { "service": "balance", "index": 2 },
          "fence": { "epoch": 7, "succession": 1 }, "role": "leader", "acting": true },
        { "shard": "balance.3", "fence": "7.1", "role": null },
    ]}))
    .expect("shards");
    assert_eq!(shards.shards[0].shard.0, "balance.2");
    assert_eq!(shards.shards[0].fence, shards.shards[1].fence);
    assert_eq!(shards.shards[1].role.0, "-");
}

proptest! {
    /// Reads the hosts in turn; a cause may be read after its effect but must be released before it.
    #[test]
    fn following_keeps_causes_first(steps in prop::collection::vec((0_usize..3, 0_usize..3, any::<bool>()), 1..80)) {
        let mut journals: Vec<_> = ["h0", "h1", "h2"].map(|name| Journal::new(name.into(), 500)).into();
        let mut read = [0_u64; 3];
        let mut buffer = ReorderBuffer::default();
        let mut batch: Vec<Event> = Vec::new();
        let mut next = 0;
        let mut released: Vec<Event> = Vec::new();
        for (host, reader, with_cause) in steps {
            if with_cause {
                let sent = journals[host].push(Draft::new(Kind::SuccessionRequested), 1);
                journals[reader].observe(0, sent.stamp);
                let term_started = Draft::new(Kind::TermStarted)
                    .with(Name::Peer, &sent.host)
                    .with(Name::Count, sent.seq);
                journals[reader].push(term_started, 0);
            } else {
                // Each step reads one host; a poll is complete when every host was read once.
                let (events, position) = journals[next].after(read[next], usize::MAX);
                read[next] = position;
                batch.extend(events);
                next = (next + 1) % 3;
                if next == 0 {
                    released.extend(buffer.push(std::mem::take(&mut batch)));
                }
            }
        }
        for (position, event) in released.iter().enumerate().filter(|(_, e)| e.kind == Kind::TermStarted) {
            let is_cause = |cause: &Event| {
                event.field(Name::Peer) == Some(cause.host.as_str())
                    && event.field(Name::Count) == Some(cause.seq.to_string().as_str())
            };
            let cause = released.iter().position(is_cause);
            prop_assert!(cause.is_some_and(|cause| cause < position), "no cause before {event}");
        }
        for name in ["h0", "h1", "h2"] {
            let seqs: Vec<_> = released.iter().filter(|e| e.host.as_str() == name).map(|e| e.seq).collect();
            prop_assert!(seqs.is_sorted());
        }
    }
}
