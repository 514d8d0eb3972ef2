//! All decisions of one router process.

mod authority;
mod gossip;
mod leave;
mod query;
mod repair;
mod requests;
mod writes;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use tarragon_lease::output::Output as LeaseOutput;
use tarragon_model::config::Config;
use tarragon_model::host::{self, Peer};
use tarragon_model::shard;
use tarragon_model::time::Instant;

use crate::directory::Directory;
use crate::engine::Log;
use crate::input::{Input, Now};
use crate::member::Members;
use crate::output::Output;
use crate::policies::Policies;
use crate::slot::{Asks, Slot};

/// What a node is made from.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process.
    pub me: Peer,
    /// Addresses and place of this host.
    pub entry: host::Entry,
    /// Policies to use.
    pub policies: Policies,
    /// Seeded fault: keys of a lost backend server move without waiting for the end of its work.
    pub no_regrant_wait: bool,
    /// Seeded fault: requests that are not idempotent are sent again after a broken connection.
    pub resend_after_first_byte: bool,
}

/// Where requests of a shard are to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// This process leads the shard.
    Local,
    /// The process behind this forward address leads it.
    Remote(SocketAddr),
}

/// An operator's question.
#[derive(Clone, Debug)]
pub enum Query {
    /// The shards as this process knows them.
    Shards,
    /// The state of this process.
    Status,
    /// Who owns a key, and why.
    Explain {
        /// Service of the key.
        service: String,
        /// The key.
        key: String,
    },
}

/// The decisions of one router process.
///
/// ```
/// use tarragon_model::host::{Entry, Id, Peer, State};
/// use tarragon_model::time::Instant;
/// use tarragon_node::input::{Input, Now};
/// use tarragon_node::node::{Node, Settings};
/// use tarragon_node::policies::Policies;
///
/// let addr = "127.0.0.1:1".parse().unwrap();
/// let entry = Entry {
///     id: Id::new("h1"),
///     region: "sindh".into(),
///     failure_domain: "karachi-1".into(),
///     peer_addr: addr,
///     forward_addr: addr,
///     admin_addr: addr,
///     state: State::Live,
/// };
/// let now = Now { at: Instant::from_millis(1), unix_ms: 1 };
/// let settings = Settings {
///     me: Peer::new("h1".into(), 1),
///     entry,
///     policies: Policies::default(),
///     no_regrant_wait: false,
///     resend_after_first_byte: false,
/// };
/// let mut node = Node::new(settings, now);
/// let mut outputs = Vec::new();
/// node.handle(now, Input::Tick, &mut outputs);
/// assert!(!node.is_ready());
/// ```
pub struct Node {
    settings: Settings,
    members: Members,
    directory: Directory,
    config: Arc<Config>,
    config_version: u64,
    slots: BTreeMap<shard::Id, Slot>,
    requests: HashMap<u64, shard::Id>,
    started: Instant,
    records_read: bool,
    store_away: bool,
    draining: Option<Instant>,
    drained: bool,
    next_heartbeat: Instant,
    next_check: Instant,
    next_balance: Instant,
    updates: u64,
    view_version: u64,
}

impl Node {
    /// Starts without knowledge of anything but itself.
    #[must_use]
    pub fn new(settings: Settings, now: Now) -> Self {
        // This run ended every earlier one of its own host, which nobody else tells it.
        let mut members = Members::default();
        if let Some(incarnation) = settings.me.incarnation.checked_sub(1) {
            members.declare_lost(&Peer::new(settings.me.host.clone(), incarnation));
        }
        Self {
            settings,
            members,
            directory: Directory::default(),
            config: Arc::new(Config::default()),
            config_version: 0,
            slots: BTreeMap::new(),
            requests: HashMap::new(),
            started: now.at,
            records_read: false,
            store_away: false,
            draining: None,
            drained: false,
            next_heartbeat: now.at,
            next_check: now.at,
            next_balance: now.at,
            updates: 0,
            view_version: 0,
        }
    }

