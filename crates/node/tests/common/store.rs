//! Simulation of the platform's object store.

use std::collections::BTreeMap;

use rand::RngExt;
use tarragon_model::config::Config;
use tarragon_model::host::Peer;
use tarragon_model::record::Record;
use tarragon_model::shard;
use tarragon_node::input::{Input, ReadRecord, WriteOutcome};

use super::Simulation;
use super::event::{Action, Process};
use super::setup;

/// Contents and faults of the store.
pub struct Store {
    /// Latest version of any object.
    pub revision: u64,
    /// Configuration and its version.
    pub config: (u64, Config),
    /// Records of the shards and their versions.
    pub records: BTreeMap<shard::Id, (u64, Record)>,
    /// Processes that operators declared lost.
    pub lost: Vec<Peer>,
    /// Whether no call succeeds.
    pub unavailable: bool,
    /// Share of updates whose response is lost, in percent.
    pub lost_responses: u32,
}

impl Store {
    pub fn new() -> Self {
        Self {
            revision: 1,
            config: (1, setup::config()),
            records: BTreeMap::new(),
            lost: Vec::new(),
            unavailable: false,
            lost_responses: 0,
        }
    }

    /// Returns all records as a process reads them.
    pub fn read_records(&self) -> Vec<ReadRecord> {
        let records = self.records.iter();
        let read = records.map(|(shard, (version, record))| ReadRecord {
            shard: shard.clone(),
            version: *version,
            record: record.clone(),
        });
        read.collect()
    }

    /// Writes a record if its version is the expected one.
    fn update(&mut self, shard: &shard::Id, if_version: u64, record: &Record) -> WriteOutcome {
        let known = self.records.get(shard);
        if known.map_or(0, |known| known.0) != if_version {
            return WriteOutcome::Conflict {
                version: known.map_or(0, |known| known.0),
                record: known.map(|known| Box::new(known.1.clone())),
            };
        }
        self.revision += 1;
        self.records
            .insert(shard.clone(), (self.revision, record.clone()));
        WriteOutcome::Applied {
            version: self.revision,
        }
    }
}

impl Simulation {
    /// Changes the configuration and delivers it to every process.
    pub fn change_config<F: FnOnce(&mut Config)>(&mut self, change: F) {
        change(&mut self.store.config.1);
        self.store.revision += 1;
        self.store.config.0 = self.store.revision;
        self.broadcast_config();
    }

    fn broadcast_config(&mut self) {
        let (version, config) = self.store.config.clone();
        self.broadcast(&|| Input::Config {
            version,
            config: Box::new(config.clone()),
        });
    }

    /// Delivers an input to every process, as their watches of the store would.
    pub fn broadcast(&mut self, input: &dyn Fn() -> Input) {
        if self.store.unavailable {
            return;
        }
        for host in 0..self.hosts.len() {
            let process = self.hosts[host].process;
            let delay = self.rng.random_range(2_000..200_000);
            self.later(delay, Action::input(process, input()));
        }
    }

    /// Delivers the whole content of the store to a process.
    pub fn send_store_contents(&mut self, process: Process) {
        if self.store.unavailable {
            self.later(
                300_000,
                Action::input(process, Input::StoreUnavailable(true)),
            );
            return;
        }
        let entries = (0..self.hosts.len()).map(setup::entry).collect();
        let (version, config) = self.store.config.clone();
        let config = Box::new(config);
        let mut inputs = vec![
            Input::Hosts(entries),
            Input::Config { version, config },
            Input::Records(self.store.read_records()),
            Input::StoreUnavailable(false),
        ];
        let lost = self.store.lost.iter().cloned();
        inputs.extend(lost.map(Input::HostLost));
        for input in inputs {
            let delay = self.rng.random_range(1_000..100_000);
            self.later(delay, Action::input(process, input));
        }
    }

    /// Makes the store unavailable or available; processes notice it later.
    pub fn set_store_unavailable(&mut self, unavailable: bool) {
        if self.store.unavailable == unavailable {
            return;
        }
        self.store.unavailable = unavailable;
        for host in 0..self.hosts.len() {
            let process = self.hosts[host].process;
            if unavailable {
                let delay = self.rng.random_range(10_000..600_000);
                self.later(delay, Action::input(process, Input::StoreUnavailable(true)));
            } else {
                self.later(
                    700_000,
                    Action::input(process, Input::StoreUnavailable(false)),
                );
                self.send_store_contents(process);
            }
        }
    }

    /// Handles an update of a record. A lost response may or may not mean that it was applied.
    pub fn write(
        &mut self,
        process: Process,
        shard: shard::Id,
        if_version: u64,
        record: Box<Record>,
    ) {
        if self.store.unavailable {
            let result = WriteOutcome::Failed;
            self.later(
                300_000,
                Action::input(process, Input::WriteEnded { shard, result }),
            );
            return;
        }
        let lost = self.rng.random_range(0..100) < self.store.lost_responses;
        let applied = !lost || self.rng.random_bool(0.6);
        let before = self.store.revision;
        let result = if applied {
            self.store.update(&shard, if_version, &record)
        } else {
            WriteOutcome::Unresolved
        };
        if self.store.revision > before {
            let store = &self.store.records[&shard];
            let (version, record) = (store.0, store.1.clone());
            self.broadcast_record(&shard, version, &record);
        }
        let result = if lost {
            WriteOutcome::Unresolved
        } else {
            result
        };
        let again = shard.clone();
        let delay = self.rng.random_range(2_000..30_000);
        self.later(
            delay,
            Action::input(process, Input::WriteEnded { shard, result }),
        );
        if lost {
            let delay = self.rng.random_range(200_000..1_500_000);
            let shard = again;
            self.later(
                delay,
                Action::ResolveWrite {
                    process,
                    shard,
                    if_version,
                    record,
                },
            );
        }
    }

    /// Resolves an update whose response was lost: if the record does not carry its token, the
    /// update is executed now.
    pub fn resolve_write(
        &mut self,
        process: Process,
        shard: shard::Id,
        if_version: u64,
        record: Box<Record>,
    ) {
        if self.store.unavailable {
            self.later(
                250_000,
                Action::ResolveWrite {
                    process,
                    shard,
                    if_version,
                    record,
                },
            );
            return;
        }
        let known = self.store.records.get(&shard).cloned();
        let result = match known {
            Some((version, known)) if known.token == record.token => {
                WriteOutcome::Applied { version }
            }
            _ => self.store.update(&shard, if_version, &record),
        };
        if let WriteOutcome::Applied { version } = result {
            self.broadcast_record(&shard, version, &record);
        }
        let delay = self.rng.random_range(2_000..30_000);
        self.later(
            delay,
            Action::input(process, Input::WriteEnded { shard, result }),
        );
    }

    fn broadcast_record(&mut self, shard: &shard::Id, version: u64, record: &Record) {
        self.broadcast(&|| {
            Input::Records(vec![ReadRecord {
                shard: shard.clone(),
                version,
                record: record.clone(),
            }])
        });
    }
}
