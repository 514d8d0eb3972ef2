//! Journal of the injected faults and their times.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::Kind;
use crate::trace::{Drain, Poison, Span};

/// Shared journal of the faults of a run.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    inner: Arc<Mutex<Entries>>,
}

/// Entries of a [`Journal`].
#[derive(Clone, Debug, Default)]
pub struct Entries {
    /// Periods in which faults were active.
    pub spans: Vec<Span>,
    /// Graceful shutdowns of hosts.
    pub host_drains: Vec<Drain>,
    /// Drains of backend servers.
    pub backend_drains: Vec<Drain>,
    /// Poison requests that were sent.
    pub poisons: Vec<Poison>,
    /// Faults that could not be injected.
    pub failed: u64,
    /// Routers that exited on their own.
    pub crashes: u64,
    restart_blocks: BTreeMap<String, u32>,
}

/// Guard that keeps a process from being restarted while a fault keeps it down.
#[derive(Debug)]
pub struct RestartBlock {
    journal: Journal,
    name: String,
}

impl Drop for RestartBlock {
    fn drop(&mut self) {
        let mut entries = self.journal.entries();
        if let Some(count) = entries.restart_blocks.get_mut(&self.name) {
            *count -= 1;
        }
    }
}

impl Journal {
    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a copy of the entries.
    #[must_use]
    pub fn snapshot(&self) -> Entries {
        self.entries().clone()
    }

    /// Records the start of a fault and returns its index.
    ///
    /// The fault counts as active until [`Self::end`] is called.
    #[must_use]
    pub fn begin(&self, kind: Kind, from_us: u64) -> usize {
        let mut entries = self.entries();
        entries.spans.push(Span {
            kind,
            from_us,
            to_us: u64::MAX / 2,
        });
        entries.spans.len() - 1
    }

    /// Records the end of a fault.
    pub fn end(&self, index: usize, to_us: u64) {
        self.entries().spans[index].to_us = to_us;
    }

    /// Counts a fault that could not be injected.
    pub fn fault_failed(&self) {
        self.entries().failed += 1;
    }

    /// Counts a router that exited on its own.
    pub fn host_crashed(&self) {
        self.entries().crashes += 1;
    }

    /// Records the graceful shutdown of a host.
    pub fn host_drained(&self, drain: Drain) {
        self.entries().host_drains.push(drain);
    }

    /// Records the drain of a backend server.
    pub fn backend_drained(&self, drain: Drain) {
        self.entries().backend_drains.push(drain);
    }

    /// Records a poison request.
    pub fn poison_sent(&self, poison: Poison) {
        self.entries().poisons.push(poison);
    }

    /// Keeps a process from being restarted until the guard is dropped.
    #[must_use]
    pub fn block_restart(&self, name: &str) -> RestartBlock {
        *self
            .entries()
            .restart_blocks
            .entry(name.to_owned())
            .or_default() += 1;
        RestartBlock {
            journal: self.clone(),
            name: name.to_owned(),
        }
    }

    /// Returns whether a fault keeps the process down.
    #[must_use]
    pub fn is_restart_blocked(&self, name: &str) -> bool {
        self.entries()
            .restart_blocks
            .get(name)
            .is_some_and(|count| *count > 0)
    }
}
