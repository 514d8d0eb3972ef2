//! State of one host, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tarragon_dispatch::budget::Budget;
use tarragon_dispatch::catalog::Catalog;
use tarragon_dispatch::denial::Denials;
use tarragon_dispatch::fleet::{Change, Entry, Fleet, Location};
use tarragon_dispatch::poison::{Fingerprint, Quarantine};
use tarragon_dispatch::table::Table;
use tarragon_model::time::Instant;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::body;
use crate::clock::Clock;
use crate::keys::{Map, Patch, Received};
use crate::metrics::Metrics;
use crate::overload::Overload;
use crate::platform::Platform;
use crate::pool::Pool;
use crate::relay::room::Room;
use crate::settings::{Bounds, Settings};
use crate::shutdown::Schedule;

/// Number of hosts assumed to share the budgets until the granter has sent the real number.
const ASSUMED_HOSTS: u32 = 16;

/// Cluster state and resources of one host.
pub struct State {
    /// Settings at the start of the process.
    pub settings: Settings,
    /// Incarnation number of this process, larger than those of earlier processes of the host.
    pub incarnation: u64,
    /// Header names and encodings of the platform.
    pub platform: Box<dyn Platform>,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Connections that carry requests to backend servers.
    pub pool: Pool,
    /// Known backend servers, with their estimated load.
    pub fleet: Rc<RefCell<Fleet>>,
    /// Claims of the key maps that backend servers have denied.
    pub denials: RefCell<Denials>,
    /// Admission of requests while servers are short of capacity.
    pub overload: Overload,
    /// Memory for the bodies of requests and responses.
    pub body_memory: Arc<body::Memory>,
    /// What is under way at the backend servers.
    pub room: Room,
    /// Requests suspected or known to crash backend servers.
    pub quarantine: RefCell<Quarantine>,
    /// Number of hosts that share the retry budgets and the connection limits.
    pub host_count: Cell<u32>,
    /// Notified when the holder of a key may have changed; wakes waiting requests.
    pub keys_changed: Notify,
    /// Notified when backend servers or the catalog changed; wakes the granter.
    pub fleet_changed: Notify,
    /// Durations and limits of the platform, as last loaded from the settings.
    pub bounds: Cell<Bounds>,
    /// Number of open caller connections.
    pub connections: Cell<usize>,
    /// Whether this process renews the grants of all keys.
    pub is_granter: Cell<bool>,
    /// Times of the stop after its signal.
    pub shutdown: Cell<Option<Schedule>>,
    /// Cancelled on the stop signal: the process reports that it is not ready.
    pub leaving: CancellationToken,
    /// Cancelled when the process stops accepting caller connections.
    pub drain: CancellationToken,
    /// Cancelled shortly before the process ends: requests under way are answered at once.
    pub interrupt: CancellationToken,
    /// Cancelled when all tasks have to end.
    pub stop: CancellationToken,
    catalog: RefCell<Rc<Catalog>>,
    table: RefCell<Rc<Table>>,
    catalog_revision: Cell<u64>,
    key_maps: RefCell<HashMap<String, Received>>,
    budgets: RefCell<HashMap<String, Budget>>,
    key_counts: RefCell<BTreeMap<String, HashMap<u16, u32>>>,
    new_crashes: RefCell<Vec<(Fingerprint, String)>>,
}

impl State {
    /// Creates the state of a host without a catalog, backend servers or key maps.
    #[must_use]
    pub fn new(settings: Settings, platform: Box<dyn Platform>, incarnation: u64) -> Self {
        let clock = Clock::start();
        let location = Location {
            zone: settings.zone.clone(),
            regions: settings.regions.clone(),
        };
        let bounds = settings.bounds;
        let mut fleet = Fleet::new(location);
        fleet.evacuation_mut().set_bound(bounds.evacuation);
        let body_memory = body::Memory::of_host(settings.memory);
        Self {
            settings,
            incarnation,
            platform,
            metrics: Metrics::new(),
            pool: Pool::default(),
            fleet: Rc::new(RefCell::new(fleet)),
            denials: RefCell::default(),
            overload: Overload::default(),
            body_memory,
            room: Room::default(),
            quarantine: RefCell::default(),
            host_count: Cell::new(ASSUMED_HOSTS),
            clock,
            keys_changed: Notify::new(),
            fleet_changed: Notify::new(),
            drain: CancellationToken::new(),
            bounds: Cell::new(bounds),
            connections: Cell::new(0),
            is_granter: Cell::new(false),
            shutdown: Cell::new(None),
            leaving: CancellationToken::new(),
            interrupt: CancellationToken::new(),
            stop: CancellationToken::new(),
            catalog: RefCell::default(),
            table: RefCell::default(),
            catalog_revision: Cell::new(0),
            key_maps: RefCell::default(),
            budgets: RefCell::default(),
            key_counts: RefCell::default(),
            new_crashes: RefCell::default(),
        }
    }