    /// Takes in what happened and says what to do.
    pub fn handle(&mut self, now: Now, input: Input, out: &mut Vec<Output>) {
        let before = out.len();
        match input {
            Input::Tick => self.tick(now, out),
            Input::Message { from, message } => self.message(now, &from, message, out),
            Input::Hosts(entries) => self.members.list(now.at, &self.settings.me.host, &entries),
            Input::HostLost(peer) => self.host_lost(now, &peer, out),
            Input::Config { version, config } => self.configure(now, version, *config, out),
            Input::Records(records) => self.records(now, records, out),
            Input::WriteEnded { shard, result } => self.written(now, &shard, result, out),
            Input::StoreUnavailable(away) => self.note_store(away, out),
            Input::Submit(submission) => self.submit(now, submission, out),
            Input::Responded {
                id,
                status,
                instance,
            } => {
                self.responded(now, id, status, instance.as_deref(), out);
            }
            Input::Ended { id, ending } => self.ended(now, id, &ending, out),
            Input::Cancelled { id } => self.cancelled(now, id),
            Input::Probed {
                shard,
                backend,
                result,
            } => {
                self.with_engine(now, &shard, out, |engine, out, log| {
                    engine.probed(now, &backend, &result, out, log);
                });
            }
            Input::Granted {
                shard,
                backend,
                result,
            } => {
                self.with_engine(now, &shard, out, |engine, out, log| {
                    engine.granted(now, &backend, &result, out, log);
                });
            }
            Input::Drain => self.drain(now, out),
        }
        self.forget_answered(&out[before..]);
    }

    /// Returns the end of the lease of every shard that this process has a part in.
    pub fn leases(&self) -> impl Iterator<Item = (&shard::Id, Instant)> {
        self.slots.iter().map(|(id, slot)| {
            let until = slot
                .member
                .as_ref()
                .map_or(Instant::ZERO, tarragon_lease::Member::lease_until);
            (id, until)
        })
    }

    /// Returns a number that grows whenever routes, configuration or readiness change.
    #[must_use]
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// Returns where requests of each shard are to be sent.
    pub fn routes(&self) -> impl Iterator<Item = (&shard::Id, Route)> {
        self.directory.all().filter_map(|lead| {
            if lead.leader == self.settings.me {
                return Some((&lead.shard, Route::Local));
            }
            let known = self.members.get(&lead.leader.host)?;
            Some((&lead.shard, Route::Remote(known.entry.forward_addr)))
        })
    }

    /// Returns the configuration known.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        self.config.clone()
    }

    /// Returns the version of the configuration known; zero for none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Tells whether callers should be sent to this process.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config_version > 0 && self.draining.is_none()
    }

    /// Counts the requests that this process keeps books on, for checks that none is left behind.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        let engines = self.slots.values().filter_map(|slot| slot.engine.as_ref());
        let flights = engines.map(crate::engine::Engine::in_flight).sum();
        self.requests.len().max(flights)
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Output>) {
        if now.at >= self.next_heartbeat {
            self.next_heartbeat = now.at + gossip::HEARTBEAT_EVERY;
            self.heartbeat(now, out);
        }
        self.tick_slots(now, out);
        if now.at >= self.next_check {
            self.next_check = now.at + repair::CHECK_EVERY;
            self.check_slots(now, out);
        }
        self.go_on_leaving(now, out);
    }

    fn tick_slots(&mut self, now: Now, out: &mut Vec<Output>) {
        let ids: Vec<shard::Id> = self.slots.keys().cloned().collect();
        for id in ids {
            let mut asks = Asks::new();
            if let Some(member) = self
                .slots
                .get_mut(&id)
                .and_then(|slot| slot.member.as_mut())
                && now.at >= member.next_tick(now.at)
            {
                member.tick(now.at, &mut asks);
            }
            self.carry_out(now, &id, asks, out);
            self.with_engine(now, &id, out, |engine, out, log| engine.tick(now, out, log));
        }
    }

    /// Runs something on the engine of a shard that this process may act for.
    fn with_engine<F>(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>, run: F)
    where
        F: FnOnce(&mut crate::engine::Engine, &mut Vec<Output>, &mut Log<'_>),
    {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        let mut asks: Vec<LeaseOutput<_>> = Asks::new();
        if let (Some(engine), Some(member)) = (&mut slot.engine, &mut slot.member) {
            let mut log = Log {
                member,
                out: &mut asks,
            };
            run(engine, out, &mut log);
        }
        self.carry_out(now, id, asks, out);
    }

    fn view_changed(&mut self) {
        self.view_version += 1;
    }
}
