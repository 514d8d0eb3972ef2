//! Cluster state: the catalog and the backend servers' entries, as the store last confirmed them.
//!
//! Every store call has a cost, so normally only the granter watches the store and relays changes
//! to the other hosts. A host watches the store itself while it does not hear the granter, or while
//! the store has not confirmed the granter's copy for some time.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tarragon_dispatch::fleet::EXPIRED_ENTRY_GRACE;
use tarragon_model::time::Instant;
use tarragon_store::error::Error;
use tarragon_store::object::{List, Object, Version};

use crate::edit::Edit;
use crate::state::State;

mod evacuation;
pub mod outage;
mod restored;
mod watcher;

use self::outage::Detector;
pub use self::watcher::follow;

/// Time that the granter's watch waits for changes; it bounds how long a dead watch goes unnoticed.
const GRANTER_WATCH_TIME: Duration = Duration::from_millis(700);
/// Time that another host's watch waits for changes. It is longer, as many hosts watch at once
/// while the granter is cut off.
const HOST_WATCH_TIME: Duration = Duration::from_millis(1_600);
/// Time between the starts of two watches of the granter, so that changes in quick succession
/// arrive in one response.
const GRANTER_WATCH_GAP: Duration = Duration::from_millis(60);
/// Time between the starts of two watches of a host that is not the granter.
const HOST_WATCH_GAP: Duration = Duration::from_millis(400);
/// Number of hosts for which [`HOST_WATCH_GAP`] applies; it grows to three times that.
const HOSTS_PER_WATCH_GAP: u32 = 64;
/// Number of hosts for which [`MIN_BACKOFF`] and [`MAX_BACKOFF`] apply; both grow with the number of
/// hosts.
const HOSTS_PER_BACKOFF: u32 = 16;
/// Time without a heartbeat after which a host no longer relies on the granter.
const GRANTER_SILENCE: Duration = Duration::from_millis(900);
/// Number of removed entries that are remembered, to send a delta to hosts that lag behind.
const MAX_REMOVALS: usize = 1_024;
/// Age up to which the granter's copy replaces a host's own store calls.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(1_200);
/// Least time between two catalogs that are sent to other hosts.
const CATALOG_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks whether the granter's copy is still recent enough.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the first start of the whole system for which a host leaves the store to the
/// granter.
const FIRST_START_WAIT: Duration = Duration::from_secs(2);
/// Pause after the first failed call; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Copy of the cluster state, kept to serve hosts that cannot reach the store.
#[derive(Default)]
pub struct Cache {
    catalog: RefCell<Option<Object>>,
    entries: RefCell<BTreeMap<String, Object>>,
    entries_revision: Cell<Version>,
    /// Revision of the last change or removal of an entry.
    last_change: Cell<Version>,
    /// Outages of the store, as this host's calls about entries show them.
    outages: RefCell<Detector>,
    store_unavailable: Cell<bool>,
    /// When the store last confirmed each [`Subject`].
    confirmed: [Cell<Instant>; 3],
    /// Whether the zones under evacuation are part of the copy.
    evacuations_in_force: Cell<bool>,
    /// Until when the granter's copy replaces this host's own store calls.
    relay_valid_until: Cell<Instant>,
    /// The same for the zones under evacuation.
    evacuations_valid_until: Cell<Instant>,
    /// When the granter was last heard.
    heard_granter: Cell<Instant>,
    /// Removed entries, oldest first. The list is complete since the revision beside it.
    removals: RefCell<(Version, VecDeque<Removal>)>,
    /// Whether this host is the granter, whose copy the other hosts rely on.
    is_granter: Cell<bool>,
    /// Changes that other hosts have not been sent.
    unsent: RefCell<Delta>,
    /// Catalog that was last sent to other hosts, and when.
    sent_catalog: RefCell<(Option<Object>, Instant)>,
}

/// Changes that lead from one revision of the cluster state to a later one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the entries that the delta applies to.
    #[serde(rename = "since")]
    pub base: Version,
    /// Revision of the entries after the delta.
    pub revision: Version,
    /// New and changed entries.
    pub entries: Vec<Object>,
    /// Removed entries.
    #[serde(rename = "gone")]
    pub removals: Vec<Removal>,
    /// Change of the catalog.
    pub catalog: Option<Edit>,
}

