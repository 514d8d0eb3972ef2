//! Creation and repair of the shards' replica sets.

use std::time::Duration;

use smallvec::SmallVec;
use tarragon_lease::timing::PROMISE_DURATION;
use tarragon_model::host::Peer;
use tarragon_model::record::ReplicaSet;
use tarragon_model::shard;
use tarragon_timeline::event::{Draft, Kind, Name};

use super::Node;
use crate::input::Now;
use crate::local_shard::{LeaseOutputs, LocalShard};
use crate::output::Output;
use crate::replica_set::{self, Candidate, Request};

/// Time between two checks of every shard.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a replica set is changed again.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after the start in which a process learns of the others before it creates records.
const CREATION_DELAY: Duration = Duration::from_millis(1_500);
/// Time between two attempts to balance the leaders over the hosts.
const BALANCE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of processes in a replica set.
const REPLICA_COUNT: usize = 3;

impl Node {
    /// Checks every shard: creates, repairs or takes it over, hands it over, and stores its owners.
    pub(super) fn check_shards(&mut self, now: Now, out: &mut Vec<Output>) {
        let ids: Vec<shard::Id> = self.shards.keys().cloned().collect();
        for id in &ids {
            self.start_queued_change(now, id, out);
            self.start_engine(now, id, out);
            self.write_owners(now, id, out);
            self.check_shard(now, id, out);
        }
        if now.at >= self.next_balance {
            self.next_balance = now.at + BALANCE_INTERVAL;
            self.balance_leaders(now, out);
        }
        self.hand_over(now, out);
    }

    /// Creates, repairs or recovers the replica set of a shard if necessary.
    fn check_shard(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(local_shard) = self.shards.get(id) else {
            return;
        };
        if self.store_unavailable
            || local_shard.update.is_some()
            || now.at < local_shard.next_repair
        {
            return;
        }
        if local_shard.record.is_none() {
            self.create(now, id, out);
        } else if local_shard.is_acting(now.at) || local_shard.is_leader() {
            // A leader without a valid lease can continue through the store once both standbys
            // are gone.
            self.repair(now, id, out);
        } else {
            self.recover_orphaned(now, id, out);
        }
    }

    /// Creates the record of a shard that has none, if this process is its coordinator.
    fn create(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let delay_passed = now.at.since(self.started) >= CREATION_DELAY;
        if !self.records_read || !delay_passed || self.draining.is_some() {
            return;
        }
        let candidates = self.candidates(now, &[]);
        if candidates.len() < REPLICA_COUNT || !self.is_coordinator(id, &candidates) {
            return;
        }
        let leader = self.initial_leader(id, &candidates);
        if let Some(replica_set) = self.choose(id, leader.as_ref(), None, &[], &candidates) {
            self.delay_repair(now, id);
            self.write_new(id, &replica_set, out);
        }
    }

