//! One shard as this process knows it.

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

/// What the lease protocol asks for.
pub type Asks = Vec<LeaseOutput<State>>;

/// A shard, its record, and this process's part in it.
pub struct Slot {
    /// The shard.
    pub id: shard::Id,
    /// First group of the shard and their number, as the configuration says.
    pub groups: (u32, u32),
    /// Latest known version of the record in the store; zero for none.
    pub version: u64,
    /// Latest known record.
    pub record: Option<Record>,
    /// Part in the lease protocol, while this process is in the trio.
    pub member: Option<Member<State>>,
    /// The leader's part, while this process leads.
    pub engine: Option<Engine>,
    /// Update of the record that has not ended.
    pub update: Option<Update>,
    /// Change of the trio that waits for the update to end.
    pub waiting: Option<ReplicaSet>,
    /// When the record may be written again.
    pub next_write: Instant,
    /// When the trio may be changed again.
    pub next_repair: Instant,
    /// Since when all of the trio are proven gone.
    pub orphaned: Option<Instant>,
    /// Process that the leadership is being handed to.
    pub handover: Option<Peer>,
}

impl Slot {
    /// Starts to follow a shard of which nothing is known.
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
            waiting: None,
            next_write: Instant::ZERO,
            next_repair: Instant::ZERO,
            orphaned: None,
            handover: None,
        }
    }

    /// Tells whether this process may act for the shard now.
    #[must_use]
    pub fn is_acting(&self, now: Instant) -> bool {
        self.member
            .as_ref()
            .is_some_and(|member| member.may_act(now))
    }

    /// Tells whether this process leads a reign over the shard, with or without a lease.
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

    /// Takes in a record and returns whether it begins a later epoch.
    pub fn learn(
        &mut self,
        now: Now,
        me: &Peer,
        version: u64,
        record: &Record,
        asks: &mut Asks,
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
            self.enter(now, me, record, asks);
        }
        later
    }

    /// Enters the epoch of a record.
    fn enter(&mut self, now: Now, me: &Peer, record: &Record, asks: &mut Asks) {
        self.orphaned = None;
        match &mut self.member {
            Some(member) => {
                member.adopt(now.at, record, asks);
            }
            None if record.replica_set.contains(me) => {
                let carried = (record.replica_set.leader == *me).then(|| self.rebuild(record));
                let shard = self.id.clone();
                let mut member = Member::new(me.clone(), shard, record, now.at, carried);
                member.tick(now.at, asks);
                self.member = Some(member);
            }
            None => {}
        }
    }

    /// Rebuilds what the record keeps, for a leader that takes over from nobody.
    fn rebuild(&self, record: &Record) -> Replica<State> {
        let (first, count) = self.groups;
        let state = State::from_record(record, first, count);
        Replica {
            term: record.fence,
            index: record.index,
            complete: false,
            state,
        }
    }

    /// Drops the part in the lease protocol when the trio names this process no more.
    pub fn leave_if_outside(&mut self, me: &Peer) {
        let inside = self
            .record
            .as_ref()
            .is_none_or(|record| record.replica_set.contains(me));
        if !inside {
            self.member = None;
        }
    }

    /// Takes in that an update took effect.
    pub fn won(&mut self, now: Now, me: &Peer, version: u64, asks: &mut Asks) {
        let Some(update) = self.update.take() else {
            return;
        };
        if version <= self.version {
            return;
        }
        if let (Purpose::ReplicaSet(_), Some(member)) = (&update.purpose, &mut self.member) {
            self.version = version;
            self.record = Some(update.record.clone());
            member.handle_write_outcome(now.at, WriteOutcome::Applied(&update.record), asks);
            return;
        }
        self.learn(now, me, version, &update.record, asks);
    }
}
