//! What the store tells: the catalog and the entries of backend servers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_store::api::Api;
use tarragon_store::error::{Error, Kind};
use tarragon_store::object::{Change, List, Object, Version};

use crate::state::State;

/// Time that a watch waits for changes.
const WATCH: Duration = Duration::from_millis(2_000);
/// Pause after the first call that failed; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after calls that failed.
const LAST_PAUSE: Duration = Duration::from_millis(1_000);
/// Time without an answer after which entries may have lapsed unseen.
const AWAY: Duration = Duration::from_millis(900);
/// Time after the store's return within which entries that lapsed may come back.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Facts as the store told them, to be told on to hosts that it turns away.
#[derive(Default)]
pub struct Facts {
    catalog: RefCell<Option<Object>>,
    entries: RefCell<BTreeMap<String, Object>>,
    entries_revision: Cell<Version>,
    returned: Cell<Option<Instant>>,
    failing: Cell<bool>,
}

/// Kind of facts that are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Catalog,
    Entries,
}

impl Facts {
    /// Tells whether the store does not answer this host.
    pub fn failing(&self) -> bool {
        self.failing.get()
    }

    /// Returns the revisions that this host has reached: of the catalog, and of the entries.
    pub fn reached(&self, state: &State) -> (u64, u64) {
        (state.catalog_revision(), self.entries_revision.get().0)
    }

    /// Returns what is later than the given revisions.
    pub fn later(&self, catalog: u64, entries: u64) -> (Option<Object>, Option<List>) {
        let newer = self.catalog.borrow().clone();
        let newer = newer.filter(|object| object.version.0 > catalog);
        let revision = self.entries_revision.get();
        let list = (revision.0 > entries).then(|| List {
            revision,
            items: self.entries.borrow().values().cloned().collect(),
        });
        (newer, list)
    }

    /// Takes in what another host was told by the store.
    pub fn told(&self, state: &State, catalog: Option<Object>, entries: Option<List>) {
        if let Some(object) = catalog {
            self.take_catalog(state, object);
        }
        if let Some(list) = entries
            && list.revision > self.entries_revision.get()
        {
            self.take_entries(state, list, true);
        }
    }

    fn take_catalog(&self, state: &State, object: Object) {
        let key = state.platform.catalog_key();
        if object.name != key.name {
            return;
        }
        match state.platform.catalog(&object.value) {
            Ok(catalog) => {
                if state.enforce(catalog, object.version.0) {
                    *self.catalog.borrow_mut() = Some(object);
                }
            }
            Err(text) => log::warn!(
                "event=catalog-unreadable revision={} kept={} error=\"{text}\"",
                object.version,
                state.catalog_revision()
            ),
        }
    }

    fn take_entry(&self, state: &State, object: Object) {
        match state.platform.entry(&object.name, &object.value) {
            Ok(entry) => state.learn(entry, object.version.0),
            Err(text) => log::warn!(
                "event=entry-unreadable id={} revision={} error=\"{text}\"",
                object.name,
                object.version
            ),
        }
        self.entries
            .borrow_mut()
            .insert(object.name.clone(), object);
    }

    fn take_entries(&self, state: &State, list: List, lapse: bool) {
        let here: HashSet<&str> = list.items.iter().map(|item| item.name.as_str()).collect();
        let gone: Vec<String> = {
            let known = self.entries.borrow();
            let gone = known.keys().filter(|name| !here.contains(name.as_str()));
            gone.cloned().collect()
        };
        for name in gone {
            self.entries.borrow_mut().remove(&name);
            state.forget(&name, list.revision.0, lapse);
        }
        self.entries_revision.set(list.revision);
        for object in list.items {
            self.take_entry(state, object);
        }
    }

    /// Tells whether entries that are missing now may have lapsed while the store was away.
    fn may_return(&self, state: &State) -> bool {
        let now = state.now();
        let returned = self.returned.get();
        returned.is_some_and(|at| now.since(at) < RETURN_TIME)
    }

