//! What the store tells: the catalog and the entries of backend servers.
//!
//! Each call of the store is priced, so only the granter watches it all the time and tells the
//! other hosts. A host that does not hear the granter, or whose granter has not heard the store
//! for a while, watches by itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tarragon_dispatch::fleet::EXPIRED_ENTRY_GRACE;
use tarragon_model::time::Instant;
use tarragon_store::api::Api;
use tarragon_store::error::{Error, Kind};
use tarragon_store::object::{Change, List, Object, Version};

use crate::edit::Edit;
use crate::state::State;

/// Time that a watch waits for changes; a watch that went silent shows after it.
const WATCH: Duration = Duration::from_millis(700);
/// The same for a host that is not the granter: many do it at once, while the granter is cut off.
const OWN_WATCH: Duration = Duration::from_millis(1_600);
/// Time between two watches of the granter, so that changes which come together are one answer.
const GAP: Duration = Duration::from_millis(60);
/// The same for a host that is not the granter.
const OWN_GAP: Duration = Duration::from_millis(400);
/// Hosts for which the longest pause after failed calls is as given; with more it is longer, as
/// each of them tells the others when the store answers again.
const HOSTS_A_PAUSE: u32 = 16;
/// Entries that went and are remembered for hosts that lack the news.
const GONE: usize = 1_024;
/// Age up to which the facts of the granter spare a host its own calls.
const FRESH: Duration = Duration::from_millis(1_200);
/// Time between two catalogs that other hosts are told.
const CATALOGS: Duration = Duration::from_millis(250);
/// Time between two looks at whether the granter's facts are fresh.
const LOOK: Duration = Duration::from_millis(100);
/// Time after the first start of the whole system for which a host leaves the store to the
/// granter.
const FIRST_WAIT: Duration = Duration::from_secs(2);
/// Pause after the first call that failed; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after calls that failed.
const LAST_PAUSE: Duration = Duration::from_secs(1);
/// Time without an answer after which entries may have lapsed unseen.
const AWAY: Duration = Duration::from_millis(900);

/// Cache as the store told them, to be told on to hosts that it turns away.
#[derive(Default)]
pub struct Cache {
    catalog: RefCell<Option<Object>>,
    entries: RefCell<BTreeMap<String, Object>>,
    entries_revision: Cell<Version>,
    /// Revision of the latest entry that changed or went.
    changed: Cell<Version>,
    returned: Cell<Option<Instant>>,
    failing: Cell<bool>,
    seen: [Cell<Instant>; 2],
    relayed_until: Cell<Instant>,
    /// Entries that went, the latest last, without a gap since the revision beside it.
    gone: RefCell<(Version, VecDeque<Removal>)>,
    /// Whether this host is the granter, on whose facts others live.
    leads: Cell<bool>,
    news: RefCell<Delta>,
    /// The catalog as other hosts were told it, and when.
    told: RefCell<(Option<Object>, Instant)>,
}

/// What changed since other hosts were told.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the entries that the news follow.
    pub since: Version,
    /// Revision of the entries that they lead to.
    pub revision: Version,
    /// Entries that are new or changed.
    pub entries: Vec<Object>,
    /// Entries that are gone.
    pub gone: Vec<Removal>,
    /// What changed of the catalog.
    pub catalog: Option<Edit>,
}

/// Entry that is gone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Removal {
    /// Identifier of the backend server.
    pub id: String,
    /// Revision at which the entry was gone.
    pub revision: u64,
    /// Whether it may have lapsed while the store was away, and may come back.
    pub lapse: bool,
}

/// What a host lacks of the entries.
#[derive(Clone, Debug)]
pub enum Later {
    /// What changed.
    Delta(Delta),
    /// All of them: what changed is not remembered far enough back.
    All(List),
}

impl Delta {
    fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.gone.is_empty() && self.catalog.is_none()
    }
}

/// Kind of facts that are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Catalog = 0,
    Entries = 1,
}

impl Cache {
    /// Tells whether the store does not answer this host.
    pub fn failing(&self) -> bool {
        self.failing.get()
    }

