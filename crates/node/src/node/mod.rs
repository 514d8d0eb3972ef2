//! State machine of one router process.

mod drain;
mod lease;
mod messages;
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
use crate::local_shard::{LeaseOutputs, LocalShard};
use crate::membership::Membership;
use crate::output::Output;
use crate::policies::Policies;

/// Initial parameters of a [`Node`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process.
    pub me: Peer,
    /// Addresses, region and failure domain of this host.
    pub entry: host::Entry,
    /// Policies to use.
    pub policies: Policies,
    /// Seeded fault: keys of a lost backend server move without waiting for its work to end.
    pub no_regrant_wait: bool,
    /// Seeded fault: requests that are not idempotent are resent after a broken connection.
    pub resend_after_first_byte: bool,
}

/// Where requests of a shard are to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// This process leads the shard.
    Local,
    /// The process with this forward address leads the shard.
    Remote(SocketAddr),
}

/// An operator's query.
#[derive(Clone, Debug)]
pub enum Query {
    /// Asks for the shards as this process knows them.
    Shards,
    /// Asks for the status of this process.
    Status,
    /// Asks who owns a key, and why.
    Explain {
        /// Service of the key.
        service: String,
        /// The key.
        key: String,
    },
}

/// State machine of one router process.
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
    members: Membership,
    directory: Directory,
    /// Latest known configuration.
    config: Arc<Config>,
    /// Version of the configuration; zero for none.
    config_version: u64,
    /// Every known shard.
    shards: BTreeMap<shard::Id, LocalShard>,
    /// Shards of the tracked requests, by request number.
    requests: HashMap<u64, shard::Id>,
    started: Instant,
    /// Whether the records were read from the store at least once.
    records_read: bool,
    /// Whether the store does not respond.
    store_unavailable: bool,
    /// Since when the process drains.
    draining: Option<Instant>,
    /// Whether draining has finished.
    drained: bool,
    /// Time of the next heartbeat.
    next_heartbeat: Instant,
    /// Time of the next check of all shards.
    next_check: Instant,
    /// Time of the next attempt to balance the leaders.
    next_balance: Instant,
    /// Number of record updates built, which makes their tokens unique.
    updates: u64,
    /// Number that increases with every change of routes, configuration or readiness.
    view_version: u64,
}

impl Node {
    /// Starts without knowledge of the configuration, other hosts or records.
    #[must_use]
    pub fn new(settings: Settings, now: Now) -> Self {
        // This incarnation proves that all earlier ones of its host have ended; no other process
        // reports that to it.
        let mut members = Membership::default();
        if let Some(incarnation) = settings.me.incarnation.checked_sub(1) {
            members.declare_lost(&Peer::new(settings.me.host.clone(), incarnation));
        }
        Self {
            settings,
            members,
            directory: Directory::default(),
            config: Arc::new(Config::default()),
            config_version: 0,
            shards: BTreeMap::new(),
            requests: HashMap::new(),
            started: now.at,
            records_read: false,
            store_unavailable: false,
            draining: None,
            drained: false,
            next_heartbeat: now.at,
            next_check: now.at,
            next_balance: now.at,
            updates: 0,
            view_version: 0,
        }
    }

