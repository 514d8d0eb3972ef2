//! Choice of a backend server for requests without an owner, as policies registered by name.
//!
//! A policy may bind a request to a backend server on arrival, as load balancers without shared
//! queues do. Because the leader is the only sender of its shard, a policy may instead leave the
//! request in a queue shared by all servers until a slot is free.

use std::fmt;

use tarragon_model::key;

mod hash;
mod least_finish;
mod random;
mod round_robin;

/// Name of the default policy.
pub const DEFAULT: &str = least_finish::NAME;

/// Chooses a backend server.
pub trait Policy: fmt::Debug + Send {
    /// Chooses a server on arrival, or returns `None` to leave the request in the shared queue.
    ///
    /// `candidates` contains all servers that take requests, ordered by index, and is not empty.
    fn bind(&mut self, key: key::Hash, candidates: &[Candidate]) -> Option<u16>;

    /// Chooses a server for a request of the shared queue.
    ///
    /// `candidates` contains the servers with a free slot for the request and is not empty.
    fn choose(&mut self, key: key::Hash, candidates: &[Candidate]) -> u16;
}

/// Backend server to choose from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Index of the backend server.
    pub backend: u16,
    /// Estimated speed; 1 is the average of the shard.
    pub speed: f64,
    /// Number of slots of a server under the active preset.
    pub limit: usize,
    /// Number of running requests.
    pub running: usize,
    /// Number of requests waiting for this server.
    pub queued: usize,
}

/// Registration of a policy, submitted with `inventory::submit!`.
#[derive(Debug)]
pub struct Plugin {
    /// Name by which the policy is selected.
    pub name: &'static str,
    /// Creates the policy; `seed` initializes random choices.
    pub create: fn(seed: u64) -> Box<dyn Policy>,
}

inventory::collect!(Plugin);

/// Creates the policy registered under `name`, or returns `None` if there is none.
///
/// ```
/// use tarragon_policy::choice;
///
/// assert!(choice::create("round-robin", 1).is_some());
/// assert!(choice::create("unheard-of", 1).is_none());
/// ```
#[must_use]
pub fn create(name: &str, seed: u64) -> Option<Box<dyn Policy>> {
    inventory::iter::<Plugin>()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.create)(seed))
}

/// Returns the names of the registered policies.
pub fn names() -> impl Iterator<Item = &'static str> {
    inventory::iter::<Plugin>().map(|plugin| plugin.name)
}
