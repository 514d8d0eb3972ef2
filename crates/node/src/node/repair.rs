//! Keeping a whole trio for every shard.

use std::time::Duration;

use smallvec::SmallVec;
use tarragon_lease::timing::PROMISE_DURATION;
use tarragon_model::host::Peer;
use tarragon_model::record::ReplicaSet;
use tarragon_model::shard;
use tarragon_timeline::event::{Draft, Kind, Name};

use super::Node;
use crate::input::Now;
use crate::output::Output;
use crate::slot::{Asks, Slot};
use crate::trio::{self, Candidate, Wish};

/// Time between two looks at every shard.
pub(super) const CHECK_EVERY: Duration = Duration::from_millis(100);
/// Pause before a trio is changed again.
const REPAIR_EVERY: Duration = Duration::from_secs(1);
/// Time after its start in which a process hears of the others before it creates records.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Time between two looks for a better spread of leaders.
const BALANCE_EVERY: Duration = Duration::from_secs(2);
/// Processes that share the authority over a shard.
const TRIO: usize = 3;

impl Node {
    /// Looks at every shard: creates, repairs, takes over, hands over, keeps owners.
    pub(super) fn check_slots(&mut self, now: Now, out: &mut Vec<Output>) {
        let ids: Vec<shard::Id> = self.slots.keys().cloned().collect();
        for id in &ids {
            self.start_waiting(now, id, out);
            self.start_engine(now, id, out);
            self.write_owners(now, id, out);
            self.check_slot(now, id, out);
        }
        if now.at >= self.next_balance {
            self.next_balance = now.at + BALANCE_EVERY;
            self.balance_leaders(now, out);
        }
        self.hand_over(now, out);
    }

    fn check_slot(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get(id) else {
            return;
        };
        if self.store_away || slot.update.is_some() || now.at < slot.next_repair {
            return;
        }
        if slot.record.is_none() {
            self.create(now, id, out);
        } else if slot.is_acting(now.at) || slot.is_leader() {
            // A leader without a lease goes on through the store once both standbys are gone.
            self.repair(now, id, out);
        } else {
            self.adopt_orphan(now, id, out);
        }
    }

    /// Creates the record of a shard that has none, if that is this process's task.
    fn create(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let settled = now.at.since(self.started) >= SETTLE;
        if !self.records_read || !settled || self.draining.is_some() {
            return;
        }
        let candidates = self.candidates(now, &[]);
        if candidates.len() < TRIO || !self.is_coordinator(id, &candidates) {
            return;
        }
        let leader = self.founding_leader(id, &candidates);
        if let Some(trio) = self.choose(id, leader.as_ref(), None, &[], &candidates) {
            self.put_off_repair(now, id);
            self.write_new(id, &trio, out);
        }
    }

    /// Deals the shards of a region to its hosts in turn.
    fn founding_leader(&self, id: &shard::Id, candidates: &[Candidate]) -> Option<Peer> {
        let region = self.region_of(id);
        let position = self
            .slots
            .keys()
            .filter(|other| self.region_of(other) == region);
        let position = position.take_while(|other| *other != id).count();
        let mut local: Vec<&Candidate> = candidates
            .iter()
            .filter(|one| one.region == region)
            .collect();
        local.sort_by(|a, b| a.peer.cmp(&b.peer));
        let chosen = local.get(position % local.len().max(1))?;
        Some(chosen.peer.clone())
    }

