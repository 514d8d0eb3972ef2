//! Snapshot of the fleet for the threads that serve requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tarragon_model::config::Config;
use tarragon_model::shard;
use tarragon_model::time::Instant;

/// Expiry of the lease of a shard that this process leads.
///
/// Clones share the expiry, so that a renewal is seen and the lease can be checked immediately
/// before a request is sent.
#[derive(Clone, Debug, Default)]
pub struct Lease(Arc<AtomicU64>);

impl Lease {
    /// Sets the expiry.
    pub fn set(&self, until: Instant) {
        self.0.store(until.as_micros(), Ordering::Release);
    }

    /// Returns whether the lease has not expired at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now.as_micros() < self.0.load(Ordering::Acquire)
    }
}

/// Location of the leader of a shard.
#[derive(Clone, Debug)]
pub enum Route {
    /// This process leads the shard.
    Local,
    /// The process with this forward address leads the shard.
    Remote(SocketAddr),
}

/// State that the control thread publishes.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Latest configuration that this process has received.
    pub config: Arc<Config>,
    /// Version of the configuration; zero if there is none yet.
    pub config_version: u64,
    /// Known leaders of the shards.
    pub routes: BTreeMap<shard::Id, Route>,
    /// Whether this process is ready to serve callers.
    pub ready: bool,
    /// Whether the process is shutting down.
    pub draining: bool,
}