/// Removed entry of a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Removal {
    /// Identifier of the backend server.
    pub id: String,
    /// Revision at which the entry was missing.
    pub revision: u64,
    /// Whether the entry may have expired during an outage of the store, and so may come back.
    #[serde(rename = "lapse")]
    pub may_return: bool,
    /// Time for which it may come back, in milliseconds; hosts of the previous build omit it.
    #[serde(default)]
    pub grace_ms: Option<u64>,
}

impl Removal {
    fn new(id: &str, revision: u64, grace: Duration) -> Self {
        Self {
            id: id.to_owned(),
            revision,
            may_return: !grace.is_zero(),
            grace_ms: u64::try_from(grace.as_millis()).ok(),
        }
    }

    /// Returns the time for which the entry may come back.
    fn grace(&self) -> Duration {
        if self.may_return {
            self.grace_ms
                .map_or(EXPIRED_ENTRY_GRACE, Duration::from_millis)
                .min(EXPIRED_ENTRY_GRACE)
        } else {
            Duration::ZERO
        }
    }
}

/// Update that brings a host's entries up to date.
#[derive(Clone, Debug)]
pub enum CatchUp {
    /// Changes since the host's revision.
    Delta(Delta),
    /// All entries, as the removals since the host's revision are no longer remembered.
    All(List),
}

impl Delta {
    fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.removals.is_empty() && self.catalog.is_none()
    }
}

/// Part of the cluster state, each with a watch of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Catalog = 0,
    Entries = 1,
    Evacuations = 2,
}

impl Cache {
    /// Returns whether the store counts as unavailable: a call failed, and since then neither the
    /// store responded nor did the granter relay a recent copy.
    pub fn store_unavailable(&self) -> bool {
        self.store_unavailable.get()
    }

    /// Returns the known revisions of the catalog and of the entries.
    pub fn revisions(&self, state: &State) -> (u64, u64) {
        (state.catalog_revision(), self.entries_revision.get().0)
    }

    /// Returns the revision of the last change or removal of an entry.
    ///
    /// The store's revision rises with every write of any object, so a host that knows this
    /// revision is up to date even if the store's is higher.
    pub fn last_change(&self) -> u64 {
        self.last_change.get().0
    }

    /// Notes that no entry has changed up to a revision.
    pub fn advance_to(&self, revision: u64) {
        let reached = self.entries_revision.get().max(Version(revision));
        self.entries_revision.set(reached);
    }

    /// Returns the time since the store last confirmed the whole copy.
    ///
    /// It grows while the store does not respond.
    pub fn age(&self, now: Instant) -> Duration {
        let age = self.age_without_evacuations(now);
        if self.evacuations_in_force.get() {
            age.max(now.since(self.evacuations_confirmed()))
        } else {
            age
        }
    }

    fn age_without_evacuations(&self, now: Instant) -> Duration {
        let parts = &self.confirmed[..Subject::Evacuations as usize];
        let ages = parts.iter().map(|confirmed| now.since(confirmed.get()));
        ages.max().unwrap_or_default()
    }

    /// Makes this host watch the store itself from now on, since it is the granter.
    pub fn become_granter(&self) {
        self.is_granter.set(true);
        self.relay_valid_until.set(Instant::ZERO);
        self.evacuations_valid_until.set(Instant::ZERO);
    }

    /// Notes that this host is no longer the granter.
    pub fn stop_granting(&self) {
        self.is_granter.set(false);
    }

    fn watch_time(&self) -> Duration {
        if self.is_granter.get() {
            GRANTER_WATCH_TIME
        } else {
            HOST_WATCH_TIME
        }
    }

    /// Returns the least time between the starts of two watches in a fleet of `hosts`.
    fn watch_gap(&self, hosts: u32) -> Duration {
        if self.is_granter.get() {
            GRANTER_WATCH_GAP
        } else {
            HOST_WATCH_GAP * (hosts / HOSTS_PER_WATCH_GAP).clamp(1, 3)
        }
    }

    /// Returns the pauses after the first and after many failed calls in a fleet of `hosts`.
    ///
    /// While a host hears the granter, which asks the store for all of them, the pauses grow with
    /// the fleet, so that all hosts together ask at a bounded rate.
    fn backoff_bounds(&self, hosts: u32, now: Instant) -> (Duration, Duration) {
        let factor = (hosts / HOSTS_PER_BACKOFF).max(1);
        if self.is_granter.get() {
            (MIN_BACKOFF, MAX_BACKOFF)
        } else if self.hears_granter(now) {
            (MIN_BACKOFF * factor, MAX_BACKOFF * factor)
        } else {
            (MIN_BACKOFF, MAX_BACKOFF * factor.min(4))
        }
    }

