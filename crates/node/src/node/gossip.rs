//! What router processes tell one another regularly.

use std::sync::Arc;
use std::time::Duration;

use tarragon_model::config::Config;
use tarragon_model::host::Peer;
use tarragon_model::shard;
use tarragon_timeline::event::{Draft, Kind, Name};

use super::Node;
use crate::input::{Now, ReadRecord};
use crate::message::{Envelope, Heartbeat, Leadership, Message, VersionedConfig, VersionedRecord};
use crate::output::Output;
use crate::slot::{Asks, Slot};

/// Time between two signs of life.
pub(super) const HEARTBEAT_EVERY: Duration = Duration::from_millis(250);

impl Node {
    /// Tells every known process that this one lives and what it leads.
    pub(super) fn heartbeat(&self, now: Now, out: &mut Vec<Output>) {
        let message = Message::Heartbeat(Heartbeat {
            entry: self.settings.entry.clone(),
            config_version: self.config_version,
            leads: self.leads(now),
            draining: self.draining.is_some(),
        });
        let receivers = self.members.all().map(|known| known.entry.peer_addr);
        out.extend(receivers.map(|to| Output::Send {
            to,
            message: message.clone(),
        }));
    }

    fn leads(&self, now: Now) -> Vec<Leadership> {
        let acting = self.slots.values().filter(|slot| slot.is_acting(now.at));
        acting
            .filter_map(|slot| {
                let fence = slot.member.as_ref()?.fence();
                let leader = self.settings.me.clone();
                Some(Leadership {
                    shard: slot.id.clone(),
                    fence,
                    leader,
                })
            })
            .collect()
    }

    pub(super) fn message(
        &mut self,
        now: Now,
        from: &Peer,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Heartbeat(heartbeat) => self.heard(now, from, &heartbeat, out),
            Message::Lease(lease) => self.lease_message(now, from, lease, out),
            Message::Record(stored) => {
                self.learn(now, &stored.shard, stored.version, &stored.record, out);
            }
            Message::Config(versioned) => {
                self.configure(now, versioned.version, versioned.config, out);
            }
            Message::ConfigWanted => self.send_config(from, out),
        }
    }

    fn heard(&mut self, now: Now, from: &Peer, heartbeat: &Heartbeat, out: &mut Vec<Output>) {
        if let Some(ended) = self.members.heard(now.at, from, heartbeat) {
            let draft = Draft::new(Kind::HostGone).with(Name::Peer, &ended);
            out.push(Output::Event(
                draft.with(Name::Reason, "a later run of the host spoke"),
            ));
            self.peer_gone(now, &ended, out);
            self.view_changed();
        }
        for lead in &heartbeat.leads {
            if self.directory.learn(lead) {
                self.view_changed();
            }
        }
        if heartbeat.config_version > self.config_version {
            let to = heartbeat.entry.peer_addr;
            out.push(Output::Send {
                to,
                message: Message::ConfigWanted,
            });
        }
    }

    fn send_config(&self, to: &Peer, out: &mut Vec<Output>) {
        if self.config_version == 0 {
            return;
        }
        let versioned = VersionedConfig {
            version: self.config_version,
            config: self.config.as_ref().clone(),
        };
        self.send(to, Message::Config(versioned), out);
    }

    /// Sends a message to a process whose address is known.
    pub(super) fn send(&self, to: &Peer, message: Message, out: &mut Vec<Output>) {
        let known = self.members.get(&to.host);
        if let Some(known) = known {
            out.push(Output::Send {
                to: known.entry.peer_addr,
                message,
            });
        }
    }

    fn lease_message(&mut self, now: Now, from: &Peer, lease: Envelope, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get_mut(&lease.shard) else {
            return;
        };
        let epoch = lease.message.fence().epoch;
        if epoch < slot.epoch() {
            if let Some(record) = &slot.record {
                let (shard, version) = (slot.id.clone(), slot.version);
                let stored = VersionedRecord {
                    shard,
                    version,
                    record: record.clone(),
                };
                self.send(from, Message::Record(stored), out);
            }
            return;
        }
        let mut asks = Asks::new();
        if let Some(member) = &mut slot.member {
            member.handle(now.at, from, lease.message, &mut asks);
        }
        self.carry_out(now, &lease.shard, asks, out);
    }

    /// Takes in a configuration, unless it is older than the one known.
    pub(super) fn configure(
        &mut self,
        now: Now,
        version: u64,
        config: Config,
        out: &mut Vec<Output>,
    ) {
        if version <= self.config_version {
            return;
        }
        self.config = Arc::new(config);
        self.config_version = version;
        self.view_changed();
        out.push(Output::Event(
            Draft::new(Kind::ConfigSeen).with(Name::Version, version),
        ));
        let config = self.config.clone();
        let shards = config
            .services
            .iter()
            .flat_map(|service| service.shard_ids().map(move |id| (id, service)));
        for (id, service) in shards {
            let index = id.index;
            let slot = self
                .slots
                .entry(id.clone())
                .or_insert_with(|| Slot::new(id));
            let first = service.groups_of(index).next().map_or(0, |group| group.0);
            let count = u32::try_from(service.groups_of(index).count()).unwrap_or(u32::MAX);
            slot.groups = (first, count);
        }
        let ids: Vec<shard::Id> = self.slots.keys().cloned().collect();
        for id in ids {
            self.with_engine(now, &id, out, |engine, _, log| {
                engine.configure(now, version, &config, log);
            });
        }
        self.heartbeat(now, out);
    }

    /// Takes in the records of all shards.
    pub(super) fn records(&mut self, now: Now, records: Vec<ReadRecord>, out: &mut Vec<Output>) {
        self.records_read = true;
        for read in records {
            self.learn(now, &read.shard, read.version, &read.record, out);
        }
    }

    /// Takes in the record of a shard.
    pub(super) fn learn(
        &mut self,
        now: Now,
        shard: &shard::Id,
        version: u64,
        record: &tarragon_model::record::Record,
        out: &mut Vec<Output>,
    ) {
        let me = self.settings.me.clone();
        let slot = self
            .slots
            .entry(shard.clone())
            .or_insert_with(|| Slot::new(shard.clone()));
        let mut asks = Asks::new();
        let entered = slot.learn(now, &me, version, record, &mut asks);
        self.carry_out(now, shard, asks, out);
        if entered {
            self.entered(now, shard, out);
        }
    }

    /// Follows up on a new epoch of a shard.
    pub(super) fn entered(&mut self, now: Now, shard: &shard::Id, out: &mut Vec<Output>) {
        let me = self.settings.me.clone();
        let Some(slot) = self.slots.get_mut(shard) else {
            return;
        };
        slot.leave_if_outside(&me);
        let peers = match &slot.record {
            Some(record) => [
                &record.replica_set.leader,
                &record.replica_set.first,
                &record.replica_set.second,
            ],
            None => return,
        };
        let gone: Vec<Peer> = peers
            .into_iter()
            .filter(|peer| self.members.is_gone(peer))
            .cloned()
            .collect();
        for peer in gone {
            self.peer_gone_from(now, shard, &peer, out);
        }
    }
}
