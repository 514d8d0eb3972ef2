//! What was injected, and when.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::Kind;
use crate::trace::{Leave, Poison, Span};

/// Record of the faults of a run.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    inner: Arc<Mutex<Entries>>,
}

/// Entries of a [`Journal`].
#[derive(Clone, Debug, Default)]
pub struct Entries {
    /// Times of the faults.
    pub spans: Vec<Span>,
    /// Graceful ends of hosts.
    pub hosts: Vec<Leave>,
    /// Drains of backend servers.
    pub servers: Vec<Leave>,
    /// Poison requests.
    pub poisons: Vec<Poison>,
    /// Faults that could not be injected.
    pub failed: u64,
    /// Routers that ended on their own.
    pub crashes: u64,
    held: BTreeMap<String, u32>,
}

/// Keeps the run from restarting a process while a fault wants it gone.
#[derive(Debug)]
pub struct Hold {
    journal: Journal,
    name: String,
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut entries = self.journal.entries();
        if let Some(count) = entries.held.get_mut(&self.name) {
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

    /// Takes note of the start of a fault; it counts as active until its end is stated.
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

    /// Takes note of the end of a fault.
    pub fn end(&self, index: usize, to_us: u64) {
        self.entries().spans[index].to_us = to_us;
    }

    /// Takes note of a fault that could not be injected.
    pub fn fail(&self) {
        self.entries().failed += 1;
    }

    /// Takes note of a router that ended on its own.
    pub fn crashed(&self) {
        self.entries().crashes += 1;
    }

    /// Takes note of the graceful end of a host.
    pub fn drained_host(&self, leave: Leave) {
        self.entries().hosts.push(leave);
    }

    /// Takes note of the drain of a backend server.
    pub fn drained_server(&self, leave: Leave) {
        self.entries().servers.push(leave);
    }

    /// Takes note of a poison request.
    pub fn poisoned(&self, poison: Poison) {
        self.entries().poisons.push(poison);
    }

    /// Holds a process down until the guard is dropped.
    #[must_use]
    pub fn hold(&self, name: &str) -> Hold {
        *self.entries().held.entry(name.to_owned()).or_default() += 1;
        Hold {
            journal: self.clone(),
            name: name.to_owned(),
        }
    }

    /// Tells whether a fault wants the process gone.
    #[must_use]
    pub fn is_held(&self, name: &str) -> bool {
        self.entries()
            .held
            .get(name)
            .is_some_and(|count| *count > 0)
    }
}
