//! What every role of a member needs to know about its epoch.

use smallvec::SmallVec;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::time::Instant;

use crate::flaw::Flaw;
use crate::timing::PROMISE;

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
    pub trio: ReplicaSet,
    pub flaw: Option<Flaw>,
    gone: SmallVec<[Gone; 3]>,
}

impl Context {
    pub fn new(me: Peer, record: &Record, flaw: Option<Flaw>) -> Self {
        Self {
            me,
            epoch: record.epoch,
            trio: record.replica_set.clone(),
            flaw,
            gone: SmallVec::new(),
        }
    }

    /// Goes on to the epoch of `record`, keeping the proofs about the members of its trio.
    pub fn adopt(&mut self, record: &Record) {
        self.epoch = record.epoch;
        self.trio = record.replica_set.clone();
        let trio = &self.trio;
        self.gone.retain(|gone| trio.contains(&gone.peer));
    }

    /// Returns the fence of a reign in this epoch.
    pub fn fence(&self, succession: u8) -> Fence {
        Fence::new(self.epoch, succession)
    }

    /// Notes the proof that `peer` is gone; tells whether it is news about this trio.
    pub fn note_gone(&mut self, now: Instant, peer: &Peer) -> bool {
        if self.is_gone(peer) || !self.trio.contains(peer) {
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
        self.gone_since(peer)
            .is_some_and(|since| self.is_gone(&self.trio.leader) || now >= since + PROMISE)
    }
}
