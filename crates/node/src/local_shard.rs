//! State of one shard in this process.

use tarragon_lease::member::{Member, Role};
use tarragon_lease::output::Output as LeaseOutput;
use tarragon_lease::proposal::WriteOutcome;
use tarragon_lease::state::Replica;
use tarragon_model::host::Peer;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::shard;
use tarragon_model::time::Instant;

use crate::engine::Engine;
use crate::input::Now;
use crate::persist::{Purpose, Update};
use crate::state::State;

/// Outputs of the lease protocol.
pub type LeaseOutputs = Vec<LeaseOutput<State>>;

/// A shard, its record and the role of this process in it.
pub struct LocalShard {
    /// Identifier of the shard.
    pub id: shard::Id,
    /// First key group of the shard and number of its groups, from the configuration.
    pub groups: (u32, u32),
    /// Latest known version of the record in the store; zero for none.
    pub version: u64,
    /// Latest known record.
    pub record: Option<Record>,
    /// Member of the lease protocol, while this process is in the replica set.
    pub member: Option<Member<State>>,
    /// Request and ownership state, while this process leads.
    pub engine: Option<Engine>,
    /// Update of the record that has not ended.
    pub update: Option<Update>,
    /// Change of the replica set that waits for the update to end.
    pub queued_change: Option<ReplicaSet>,
    /// Earliest time of the next write of the record.
    pub next_write: Instant,
    /// Earliest time of the next change of the replica set.
    pub next_repair: Instant,
    /// Since when the whole replica set is known to be gone; `None` while it is not.
    pub orphaned_since: Option<Instant>,
    /// Process that the leadership is being handed over to.
    pub handover: Option<Peer>,
}

impl LocalShard {
    /// Starts with no knowledge of the shard's record.
    #[must_use]
    pub fn new(id: shard::Id) -> Self {
        Self {
            id,
            groups: (0, 0),
            version: 0,
            record: None,
            member: None,
            engine: None,
            update: None,
            queued_change: None,
            next_write: Instant::ZERO,
            next_repair: Instant::ZERO,
            orphaned_since: None,
            handover: None,
        }
    }

    /// Returns whether this process holds a valid lease to lead the shard.
    #[must_use]
    pub fn is_acting(&self, now: Instant) -> bool {
        self.member
            .as_ref()
            .is_some_and(|member| member.may_act(now))
    }

    /// Returns whether this process leads a term of the shard, with or without a valid lease.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.member
            .as_ref()
            .is_some_and(|member| member.role() == Role::Leader)
    }

    /// Returns the latest known epoch; zero for none.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.epoch)
    }

    /// Applies a record that is newer than the known one; returns whether it starts a later epoch.
    pub fn apply_record(
        &mut self,
        now: Now,
        me: &Peer,
        version: u64,
        record: &Record,
        lease_outputs: &mut LeaseOutputs,
    ) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        let later = record.epoch > self.epoch();
        if later || record.epoch == self.epoch() {
            self.record = Some(record.clone());
        }
        if later {
            self.enter_epoch(now, me, record, lease_outputs);
        }
        later
    }

    /// Brings the lease protocol's member into the epoch of a record.
    fn enter_epoch(
        &mut self,
        now: Now,
        me: &Peer,
        record: &Record,
        lease_outputs: &mut LeaseOutputs,
    ) {
        self.orphaned_since = None;
        match &mut self.member {
            Some(member) => {
                member.adopt(now.at, record, lease_outputs);
            }
            None if record.replica_set.contains(me) => {
                let initial =
                    (record.replica_set.leader == *me).then(|| self.rebuild_replica(record));
                let shard = self.id.clone();
                let mut member = Member::new(me.clone(), shard, record, now.at, initial);
                member.tick(now.at, lease_outputs);
                self.member = Some(member);
            }
            None => {}
        }
    }

    /// Rebuilds the state that the record stores, for a leader without a predecessor to copy from.
    fn rebuild_replica(&self, record: &Record) -> Replica<State> {
        let (first, count) = self.groups;
        let state = State::from_record(record, first, count);
        Replica {
            term: record.fence,
            index: record.index,
            complete: false,
            state,
        }
    }

    /// Drops the lease protocol's member when the replica set no longer contains this process.
    pub fn drop_member_if_removed(&mut self, me: &Peer) {
        let inside = self
            .record
            .as_ref()
            .is_none_or(|record| record.replica_set.contains(me));
        if !inside {
            self.member = None;
        }
    }

    /// Completes the pending update, which took effect as `version`.
    pub fn apply_update(
        &mut self,
        now: Now,
        me: &Peer,
        version: u64,
        lease_outputs: &mut LeaseOutputs,
    ) {
        let Some(update) = self.update.take() else {
            return;
        };
        if version <= self.version {
            return;
        }
        if let (Purpose::ReplicaSet(_), Some(member)) = (&update.purpose, &mut self.member) {
            self.version = version;
            self.record = Some(update.record.clone());
            member.handle_write_outcome(
                now.at,
                WriteOutcome::Applied(&update.record),
                lease_outputs,
            );
            return;
        }
        self.apply_record(now, me, version, &update.record, lease_outputs);
    }
}
