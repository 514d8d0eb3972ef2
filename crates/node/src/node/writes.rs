//! Updates of the shards' records in the store.

use std::time::Duration;

use tarragon_lease::proposal::WriteOutcome as ProposalOutcome;
use tarragon_model::fence::Fence;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::shard;
use tarragon_timeline::event::{Draft, Kind, Name};

use super::Node;
use crate::input::{Now, WriteOutcome};
use crate::local_shard::LeaseOutputs;
use crate::message::{Message, VersionedRecord};
use crate::output::Output;
use crate::persist::{Purpose, RecordBuilder, Update};
use crate::state::State;

/// Delay before a failed update is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time between two updates that only store changed owners.
const OWNERS_WRITE_INTERVAL: Duration = Duration::from_millis(200);

impl Node {
    /// Starts the update that the lease protocol requested, or queues it if one is in progress.
    pub(super) fn write_replica_set(
        &mut self,
        id: &shard::Id,
        epoch: u64,
        replica_set: ReplicaSet,
        out: &mut Vec<Output>,
    ) {
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        if local_shard.update.is_some() {
            local_shard.queued_change = Some(replica_set);
            return;
        }
        let fence = Fence::new(epoch, 0);
        let builder = self.record_builder(id);
        let record = match self.state_of(id) {
            Some(state) => builder.build(fence, &replica_set, state),
            None => builder.build(fence, &replica_set, &State::default()),
        };
        self.start_update(id, Purpose::ReplicaSet(replica_set), record, out);
    }

    /// Writes the record of a shard that has none, or whose whole replica set is gone.
    pub(super) fn write_new(
        &mut self,
        id: &shard::Id,
        replica_set: &ReplicaSet,
        out: &mut Vec<Output>,
    ) {
        let Some(local_shard) = self.shards.get(id) else {
            return;
        };
        let fence = Fence::new(local_shard.epoch() + 1, 0);
        let state = local_shard
            .record
            .as_ref()
            .map_or_else(State::default, |record| {
                State::from_record(record, local_shard.groups.0, local_shard.groups.1)
            });
        let record = self.record_builder(id).build(fence, replica_set, &state);
        self.start_update(id, Purpose::Create, record, out);
    }

    /// Stores the owners of a shard, if they changed.
    pub(super) fn write_owners(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        if local_shard.update.is_some()
            || now.at < local_shard.next_write
            || !local_shard.is_acting(now.at)
        {
            return;
        }
        let (Some(engine), Some(record)) = (&mut local_shard.engine, &local_shard.record) else {
            return;
        };
        if !engine.take_dirty() {
            return;
        }
        local_shard.next_write = now.at + OWNERS_WRITE_INTERVAL;
        let replica_set = record.replica_set.clone();
        let builder = self.record_builder(id);
        let member = self
            .shards
            .get(id)
            .and_then(|local_shard| local_shard.member.as_ref());
        if let Some(member) = member {
            let record = builder.build(member.fence(), &replica_set, member.state());
            self.start_update(id, Purpose::Owners, record, out);
        }
    }

    /// Returns a builder for a record with a unique token.
    fn record_builder(&mut self, id: &shard::Id) -> RecordBuilder {
        self.updates += 1;
        let local_shard = self.shards.get(id);
        RecordBuilder {
            token: format!("{}-{}", self.settings.me, self.updates),
            first_group: local_shard.map_or(0, |local_shard| local_shard.groups.0),
        }
    }

    /// Starts an update of a shard's record.
    fn start_update(
        &mut self,
        id: &shard::Id,
        purpose: Purpose,
        record: Record,
        out: &mut Vec<Output>,
    ) {
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        local_shard.update = Some(Update {
            purpose,
            record: record.clone(),
        });
        let (shard, if_version) = (id.clone(), local_shard.version);
        out.push(Output::Write {
            shard,
            if_version,
            record: Box::new(record),
        });
    }

    /// Handles the outcome of an update.
    pub(super) fn end_write(
        &mut self,
        now: Now,
        id: &shard::Id,
        result: WriteOutcome,
        out: &mut Vec<Output>,
    ) {
        match result {
            WriteOutcome::Applied { version } => self.update_applied(now, id, version, out),
            WriteOutcome::Conflict { version, record } => {
                self.update_conflicted(now, id, version, record.as_deref(), out);
            }
            WriteOutcome::Failed => self.update_failed(now, id),
            WriteOutcome::Unresolved => {
                let draft = Draft::new(Kind::ReplicaSetChangeLost).with(Name::Shard, id);
                out.push(Output::Event(draft.with(Name::Reason, "fate unknown")));
            }
        }
        self.start_queued_change(now, id, out);
    }

