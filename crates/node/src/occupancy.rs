//! Tracks which keys have work on which backend server.
//!
//! A key may run on a new owner only after all its work on the earlier owner has ended. Only the
//! shard's leader sends work, so it is enough to count what it sent and has not seen end. Work
//! whose connection broke remains counted as an orphan until it is known to have ended.

use std::collections::HashMap;

use smallvec::SmallVec;
use tarragon_model::key;
use tarragon_model::time::Instant;

/// Work of one key on one backend server.
#[derive(Clone, Debug)]
struct Occupant {
    /// Backend server on which the work runs.
    backend: u16,
    /// Number of running requests.
    running: u32,
    /// Number of requests whose connection is lost and that may still run.
    orphans: u32,
    /// When the last of the orphans has ended, if the backend server responds.
    orphans_end: Instant,
}

/// All keys with work that may still run.
#[derive(Debug, Default)]
pub struct Occupancy {
    /// Work by key; entries without work are removed.
    keys: HashMap<key::Hash, SmallVec<[Occupant; 1]>>,
}

impl Occupancy {
    /// Counts a request of the key as running.
    pub fn enter(&mut self, key: key::Hash, backend: u16) {
        self.occupant(key, backend).running += 1;
    }

    /// Counts a running request of the key as ended.
    pub fn leave(&mut self, key: key::Hash, backend: u16) {
        let occupant = self.occupant(key, backend);
        occupant.running = occupant.running.saturating_sub(1);
        self.prune(key);
    }

    /// Turns a running request of the key into an orphan: its connection is lost, but its work may
    /// run until `end` on a backend server that responds, and for longer on one that does not.
    pub fn orphan(&mut self, key: key::Hash, backend: u16, end: Instant) {
        let occupant = self.occupant(key, backend);
        occupant.running = occupant.running.saturating_sub(1);
        occupant.orphans += 1;
        occupant.orphans_end = occupant.orphans_end.max(end);
    }

    /// Removes all orphans on a backend server whose work is known to have ended.
    pub fn clear_orphans(&mut self, backend: u16) {
        self.clear_orphans_before(backend, None);
    }

    /// Removes the orphans on a responding backend server that have ended by `now`.
    pub fn clear_ended_orphans(&mut self, backend: u16, now: Instant) {
        self.clear_orphans_before(backend, Some(now));
    }

    /// Returns whether work of the key may run on any backend server except `owner`.
    #[must_use]
    pub fn is_elsewhere(&self, key: key::Hash, owner: u16) -> bool {
        let occupants = self.keys.get(&key);
        occupants.is_some_and(|list| list.iter().any(|one| one.backend != owner))
    }

    /// Returns whether work of the key may run on a backend server.
    #[must_use]
    pub fn is_on(&self, key: key::Hash, backend: u16) -> bool {
        let occupants = self.keys.get(&key);
        occupants.is_some_and(|list| list.iter().any(|one| one.backend == backend))
    }

    /// Counts the keys with orphans on a backend server.
    #[must_use]
    pub fn orphaned_keys(&self, backend: u16) -> usize {
        let has = |one: &Occupant| one.backend == backend && one.orphans > 0;
        self.keys
            .values()
            .filter(|list| list.iter().any(has))
            .count()
    }

    /// Returns the work of a key on a backend server, adding it if there is none.
    fn occupant(&mut self, key: key::Hash, backend: u16) -> &mut Occupant {
        let list = self.keys.entry(key).or_default();
        let position = list.iter().position(|one| one.backend == backend);
        let position = position.unwrap_or_else(|| {
            list.push(Occupant {
                backend,
                running: 0,
                orphans: 0,
                orphans_end: Instant::ZERO,
            });
            list.len() - 1
        });
        &mut list[position]
    }

    /// Removes the orphans on a backend server that have ended by `before`, or all if it is `None`.
    fn clear_orphans_before(&mut self, backend: u16, before: Option<Instant>) {
        self.keys.retain(|_, list| {
            for one in list.iter_mut().filter(|one| one.backend == backend) {
                if before.is_none_or(|limit| one.orphans_end <= limit) {
                    one.orphans = 0;
                }
            }
            list.retain(|one| one.running + one.orphans > 0);
            !list.is_empty()
        });
    }

    /// Removes a key's entries without work.
    fn prune(&mut self, key: key::Hash) {
        let Some(list) = self.keys.get_mut(&key) else {
            return;
        };
        list.retain(|one| one.running + one.orphans > 0);
        if list.is_empty() {
            self.keys.remove(&key);
        }
    }
}
