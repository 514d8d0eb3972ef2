//! Cluster state between hosts: deltas and snapshots bring a host up to date, and a gap is noticed.

mod common;

use std::time::Duration;

use common::{entry, list, state};
use serde_json::json;
use tarragon_edge::cluster::{Cache, CatchUp, Delta, Removal};
use tarragon_edge::state::State;
use tarragon_store::object::{Object, Version};

/// Time for which removed entries may come back.
const NO_GRACE: Duration = Duration::ZERO;

fn ids(cache: &Cache) -> Vec<String> {
    let Some(CatchUp::All(all)) = cache.entries_after(0) else {
        panic!("no removals are remembered since the start");
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
fn an_up_to_date_host_is_sent_nothing() {
    let (state, cache) = (state(), Cache::default());
    cache.apply_snapshot(
        &state,
        None,
        Some(list(10, &[entry("a", 5), entry("b", 9)])),
        NO_GRACE,
    );
    // Writes of other kinds raise the store's revision.
    cache.advance_to(500);
    assert_eq!(cache.revisions(&state).1, 500);
    assert_eq!(cache.last_change(), 10);
    assert!(cache.catalog_after(0).is_none());
    assert!(cache.entries_after(10).is_none(), "nothing changed since");
    assert!(cache.entries_after(9).is_some());
}

#[test]
fn a_host_behind_a_list_is_sent_all_entries() {
    // The other host still has the entry "gone", and the list does not say that it was removed.
    let (state, cache) = (state(), Cache::default());
    cache.apply_snapshot(&state, None, Some(list(120, &[entry("a", 5)])), NO_GRACE);
    let known_elsewhere = 100;
    assert!(cache.last_change() > known_elsewhere);
    let Some(CatchUp::All(entries)) = cache.entries_after(known_elsewhere) else {
        panic!("removals before the list are not remembered");
    };
    let other = common::state();
    let others = Cache::default();
    others.apply_snapshot(
        &other,
        None,
        Some(list(100, &[entry("a", 5), entry("gone", 6)])),
        NO_GRACE,
    );
    others.apply_snapshot(&other, None, Some(entries), NO_GRACE);
    assert_eq!(ids(&others), ["a"]);
}

#[test]
fn a_missing_delta_is_noticed() {
    let (from, sender) = (state(), Cache::default());
    let (to, receiver) = (state(), Cache::default());
    let all = list(10, &[entry("a", 5)]);
    sender.apply_snapshot(&from, None, Some(all.clone()), NO_GRACE);
    assert!(sender.take_delta(from.now()).is_some());
    receiver.apply_snapshot(&to, None, Some(all), NO_GRACE);
    let two = list(12, &[entry("a", 5), entry("b", 12)]);
    sender.apply_snapshot(&from, None, Some(two), NO_GRACE);
    let first = sender.take_delta(from.now()).expect("an entry is new");
    let three = list(14, &[entry("b", 12)]);
    sender.apply_snapshot(&from, None, Some(three), NO_GRACE);
    let second = sender.take_delta(from.now()).expect("an entry is gone");
    assert!(
        !receiver.apply_delta(&to, second.clone()),
        "the first is missing"
    );
    assert_eq!(ids(&receiver), ["a"]);
    assert!(receiver.apply_delta(&to, first));
    assert!(receiver.apply_delta(&to, second));
    assert_eq!(ids(&receiver), ["b"]);
    assert_eq!(receiver.last_change(), sender.last_change());
}

#[test]
fn a_host_that_lags_is_sent_only_the_changes() {
    let (from, sender) = (state(), Cache::default());
    let (to, receiver) = (state(), Cache::default());
    let all = list(10, &[entry("a", 5), entry("b", 9)]);
    sender.apply_snapshot(&from, None, Some(all.clone()), NO_GRACE);
    receiver.apply_snapshot(&to, None, Some(all), NO_GRACE);
    // The receiver gets none of these.
    for delta in [
        (10, 12, vec![entry("c", 12)], vec![]),
        (12, 15, vec![], vec![("a", 15)]),
    ] {
        let (base, revision, entries, removed) = delta;
        let removed = removed
            .into_iter()
            .map(|(id, revision): (&str, u64)| Removal {
                id: id.to_owned(),
                revision,
                may_return: false,
                grace_ms: None,
            });
        let delta = Delta {
            base: Version(base),
            revision: Version(revision),
            entries,
            removals: removed.collect(),
            catalog: None,
        };
        assert!(sender.apply_delta(&from, delta));
    }
    let Some(CatchUp::Delta(delta)) = sender.entries_after(10) else {
        panic!("all changes since 10 are remembered");
    };
    assert_eq!(delta.entries.len(), 1);
    assert!(receiver.apply_delta(&to, delta));
    assert_eq!(ids(&receiver), ["b", "c"]);
    assert!(sender.entries_after(receiver.last_change()).is_none());
}

#[test]
fn a_catalog_is_sent_as_an_edit() {
    let (from, sender) = (state(), Cache::default());
    let (to, receiver) = (state(), Cache::default());
    let first = catalog(1, 3, "same");
    sender.apply_snapshot(&from, Some(first.clone()), None, NO_GRACE);
    sender.take_delta(from.now());
    let second = catalog(2, 8, "same");
    sender.apply_snapshot(&from, Some(second), None, NO_GRACE);
    let later = from.now() + Duration::from_secs(1);
    let delta = sender.take_delta(later).expect("the catalog changed");
    assert!(
        !receiver.apply_delta(&to, delta.clone()),
        "nothing to edit yet"
    );
    receiver.apply_snapshot(&to, Some(first), None, NO_GRACE);
    assert!(receiver.apply_delta(&to, delta));
    assert_eq!(to.catalog_revision(), 8);
    assert_eq!(to.catalog().version, 2);
}

#[test]
fn an_unreadable_catalog_or_entry_changes_nothing() {
    let (state, cache) = (state(), Cache::default());
    cache.apply_snapshot(&state, Some(catalog(1, 3, "good")), None, NO_GRACE);
    let mut bad = catalog(2, 4, "bad");
    bad.value = json!("not a catalog");
    cache.apply_snapshot(&state, Some(bad), None, NO_GRACE);
    assert_eq!(state.catalog_revision(), 3);
    let mut unreadable = entry("b", 6);
    unreadable.value = json!({ "born": "yesterday" });
    cache.apply_snapshot(
        &state,
        None,
        Some(list(6, &[entry("a", 5), unreadable])),
        NO_GRACE,
    );
    let known: Vec<_> = fleet_ids(&state);
    assert_eq!(known, ["a"]);
}