    /// Handles an update that took effect.
    fn update_applied(&mut self, now: Now, id: &shard::Id, version: u64, out: &mut Vec<Output>) {
        let me = self.settings.me.clone();
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        let Some(update) = local_shard.update.clone() else {
            return;
        };
        let mut lease_outputs = LeaseOutputs::new();
        local_shard.apply_update(now, &me, version, &mut lease_outputs);
        if update.purpose != Purpose::Owners {
            self.announce(id, version, &update.record, out);
        }
        self.execute(now, id, lease_outputs, out);
        self.handle_new_epoch(now, id, out);
    }

    /// Sends the record of a new replica set to all known processes.
    fn announce(&self, id: &shard::Id, version: u64, record: &Record, out: &mut Vec<Output>) {
        let draft = Draft::new(Kind::ReplicaSetChanged)
            .with(Name::Shard, id)
            .with(Name::Fence, record.fence)
            .with(Name::Detail, format_replica_set(&record.replica_set));
        out.push(Output::Event(draft));
        let stored = VersionedRecord {
            shard: id.clone(),
            version,
            record: record.clone(),
        };
        for known in self.members.all() {
            let to = known.entry.peer_addr;
            out.push(Output::Send {
                to,
                message: Message::Record(stored.clone()),
            });
        }
    }

    /// Handles an update that found another version of the record.
    fn update_conflicted(
        &mut self,
        now: Now,
        id: &shard::Id,
        version: u64,
        record: Option<&Record>,
        out: &mut Vec<Output>,
    ) {
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        let Some(update) = local_shard.update.take() else {
            return;
        };
        if update.purpose == Purpose::Owners
            && let Some(engine) = &mut local_shard.engine
        {
            engine.mark_dirty();
        }
        let Some(record) = record else {
            local_shard.next_write = now.at + RETRY_DELAY;
            local_shard.next_repair = now.at + RETRY_DELAY;
            if let Purpose::ReplicaSet(replica_set) = update.purpose {
                local_shard.queued_change = Some(replica_set);
            }
            return;
        };
        let same_epoch = record.epoch + 1 == update.record.epoch;
        if let (Purpose::ReplicaSet(replica_set), true) = (&update.purpose, same_epoch) {
            local_shard.version = version.max(local_shard.version);
            local_shard.queued_change = Some(replica_set.clone());
            return;
        }
        let mut lease_outputs = LeaseOutputs::new();
        if let (Purpose::ReplicaSet(_), Some(member)) = (&update.purpose, &mut local_shard.member) {
            member.handle_write_outcome(
                now.at,
                ProposalOutcome::NotApplied(record),
                &mut lease_outputs,
            );
        }
        self.execute(now, id, lease_outputs, out);
        self.apply_record(now, id, version, record, out);
    }

    /// Handles an update that did not take effect and may be retried.
    fn update_failed(&mut self, now: Now, id: &shard::Id) {
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        local_shard.next_write = now.at + RETRY_DELAY;
        match local_shard.update.take().map(|update| update.purpose) {
            Some(Purpose::Owners) => {
                if let Some(engine) = &mut local_shard.engine {
                    engine.mark_dirty();
                }
            }
            Some(Purpose::ReplicaSet(replica_set)) => local_shard.queued_change = Some(replica_set),
            Some(Purpose::Create) | None => {}
        }
    }

    /// Starts the queued change of the replica set, if the lease protocol still proposes one.
    pub(super) fn start_queued_change(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        if local_shard.update.is_some() || now.at < local_shard.next_write {
            return;
        }
        let Some(replica_set) = local_shard.queued_change.take() else {
            return;
        };
        if local_shard
            .member
            .as_ref()
            .is_some_and(tarragon_lease::Member::is_proposing)
        {
            let epoch = local_shard.epoch() + 1;
            self.write_replica_set(id, epoch, replica_set, out);
        }
    }
}

/// Formats the processes of a replica set for the timeline.
pub(super) fn format_replica_set(replica_set: &ReplicaSet) -> String {
    format!(
        "{} {} {}",
        replica_set.leader, replica_set.first, replica_set.second
    )
}
