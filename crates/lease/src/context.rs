//! What every role of a member needs to know about its epoch.

use smallvec::SmallVec;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::time::Instant;

use crate::seeded_fault::SeededFault;
use crate::timing::PROMISE_DURATION;

/// Process that is proven gone.
#[derive(Clone, Debug)]
struct Gone {
    peer: Peer,
    /// When the proof reached this process.
    since: Instant,
}

/// The member's process, its epoch and the processes proven gone.
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

    /// Goes on to the epoch of `record`, keeping the proofs about the members of its trio.
    pub fn adopt(&mut self, record: &Record) {
        self.epoch = record.epoch;
        self.replica_set = record.replica_set.clone();
        let replica_set = &self.replica_set;
        self.gone.retain(|gone| replica_set.contains(&gone.peer));
    }

    /// Returns the fence of a reign in this epoch.
    pub fn fence(&self, succession: u8) -> Fence {
        Fence::new(self.epoch, succession)
    }

    /// Notes the proof that `peer` is gone; tells whether it is news about this trio.
    pub fn note_gone(&mut self, now: Instant, peer: &Peer) -> bool {
        if self.is_gone(peer) || !self.replica_set.contains(peer) {
            return false;
        }
        self.gone.push(Gone {
            peer: peer.clone(),
            since: now,
        });
        true
    }

    /// Returns when the proof that `peer` is gone arrived.
    pub fn gone_since(&self, peer: &Peer) -> Option<Instant> {
        let gone = self.gone.iter().find(|gone| gone.peer == *peer)?;
        Some(gone.since)
    }

    /// Tells whether `peer` is proven gone.
    pub fn is_gone(&self, peer: &Peer) -> bool {
        self.gone_since(peer).is_some()
    }

    /// Tells whether `peer` is proven gone and the leases that it renewed have lapsed.
    pub fn is_lapsed(&self, now: Instant, peer: &Peer) -> bool {
        self.gone_since(peer).is_some_and(|since| {
            self.is_gone(&self.replica_set.leader) || now >= since + PROMISE_DURATION
        })
    }
}
