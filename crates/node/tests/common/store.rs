//! Fake of the platform's object API.

use std::collections::BTreeMap;

use rand::RngExt;
use tarragon_model::config::Config;
use tarragon_model::host::Peer;
use tarragon_model::record::Record;
use tarragon_model::shard;
use tarragon_node::input::{Input, ReadRecord, WriteOutcome};

use super::World;
use super::event::{Process, What};
use super::setup;

pub struct Store {
    pub revision: u64,
    pub config: (u64, Config),
    pub records: BTreeMap<shard::Id, (u64, Record)>,
    pub lost: Vec<Peer>,
    pub away: bool,
    pub lost_answers: u32,
}

impl Store {
    pub fn new() -> Self {
        Self {
            revision: 1,
            config: (1, setup::config()),
            records: BTreeMap::new(),
            lost: Vec::new(),
            away: false,
            lost_answers: 0,
        }
    }

    pub fn listed(&self) -> Vec<ReadRecord> {
        let records = self.records.iter();
        let read = records.map(|(shard, (version, record))| ReadRecord {
            shard: shard.clone(),
            version: *version,
            record: record.clone(),
        });
        read.collect()
    }

    fn update(&mut self, shard: &shard::Id, if_version: u64, record: &Record) -> WriteOutcome {
        let known = self.records.get(shard);
        if known.map_or(0, |known| known.0) != if_version {
            return WriteOutcome::Lost {
                version: known.map_or(0, |known| known.0),
                record: known.map(|known| Box::new(known.1.clone())),
            };
        }
        self.revision += 1;
        self.records
            .insert(shard.clone(), (self.revision, record.clone()));
        WriteOutcome::Won {
            version: self.revision,
        }
    }
}

impl World {
    pub fn change_config<F: FnOnce(&mut Config)>(&mut self, change: F) {
        change(&mut self.store.config.1);
        self.store.revision += 1;
        self.store.config.0 = self.store.revision;
        self.tell_config();
    }

    fn tell_config(&mut self) {
        let (version, config) = self.store.config.clone();
        self.tell_all(&|| Input::Config {
            version,
            config: Box::new(config.clone()),
        });
    }

    /// Tells every process something that its watch of the store brings.
    pub fn tell_all(&mut self, input: &dyn Fn() -> Input) {
        if self.store.away {
            return;
        }
        for host in 0..self.hosts.len() {
            let process = self.hosts[host].process;
            let delay = self.rng.random_range(2_000..200_000);
            self.later(delay, What::input(process, input()));
        }
    }

    /// Tells a process everything that the store holds.
    pub fn tell_everything(&mut self, process: Process) {
        if self.store.away {
            self.later(300_000, What::input(process, Input::StoreUnavailable(true)));
            return;
        }
        let entries = (0..self.hosts.len()).map(setup::entry).collect();
        let (version, config) = self.store.config.clone();
        let config = Box::new(config);
        let mut inputs = vec![
            Input::Hosts(entries),
            Input::Config { version, config },
            Input::Records(self.store.listed()),
            Input::StoreUnavailable(false),
        ];
        let lost = self.store.lost.iter().cloned();
        inputs.extend(lost.map(Input::HostLost));
        for input in inputs {
            let delay = self.rng.random_range(1_000..100_000);
            self.later(delay, What::input(process, input));
        }
    }

    pub fn set_store(&mut self, away: bool) {
        if self.store.away == away {
            return;
        }
        self.store.away = away;
        for host in 0..self.hosts.len() {
            let process = self.hosts[host].process;
            if away {
                let delay = self.rng.random_range(10_000..600_000);
                self.later(delay, What::input(process, Input::StoreUnavailable(true)));
            } else {
                self.later(
                    700_000,
                    What::input(process, Input::StoreUnavailable(false)),
                );
                self.tell_everything(process);
            }
        }
    }

    pub fn write(
        &mut self,
        process: Process,
        shard: shard::Id,
        if_version: u64,
        record: Box<Record>,
    ) {
        if self.store.away {
            let result = WriteOutcome::Failed;
            self.later(
                300_000,
                What::input(process, Input::WriteEnded { shard, result }),
            );
            return;
        }
        let lost = self.rng.random_range(0..100) < self.store.lost_answers;
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
            self.tell_record(&shard, version, &record);
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
            What::input(process, Input::WriteEnded { shard, result }),
        );
        if lost {
            let delay = self.rng.random_range(200_000..1_500_000);
            let shard = again;
            self.later(
                delay,
                What::Settle {
                    process,
                    shard,
                    if_version,
                    record,
                },
            );
        }
    }

    /// Settles an update whose answer was lost by a read that compares tokens.
    pub fn settle(
        &mut self,
        process: Process,
        shard: shard::Id,
        if_version: u64,
        record: Box<Record>,
    ) {
        if self.store.away {
            self.later(
                250_000,
                What::Settle {
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
            Some((version, known)) if known.token == record.token => WriteOutcome::Won { version },
            _ => self.store.update(&shard, if_version, &record),
        };
        if let WriteOutcome::Won { version } = result {
            self.tell_record(&shard, version, &record);
        }
        let delay = self.rng.random_range(2_000..30_000);
        self.later(
            delay,
            What::input(process, Input::WriteEnded { shard, result }),
        );
    }

    fn tell_record(&mut self, shard: &shard::Id, version: u64, record: &Record) {
        self.tell_all(&|| {
            Input::Records(vec![ReadRecord {
                shard: shard.clone(),
                version,
                record: record.clone(),
            }])
        });
    }
}
