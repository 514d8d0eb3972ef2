//! Conditional updates against a store in memory.

mod common;

use std::time::Duration;

use common::{Fake, Fate, Note};
use tarragon_store::error::{Error, Kind};
use tarragon_store::object::{Key, Object, Version};
use tarragon_store::update::{SeededFault, WriteOutcome, Writer};
use tokio_util::sync::CancellationToken;

const KEY: Key<'static> = Key {
    kind: "notes",
    name: "one",
};

async fn update(fake: &Fake, expected: u64, token: &str) -> Result<WriteOutcome<Note>, Error> {
    update_with(fake, expected, token, SeededFault::None).await
}

async fn update_with(
    fake: &Fake,
    expected: u64,
    token: &str,
    seeded_fault: SeededFault,
) -> Result<WriteOutcome<Note>, Error> {
    let stop = CancellationToken::new();
    Writer::new(fake)
        .with_reads(3, Duration::from_millis(1))
        .with_seeded_fault(seeded_fault)
        .update(KEY, Version(expected), &Note::new(token), &stop)
        .await
}

fn lost(version: u64, token: &str) -> WriteOutcome<Note> {
    WriteOutcome::Lost {
        version: Version(version),
        value: Some(Note::new(token)),
    }
}

#[tokio::test]
async fn an_answered_write_wins() {
    let fake = Fake::default();
    let outcome = update(&fake, 0, "a").await.unwrap();
    assert_eq!(
        outcome,
        WriteOutcome::Won {
            version: Version(1)
        }
    );
}

#[tokio::test]
async fn a_conflict_loses_to_the_value_in_force() {
    let fake = Fake::default();
    fake.overwrite("b");
    assert_eq!(update(&fake, 0, "a").await.unwrap(), lost(1, "b"));
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_the_token() {
    let fake = Fake::default();
    fake.state().next = Fate::AnswerLost;
    let outcome = update(&fake, 0, "a").await.unwrap();
    assert_eq!(
        outcome,
        WriteOutcome::Won {
            version: Version(1)
        }
    );
    assert_eq!(fake.state().puts, 1);
}

#[tokio::test]
async fn a_stale_read_settles_nothing() {
    let fake = Fake::default();
    fake.overwrite("old");
    let old = Object {
        kind: KEY.kind.to_owned(),
        name: KEY.name.to_owned(),
        version: Version(1),
        value: serde_json::to_value(Note::new("old")).unwrap(),
    };
    fake.state().next = Fate::AnswerLost;
    fake.state().stale = Some((2, old));
    let outcome = update(&fake, 1, "a").await.unwrap();
    assert_eq!(
        outcome,
        WriteOutcome::Won {
            version: Version(2)
        }
    );
}

#[tokio::test]
async fn a_lost_request_stays_unfinished() {
    let fake = Fake::default();
    fake.overwrite("old");
    fake.state().next = Fate::RequestLost;
    assert_eq!(
        update(&fake, 1, "a").await.unwrap(),
        WriteOutcome::Unresolved
    );
    assert_eq!(fake.state().puts, 1);
}

#[tokio::test]
async fn an_unfinished_write_is_settled_later() {
    let fake = Fake::default();
    fake.overwrite("old");
    fake.state().next = Fate::RequestLost;
    assert_eq!(
        update(&fake, 1, "a").await.unwrap(),
        WriteOutcome::Unresolved
    );
    fake.overwrite("b");
    let stop = CancellationToken::new();
    let outcome: WriteOutcome<Note> = Writer::new(&fake)
        .resolve(KEY, Version(1), "a", &stop)
        .await;
    assert_eq!(outcome, lost(2, "b"));
}

#[tokio::test]
async fn a_write_overwritten_before_the_read_back_is_lost() {
    let fake = Fake::default();
    fake.state().next = Fate::Overwritten;
    assert_eq!(update(&fake, 0, "a").await.unwrap(), lost(2, "other"));
    assert_eq!(fake.state().puts, 1);
}

#[tokio::test]
async fn a_write_that_was_not_executed_is_an_error() {
    for kind in [
        Kind::Throttled,
        Kind::Unavailable(String::new()),
        Kind::TooLarge,
    ] {
        let fake = Fake::default();
        fake.state().next = Fate::Failed(kind.clone());
        assert_eq!(update(&fake, 0, "a").await.unwrap_err().kind, kind);
        assert_eq!(fake.state().puts, 1);
    }
}

#[tokio::test]
async fn the_seeded_flaw_overwrites_another_writer() {
    let fake = Fake::default();
    fake.state().next = Fate::Overwritten;
    let outcome = update_with(&fake, 0, "a", SeededFault::BlindSecondWrite).await;
    assert_eq!(
        outcome.unwrap(),
        WriteOutcome::Won {
            version: Version(3)
        }
    );
    assert_eq!(fake.state().puts, 2);
}