    /// Selects a shard's first leader: the shards of a region are assigned to its hosts in turn.
    fn initial_leader(&self, id: &shard::Id, candidates: &[Candidate]) -> Option<Peer> {
        let region = self.region_of(id);
        let position = self
            .shards
            .keys()
            .filter(|other| self.region_of(other) == region);
        let position = position.take_while(|other| *other != id).count();
        let mut local: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| candidate.region == region)
            .collect();
        local.sort_by(|a, b| a.peer.cmp(&b.peer));
        let chosen = local.get(position % local.len().max(1))?;
        Some(chosen.peer.clone())
    }

    /// Replaces standbys that are silent, draining, about to be removed or gone, and prepares a
    /// requested handover.
    fn repair(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(local_shard) = self.shards.get(id) else {
            return;
        };
        let (Some(member), Some(record)) = (&local_shard.member, &local_shard.record) else {
            return;
        };
        if member.is_proposing() {
            return;
        }
        let silent = member.silent_standbys(now.at);
        let is_usable =
            |peer: &Peer| !silent.contains(peer) && self.members.is_eligible(now.at, peer);
        let standbys: SmallVec<[Peer; 3]> = [&record.replica_set.first, &record.replica_set.second]
            .into_iter()
            .filter(|peer| **peer != self.settings.me)
            .cloned()
            .collect();
        let intact = member.fence().succession == 0 && standbys.iter().all(is_usable);
        if intact && local_shard.handover.is_none() {
            return;
        }
        let handover = local_shard.handover.clone().filter(is_usable);
        let keep: SmallVec<[Peer; 3]> = standbys
            .iter()
            .filter(|peer| is_usable(peer))
            .cloned()
            .collect();
        if intact
            && handover
                .as_ref()
                .is_none_or(|successor| *successor == record.replica_set.first)
        {
            return;
        }
        // One standby that responds must stay, even if it is draining, or none could seal the term.
        let responds = |peer: &&Peer| !silent.contains(peer) && !self.members.is_gone(peer);
        let retained = standbys.iter().find(responds).filter(|_| keep.is_empty());
        let first = handover.as_ref().or(retained).cloned();
        let mut candidates = self.candidates(now, &silent);
        candidates.extend(self.draining.map(|_| self.own_candidate()));
        candidates.extend(retained.and_then(|peer| self.candidate(peer)));
        let me = self.settings.me.clone();
        let replica_set = self.choose(id, Some(&me), first.as_ref(), &keep, &candidates);
        if let Some(replica_set) = replica_set {
            self.propose(now, id, replica_set, out);
        }
    }

    /// Takes a shard over through the store, as the lease protocol requested.
    pub(super) fn take_over(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(local_shard) = self.shards.get(id) else {
            return;
        };
        if local_shard.update.is_some()
            || now.at < local_shard.next_repair
            || self.draining.is_some()
        {
            return;
        }
        let candidates = self.candidates(now, &[]);
        let me = self.settings.me.clone();
        let keep: SmallVec<[Peer; 3]> =
            local_shard
                .record
                .as_ref()
                .map_or_else(SmallVec::new, |record| {
                    [
                        &record.replica_set.leader,
                        &record.replica_set.first,
                        &record.replica_set.second,
                    ]
                    .into_iter()
                    .cloned()
                    .collect()
                });
        if let Some(replica_set) = self.choose(id, Some(&me), None, &keep, &candidates) {
            self.propose(now, id, replica_set, out);
        }
    }

    /// Proposes a replica set through the lease protocol.
    fn propose(
        &mut self,
        now: Now,
        id: &shard::Id,
        replica_set: ReplicaSet,
        out: &mut Vec<Output>,
    ) {
        self.delay_repair(now, id);
        let Some(member) = self
            .shards
            .get_mut(id)
            .and_then(|local_shard| local_shard.member.as_mut())
        else {
            return;
        };
        let mut lease_outputs = LeaseOutputs::new();
        if let Err(error) = member.propose(now.at, replica_set, &mut lease_outputs) {
            log::debug!("event=propose-failed shard={id} error=\"{error}\"");
        }
        self.execute(now, id, lease_outputs, out);
    }

    /// Takes over a shard whose whole replica set is gone, if this process is its coordinator.
    fn recover_orphaned(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        let Some(record) = &local_shard.record else {
            return;
        };
        let replica_set = [
            &record.replica_set.leader,
            &record.replica_set.first,
            &record.replica_set.second,
        ];
        if !replica_set
            .into_iter()
            .all(|peer| self.members.is_gone(peer))
        {
            local_shard.orphaned_since = None;
            return;
        }
        let since = *local_shard.orphaned_since.get_or_insert(now.at);
        if now.at.since(since) < PROMISE_DURATION || self.draining.is_some() {
            return;
        }
        let candidates = self.candidates(now, &[]);
        if !self.is_coordinator(id, &candidates) {
            return;
        }
        let me = self.settings.me.clone();
        if let Some(replica_set) = self.choose(id, Some(&me), None, &[], &candidates) {
            let draft = Draft::new(Kind::SuccessionRequested)
                .with(Name::Shard, id)
                .with(Name::Reason, "all of the trio are gone");
            out.push(Output::Event(draft));
            self.delay_repair(now, id);
            self.write_new(id, &replica_set, out);
        }
    }

    /// Selects a shard to hand over to another host of its region, if that host leads at least two
    /// shards fewer or this process is outside the region.
    fn balance_leaders(&mut self, now: Now, out: &mut Vec<Output>) {
        let _ = out;
        if self.store_unavailable || self.draining.is_some() {
            return;
        }
        let acting: Vec<&LocalShard> = self
            .shards
            .values()
            .filter(|local_shard| local_shard.is_acting(now.at))
            .collect();
        if acting
            .iter()
            .any(|local_shard| local_shard.handover.is_some())
        {
            return;
        }
        let candidates = self.candidates(now, &[]);
        let led_here = acting.len();
        let handover = acting.into_iter().find_map(|local_shard| {
            let region = self.region_of(&local_shard.id);
            let successor = candidates
                .iter()
                .filter(|candidate| {
                    candidate.region == region && candidate.peer != self.settings.me
                })
                .min_by_key(|candidate| {
                    (
                        candidate.led_shards,
                        replica_set::rank(&local_shard.id, &candidate.peer),
                    )
                })?;
            let outside_region = self.settings.entry.region != region;
            let better = successor.led_shards + 2 <= led_here || outside_region;
            better.then(|| (local_shard.id.clone(), successor.peer.clone()))
        });
        if let Some((id, successor)) = handover
            && let Some(local_shard) = self.shards.get_mut(&id)
        {
            local_shard.handover = Some(successor);
        }
    }

    /// Resigns from shards whose intended leader has become the first standby.
    fn hand_over(&mut self, now: Now, out: &mut Vec<Output>) {
        let ready: Vec<shard::Id> = self
            .shards
            .values()
            .filter(|local_shard| {
                local_shard.handover.is_some() && self.may_resign(now, local_shard)
            })
            .filter(|local_shard| {
                let first = local_shard
                    .record
                    .as_ref()
                    .map(|record| &record.replica_set.first);
                first == local_shard.handover.as_ref()
            })
            .map(|local_shard| local_shard.id.clone())
            .collect();
        for id in ready {
            self.resign(now, &id, out);
        }
    }

    /// Returns whether this process leads the shard and both standbys can take part in a succession
    /// at once.
    pub(super) fn may_resign(&self, now: Now, local_shard: &LocalShard) -> bool {
        let (Some(member), Some(record)) = (&local_shard.member, &local_shard.record) else {
            return false;
        };
        let standbys = [&record.replica_set.first, &record.replica_set.second];
        local_shard.is_acting(now.at)
            && member.fence().succession == 0
            && !member.is_proposing()
            && member.silent_standbys(now.at).is_empty()
            && standbys
                .into_iter()
                .all(|peer| self.members.is_eligible(now.at, peer))
    }

    /// Resigns the leadership of a shard, so that a standby succeeds.
    pub(super) fn resign(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let mut lease_outputs = LeaseOutputs::new();
        if let Some(member) = self
            .shards
            .get_mut(id)
            .and_then(|local_shard| local_shard.member.as_mut())
        {
            member.resign(now.at, &mut lease_outputs);
        }
        self.execute(now, id, lease_outputs, out);
    }

    /// Delays the next change of a shard's replica set.
    fn delay_repair(&mut self, now: Now, id: &shard::Id) {
        if let Some(local_shard) = self.shards.get_mut(id) {
            local_shard.next_repair = now.at + REPAIR_INTERVAL;
        }
    }

    /// Returns the processes that may be selected, including this one unless it is draining.
    fn candidates(&self, now: Now, excluded: &[Peer]) -> Vec<Candidate> {
        let own = (self.draining.is_none()).then(|| self.own_candidate());
        let others = self
            .members
            .eligible(now.at)
            .filter_map(|known| self.candidate(&known.last_heartbeat.as_ref()?.peer));
        own.into_iter()
            .chain(others)
            .filter(|candidate| !excluded.contains(&candidate.peer))
            .collect()
    }

    /// Returns this process as a candidate.
    fn own_candidate(&self) -> Candidate {
        let entry = &self.settings.entry;
        Candidate {
            peer: self.settings.me.clone(),
            region: entry.region.clone(),
            failure_domain: entry.failure_domain.clone(),
            led_shards: self.directory.led_by(&self.settings.me),
        }
    }

    /// Returns a known process as a candidate.
    fn candidate(&self, peer: &Peer) -> Option<Candidate> {
        let known = self.members.get(&peer.host)?;
        let led_shards = known
            .last_heartbeat
            .as_ref()
            .map_or(0, |last| last.led_shards);
        Some(Candidate {
            peer: peer.clone(),
            region: known.entry.region.clone(),
            failure_domain: known.entry.failure_domain.clone(),
            led_shards,
        })
    }

    /// Selects a replica set for a shard.
    fn choose(
        &self,
        id: &shard::Id,
        leader: Option<&Peer>,
        first: Option<&Peer>,
        keep: &[Peer],
        candidates: &[Candidate],
    ) -> Option<ReplicaSet> {
        let region = self.region_of(id);
        replica_set::choose(
            Request {
                shard: id,
                region: &region,
                leader,
                first,
                keep,
            },
            candidates,
        )
    }

    /// Returns whether this process ranks first among those that could coordinate a shard.
    fn is_coordinator(&self, id: &shard::Id, candidates: &[Candidate]) -> bool {
        let first = candidates
            .iter()
            .min_by_key(|candidate| replica_set::rank(id, &candidate.peer));
        first.is_some_and(|candidate| candidate.peer == self.settings.me)
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