    /// Replaces standbys that are silent, leaving or gone.
    fn repair(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get(id) else {
            return;
        };
        let (Some(member), Some(record)) = (&slot.member, &slot.record) else {
            return;
        };
        if member.is_proposing() {
            return;
        }
        let silent = member.silent_standbys(now.at);
        let fit = |peer: &Peer| !silent.contains(peer) && self.members.is_fit(now.at, peer);
        let standbys: SmallVec<[Peer; 3]> = [&record.replica_set.first, &record.replica_set.second]
            .into_iter()
            .filter(|peer| **peer != self.settings.me)
            .cloned()
            .collect();
        let whole = member.fence().succession == 0 && standbys.iter().all(fit);
        if whole && slot.handover.is_none() {
            return;
        }
        let handover = slot.handover.clone().filter(fit);
        let keep: SmallVec<[Peer; 3]> = standbys.iter().filter(|peer| fit(peer)).cloned().collect();
        if whole
            && handover
                .as_ref()
                .is_none_or(|heir| *heir == record.replica_set.first)
        {
            return;
        }
        // One standby that answers must stay, also when it is leaving, or nobody could seal.
        let answers = |peer: &&Peer| !silent.contains(peer) && !self.members.is_gone(peer);
        let stays = standbys.iter().find(answers).filter(|_| keep.is_empty());
        let first = handover.as_ref().or(stays).cloned();
        let mut candidates = self.candidates(now, &silent);
        candidates.extend(self.draining.map(|_| self.own_candidate()));
        candidates.extend(stays.and_then(|peer| self.candidate(peer)));
        let me = self.settings.me.clone();
        let trio = self.choose(id, Some(&me), first.as_ref(), &keep, &candidates);
        if let Some(trio) = trio {
            self.propose(now, id, trio, out);
        }
    }

    /// Takes a shard over through the store, as the lease protocol allows.
    pub(super) fn take_over(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get(id) else {
            return;
        };
        if slot.update.is_some() || now.at < slot.next_repair || self.draining.is_some() {
            return;
        }
        let candidates = self.candidates(now, &[]);
        let me = self.settings.me.clone();
        let keep: SmallVec<[Peer; 3]> = slot.record.as_ref().map_or_else(SmallVec::new, |record| {
            [
                &record.replica_set.leader,
                &record.replica_set.first,
                &record.replica_set.second,
            ]
            .into_iter()
            .cloned()
            .collect()
        });
        if let Some(trio) = self.choose(id, Some(&me), None, &keep, &candidates) {
            self.propose(now, id, trio, out);
        }
    }

    fn propose(&mut self, now: Now, id: &shard::Id, trio: ReplicaSet, out: &mut Vec<Output>) {
        self.put_off_repair(now, id);
        let Some(member) = self.slots.get_mut(id).and_then(|slot| slot.member.as_mut()) else {
            return;
        };
        let mut asks = Asks::new();
        if let Err(error) = member.propose(now.at, trio, &mut asks) {
            log::debug!("event=propose-failed shard={id} error=\"{error}\"");
        }
        self.carry_out(now, id, asks, out);
    }

    /// Takes over a shard all of whose trio are proven gone, if that is this process's task.
    fn adopt_orphan(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        let Some(record) = &slot.record else {
            return;
        };
        let trio = [
            &record.replica_set.leader,
            &record.replica_set.first,
            &record.replica_set.second,
        ];
        if !trio.into_iter().all(|peer| self.members.is_gone(peer)) {
            slot.orphaned = None;
            return;
        }
        let since = *slot.orphaned.get_or_insert(now.at);
        if now.at.since(since) < PROMISE_DURATION || self.draining.is_some() {
            return;
        }
        let candidates = self.candidates(now, &[]);
        if !self.is_coordinator(id, &candidates) {
            return;
        }
        let me = self.settings.me.clone();
        if let Some(trio) = self.choose(id, Some(&me), None, &[], &candidates) {
            let draft = Draft::new(Kind::SuccessionRequested)
                .with(Name::Shard, id)
                .with(Name::Reason, "all of the trio are gone");
            out.push(Output::Event(draft));
            self.put_off_repair(now, id);
            self.write_new(id, &trio, out);
        }
    }

    /// Picks a shard to hand over when another host of its region leads far fewer.
    fn balance_leaders(&mut self, now: Now, out: &mut Vec<Output>) {
        let _ = out;
        if self.store_away || self.draining.is_some() {
            return;
        }
        let acting: Vec<&Slot> = self
            .slots
            .values()
            .filter(|slot| slot.is_acting(now.at))
            .collect();
        if acting.iter().any(|slot| slot.handover.is_some()) {
            return;
        }
        let candidates = self.candidates(now, &[]);
        let mine = acting.len();
        let pick = acting.into_iter().find_map(|slot| {
            let region = self.region_of(&slot.id);
            let heir = candidates
                .iter()
                .filter(|one| one.region == region && one.peer != self.settings.me)
                .min_by_key(|one| (one.leads, trio::rank(&slot.id, &one.peer)))?;
            let away = self.settings.entry.region != region;
            let better = heir.leads + 2 <= mine || away;
            better.then(|| (slot.id.clone(), heir.peer.clone()))
        });
        if let Some((id, heir)) = pick
            && let Some(slot) = self.slots.get_mut(&id)
        {
            slot.handover = Some(heir);
        }
    }