    /// Handles an input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Now, input: Input, out: &mut Vec<Output>) {
        let before = out.len();
        match input {
            Input::Tick => self.tick(now, out),
            Input::Message { from, message } => self.handle_message(now, &from, message, out),
            Input::Hosts(entries) => self
                .members
                .update(now.at, &self.settings.me.host, &entries),
            Input::HostLost(peer) => self.declare_host_lost(now, &peer, out),
            Input::Config { version, config } => self.configure(now, version, *config, out),
            Input::Records(records) => self.apply_records(now, records, out),
            Input::WriteEnded { shard, result } => self.end_write(now, &shard, result, out),
            Input::StoreUnavailable(unavailable) => self.set_store_unavailable(unavailable, out),
            Input::Submit(submission) => self.submit(now, submission, out),
            Input::Responded {
                id,
                status,
                instance,
            } => {
                self.handle_response(now, id, status, instance.as_deref(), out);
            }
            Input::Ended { id, ending } => self.handle_end(now, id, &ending, out),
            Input::Cancelled { id } => self.handle_cancel(now, id),
            Input::Probed {
                shard,
                backend,
                result,
            } => {
                self.with_engine(now, &shard, out, |engine, out, log| {
                    engine.handle_probe(now, &backend, &result, out, log);
                });
            }
            Input::Granted {
                shard,
                backend,
                result,
            } => {
                self.with_engine(now, &shard, out, |engine, out, log| {
                    engine.handle_grant(now, &backend, &result, out, log);
                });
            }
            Input::Drain => self.drain(now, out),
        }
        self.remove_refused(&out[before..]);
    }

    /// Returns the end of the lease of every known shard; [`Instant::ZERO`] where this process is
    /// not a member of the replica set.
    pub fn leases(&self) -> impl Iterator<Item = (&shard::Id, Instant)> {
        self.shards.iter().map(|(id, local_shard)| {
            let until = local_shard
                .member
                .as_ref()
                .map_or(Instant::ZERO, tarragon_lease::Member::lease_until);
            (id, until)
        })
    }

    /// Returns a number that increases whenever routes, configuration or readiness change.
    #[must_use]
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// Returns the known route of each shard.
    pub fn routes(&self) -> impl Iterator<Item = (&shard::Id, Route)> {
        self.directory.all().filter_map(|leadership| {
            if leadership.leader == self.settings.me {
                return Some((&leadership.shard, Route::Local));
            }
            let known = self.members.get(&leadership.leader.host)?;
            Some((&leadership.shard, Route::Remote(known.entry.forward_addr)))
        })
    }

    /// Returns the latest known configuration.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        self.config.clone()
    }

    /// Returns the version of the latest known configuration; zero for none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Returns whether callers should be sent to this process.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config_version > 0 && self.draining.is_none()
    }

    /// Counts the requests that this process tracks, so that checks can detect leaked ones.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        let engines = self
            .shards
            .values()
            .filter_map(|local_shard| local_shard.engine.as_ref());
        let tracked = engines.map(crate::engine::Engine::in_flight).sum();
        self.requests.len().max(tracked)
    }

    /// Performs the work that is due.
    fn tick(&mut self, now: Now, out: &mut Vec<Output>) {
        if now.at >= self.next_heartbeat {
            self.next_heartbeat = now.at + messages::HEARTBEAT_INTERVAL;
            self.heartbeat(now, out);
        }
        self.tick_shards(now, out);
        if now.at >= self.next_check {
            self.next_check = now.at + repair::CHECK_INTERVAL;
            self.check_shards(now, out);
        }
        self.continue_drain(now, out);
    }

    /// Lets the lease protocol and the engine of every shard perform their due work.
    fn tick_shards(&mut self, now: Now, out: &mut Vec<Output>) {
        let ids: Vec<shard::Id> = self.shards.keys().cloned().collect();
        for id in ids {
            let mut lease_outputs = LeaseOutputs::new();
            if let Some(member) = self
                .shards
                .get_mut(&id)
                .and_then(|local_shard| local_shard.member.as_mut())
                && now.at >= member.next_tick(now.at)
            {
                member.tick(now.at, &mut lease_outputs);
            }
            self.execute(now, &id, lease_outputs, out);
            self.with_engine(now, &id, out, |engine, out, log| engine.tick(now, out, log));
        }
    }

    /// Runs a closure on the engine of a shard, if this process leads it, and carries out the lease
    /// protocol's outputs.
    fn with_engine<F>(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>, run: F)
    where
        F: FnOnce(&mut crate::engine::Engine, &mut Vec<Output>, &mut Log<'_>),
    {
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        let mut lease_outputs: Vec<LeaseOutput<_>> = LeaseOutputs::new();
        if let (Some(engine), Some(member)) = (&mut local_shard.engine, &mut local_shard.member) {
            let mut log = Log {
                member,
                out: &mut lease_outputs,
            };
            run(engine, out, &mut log);
        }
        self.execute(now, id, lease_outputs, out);
    }

    /// Records a change of routes, configuration or readiness.
    fn mark_view_changed(&mut self) {
        self.view_version += 1;
    }
}
