//! Proposals of a new replica set and the outcomes of their writes to the store.

use tarragon_model::host::Peer;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::time::Instant;

/// Outcome of a write to the store.
#[derive(Clone, Copy, Debug)]
pub enum WriteOutcome<'a> {
    /// The write took effect; the record is the one written.
    Applied(&'a Record),
    /// The write has not taken effect and never will; the record is the one in the store.
    NotApplied(&'a Record),
    /// The outcome is unknown; the driver reads the record and reports again.
    Unresolved,
}

/// Reason why a proposal was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The process is not the leader and may not take over.
    #[error("propose at {peer}: the process is not the leader and may not take over")]
    NotEntitled {
        /// Process that made the proposal.
        peer: Peer,
    },
    /// An earlier write is still in flight.
    #[error("propose at {peer}: an earlier write is still in flight")]
    Pending {
        /// Process that made the proposal.
        peer: Peer,
    },
    /// The replica set is not three distinct processes with the proposer as leader.
    #[error(
        "propose at {peer}: the replica set must be three distinct processes led by the proposer"
    )]
    Malformed {
        /// Process that made the proposal.
        peer: Peer,
    },
    /// No standby that could seal belongs to the new replica set.
    #[error("propose at {peer}: no responding standby belongs to the new replica set")]
    NoStandby {
        /// Process that made the proposal.
        peer: Peer,
    },
}

/// Proposal that has not taken effect yet.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    /// Proposed replica set.
    pub replica_set: ReplicaSet,
    /// Whether the proposer's replica contains every committed entry.
    pub complete: bool,
    /// Current stage.
    pub stage: Stage,
}

/// Stage of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waiting for `standby` to seal; the proposal is dropped at `until`.
    Sealing { standby: Peer, until: Instant },
    /// The write may take effect at any time. Until then, only renewals and acknowledgements of
    /// `standby` count, or none at all if it is absent.
    Writing { standby: Option<Peer> },
}

/// Checks that `replica_set` is three distinct processes led by `me`.
pub(crate) fn check(me: &Peer, replica_set: &ReplicaSet) -> Result<(), Error> {
    let distinct = replica_set.leader != replica_set.first
        && replica_set.leader != replica_set.second
        && replica_set.first != replica_set.second;
    if distinct && replica_set.leader == *me {
        return Ok(());
    }
    Err(Error::Malformed { peer: me.clone() })
}
