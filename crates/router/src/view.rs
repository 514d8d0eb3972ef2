//! What the threads that serve requests know of the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tarragon_model::config::Config;
use tarragon_model::shard;
use tarragon_model::time::Instant;

/// End of the lease of one led shard, read at the last moment before bytes go out.
#[derive(Clone, Debug, Default)]
pub struct Lease(Arc<AtomicU64>);

impl Lease {
    /// Sets the end of the lease.
    pub fn set(&self, until: Instant) {
        self.0.store(until.as_micros(), Ordering::Release);
    }

    /// Tells whether the lease still holds.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        now.as_micros() < self.0.load(Ordering::Acquire)
    }
}

/// Where requests of a shard are to be sent.
#[derive(Clone, Debug)]
pub enum Route {
    /// This process leads the shard.
    Here,
    /// The process behind this forward address leads it.
    There(SocketAddr),
}

/// Snapshot of the fleet for the threads that serve requests.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration that this process knows.
    pub config: Arc<Config>,
    /// Version of the configuration, zero for none.
    pub config_version: u64,
    /// Leaders of the shards.
    pub routes: BTreeMap<shard::Id, Route>,
    /// Whether callers should be sent to this process.
    pub ready: bool,
    /// Whether the process is shutting down.
    pub draining: bool,
}
