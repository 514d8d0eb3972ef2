//! Tests of the store's stand-in with the store client.

use std::time::{Duration, Instant};

use futures::future::join_all;
use rustix::process::Signal;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tarragon_store::api::Api;
use tarragon_store::client::Client;
use tarragon_store::error::Kind;
use tarragon_store::object::{Key, Version};
use tarragon_store::update::{SeededFault, Token, WriteOutcome, Writer};
use tokio_util::sync::CancellationToken;

use crate::support::Process;

const KEY: Key<'static> = Key {
    kind: "notes",
    name: "one",
};
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Note {
    token: String,
}

impl Note {
    fn new(token: &str) -> Self {
        Self {
            token: token.to_owned(),
        }
    }
}

impl Token for Note {
    fn token(&self) -> &str {
        &self.token
    }
}

fn start(args: &str) -> (Process, Client) {
    let process = Process::start(&format!("store --listen 127.0.0.1:0 {args}"));
    let client = Client::new(process.addr, TIMEOUT).unwrap();
    (process, client)
}

fn stop() -> CancellationToken {
    CancellationToken::new()
}

async fn put(client: &Client, name: &str, expected: u64) -> Result<Version, Kind> {
    let value = json!({ "token": name });
    let key = Key::new(KEY.kind, name);
    let response = client.put(key, Version(expected), &value, &stop()).await;
    response.map_err(|error| error.kind)
}

async fn update(
    client: &Client,
    expected: u64,
    token: &str,
    seeded_fault: SeededFault,
) -> WriteOutcome<Note> {
    let note = Note::new(token);
    let writer = Writer::new(client).with_seeded_fault(seeded_fault);
    let outcome = writer.update(KEY, Version(expected), &note, &stop()).await;
    outcome.unwrap_or(WriteOutcome::Unresolved)
}

async fn count(process: &Process, name: &str) -> u64 {
    process.get("/_stats").await.json()[name].as_u64().unwrap()
}