    fn hears_granter(&self, now: Instant) -> bool {
        now.since(self.heard_granter.get()) < GRANTER_SILENCE
    }

    /// Notes a heartbeat of the granter.
    pub fn note_heartbeat(&self, now: Instant) {
        self.heard_granter.set(now);
    }

    /// Notes that this host has the granter's catalog and entries, which the store confirmed `age`
    /// ago.
    pub fn confirm_relayed(&self, age: Duration, now: Instant) {
        for confirmed in &self.confirmed[..Subject::Evacuations as usize] {
            confirmed.set(confirmed.get().max(now - age));
        }
        if age < MAX_RELAYED_AGE {
            self.store_unavailable.set(false);
        }
        self.relay_valid_until.set(now - age + MAX_RELAYED_AGE);
    }

    /// Returns the changes that other hosts have not been sent, and marks them as sent.
    ///
    /// Catalogs that follow each other within a quarter of a second become one change.
    pub fn take_delta(&self, now: Instant) -> Option<Delta> {
        let mut unsent = self.unsent.borrow_mut();
        unsent.catalog = self.take_catalog_edit(now);
        unsent.revision = self.entries_revision.get();
        if unsent.is_empty() {
            return None;
        }
        let next = Delta {
            base: unsent.revision,
            ..Delta::default()
        };
        Some(std::mem::replace(&mut unsent, next))
    }

    fn take_catalog_edit(&self, now: Instant) -> Option<Edit> {
        let catalog = self.catalog.borrow();
        let catalog = catalog.as_ref()?;
        let mut sent = self.sent_catalog.borrow_mut();
        let known = sent.0.as_ref().map(|object| object.version);
        if known == Some(catalog.version) || now.since(sent.1) < CATALOG_INTERVAL {
            return None;
        }
        let edit = sent.0.as_ref().map(|before| Edit::between(before, catalog));
        *sent = (Some(catalog.clone()), now);
        edit
    }

    /// Applies a delta from the granter; returns `false` when this host lacks an earlier one.
    pub fn apply_delta(&self, state: &State, delta: Delta) -> bool {
        let mut complete = true;
        if let Some(edit) = delta.catalog {
            let edited = self.catalog.borrow().as_ref().and_then(|o| edit.apply(o));
            match edited {
                Some(object) => self.apply_catalog(state, object),
                None => complete = state.catalog_revision() >= edit.version.0,
            }
        }
        if delta.base > self.entries_revision.get() {
            return false;
        }
        self.update_lag(state);
        for object in delta.entries {
            self.apply_entry(state, object);
        }
        for removal in delta.removals {
            self.remove_entry(state, &removal.id, removal.revision, removal.grace());
        }
        let reached = self.entries_revision.get().max(delta.revision);
        self.entries_revision.set(reached);
        complete
    }

    /// Returns the catalog if it is later than a revision.
    pub fn catalog_after(&self, revision: u64) -> Option<Object> {
        let catalog = self.catalog.borrow().clone();
        catalog.filter(|object| object.version.0 > revision)
    }

    /// Returns the update from a revision of the entries to the present one, if any changed.
    pub fn entries_after(&self, revision: u64) -> Option<CatchUp> {
        if self.last_change() <= revision {
            return None;
        }
        let (base, reached) = (Version(revision), self.entries_revision.get());
        let known = self.entries.borrow();
        let removals = self.removals.borrow();
        if base < removals.0 {
            return Some(CatchUp::All(List {
                revision: reached,
                items: known.values().cloned().collect(),
            }));
        }
        let changed = known.values().filter(|object| object.version > base);
        let removed = removals.1.iter().filter(|gone| gone.revision > revision);
        Some(CatchUp::Delta(Delta {
            base,
            revision: reached,
            entries: changed.cloned().collect(),
            removals: removed.cloned().collect(),
            catalog: None,
        }))
    }

    /// Applies a catalog and a full list of entries that another host sent.
    ///
    /// Entries that the list lacks may come back for `grace`.
    pub fn apply_snapshot(
        &self,
        state: &State,
        catalog: Option<Object>,
        entries: Option<List>,
        grace: Duration,
    ) {
        if let Some(object) = catalog {
            self.apply_catalog(state, object);
        }
        if let Some(list) = entries
            && list.revision > self.entries_revision.get()
        {
            self.update_lag(state);
            self.replace_entries(state, list, grace);
        }
    }

