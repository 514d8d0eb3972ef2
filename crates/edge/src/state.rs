//! What one host knows, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use tarragon_dispatch::budget::Budget;
use tarragon_dispatch::catalog::Catalog;
use tarragon_dispatch::fleet::{Change, Entry, Fleet, Location};
use tarragon_dispatch::poison::{Fingerprint, Quarantine};
use tarragon_dispatch::table::Table;
use tarragon_model::time::Instant;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::keys::{Map, Patch, Received};
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::pool::Pool;
use crate::settings::{Bounds, Settings};

/// Hosts assumed to share the budgets until the granter has told their number.
const HOSTS_ASSUMED: u32 = 16;

/// State of one host.
pub struct State {
    /// What the process was told at its start.
    pub settings: Settings,
    /// Number that tells this process from earlier ones of the host.
    pub incarnation: u64,
    /// Border to the platform.
    pub platform: Box<dyn Platform>,
    /// Clock of the process.
    pub clock: Clock,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Connections to backend servers.
    pub pool: Pool,
    /// What is believed of backend servers.
    pub fleet: RefCell<Fleet>,
    /// Requests that crash backend servers.
    pub poison: RefCell<Quarantine>,
    /// Hosts that share the budgets.
    pub host_count: Cell<u32>,
    /// Wakes requests that wait for the holder of a key.
    pub keys_changed: Notify,
    /// Wakes the granter when backend servers come or go.
    pub fleet_changed: Notify,
    /// Times and limits of the platform, as the settings last said.
    pub bounds: Cell<Bounds>,
    /// Connections of callers that are open.
    pub connections: Cell<usize>,
    /// Cancelled when the process is told to stop: it is not ready any more.
    pub leaving: CancellationToken,
    /// Cancelled when the process is to take no more connections.
    pub drain: CancellationToken,
    /// Cancelled when the process is to end.
    pub stop: CancellationToken,
    catalog: RefCell<Rc<Catalog>>,
    table: RefCell<Rc<Table>>,
    catalog_revision: Cell<u64>,
    maps: RefCell<HashMap<String, Received>>,
    budgets: RefCell<HashMap<String, Budget>>,
    traffic: RefCell<BTreeMap<String, HashMap<u16, u32>>>,
    convicted: RefCell<Vec<(Fingerprint, String)>>,
}

impl State {
    /// Creates the state of a host that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, platform: Box<dyn Platform>, incarnation: u64) -> Self {
        let clock = Clock::start();
        let place = Location {
            zone: settings.zone.clone(),
            regions: settings.regions.clone(),
        };
        let bounds = settings.bounds;
        Self {
            settings,
            incarnation,
            platform,
            metrics: Metrics::new(),
            pool: Pool::default(),
            fleet: RefCell::new(Fleet::new(place)),
            poison: RefCell::default(),
            host_count: Cell::new(HOSTS_ASSUMED),
            clock,
            keys_changed: Notify::new(),
            fleet_changed: Notify::new(),
            drain: CancellationToken::new(),
            bounds: Cell::new(bounds),
            connections: Cell::new(0),
            leaving: CancellationToken::new(),
            stop: CancellationToken::new(),
            catalog: RefCell::default(),
            table: RefCell::default(),
            catalog_revision: Cell::new(0),
            maps: RefCell::default(),
            budgets: RefCell::default(),
            traffic: RefCell::default(),
            convicted: RefCell::default(),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> Rc<Catalog> {
        Rc::clone(&self.catalog.borrow())
    }

    /// Returns the routes in force.
    pub fn table(&self) -> Rc<Table> {
        Rc::clone(&self.table.borrow())
    }

    /// Returns the store's revision of the catalog in force, 0 before the first.
    pub fn catalog_revision(&self) -> u64 {
        self.catalog_revision.get()
    }

    /// Puts a catalog into force unless a later one is; tells whether it did.
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
        self.metrics.count_state_change("catalog");
        self.catalog_revision.set(revision);
        *self.table.borrow_mut() = Rc::new(Table::new(&catalog));
        *self.catalog.borrow_mut() = Rc::new(catalog);
        self.fleet_changed.notify_waiters();
        true
    }