cases! {
    one_of_many_racing_updates_wins(_dir) {
        let (_process, client) = start("");
        let tokens: Vec<String> = (0..20).map(|i| i.to_string()).collect();
        let updates = tokens.iter().map(|token| update(&client, 0, token, SeededFault::None));
        let outcomes = join_all(updates).await;
        let applied = outcomes.iter().position(|outcome| matches!(outcome, WriteOutcome::Applied { .. }));
        let winner = Note::new(&tokens[applied.unwrap()]);
        let conflict = WriteOutcome::Conflict { version: Version(1), value: Some(winner) };
        assert_eq!(outcomes.iter().filter(|outcome| **outcome == conflict).count(), 19);
    }

    a_lost_response_is_read_back(_dir) {
        let (process, client) = start("");
        process.fault(r#"{"kind":"lose-answers"}"#).await;
        let outcome = update(&client, 0, "a", SeededFault::None).await;
        assert_eq!(outcome, WriteOutcome::Applied { version: Version(1) });
        assert_eq!(count(&process, "puts").await, 1);
        assert_eq!(count(&process, "lost_answers").await, 1);
    }

    a_blind_second_write_shows_in_the_counts(_dir) {
        let (process, client) = start("");
        process.fault(r#"{"kind":"lose-answers"}"#).await;
        let _ = update(&client, 0, "a", SeededFault::BlindSecondWrite).await;
        assert_eq!(count(&process, "puts").await, 2);
    }

    a_write_whose_caller_timed_out_takes_effect_later(_dir) {
        let (process, client) = start("");
        let client_with_short_timeout = Client::new(process.addr, Duration::from_millis(300)).unwrap();
        process.fault(r#"{"kind":"slow","delay_ms":4000}"#).await;
        let write = put(&client_with_short_timeout, KEY.name, 0).await;
        assert!(matches!(write, Err(Kind::Uncertain(_))));
        process.fault(r#"{"kind":"none"}"#).await;
        assert_eq!(client.get(KEY, &stop()).await.unwrap_err().kind, Kind::NotFound);
        let found: WriteOutcome<Note> = Writer::new(&client)
            .with_reads(200, Duration::from_millis(50))
            .resolve(KEY, Version::ABSENT, KEY.name, &stop())
            .await;
        assert_eq!(found, WriteOutcome::Applied { version: Version(1) });
    }

    a_watch_responds_to_a_change_at_once(_dir) {
        let (_process, client) = start("");
        let start = Instant::now();
        let stop = stop();
        let wait = Duration::from_mins(1);
        let watch = client.watch(KEY.kind, Version::ABSENT, wait, &stop);
        let write = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            put(&client, "a", 0).await.unwrap();
        };
        let (changes, ()) = tokio::join!(watch, write);
        let changes = changes.unwrap();
        assert!(start.elapsed() < Duration::from_secs(20));
        assert_eq!(changes.revision, Version(1));
        assert_eq!(changes.changes.len(), 1);
        assert!(!changes.changes[0].deleted);
    }

    a_watch_without_changes_ends_empty(_dir) {
        let (_process, client) = start("");
        put(&client, "a", 0).await.unwrap();
        let wait = Duration::from_millis(100);
        let changes = client.watch("other", Version(0), wait, &stop()).await.unwrap();
        assert_eq!((changes.revision, changes.changes.len()), (Version(1), 0));
    }

    a_watch_over_a_gap_is_too_old(_dir) {
        let (_process, client) = start("--keep 5");
        for i in 0..7 {
            put(&client, &i.to_string(), 0).await.unwrap();
        }
        let wait = Duration::ZERO;
        let kept = client.watch(KEY.kind, Version(2), wait, &stop()).await.unwrap();
        assert_eq!(kept.changes.len(), 5);
        let gap = client.watch(KEY.kind, Version(1), wait, &stop()).await;
        assert_eq!(gap.unwrap_err().kind, Kind::TooOld);
        let future = client.watch(KEY.kind, Version(8), wait, &stop()).await;
        assert_eq!(future.unwrap_err().kind, Kind::TooOld);
    }

    a_deleted_object_shows_in_a_watch_and_can_be_created_anew(_dir) {
        let (_process, client) = start("");
        put(&client, KEY.name, 0).await.unwrap();
        let conflict = client.delete(KEY, Version(7), &stop()).await.unwrap_err().kind;
        assert_eq!(conflict, Kind::Conflict { version: Version(1) });
        client.delete(KEY, Version(1), &stop()).await.unwrap();
        let changes = client.watch(KEY.kind, Version(1), Duration::ZERO, &stop()).await.unwrap();
        assert!(changes.changes[0].deleted);
        assert_eq!(put(&client, KEY.name, 0).await, Ok(Version(3)));
    }

    stale_reads_return_an_old_state_and_writes_see_the_current_one(_dir) {
        let (process, client) = start("");
        put(&client, KEY.name, 0).await.unwrap();
        process.fault(r#"{"kind":"stale-reads","lag_ms":600000}"#).await;
        assert_eq!(client.get(KEY, &stop()).await.unwrap_err().kind, Kind::NotFound);
        assert_eq!(client.list(KEY.kind, &stop()).await.unwrap().items, []);
        let watch = client.watch(KEY.kind, Version(0), Duration::ZERO, &stop()).await;
        assert_eq!(watch.unwrap().changes, []);
        let blind = put(&client, KEY.name, 0).await;
        assert_eq!(blind, Err(Kind::Conflict { version: Version(1) }));
        process.fault(r#"{"kind":"none"}"#).await;
        assert_eq!(client.get(KEY, &stop()).await.unwrap().version, Version(1));
    }

    calls_over_the_rate_are_throttled_and_counted(_dir) {
        let (process, client) = start("--writes-per-s 5");
        let names: Vec<String> = (0..50).map(|i| i.to_string()).collect();
        let responses = join_all(names.iter().map(|name| put(&client, name, 0))).await;
        let throttled = responses.iter().filter(|response| **response == Err(Kind::Throttled));
        let throttled = u64::try_from(throttled.count()).unwrap();
        assert!(throttled > 0);
        assert_eq!(count(&process, "throttled").await, throttled);
        assert_eq!(count(&process, "puts").await, 50);
    }

    an_outage_executes_nothing(_dir) {
        let (process, client) = start("");
        process.fault(r#"{"kind":"down"}"#).await;
        assert!(matches!(put(&client, "a", 0).await, Err(Kind::Unavailable(_))));
        process.fault(r#"{"kind":"down","close":true}"#).await;
        assert!(matches!(put(&client, "a", 0).await, Err(Kind::Uncertain(_))));
        process.fault(r#"{"kind":"none"}"#).await;
        assert_eq!(client.list(KEY.kind, &stop()).await.unwrap().items, []);
    }

    an_idle_process_exits_cleanly_at_sigterm(_dir) {
        for _ in 0..20 {
            let (mut process, _) = start("");
            process.signal(Signal::TERM);
            assert!(process.wait().success());
        }
    }

    a_fault_expires(_dir) {
        let (process, client) = start("");
        process.fault(r#"{"kind":"down","for_ms":200}"#).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(put(&client, "a", 0).await, Ok(Version(1)));
    }
}
