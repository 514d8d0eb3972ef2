//! Exchange of heartbeats, configurations and records between router processes.

use std::sync::Arc;
use std::time::Duration;

use tarragon_model::config::Config;
use tarragon_model::host::Peer;
use tarragon_model::shard;
use tarragon_timeline::event::{Draft, Kind, Name};

use super::Node;
use crate::input::{Now, ReadRecord};
use crate::local_shard::{LeaseOutputs, LocalShard};
use crate::message::{Envelope, Heartbeat, Leadership, Message, VersionedConfig, VersionedRecord};
use crate::output::Output;

/// Time between two heartbeats.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

impl Node {
    /// Sends a heartbeat to every known process.
    pub(super) fn heartbeat(&self, now: Now, out: &mut Vec<Output>) {
        let message = Message::Heartbeat(Heartbeat {
            entry: self.settings.entry.clone(),
            config_version: self.config_version,
            leads: self.led_shards(now),
            draining: self.draining.is_some(),
        });
        let receivers = self.members.all().map(|known| known.entry.peer_addr);
        out.extend(receivers.map(|to| Output::Send {
            to,
            message: message.clone(),
        }));
    }

    /// Returns the shards that this process leads with a valid lease.
    fn led_shards(&self, now: Now) -> Vec<Leadership> {
        let acting = self
            .shards
            .values()
            .filter(|local_shard| local_shard.is_acting(now.at));
        acting
            .filter_map(|local_shard| {
                let fence = local_shard.member.as_ref()?.fence();
                let leader = self.settings.me.clone();
                Some(Leadership {
                    shard: local_shard.id.clone(),
                    fence,
                    leader,
                })
            })
            .collect()
    }

    /// Handles a message from another process.
    pub(super) fn handle_message(
        &mut self,
        now: Now,
        from: &Peer,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, &heartbeat, out),
            Message::Lease(lease) => self.lease_message(now, from, lease, out),
            Message::Record(stored) => {
                self.apply_record(now, &stored.shard, stored.version, &stored.record, out);
            }
            Message::Config(versioned) => {
                self.configure(now, versioned.version, versioned.config, out);
            }
            Message::ConfigWanted => self.send_config(from, out),
        }
    }

    /// Records a heartbeat, the leaders it names, and the end of earlier incarnations.
    fn handle_heartbeat(
        &mut self,
        now: Now,
        from: &Peer,
        heartbeat: &Heartbeat,
        out: &mut Vec<Output>,
    ) {
        if let Some(ended) = self.members.record_heartbeat(now.at, from, heartbeat) {
            let draft = Draft::new(Kind::HostGone).with(Name::Peer, &ended);
            out.push(Output::Event(
                draft.with(Name::Reason, "a later run of the host spoke"),
            ));
            self.mark_peer_gone(now, &ended, out);
            self.mark_view_changed();
        }
        for leadership in &heartbeat.leads {
            if self.directory.update(leadership) {
                self.mark_view_changed();
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

    /// Sends the latest known configuration to a process.
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

    /// Passes a message to the lease protocol, or responds with the record if its epoch is over.
    fn lease_message(&mut self, now: Now, from: &Peer, lease: Envelope, out: &mut Vec<Output>) {
        let Some(local_shard) = self.shards.get_mut(&lease.shard) else {
            return;
        };
        let epoch = lease.message.fence().epoch;
        if epoch < local_shard.epoch() {
            if let Some(record) = &local_shard.record {
                let (shard, version) = (local_shard.id.clone(), local_shard.version);
                let stored = VersionedRecord {
                    shard,
                    version,
                    record: record.clone(),
                };
                self.send(from, Message::Record(stored), out);
            }
            return;
        }
        let mut lease_outputs = LeaseOutputs::new();
        if let Some(member) = &mut local_shard.member {
            member.handle(now.at, from, lease.message, &mut lease_outputs);
        }
        self.execute(now, &lease.shard, lease_outputs, out);
    }

    /// Applies a configuration, unless it is older than the known one.
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
        self.mark_view_changed();
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
            let local_shard = self
                .shards
                .entry(id.clone())
                .or_insert_with(|| LocalShard::new(id));
            let first = service.groups_of(index).next().map_or(0, |group| group.0);
            let count = u32::try_from(service.groups_of(index).count()).unwrap_or(u32::MAX);
            local_shard.groups = (first, count);
        }
        let ids: Vec<shard::Id> = self.shards.keys().cloned().collect();
        for id in ids {
            self.with_engine(now, &id, out, |engine, _, log| {
                engine.configure(now, version, &config, log);
            });
        }
        self.heartbeat(now, out);
    }

    /// Applies the records of all shards as read from the store.
    pub(super) fn apply_records(
        &mut self,
        now: Now,
        records: Vec<ReadRecord>,
        out: &mut Vec<Output>,
    ) {
        self.records_read = true;
        for read in records {
            self.apply_record(now, &read.shard, read.version, &read.record, out);
        }
    }

    /// Applies the record of a shard.
    pub(super) fn apply_record(
        &mut self,
        now: Now,
        shard: &shard::Id,
        version: u64,
        record: &tarragon_model::record::Record,
        out: &mut Vec<Output>,
    ) {
        let me = self.settings.me.clone();
        let local_shard = self
            .shards
            .entry(shard.clone())
            .or_insert_with(|| LocalShard::new(shard.clone()));
        let mut lease_outputs = LeaseOutputs::new();
        let entered = local_shard.apply_record(now, &me, version, record, &mut lease_outputs);
        self.execute(now, shard, lease_outputs, out);
        if entered {
            self.handle_new_epoch(now, shard, out);
        }
    }

    /// Updates this process's role in a shard after the start of a new epoch.
    pub(super) fn handle_new_epoch(&mut self, now: Now, shard: &shard::Id, out: &mut Vec<Output>) {
        let me = self.settings.me.clone();
        let Some(local_shard) = self.shards.get_mut(shard) else {
            return;
        };
        local_shard.drop_member_if_removed(&me);
        let peers = match &local_shard.record {
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
            self.mark_peer_gone_in(now, shard, &peer, out);
        }
    }
}