    /// Notes that the store answered.
    fn answered(&self, state: &State) {
        let now = state.now();
        if now.since(state.store_seen.get()) > AWAY + WATCH {
            self.returned.set(Some(now));
        }
        if self.failing.replace(false) {
            self.returned.set(Some(now));
            log::info!("event=dependency-regained peer=store");
        }
        state.store_seen.set(now);
        state.metrics.called("read", "answered");
    }

    fn failed(&self, state: &State, subject: Subject, error: &Error) {
        state.metrics.called("read", "failed");
        if !self.failing.replace(true) {
            log::warn!("event=dependency-lost peer=store subject={subject:?} error=\"{error}\"");
        }
        state.fleet.borrow_mut().store_away(state.now());
    }
}

/// Follows the catalog and the entries until the process ends.
pub async fn follow(state: Rc<State>, facts: Rc<Facts>, api: Rc<dyn Api>) {
    let catalog = follow_one(&state, &facts, &*api, Subject::Catalog);
    let entries = follow_one(&state, &facts, &*api, Subject::Entries);
    let lapses = settle(&state);
    tokio::join!(catalog, entries, lapses);
}

/// Ends the wait for entries that did not come back.
async fn settle(state: &State) {
    while !state.stop.is_cancelled() {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let gone = state.fleet.borrow_mut().settle(state.now());
        for id in gone {
            state.gone(&id, 0);
        }
    }
}

async fn follow_one(state: &State, facts: &Facts, api: &dyn Api, subject: Subject) {
    let kind = match subject {
        Subject::Catalog => state.platform.catalog_key().kind,
        Subject::Entries => state.platform.entries_kind(),
    };
    let mut position: Option<Version> = None;
    let mut pause = FIRST_PAUSE;
    while !state.stop.is_cancelled() {
        let result = match position {
            None => list(state, facts, api, subject, kind).await,
            Some(after) => watch(state, facts, api, subject, kind, after).await,
        };
        match result {
            Ok(next) => {
                position = Some(next);
                pause = FIRST_PAUSE;
            }
            Err(error) if error.kind == Kind::TooOld => {
                log::info!("event=history-gone subject={subject:?}");
                position = None;
            }
            Err(error) => {
                facts.failed(state, subject, &error);
                let jitter = rand::random::<f64>() * 0.5 + 0.75;
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(LAST_PAUSE);
            }
        }
    }
}

async fn list(
    state: &State,
    facts: &Facts,
    api: &dyn Api,
    subject: Subject,
    kind: &str,
) -> Result<Version, Error> {
    let list = api.list(kind, &state.stop).await?;
    facts.answered(state);
    let revision = list.revision;
    match subject {
        Subject::Catalog => {
            for object in list.items {
                facts.take_catalog(state, object);
            }
        }
        Subject::Entries => {
            let lapse = facts.may_return(state);
            facts.take_entries(state, list, lapse);
        }
    }
    Ok(revision)
}

async fn watch(
    state: &State,
    facts: &Facts,
    api: &dyn Api,
    subject: Subject,
    kind: &str,
    after: Version,
) -> Result<Version, Error> {
    let changes = api.watch(kind, after, WATCH, &state.stop).await?;
    facts.answered(state);
    for change in changes.changes {
        match subject {
            Subject::Catalog if !change.deleted => facts.take_catalog(state, change.object),
            Subject::Catalog => {}
            Subject::Entries => entry_changed(state, facts, change),
        }
    }
    if subject == Subject::Entries {
        let reached = facts.entries_revision.get().max(changes.revision);
        facts.entries_revision.set(reached);
    }
    Ok(changes.revision)
}

fn entry_changed(state: &State, facts: &Facts, change: Change) {
    if !change.deleted {
        facts.take_entry(state, change.object);
        return;
    }
    let name = change.object.name;
    facts.entries.borrow_mut().remove(&name);
    let lapse = facts.may_return(state);
    state.forget(&name, change.object.version.0, lapse);
}
