//! Updates of shards' records in the store.

use std::time::Duration;

use tarragon_lease::proposal::WriteOutcome as ProposalOutcome;
use tarragon_model::fence::Fence;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::shard;
use tarragon_timeline::event::{Draft as Event, Kind, Name};

use super::Node;
use crate::input::{Now, WriteOutcome};
use crate::message::{Message, VersionedRecord};
use crate::output::Output;
use crate::persist::{Purpose, RecordBuilder, Update};
use crate::slot::Asks;
use crate::state::State;

/// Pause before a failed update is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time between two updates that only keep changed owners.
const OWNERS_EVERY: Duration = Duration::from_millis(200);

impl Node {
    /// Starts the update that the lease protocol asks for, after the one in progress if any.
    pub(super) fn write_trio(
        &mut self,
        id: &shard::Id,
        epoch: u64,
        trio: ReplicaSet,
        out: &mut Vec<Output>,
    ) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        if slot.update.is_some() {
            slot.waiting = Some(trio);
            return;
        }
        let fence = Fence::new(epoch, 0);
        let draft = self.draft(id);
        let record = match self.state_of(id) {
            Some(state) => draft.build(fence, &trio, state),
            None => draft.build(fence, &trio, &State::default()),
        };
        self.start_update(id, Purpose::ReplicaSet(trio), record, out);
    }

    /// Writes the record of a shard that has none, or whose trio is all gone.
    pub(super) fn write_new(&mut self, id: &shard::Id, trio: &ReplicaSet, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get(id) else {
            return;
        };
        let fence = Fence::new(slot.epoch() + 1, 0);
        let state = slot.record.as_ref().map_or_else(State::default, |record| {
            State::from_record(record, slot.groups.0, slot.groups.1)
        });
        let record = self.draft(id).build(fence, trio, &state);
        self.start_update(id, Purpose::Create, record, out);
    }

    /// Writes changed owners, if any.
    pub(super) fn write_owners(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        if slot.update.is_some() || now.at < slot.next_write || !slot.is_acting(now.at) {
            return;
        }
        let (Some(engine), Some(record)) = (&mut slot.engine, &slot.record) else {
            return;
        };
        if !engine.take_dirty() {
            return;
        }
        slot.next_write = now.at + OWNERS_EVERY;
        let trio = record.replica_set.clone();
        let draft = self.draft(id);
        let member = self.slots.get(id).and_then(|slot| slot.member.as_ref());
        if let Some(member) = member {
            let record = draft.build(member.fence(), &trio, member.state());
            self.start_update(id, Purpose::Owners, record, out);
        }
    }

    fn draft(&mut self, id: &shard::Id) -> RecordBuilder {
        self.updates += 1;
        let slot = self.slots.get(id);
        RecordBuilder {
            token: format!("{}-{}", self.settings.me, self.updates),
            first_group: slot.map_or(0, |slot| slot.groups.0),
        }
    }

    fn start_update(
        &mut self,
        id: &shard::Id,
        purpose: Purpose,
        record: Record,
        out: &mut Vec<Output>,
    ) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        slot.update = Some(Update {
            purpose,
            record: record.clone(),
        });
        let (shard, if_version) = (id.clone(), slot.version);
        out.push(Output::Write {
            shard,
            if_version,
            record: Box::new(record),
        });
    }

    /// Takes in how an update ended.
    pub(super) fn written(
        &mut self,
        now: Now,
        id: &shard::Id,
        result: WriteOutcome,
        out: &mut Vec<Output>,
    ) {
        match result {
            WriteOutcome::Won { version } => self.update_won(now, id, version, out),
            WriteOutcome::Lost { version, record } => {
                self.update_lost(now, id, version, record.as_deref(), out);
            }
            WriteOutcome::Failed => self.update_failed(now, id),
            WriteOutcome::Unresolved => {
                let event = Event::new(Kind::ReplicaSetChangeLost).with(Name::Shard, id);
                out.push(Output::Event(event.with(Name::Reason, "fate unknown")));
            }
        }
        self.start_waiting(now, id, out);
    }

    fn update_won(&mut self, now: Now, id: &shard::Id, version: u64, out: &mut Vec<Output>) {
        let me = self.settings.me.clone();
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        let Some(update) = slot.update.clone() else {
            return;
        };
        let mut asks = Asks::new();
        slot.won(now, &me, version, &mut asks);
        if update.purpose != Purpose::Owners {
            self.announce(id, version, &update.record, out);
        }
        self.carry_out(now, id, asks, out);
        self.entered(now, id, out);
    }

    /// Tells the members of a new trio, and of the one before, of their record.
    fn announce(&self, id: &shard::Id, version: u64, record: &Record, out: &mut Vec<Output>) {
        let event = Event::new(Kind::ReplicaSetChanged)
            .with(Name::Shard, id)
            .with(Name::Fence, record.fence)
            .with(Name::Detail, trio_text(&record.replica_set));
        out.push(Output::Event(event));
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

    fn update_lost(
        &mut self,
        now: Now,
        id: &shard::Id,
        version: u64,
        record: Option<&Record>,
        out: &mut Vec<Output>,
    ) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        let Some(update) = slot.update.take() else {
            return;
        };
        if update.purpose == Purpose::Owners
            && let Some(engine) = &mut slot.engine
        {
            engine.mark_dirty();
        }
        let Some(record) = record else {
            slot.next_write = now.at + RETRY_AFTER;
            slot.next_repair = now.at + RETRY_AFTER;
            if let Purpose::ReplicaSet(trio) = update.purpose {
                slot.waiting = Some(trio);
            }
            return;
        };
        let same_epoch = record.epoch + 1 == update.record.epoch;
        if let (Purpose::ReplicaSet(trio), true) = (&update.purpose, same_epoch) {
            slot.version = version.max(slot.version);
            slot.waiting = Some(trio.clone());
            return;
        }
        let mut asks = Asks::new();
        if let (Purpose::ReplicaSet(_), Some(member)) = (&update.purpose, &mut slot.member) {
            member.handle_write_outcome(now.at, ProposalOutcome::NotApplied(record), &mut asks);
        }
        self.carry_out(now, id, asks, out);
        self.learn(now, id, version, record, out);
    }

    fn update_failed(&mut self, now: Now, id: &shard::Id) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        slot.next_write = now.at + RETRY_AFTER;
        match slot.update.take().map(|update| update.purpose) {
            Some(Purpose::Owners) => {
                if let Some(engine) = &mut slot.engine {
                    engine.mark_dirty();
                }
            }
            Some(Purpose::ReplicaSet(trio)) => slot.waiting = Some(trio),
            Some(Purpose::Create) | None => {}
        }
    }

    /// Starts the change of the trio that waited for another update, if it is still wanted.
    pub(super) fn start_waiting(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        if slot.update.is_some() || now.at < slot.next_write {
            return;
        }
        let Some(trio) = slot.waiting.take() else {
            return;
        };
        if slot
            .member
            .as_ref()
            .is_some_and(tarragon_lease::Member::is_proposing)
        {
            let epoch = slot.epoch() + 1;
            self.write_trio(id, epoch, trio, out);
        }
    }
}

/// Returns the names of a trio's processes.
pub(super) fn trio_text(trio: &ReplicaSet) -> String {
    format!("{} {} {}", trio.leader, trio.first, trio.second)
}
