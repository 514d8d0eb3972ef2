//! What hosts tell one another of the store: all that changed, and nothing twice.

mod common;

use common::{entry, list, state};
use serde_json::json;
use tarragon_edge::cluster::{Cache, Delta, Later, Removal};
use tarragon_edge::state::State;
use tarragon_store::object::{Object, Version};

fn ids(facts: &Cache) -> Vec<String> {
    let Some(Later::All(all)) = facts.later_entries(0) else {
        panic!("nothing is remembered since the start");
    };
    all.items.into_iter().map(|object| object.name).collect()
}

fn fleet_ids(state: &State) -> Vec<String> {
    let fleet = state.fleet.borrow();
    fleet.iter().map(|server| server.entry.id.clone()).collect()
}

fn catalog(version: u64, revision: u64, note: &str) -> Object {
    Object {
        kind: "catalogs".to_owned(),
        name: "main".to_owned(),
        version: Version(revision),
        value: json!({ "version": version, "note": note }),
    }
}

#[test]
fn a_host_that_lacks_nothing_is_told_nothing() {
    let (state, facts) = (state(), Cache::default());
    facts.told(
        &state,
        None,
        Some(list(10, &[entry("a", 5), entry("b", 9)])),
    );
    // Writes of other kinds raise the store's revision.
    facts.reach(500);
    assert_eq!(facts.reached(&state).1, 500);
    assert_eq!(facts.changed(), 10);
    assert!(facts.later_catalog(0).is_none());
    assert!(facts.later_entries(10).is_none(), "nothing changed since");
    assert!(facts.later_entries(9).is_some());
}

#[test]
fn a_host_that_knows_less_than_a_list_is_not_up_to_date() {
    // The other host still believes in "gone", which no list names.
    let (state, facts) = (state(), Cache::default());
    facts.told(&state, None, Some(list(120, &[entry("a", 5)])));
    let known_elsewhere = 100;
    assert!(facts.changed() > known_elsewhere);
    let Some(Later::All(entries)) = facts.later_entries(known_elsewhere) else {
        panic!("what went before the list is not remembered");
    };
    let other = common::state();
    let others = Cache::default();
    others.told(
        &other,
        None,
        Some(list(100, &[entry("a", 5), entry("gone", 6)])),
    );
    others.told(&other, None, Some(entries));
    assert_eq!(ids(&others), ["a"]);
}

#[test]
fn news_lead_from_one_revision_to_the_next_and_a_gap_shows() {
    let (from, sender) = (state(), Cache::default());
    let (to, receiver) = (state(), Cache::default());
    let all = list(10, &[entry("a", 5)]);
    sender.told(&from, None, Some(all.clone()));
    assert!(sender.take_news(from.now()).is_some());
    receiver.told(&to, None, Some(all));
    let two = list(12, &[entry("a", 5), entry("b", 12)]);
    sender.told(&from, None, Some(two));
    let first = sender.take_news(from.now()).expect("an entry is new");
    let three = list(14, &[entry("b", 12)]);
    sender.told(&from, None, Some(three));
    let second = sender.take_news(from.now()).expect("an entry is gone");
    assert!(!receiver.hear(&to, second.clone()), "the first is missing");
    assert_eq!(ids(&receiver), ["a"]);
    assert!(receiver.hear(&to, first));
    assert!(receiver.hear(&to, second));
    assert_eq!(ids(&receiver), ["b"]);
    assert_eq!(receiver.changed(), sender.changed());
}

#[test]
fn a_host_that_lags_is_told_what_changed_and_not_all() {
    let (from, sender) = (state(), Cache::default());
    let (to, receiver) = (state(), Cache::default());
    let all = list(10, &[entry("a", 5), entry("b", 9)]);
    sender.told(&from, None, Some(all.clone()));
    receiver.told(&to, None, Some(all));
    // The receiver hears none of these.
    for news in [
        (10, 12, vec![entry("c", 12)], vec![]),
        (12, 15, vec![], vec![("a", 15)]),
    ] {
        let (since, revision, entries, gone) = news;
        let gone = gone.into_iter().map(|(id, revision): (&str, u64)| Removal {
            id: id.to_owned(),
            revision,
            lapse: false,
        });
        let news = Delta {
            since: Version(since),
            revision: Version(revision),
            entries,
            gone: gone.collect(),
            catalog: None,
        };
        assert!(sender.hear(&from, news));
    }
    let Some(Later::Delta(news)) = sender.later_entries(10) else {
        panic!("all since 10 is remembered");
    };
    assert_eq!(news.entries.len(), 1);
    assert!(receiver.hear(&to, news));
    assert_eq!(ids(&receiver), ["b", "c"]);
    assert!(sender.later_entries(receiver.changed()).is_none());
}

#[test]
fn a_catalog_goes_on_as_what_changed() {
    let (from, sender) = (state(), Cache::default());
    let (to, receiver) = (state(), Cache::default());
    let first = catalog(1, 3, "same");
    sender.told(&from, Some(first.clone()), None);
    sender.take_news(from.now());
    let second = catalog(2, 8, "same");
    sender.told(&from, Some(second), None);
    let later = from.now() + std::time::Duration::from_secs(1);
    let news = sender.take_news(later).expect("the catalog changed");
    assert!(!receiver.hear(&to, news.clone()), "nothing to edit yet");
    receiver.told(&to, Some(first), None);
    assert!(receiver.hear(&to, news));
    assert_eq!(to.catalog_revision(), 8);
    assert_eq!(to.catalog().version, 2);
}

#[test]
fn an_unreadable_catalog_or_entry_changes_nothing() {
    let (state, facts) = (state(), Cache::default());
    facts.told(&state, Some(catalog(1, 3, "good")), None);
    let mut bad = catalog(2, 4, "bad");
    bad.value = json!("not a catalog");
    facts.told(&state, Some(bad), None);
    assert_eq!(state.catalog_revision(), 3);
    let mut unreadable = entry("b", 6);
    unreadable.value = json!({ "born": "yesterday" });
    facts.told(&state, None, Some(list(6, &[entry("a", 5), unreadable])));
    let known: Vec<_> = fleet_ids(&state);
    assert_eq!(known, ["a"]);
}