    /// Returns the revisions that this host has reached: of the catalog, and of the entries.
    pub fn reached(&self, state: &State) -> (u64, u64) {
        (state.catalog_revision(), self.entries_revision.get().0)
    }

    /// Returns the revision of the latest entry that changed or went.
    ///
    /// The store's revision rises with every write of anything; whoever knows this one lacks
    /// nothing.
    pub fn changed(&self) -> u64 {
        self.changed.get().0
    }

    /// Notes that nothing has changed up to a revision.
    pub fn reach(&self, revision: u64) {
        let reached = self.entries_revision.get().max(Version(revision));
        self.entries_revision.set(reached);
    }

    /// Returns the time since the store last confirmed all facts.
    ///
    /// While the store does not answer, nothing counts as confirmed.
    pub fn age(&self, now: Instant) -> Duration {
        let ages = self.seen.iter().map(|seen| now.since(seen.get()));
        ages.max().unwrap_or_default()
    }

    /// Makes this host ask the store itself from now on: it is the granter.
    pub fn lead(&self) {
        self.leads.set(true);
        self.relayed_until.set(Instant::ZERO);
    }

    /// Notes that another host is the granter, or nobody.
    pub fn follow_others(&self) {
        self.leads.set(false);
    }

    fn watch_time(&self) -> Duration {
        if self.leads.get() { WATCH } else { OWN_WATCH }
    }

    fn gap(&self) -> Duration {
        if self.leads.get() { GAP } else { OWN_GAP }
    }

    /// Returns the longest pause after calls that failed.
    fn last_pause(&self, hosts: u32) -> Duration {
        if self.leads.get() {
            LAST_PAUSE
        } else {
            LAST_PAUSE * (hosts / HOSTS_A_PAUSE).clamp(1, 4)
        }
    }

    /// Notes that the granter's facts, which are as old as `age`, are known here.
    pub fn relayed(&self, age: Duration, now: Instant) {
        for seen in &self.seen {
            seen.set(seen.get().max(now - age));
        }
        if age < FRESH {
            self.failing.set(false);
        }
        self.relayed_until.set(now - age + FRESH);
    }

    /// Returns what other hosts have not been told, if anything changed.
    ///
    /// Catalogs that follow one another quickly are told together.
    pub fn take_news(&self, now: Instant) -> Option<Delta> {
        let mut news = self.news.borrow_mut();
        news.catalog = self.take_edit(now);
        news.revision = self.entries_revision.get();
        if news.is_empty() {
            return None;
        }
        let next = Delta {
            since: news.revision,
            ..Delta::default()
        };
        Some(std::mem::replace(&mut news, next))
    }

    fn take_edit(&self, now: Instant) -> Option<Edit> {
        let catalog = self.catalog.borrow();
        let catalog = catalog.as_ref()?;
        let mut told = self.told.borrow_mut();
        let known = told.0.as_ref().map(|object| object.version);
        if known == Some(catalog.version) || now.since(told.1) < CATALOGS {
            return None;
        }
        let edit = told.0.as_ref().map(|before| Edit::between(before, catalog));
        *told = (Some(catalog.clone()), now);
        edit
    }

    /// Takes in what changed at the granter; `false` when something in between is missing.
    pub fn hear(&self, state: &State, news: Delta) -> bool {
        let mut whole = true;
        if let Some(edit) = news.catalog {
            let edited = self.catalog.borrow().as_ref().and_then(|o| edit.apply(o));
            match edited {
                Some(object) => self.take_catalog(state, object),
                None => whole = state.catalog_revision() >= edit.version.0,
            }
        }
        if news.since > self.entries_revision.get() {
            return false;
        }
        self.note_lag(state);
        for object in news.entries {
            self.take_entry(state, object);
        }
        for gone in news.gone {
            self.lose(state, &gone.id, gone.revision, gone.lapse);
        }
        let reached = self.entries_revision.get().max(news.revision);
        self.entries_revision.set(reached);
        whole
    }

    /// Returns the catalog if it is later than the given revision.
    pub fn later_catalog(&self, revision: u64) -> Option<Object> {
        let catalog = self.catalog.borrow().clone();
        catalog.filter(|object| object.version.0 > revision)
    }