    /// Resigns where the process that is to lead has become the first standby.
    fn hand_over(&mut self, now: Now, out: &mut Vec<Output>) {
        let ready: Vec<shard::Id> = self
            .slots
            .values()
            .filter(|slot| slot.handover.is_some() && self.may_resign(now, slot))
            .filter(|slot| {
                let first = slot.record.as_ref().map(|record| &record.replica_set.first);
                first == slot.handover.as_ref()
            })
            .map(|slot| slot.id.clone())
            .collect();
        for id in ready {
            self.resign(now, &id, out);
        }
    }

    /// Tells whether both standbys can take part in a succession at once.
    pub(super) fn may_resign(&self, now: Now, slot: &Slot) -> bool {
        let (Some(member), Some(record)) = (&slot.member, &slot.record) else {
            return false;
        };
        let standbys = [&record.replica_set.first, &record.replica_set.second];
        slot.is_acting(now.at)
            && member.fence().succession == 0
            && !member.is_proposing()
            && member.silent_standbys(now.at).is_empty()
            && standbys
                .into_iter()
                .all(|peer| self.members.is_fit(now.at, peer))
    }

    pub(super) fn resign(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let mut asks = Asks::new();
        if let Some(member) = self.slots.get_mut(id).and_then(|slot| slot.member.as_mut()) {
            member.resign(now.at, &mut asks);
        }
        self.carry_out(now, id, asks, out);
    }

    fn put_off_repair(&mut self, now: Now, id: &shard::Id) {
        if let Some(slot) = self.slots.get_mut(id) {
            slot.next_repair = now.at + REPAIR_EVERY;
        }
    }

    /// Returns the processes that may be chosen, this one included.
    fn candidates(&self, now: Now, without: &[Peer]) -> Vec<Candidate> {
        let own = (self.draining.is_none()).then(|| self.own_candidate());
        let others = self
            .members
            .live(now.at)
            .filter_map(|known| self.candidate(&known.heard.as_ref()?.peer));
        own.into_iter()
            .chain(others)
            .filter(|one| !without.contains(&one.peer))
            .collect()
    }

    fn own_candidate(&self) -> Candidate {
        let entry = &self.settings.entry;
        Candidate {
            peer: self.settings.me.clone(),
            region: entry.region.clone(),
            failure_domain: entry.failure_domain.clone(),
            leads: self.directory.count(&self.settings.me),
        }
    }

    fn candidate(&self, peer: &Peer) -> Option<Candidate> {
        let known = self.members.get(&peer.host)?;
        let leads = known.heard.as_ref().map_or(0, |heard| heard.leads);
        Some(Candidate {
            peer: peer.clone(),
            region: known.entry.region.clone(),
            failure_domain: known.entry.failure_domain.clone(),
            leads,
        })
    }

    fn choose(
        &self,
        id: &shard::Id,
        leader: Option<&Peer>,
        first: Option<&Peer>,
        keep: &[Peer],
        candidates: &[Candidate],
    ) -> Option<ReplicaSet> {
        let region = self.region_of(id);
        trio::choose(
            Wish {
                shard: id,
                region: &region,
                leader,
                first,
                keep,
            },
            candidates,
        )
    }

    /// Tells whether this process comes first among those that could do a shard's common tasks.
    fn is_coordinator(&self, id: &shard::Id, candidates: &[Candidate]) -> bool {
        let first = candidates
            .iter()
            .min_by_key(|one| trio::rank(id, &one.peer));
        first.is_some_and(|one| one.peer == self.settings.me)
    }

    /// Returns the region of a shard's backend servers.
    pub(super) fn region_of(&self, id: &shard::Id) -> String {
        let service = self.config.service(id.service.as_str());
        let backend = service.and_then(|service| service.backends_of(id.index).next());
        let place = backend.and_then(|backend| {
            self.config
                .places
                .iter()
                .find(|place| place.name == backend.place)
        });
        place.map(|place| place.region.clone()).unwrap_or_default()
    }
}