    /// Takes in what a backend server says of itself.
    pub fn update_server(&self, entry: Entry, revision: u64) {
        let now = self.now();
        let (id, draining, born) = (entry.id.clone(), entry.draining, entry.start_ms);
        let (service, zone) = (entry.service.clone(), entry.zone.clone());
        let change = self.fleet.borrow_mut().update(entry, revision, now);
        if change == Change::None {
            return;
        }
        self.metrics.count_state_change("server");
        log::info!(
            "event=server id={id} change={change:?} service={service} zone={zone} draining={draining} born={born} revision={revision}"
        );
        if change == Change::Restarted {
            self.pool.close_idle(&id);
            self.crashed(&id);
        }
        self.fleet_changed.notify_waiters();
        self.keys_changed.notify_waiters();
    }

    /// Notes that the entry of a backend server is gone from the store.
    pub fn remove_server(&self, id: &str, revision: u64, lapse: bool) {
        let now = self.now();
        if self.fleet.borrow_mut().remove(id, revision, lapse, now) {
            self.mark_server_gone(id, revision);
        }
    }

    /// Notes that a backend server is gone.
    pub fn mark_server_gone(&self, id: &str, revision: u64) {
        self.metrics.count_state_change("server");
        log::info!("event=server id={id} change=Gone revision={revision}");
        self.crashed(id);
        self.fleet_changed.notify_waiters();
        self.keys_changed.notify_waiters();
    }

    /// Convicts the requests that ran on a backend server when it ended.
    fn crashed(&self, id: &str) {
        let prints = self.poison.borrow_mut().server_crashed(id, self.now());
        for print in prints {
            log::warn!("event=suspect-convicted print={print:016x} server={id}");
            self.convicted.borrow_mut().push((print, id.to_owned()));
        }
    }

    /// Returns the convictions that other hosts have not been told, and forgets them.
    pub fn take_new_crashes(&self) -> Vec<(Fingerprint, String)> {
        std::mem::take(&mut self.convicted.borrow_mut())
    }

    /// Returns what is known of the holders of a service's keys.
    pub fn with_key_map<T>(&self, service: &str, read: impl FnOnce(&Received) -> T) -> Option<T> {
        self.maps.borrow().get(service).map(read)
    }

    /// Returns all maps, for another host.
    pub fn key_maps(&self) -> Vec<(String, Map)> {
        let maps = self.maps.borrow();
        let copy = |(service, known): (&String, &Received)| (service.clone(), known.map.clone());
        maps.iter().map(copy).collect()
    }

    /// Returns the versions of all maps, by service.
    pub fn key_map_versions(&self) -> Vec<(String, (u64, u64))> {
        let maps = self.maps.borrow();
        let version = |(service, known): (&String, &Received)| (service.clone(), known.map.version);
        maps.iter().map(version).collect()
    }

    /// Takes in the holders of a service's keys unless later ones are known.
    pub fn update_key_map(&self, service: &str, map: Map) {
        let mut maps = self.maps.borrow_mut();
        if maps
            .get(service)
            .is_some_and(|known| known.map.version >= map.version)
        {
            return;
        }
        log::info!(
            "event=keys service={service} office={} change={} plan={} ranges={} held={}",
            map.version.0,
            map.version.1,
            map.sequence,
            map.ranges.len(),
            map.ranges.iter().filter(|range| range.held).count()
        );
        let received_at = self.now();
        maps.insert(service.to_owned(), Received { map, received_at });
        self.metrics.count_state_change("keys");
        self.keys_changed.notify_waiters();
    }

    /// Takes in what changed of the holders of a service's keys; `false` when the map that it
    /// changes is not known.
    pub fn patch_key_map(&self, service: &str, patch: &Patch) -> bool {
        let mut maps = self.maps.borrow_mut();
        let Some(known) = maps.get_mut(service) else {
            return false;
        };
        if known.map.version >= patch.version {
            return true;
        }
        if known.map.version != patch.since {
            return false;
        }
        known.map.apply(patch);
        known.received_at = self.now();
        for change in &patch.changes {
            log::info!(
                "event=keys service={service} office={} change={} plan={} keys={}-{} server={} held={}",
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

    /// Counts a request for a key, for the granter.
    pub fn count_key(&self, service: &str, key: u16) {
        let mut traffic = self.traffic.borrow_mut();
        if let Some(keys) = traffic.get_mut(service) {
            *keys.entry(key).or_default() += 1;
        } else {
            traffic.insert(service.to_owned(), HashMap::from([(key, 1)]));
        }
    }

    /// Returns the requests counted for each key since the last call.
    pub fn take_traffic(&self) -> BTreeMap<String, HashMap<u16, u32>> {
        std::mem::take(&mut self.traffic.borrow_mut())
    }

    /// Lets the budget of a service's repeats decide.
    pub fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(self.bounds.get().retries));
        act(budget)
    }
}