    /// Returns what leads from a revision of the entries to the present one, if anything changed.
    pub fn later_entries(&self, revision: u64) -> Option<Later> {
        if self.changed() <= revision {
            return None;
        }
        let (since, reached) = (Version(revision), self.entries_revision.get());
        let known = self.entries.borrow();
        let gone = self.gone.borrow();
        if since < gone.0 {
            return Some(Later::All(List {
                revision: reached,
                items: known.values().cloned().collect(),
            }));
        }
        let newer = known.values().filter(|object| object.version > since);
        let lost = gone.1.iter().filter(|gone| gone.revision > revision);
        Some(Later::Delta(Delta {
            since,
            revision: reached,
            entries: newer.cloned().collect(),
            gone: lost.cloned().collect(),
            catalog: None,
        }))
    }

    /// Takes in what another host was told by the store.
    pub fn told(&self, state: &State, catalog: Option<Object>, entries: Option<List>) {
        if let Some(object) = catalog {
            self.take_catalog(state, object);
        }
        if let Some(list) = entries
            && list.revision > self.entries_revision.get()
        {
            self.note_lag(state);
            self.take_entries(state, list, true);
        }
    }

    fn take_catalog(&self, state: &State, object: Object) {
        let key = state.platform.catalog_key();
        if object.name != key.name {
            return;
        }
        match state.platform.parse_catalog(&object.value) {
            Ok(catalog) => {
                if state.apply_catalog(catalog, object.version.0) {
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
        match state.platform.parse_entry(&object.name, &object.value) {
            Ok(entry) => state.update_server(entry, object.version.0),
            Err(text) => log::warn!(
                "event=entry-unreadable id={} revision={} error=\"{text}\"",
                object.name,
                object.version
            ),
        }
        let mut entries = self.entries.borrow_mut();
        let known = entries.get(&object.name);
        if known.is_some_and(|known| known.version >= object.version) {
            return;
        }
        self.changed.set(self.changed.get().max(object.version));
        self.news.borrow_mut().entries.push(object.clone());
        entries.insert(object.name.clone(), object);
    }

    /// Notes that an entry is gone.
    fn lose(&self, state: &State, id: &str, revision: u64, lapse: bool) {
        if self.entries.borrow_mut().remove(id).is_some() {
            self.changed.set(self.changed.get().max(Version(revision)));
            let gone = Removal {
                id: id.to_owned(),
                revision,
                lapse,
            };
            self.remember(gone.clone());
            self.news.borrow_mut().gone.push(gone);
        }
        state.remove_server(id, revision, lapse);
    }

    fn remember(&self, gone: Removal) {
        let mut memory = self.gone.borrow_mut();
        memory.1.push_back(gone);
        if memory.1.len() > GONE
            && let Some(oldest) = memory.1.pop_front()
        {
            memory.0 = Version(oldest.revision);
        }
    }

    /// Tells the fleet by how much what it learns now may be behind the store.
    fn note_lag(&self, state: &State) {
        let age = self.age(state.now());
        let lag = if age > FRESH { age } else { Duration::ZERO };
        state.fleet.borrow_mut().set_lag(lag);
    }

    fn take_entries(&self, state: &State, list: List, lapse: bool) {
        let here: HashSet<&str> = list.items.iter().map(|item| item.name.as_str()).collect();
        let gone: Vec<String> = {
            let known = self.entries.borrow();
            let gone = known.keys().filter(|name| !here.contains(name.as_str()));
            gone.cloned().collect()
        };
        for name in gone {
            self.lose(state, &name, list.revision.0, lapse);
        }
        self.entries_revision.set(list.revision);
        // What went before the list is not in it: who knows less than the list may know too much.
        self.changed.set(self.changed.get().max(list.revision));
        *self.gone.borrow_mut() = (list.revision, VecDeque::new());
        for object in list.items {
            self.take_entry(state, object);
        }
    }

    /// Tells whether entries that are missing now may have lapsed while the store was away.
    fn may_return(&self, state: &State) -> bool {
        let now = state.now();
        let returned = self.returned.get();
        returned.is_some_and(|at| now.since(at) < EXPIRED_ENTRY_GRACE)
    }

    /// Notes that the store answered.
    fn answered(&self, state: &State, subject: Subject) {
        let now = state.now();
        let seen = &self.seen[subject as usize];
        let first = seen.get() == Instant::ZERO;
        if !first && now.since(seen.get()) > AWAY + self.watch_time() {
            self.returned.set(Some(now));
        }
        if self.failing.replace(false) {
            self.returned.set(Some(now));
            log::info!("event=dependency-regained peer=store");
        }
        seen.set(now);
        state.metrics.count_store_call("read", "answered");
    }

    fn failed(&self, state: &State, subject: Subject, error: &Error) {
        state.metrics.count_store_call("read", "failed");
        if !self.failing.replace(true) {
            log::warn!("event=dependency-lost peer=store subject={subject:?} error=\"{error}\"");
        }
        state.fleet.borrow_mut().store_unavailable(state.now());
    }
}

/// Follows the catalog and the entries until the process ends.
pub async fn follow(state: Rc<State>, facts: Rc<Cache>, api: Rc<dyn Api>) {
    if state.settings.first_start {
        facts.relayed_until.set(state.now() + FIRST_WAIT);
    }
    let catalog = follow_one(&state, &facts, &*api, Subject::Catalog);
    let entries = follow_one(&state, &facts, &*api, Subject::Entries);
    let lapses = settle(&state);
    tokio::join!(catalog, entries, lapses);
}

/// Ends the wait for entries that did not come back.
async fn settle(state: &State) {
    while !state.stop.is_cancelled() {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let gone = state.fleet.borrow_mut().remove_expired(state.now());
        for id in gone {
            state.mark_server_gone(&id, 0);
        }
    }
}

async fn follow_one(state: &State, facts: &Cache, api: &dyn Api, subject: Subject) {
    let kind = match subject {
        Subject::Catalog => state.platform.catalog_key().kind,
        Subject::Entries => state.platform.entries_kind(),
    };
    let mut position: Option<Version> = None;
    let mut pause = FIRST_PAUSE;
    while !state.stop.is_cancelled() {
        if state.now() < facts.relayed_until.get() {
            let reached = facts.entries_revision.get();
            if subject == Subject::Entries && reached > Version::ABSENT {
                position = position.max(Some(reached));
            }
            tokio::time::sleep(LOOK).await;
            continue;
        }
        let began = state.now();
        let result = match position {
            None => list(state, facts, api, subject, kind).await,
            Some(after) => watch(state, facts, api, subject, kind, after).await,
        };
        match result {
            Ok(next) => {
                position = Some(next);
                pause = FIRST_PAUSE;
                let took = state.now().since(began);
                tokio::time::sleep(facts.gap().saturating_sub(took)).await;
            }
            Err(error) if error.kind == Kind::TooOld => {
                log::info!("event=history-gone subject={subject:?}");
                position = None;
            }
            Err(error) => {
                facts.failed(state, subject, &error);
                let jitter = rand::random::<f64>() * 0.5 + 0.75;
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(facts.last_pause(state.host_count.get()));
            }
        }
    }
}

async fn list(
    state: &State,
    facts: &Cache,
    api: &dyn Api,
    subject: Subject,
    kind: &str,
) -> Result<Version, Error> {
    let list = api.list(kind, &state.stop).await?;
    facts.note_lag(state);
    facts.answered(state, subject);
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
    facts: &Cache,
    api: &dyn Api,
    subject: Subject,
    kind: &str,
    after: Version,
) -> Result<Version, Error> {
    let changes = api
        .watch(kind, after, facts.watch_time(), &state.stop)
        .await?;
    facts.note_lag(state);
    facts.answered(state, subject);
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

fn entry_changed(state: &State, facts: &Cache, change: Change) {
    if !change.deleted {
        facts.take_entry(state, change.object);
        return;
    }
    let lapse = facts.may_return(state);
    let revision = change.object.version.0;
    facts.lose(state, &change.object.name, revision, lapse);
}