    /// Returns the current time of the process's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> Rc<Catalog> {
        Rc::clone(&self.catalog.borrow())
    }

    /// Returns the route table of the catalog in force.
    pub fn table(&self) -> Rc<Table> {
        Rc::clone(&self.table.borrow())
    }

    /// Returns the store revision of the catalog in force, or 0 if there is none yet.
    pub fn catalog_revision(&self) -> u64 {
        self.catalog_revision.get()
    }

    /// Puts a catalog into force unless a later one already is; returns whether it did.
    pub fn apply_catalog(&self, catalog: Catalog, revision: u64) -> bool {
        let known = self.catalog_revision.get();
        if revision <= known || (known > 0 && catalog.version < self.catalog().version) {
            return false;
        }
        log::info!(
            "event=catalog version={} revision={revision} routes={} before={known}",
            catalog.version,
            catalog.routes.len()
        );
        for unknown in &catalog.unknown {
            log::warn!(
                "event=catalog-value-unknown route={} field={} value={:?} revision={revision} handled_as={}",
                unknown.route,
                unknown.field,
                unknown.value,
                unknown.handled_as
            );
        }
        self.metrics.count_state_change("catalog");
        self.catalog_revision.set(revision);
        let services = catalog.services.iter().map(|service| service.name.as_str());
        self.fleet.borrow_mut().set_services(services);
        *self.table.borrow_mut() = Rc::new(Table::new(&catalog));
        *self.catalog.borrow_mut() = Rc::new(catalog);
        self.update_warmup_limits();
        self.fleet_changed.notify_waiters();
        true
    }

    /// Adds or updates a backend server from its entry at a store revision.
    pub fn update_server(&self, entry: Entry, revision: u64) {
        let now = self.now();
        let (id, draining, start_ms) = (entry.id.clone(), entry.draining, entry.start_ms);
        let (service, zone) = (entry.service.clone(), entry.zone.clone());
        let change = self.fleet.borrow_mut().update(entry, revision, now);
        if change == Change::None {
            return;
        }
        self.metrics.count_state_change("server");
        log::info!(
            "event=server id={id} change={change:?} service={service} zone={zone} draining={draining} born={start_ms} revision={revision}"
        );
        for former in self.fleet.borrow().superseded_by(&id) {
            log::info!(
                "event=server-superseded id={} born={} by={id} addr={} entry_present={}",
                former.entry.id,
                former.entry.start_ms,
                former.entry.addr,
                former.present()
            );
        }
        if change == Change::Restarted {
            self.pool.close_idle(&id);
            self.record_crashes(&id);
        }
        self.fleet_changed.notify_waiters();
        self.keys_changed.notify_waiters();
    }

    /// Handles the removal of a backend server's entry from the store.
    ///
    /// The entry may have expired while the store was unavailable, and come back for `grace`.
    pub fn remove_server(&self, id: &str, revision: u64, grace: Duration) {
        let now = self.now();
        if self.fleet.borrow_mut().remove(id, revision, grace, now) {
            self.mark_server_gone(id, revision);
        } else if !grace.is_zero() {
            log::info!(
                "event=server-missing id={id} revision={revision} grace_ms={}",
                grace.as_millis()
            );
        }
    }

    /// Handles the loss of a backend server: records crashes and wakes waiting tasks.
    pub fn mark_server_gone(&self, id: &str, revision: u64) {
        self.metrics.count_state_change("server");
        log::info!("event=server id={id} change=Gone revision={revision}");
        self.record_crashes(id);
        self.fleet_changed.notify_waiters();
        self.keys_changed.notify_waiters();
    }

    /// Records a crash against the requests that ran on a backend server when it ended.
    fn record_crashes(&self, id: &str) {
        let crashes = self.quarantine.borrow_mut().server_crashed(id, self.now());
        for (fingerprint, process) in crashes {
            log::warn!(
                "event=request-crashed-server fingerprint={fingerprint:016x} process={process}"
            );
            self.new_crashes.borrow_mut().push((fingerprint, process));
        }
    }

    /// Takes the crashes that were not reported to other hosts yet: request fingerprint and process.
    pub fn take_new_crashes(&self) -> Vec<(Fingerprint, String)> {
        std::mem::take(&mut self.new_crashes.borrow_mut())
    }

    /// Calls `read` with the key map of a service; `None` if there is no map.
    pub fn with_key_map<T>(&self, service: &str, read: impl FnOnce(&Received) -> T) -> Option<T> {
        self.key_maps.borrow().get(service).map(read)
    }

    /// Returns all key maps, by service, to send them to another host.
    pub fn key_maps(&self) -> Vec<(String, Map)> {
        let maps = self.key_maps.borrow();
        let copy = |(service, known): (&String, &Received)| (service.clone(), known.map.clone());
        maps.iter().map(copy).collect()
    }

    /// Returns the versions of all key maps, by service.
    pub fn key_map_versions(&self) -> Vec<(String, (u64, u64))> {
        let maps = self.key_maps.borrow();
        let version = |(service, known): (&String, &Received)| (service.clone(), known.map.version);
        maps.iter().map(version).collect()
    }

    /// Replaces the key map of a service unless the known one is as recent.
    pub fn update_key_map(&self, service: &str, map: Map) {
        let mut maps = self.key_maps.borrow_mut();
        if maps
            .get(service)
            .is_some_and(|known| known.map.version >= map.version)
        {
            return;
        }
        log::info!(
            "event=keys service={service} term={} change={} plan={} ranges={} held={}",
            map.version.0,
            map.version.1,
            map.sequence,
            map.ranges.len(),
            map.ranges.iter().filter(|range| range.held).count()
        );
        let received_at = self.now();
        self.denials.borrow_mut().clear(service, 0, u16::MAX);
        maps.insert(service.to_owned(), Received { map, received_at });
        self.metrics.count_state_change("keys");
        self.keys_changed.notify_waiters();
    }

    /// Applies a patch to the key map of a service; returns `false` if the base map is not known.
    pub fn patch_key_map(&self, service: &str, patch: &Patch) -> bool {
        let mut maps = self.key_maps.borrow_mut();
        let Some(known) = maps.get_mut(service) else {
            return false;
        };
        if known.map.version >= patch.version {
            return true;
        }
        if known.map.version != patch.base {
            return false;
        }
        known.map.apply(patch);
        known.received_at = self.now();
        for change in &patch.changes {
            self.denials
                .borrow_mut()
                .clear(service, change.from, change.to);
            log::info!(
                "event=keys service={service} term={} change={} plan={} keys={}-{} server={} held={}",
                patch.version.0,
                patch.version.1,
                patch.sequence,
                change.from,
                change.to,
                change.holder.id,
                change.held
            );
        }
        self.metrics.count_state_change("keys");
        self.keys_changed.notify_waiters();
        true
    }

    /// Counts a request for a key, to be reported to the granter.
    pub fn count_key(&self, service: &str, key: u16) {
        let mut key_counts = self.key_counts.borrow_mut();
        if let Some(keys) = key_counts.get_mut(service) {
            *keys.entry(key).or_default() += 1;
        } else {
            key_counts.insert(service.to_owned(), HashMap::from([(key, 1)]));
        }
    }

    /// Returns the number of requests for each key since the last call, by service.
    pub fn take_traffic(&self) -> BTreeMap<String, HashMap<u16, u32>> {
        std::mem::take(&mut self.key_counts.borrow_mut())
    }

    /// Calls `act` with the retry budget of a service, which is created on first use.
    pub fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(self.bounds.get().retries));
        act(budget)
    }
}
