//! State of a shard that its leader replicates to the standbys.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tarragon_lease::state::State as Replicated;
use tarragon_ledger::ledger::{self, Ledger};
use tarragon_ledger::quarantine::{self, Quarantine};
use tarragon_model::record::{Override, Owner, Record};
use tarragon_model::{backend, key};

/// Owner position of a key group without an owner.
pub const NO_OWNER: u16 = u16::MAX;

/// Everything about a shard that a successor of its leader must know.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// Version of the configuration that is applied to the shard.
    pub config_version: u64,
    /// Backend servers that `owners` and `overrides` refer to by position; none is ever removed.
    pub backends: Vec<backend::Id>,
    /// Owner of each key group of the shard, as a position in `backends`.
    pub owners: Vec<u16>,
    /// Owners of keys that do not follow their group, as positions in `backends`.
    pub overrides: BTreeMap<key::Hash, u16>,
    /// Number of ownership changes so far.
    pub changes: u64,
    /// Ledger of requests that are not idempotent.
    pub ledger: Ledger,
    /// Quarantine of requests that crash backend servers.
    pub quarantine: Quarantine,
}

/// One replicated change of a [`State`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Entry {
    /// Applies a version of the configuration.
    Config(u64),
    /// Adds a backend server that owners may refer to from now on.
    Backend(backend::Id),
    /// Sets the owners of all key groups.
    Owners(Vec<u16>),
    /// Sets the owner of one key group.
    Owner {
        /// Position of the group within the shard.
        position: u32,
        /// Position of the owner in [`State::backends`].
        backend: u16,
    },
    /// Sets the owner of one key.
    Override {
        /// Hash of the key.
        key: key::Hash,
        /// Position of the owner in [`State::backends`]; `None` if the key follows its group.
        backend: Option<u16>,
    },
    /// Changes the ledger.
    Ledger(ledger::Entry),
    /// Changes the quarantine.
    Quarantine(quarantine::Entry),
}

impl Replicated for State {
    type Entry = Entry;

    fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Config(version) => self.config_version = self.config_version.max(*version),
            Entry::Backend(id) => self.backends.push(id.clone()),
            Entry::Owners(owners) => {
                self.owners.clone_from(owners);
                self.changes += 1;
            }
            Entry::Owner { position, backend } => self.set_owner(*position, *backend),
            Entry::Override { key, backend } => self.set_override(*key, *backend),
            Entry::Ledger(entry) => self.ledger.apply(entry),
            Entry::Quarantine(entry) => self.quarantine.apply(entry),
        }
    }
}

impl State {
    /// Rebuilds the state from the store's record, which has no ledger and no quarantine.
    #[must_use]
    pub fn from_record(record: &Record, first_group: u32, groups: u32) -> Self {
        let mut state = Self {
            owners: vec![NO_OWNER; groups as usize],
            ..Self::default()
        };
        for run in &record.owners {
            let backend = state.position_of(&run.backend);
            for group in run.from.0..=run.to.0 {
                state.set_owner(group.wrapping_sub(first_group), backend);
            }
        }
        for item in &record.overrides {
            let backend = state.position_of(&item.backend);
            state.overrides.insert(item.key, backend);
        }
        if record.owners.is_empty() {
            state.owners.clear();
        }
        state.changes = record.index;
        state
    }

    /// Returns the owners in the form of the store's record, as runs of groups.
    #[must_use]
    pub fn owners_for_record(&self, first_group: u32) -> Vec<Owner> {
        let mut runs: Vec<Owner> = Vec::new();
        for (group, owner) in (first_group..).zip(&self.owners) {
            let Some(backend) = self.backends.get(usize::from(*owner)) else {
                continue;
            };
            match runs.last_mut() {
                Some(run) if run.backend == *backend && run.to.0 + 1 == group => {
                    run.to = key::Group(group);
                }
                _ => runs.push(Owner {
                    from: key::Group(group),
                    to: key::Group(group),
                    backend: backend.clone(),
                }),
            }
        }
        runs
    }

    /// Returns the overrides in the form of the store's record.
    #[must_use]
    pub fn overrides_for_record(&self) -> Vec<Override> {
        self.overrides
            .iter()
            .filter_map(|(key, owner)| {
                let backend = self.backends.get(usize::from(*owner))?.clone();
                Some(Override { key: *key, backend })
            })
            .collect()
    }

    /// Returns the position of a backend server, adding it if it is new.
    fn position_of(&mut self, id: &backend::Id) -> u16 {
        let known = self.backends.iter().position(|known| known == id);
        let position = known.unwrap_or_else(|| {
            self.backends.push(id.clone());
            self.backends.len() - 1
        });
        u16::try_from(position).unwrap_or(NO_OWNER)
    }

    /// Sets the owner of a group.
    fn set_owner(&mut self, position: u32, backend: u16) {
        if let Some(owner) = self.owners.get_mut(position as usize) {
            *owner = backend;
            self.changes += 1;
        }
    }

    /// Sets or removes the owner of a key.
    fn set_override(&mut self, key: key::Hash, backend: Option<u16>) {
        match backend {
            Some(backend) => self.overrides.insert(key, backend),
            None => self.overrides.remove(&key),
        };
        self.changes += 1;
    }
}
