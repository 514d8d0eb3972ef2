//! Conditional updates against an in-memory store.

mod common;

use std::time::Duration;

use common::{FakeStore, NextWrite, Note};
use tarragon_store::error::{Error, Kind};
use tarragon_store::object::{Key, Object, Version};
use tarragon_store::update::{SeededFault, WriteOutcome, Writer};
use tokio_util::sync::CancellationToken;

const KEY: Key<'static> = Key {
    kind: "notes",
    name: "one",
};

async fn update(
    store: &FakeStore,
    expected: u64,
    token: &str,
) -> Result<WriteOutcome<Note>, Error> {
    update_with(store, expected, token, SeededFault::None).await
}

async fn update_with(
    store: &FakeStore,
    expected: u64,
    token: &str,
    seeded_fault: SeededFault,
) -> Result<WriteOutcome<Note>, Error> {
    let stop = CancellationToken::new();
    Writer::new(store)
        .with_reads(3, Duration::from_millis(1))
        .with_seeded_fault(seeded_fault)
        .update(KEY, Version(expected), &Note::new(token), &stop)
        .await
}

fn conflict(version: u64, token: &str) -> WriteOutcome<Note> {
    WriteOutcome::Conflict {
        version: Version(version),
        value: Some(Note::new(token)),
    }
}

#[tokio::test]
async fn an_acknowledged_write_is_applied() {
    let store = FakeStore::default();
    let outcome = update(&store, 0, "a").await.unwrap();
    assert_eq!(
        outcome,
        WriteOutcome::Applied {
            version: Version(1)
        }
    );
}

#[tokio::test]
async fn a_conflict_reports_the_current_value() {
    let store = FakeStore::default();
    store.overwrite("b");
    assert_eq!(update(&store, 0, "a").await.unwrap(), conflict(1, "b"));
}

#[tokio::test]
async fn a_lost_response_is_resolved_by_the_token() {
    let store = FakeStore::default();
    store.state().next_write = NextWrite::ResponseLost;
    let outcome = update(&store, 0, "a").await.unwrap();
    assert_eq!(
        outcome,
        WriteOutcome::Applied {
            version: Version(1)
        }
    );
    assert_eq!(store.state().puts, 1);
}

#[tokio::test]
async fn a_stale_read_resolves_nothing() {
    let store = FakeStore::default();
    store.overwrite("old");
    let old = Object {
        kind: KEY.kind.to_owned(),
        name: KEY.name.to_owned(),
        version: Version(1),
        value: serde_json::to_value(Note::new("old")).unwrap(),
    };
    store.state().next_write = NextWrite::ResponseLost;
    store.state().stale = Some((2, old));
    let outcome = update(&store, 1, "a").await.unwrap();
    assert_eq!(
        outcome,
        WriteOutcome::Applied {
            version: Version(2)
        }
    );
}

#[tokio::test]
async fn a_lost_request_stays_unresolved() {
    let store = FakeStore::default();
    store.overwrite("old");
    store.state().next_write = NextWrite::RequestLost;
    assert_eq!(
        update(&store, 1, "a").await.unwrap(),
        WriteOutcome::Unresolved
    );
    assert_eq!(store.state().puts, 1);
}

#[tokio::test]
async fn an_unresolved_write_is_resolved_later() {
    let store = FakeStore::default();
    store.overwrite("old");
    store.state().next_write = NextWrite::RequestLost;
    assert_eq!(
        update(&store, 1, "a").await.unwrap(),
        WriteOutcome::Unresolved
    );
    store.overwrite("b");
    let stop = CancellationToken::new();
    let outcome: WriteOutcome<Note> = Writer::new(&store)
        .resolve(KEY, Version(1), "a", &stop)
        .await;
    assert_eq!(outcome, conflict(2, "b"));
}

#[tokio::test]
async fn a_write_overwritten_before_the_read_back_is_a_conflict() {
    let store = FakeStore::default();
    store.state().next_write = NextWrite::Overwritten;
    assert_eq!(update(&store, 0, "a").await.unwrap(), conflict(2, "other"));
    assert_eq!(store.state().puts, 1);
}

#[tokio::test]
async fn a_write_that_was_not_executed_is_an_error() {
    for kind in [
        Kind::Throttled,
        Kind::Unavailable(String::new()),
        Kind::TooLarge,
    ] {
        let store = FakeStore::default();
        store.state().next_write = NextWrite::Failed(kind.clone());
        assert_eq!(update(&store, 0, "a").await.unwrap_err().kind, kind);
        assert_eq!(store.state().puts, 1);
    }
}

#[tokio::test]
async fn the_seeded_fault_overwrites_another_writer() {
    let store = FakeStore::default();
    store.state().next_write = NextWrite::Overwritten;
    let outcome = update_with(&store, 0, "a", SeededFault::BlindSecondWrite).await;
    assert_eq!(
        outcome.unwrap(),
        WriteOutcome::Applied {
            version: Version(3)
        }
    );
    assert_eq!(store.state().puts, 2);
}
