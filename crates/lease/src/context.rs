//! Epoch state that every role of a member uses.

use smallvec::SmallVec;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::time::Instant;

use crate::seeded_fault::SeededFault;
use crate::timing::PROMISE_DURATION;

/// Process that is proven gone: a later incarnation of it is running, or an operator declared it
/// lost.
#[derive(Clone, Debug)]
struct Gone {
    peer: Peer,
    /// When this process received the proof.
    since: Instant,
}

/// The member's process, its epoch and the members of the replica set that are proven gone.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub me: Peer,
    pub epoch: u64,
    pub replica_set: ReplicaSet,
    pub seeded_fault: Option<SeededFault>,
    gone: SmallVec<[Gone; 3]>,
}

impl Context {
    pub fn new(me: Peer, record: &Record, seeded_fault: Option<SeededFault>) -> Self {
        Self {
            me,
            epoch: record.epoch,
            replica_set: record.replica_set.clone(),
            seeded_fault,
            gone: SmallVec::new(),
        }
    }

    /// Moves to the epoch of `record` and keeps what is known about processes that are still in the
    /// replica set.
    pub fn adopt(&mut self, record: &Record) {
        self.epoch = record.epoch;
        self.replica_set = record.replica_set.clone();
        let replica_set = &self.replica_set;
        self.gone.retain(|gone| replica_set.contains(&gone.peer));
    }

    /// Returns the fence of the term after `succession` successions in this epoch.
    pub fn fence(&self, succession: u8) -> Fence {
        Fence::new(self.epoch, succession)
    }

    /// Records the proof that `peer` is gone.
    ///
    /// Returns whether the peer is in the replica set and was not known to be gone.
    pub fn mark_gone(&mut self, now: Instant, peer: &Peer) -> bool {
        if self.is_gone(peer) || !self.replica_set.contains(peer) {
            return false;
        }
        self.gone.push(Gone {
            peer: peer.clone(),
            since: now,
        });
        true
    }

    /// Returns when this process received the proof that `peer` is gone.
    pub fn gone_since(&self, peer: &Peer) -> Option<Instant> {
        let gone = self.gone.iter().find(|gone| gone.peer == *peer)?;
        Some(gone.since)
    }

    /// Returns whether `peer` is proven gone.
    pub fn is_gone(&self, peer: &Peer) -> bool {
        self.gone_since(peer).is_some()
    }

    /// Returns whether `peer` is proven gone and every lease that it renewed has expired.
    ///
    /// If the leader is gone too, no lease remains to wait for.
    pub fn renewed_leases_expired(&self, now: Instant, peer: &Peer) -> bool {
        self.gone_since(peer).is_some_and(|since| {
            self.is_gone(&self.replica_set.leader) || now >= since + PROMISE_DURATION
        })
    }
}
