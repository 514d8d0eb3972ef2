//! Proposals of a new trio and what became of them in the store.

use tarragon_model::host::Peer;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::time::Instant;

/// What became of a write to the store.
#[derive(Clone, Copy, Debug)]
pub enum WriteOutcome<'a> {
    /// The write took effect; this is the record.
    Applied(&'a Record),
    /// The write has not taken effect and never will; this is what the store holds.
    NotApplied(&'a Record),
    /// The fate is unknown; the caller reads the record and reports again.
    Unknown,
}

/// Why a proposal was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The process neither leads nor may take over.
    #[error("propose at {peer}: the process neither leads nor may take over")]
    NotEntitled {
        /// The process itself.
        peer: Peer,
    },
    /// An earlier write is still in flight.
    #[error("propose at {peer}: an earlier write is still in flight")]
    Pending {
        /// The process itself.
        peer: Peer,
    },
    /// The trio is not three distinct processes with the proposer as leader.
    #[error("propose at {peer}: the trio must be three processes led by the proposer")]
    Malformed {
        /// The process itself.
        peer: Peer,
    },
    /// No standby that could seal belongs to the new trio.
    #[error("propose at {peer}: no answering standby belongs to the new trio")]
    NoStandby {
        /// The process itself.
        peer: Peer,
    },
}

/// A proposal on its way to the store.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    /// Trio proposed.
    pub replica_set: ReplicaSet,
    /// Whether the proposer's state misses no committed entry.
    pub complete: bool,
    /// How far the proposal has come.
    pub stage: Stage,
}

/// Stage of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A standby is asked to seal; given up at `until`.
    Sealing { through: Peer, until: Instant },
    /// The write may take effect at any time. Only renewals and acknowledgements of `through`
    /// count, none without one.
    Writing { through: Option<Peer> },
}

/// Checks that `trio` is three distinct processes led by `me`.
pub(crate) fn check(me: &Peer, replica_set: &ReplicaSet) -> Result<(), Error> {
    let distinct = replica_set.leader != replica_set.first
        && replica_set.leader != replica_set.second
        && replica_set.first != replica_set.second;
    if distinct && replica_set.leader == *me {
        return Ok(());
    }
    Err(Error::Malformed { peer: me.clone() })
}
