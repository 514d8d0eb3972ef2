//! Choice among the backend servers of a service without owners, as policies by name.
//!
//! A policy may bind a request to a backend server on arrival, as balancers do that cannot see
//! the queues of others. The one sender of a shard can do better and leave the request in a queue
//! for all servers until a slot is free.

use std::fmt;

use tarragon_model::key;

mod hash;
mod least_finish;
mod random;
mod round_robin;

/// Name of the policy in use.
pub const DEFAULT: &str = least_finish::NAME;

/// Chooses a backend server.
pub trait Policy: fmt::Debug + Send {
    /// Chooses on arrival, or returns `None` to leave the request in the common queue.
    ///
    /// `candidates` holds each server that takes work, in order of index, and is not empty.
    fn bind(&mut self, key: key::Hash, candidates: &[Candidate]) -> Option<u16>;

    /// Chooses among servers with a free slot for a request of the common queue.
    ///
    /// `candidates` is not empty.
    fn choose(&mut self, key: key::Hash, candidates: &[Candidate]) -> u16;
}

/// Backend server that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Index of the backend server.
    pub backend: u16,
    /// Learned speed, 1 for the average.
    pub speed: f64,
    /// Slots that may be used now.
    pub limit: usize,
    /// Requests that run.
    pub running: usize,
    /// Requests bound to the server that wait.
    pub queued: usize,
}

/// Registration of a policy.
#[derive(Debug)]
pub struct Plugin {
    /// Name that settings use.
    pub name: &'static str,
    /// Creates the policy; the seed drives random choices.
    pub create: fn(seed: u64) -> Box<dyn Policy>,
}

inventory::collect!(Plugin);

/// Creates the policy of that name.
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