    fn apply_catalog(&self, state: &State, object: Object) {
        let key = state.platform.catalog_key();
        if object.name != key.name {
            return;
        }
        match state.platform.parse_catalog(&object.value) {
            Ok(catalog) => {
                restored::log_older(state, &catalog, object.version);
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

    fn apply_entry(&self, state: &State, object: Object) {
        match state.platform.parse_entry(&object.name, &object.value) {
            Ok(mut entry) => {
                entry.draining |= restored::hides_leave(state, &entry, object.version);
                state.update_server(entry, object.version.0);
            }
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
        self.last_change
            .set(self.last_change.get().max(object.version));
        self.unsent.borrow_mut().entries.push(object.clone());
        entries.insert(object.name.clone(), object);
    }

    /// Removes an entry, which may come back for `grace`.
    fn remove_entry(&self, state: &State, id: &str, revision: u64, grace: Duration) {
        if self.entries.borrow_mut().remove(id).is_some() {
            self.last_change
                .set(self.last_change.get().max(Version(revision)));
            let removal = Removal::new(id, revision, grace);
            self.record_removal(removal.clone());
            self.unsent.borrow_mut().removals.push(removal);
        }
        state.remove_server(id, revision, grace);
    }

    fn record_removal(&self, removal: Removal) {
        let mut removals = self.removals.borrow_mut();
        removals.1.push_back(removal);
        if removals.1.len() > MAX_REMOVALS
            && let Some(oldest) = removals.1.pop_front()
        {
            removals.0 = Version(oldest.revision);
        }
    }

    /// Tells the fleet by how much the changes that follow may lag behind the store.
    fn update_lag(&self, state: &State) {
        let age = self.age_without_evacuations(state.now());
        let lag = if age > MAX_RELAYED_AGE {
            age
        } else {
            Duration::ZERO
        };
        state.fleet.borrow_mut().set_lag(lag);
    }

    fn replace_entries(&self, state: &State, list: List, grace: Duration) {
        let listed: HashSet<&str> = list.items.iter().map(|item| item.name.as_str()).collect();
        let removed: Vec<String> = {
            let known = self.entries.borrow();
            let removed = known.keys().filter(|name| !listed.contains(name.as_str()));
            removed.cloned().collect()
        };
        for name in removed {
            self.remove_entry(state, &name, list.revision.0, grace);
        }
        self.entries_revision.set(list.revision);
        // The list does not name entries that were removed before it, so a host at an earlier
        // revision may still have some of them and is not up to date.
        self.last_change
            .set(self.last_change.get().max(list.revision));
        *self.removals.borrow_mut() = (list.revision, VecDeque::new());
        for object in list.items {
            self.apply_entry(state, object);
        }
    }

    /// Returns for how long entries that are missing now may come back: they may have expired during
    /// an outage of the store.
    pub fn removal_grace(&self, state: &State) -> Duration {
        self.outages.borrow().grace(state.now())
    }

    fn begin_call(&self, state: &State, subject: Subject) {
        if subject == Subject::Entries {
            self.outages.borrow_mut().begin_call(state.now());
        }
    }

    /// Notes the response to a call that may have waited for changes for `wait`.
    fn note_response(&self, state: &State, subject: Subject, wait: Duration) {
        let now = state.now();
        if subject == Subject::Entries {
            let outage = self.outages.borrow_mut().record_response(wait, now);
            if let Some(outage) = outage {
                log::info!("event=store-outage ended_after_ms={}", outage.as_millis());
            }
        }
        if self.store_unavailable.replace(false) {
            log::info!("event=dependency-regained peer=store");
        }
        self.confirmed[subject as usize].set(now);
        state.metrics.count_store_call("read", "answered");
    }

    /// Notes that a call failed that may have waited for changes for `wait`.
    fn note_failure(&self, state: &State, subject: Subject, wait: Duration, error: &Error) {
        state.metrics.count_store_call("read", "failed");
        if !self.store_unavailable.replace(true) {
            log::warn!("event=dependency-lost peer=store subject={subject:?} error=\"{error}\"");
        }
        let now = state.now();
        let mut outages = self.outages.borrow_mut();
        if subject == Subject::Entries {
            outages.record_failure(wait, now);
        }
        if outages.is_ongoing(now) {
            state.fleet.borrow_mut().extend_grace(now);
        }
    }
}
