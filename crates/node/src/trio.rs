//! Choice of the three processes that share the authority over a shard.
//!
//! Leader and first standby stand in the region of the shard's backend servers, so that a region
//! that is cut off keeps its shards; all three stand in different failure domains where possible,
//! so that the loss of one failure domain takes at most one of them.

use smallvec::SmallVec;
use tarragon_model::host::Peer;
use tarragon_model::record::ReplicaSet;
use tarragon_model::shard;
use xxhash_rust::xxh3::xxh3_64;

/// A process that may be chosen.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The process.
    pub peer: Peer,
    /// Region in which it stands.
    pub region: String,
    /// Failure domain in which it stands.
    pub failure_domain: String,
    /// Number of shards that it leads.
    pub leads: usize,
}

/// What is asked of a trio.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The shard.
    pub shard: &'a shard::Id,
    /// Region of the shard's backend servers.
    pub region: &'a str,
    /// Process that must lead, if any.
    pub leader: Option<&'a Peer>,
    /// Process that must be the first standby, if any.
    pub first: Option<&'a Peer>,
    /// Processes that hold the shard's state already.
    pub keep: &'a [Peer],
}

/// Chooses a trio, or returns `None` when fewer than three processes can be had.
///
/// ```
/// use tarragon_model::{host::Peer, shard};
/// use tarragon_node::trio::{Candidate, Wish, choose};
///
/// let candidate = |name: &str, domain: &str| Candidate {
///     peer: Peer::new(name.into(), 1),
///     region: "r".into(),
///     failure_domain: domain.into(),
///     leads: 0,
/// };
/// let shard = shard::Id::new("balance".into(), 0);
/// let wish = Wish { shard: &shard, region: "r", leader: None, first: None, keep: &[] };
/// let trio = choose(wish, &[candidate("a", "1"), candidate("b", "2"), candidate("c", "3")]);
/// assert!(trio.is_some());
/// ```
#[must_use]
pub fn choose(wish: Wish<'_>, candidates: &[Candidate]) -> Option<ReplicaSet> {
    let leader = fixed(candidates, wish.leader)
        .or_else(|| best(candidates, &[], |one| leader_rank(wish, one)))?;
    let first = fixed(candidates, wish.first)
        .or_else(|| best(candidates, &[leader], |one| first_rank(wish, leader, one)))?;
    let second = best(candidates, &[leader, first], |one| {
        second_rank(wish, leader, first, one)
    })?;
    Some(ReplicaSet {
        leader: leader.peer.clone(),
        first: first.peer.clone(),
        second: second.peer.clone(),
    })
}

/// Ranks a process for a shard in a way that all processes agree on: lower comes first.
#[must_use]
pub fn rank(shard: &shard::Id, peer: &Peer) -> u64 {
    xxh3_64(format!("{shard} {}", peer.host).as_bytes())
}

/// Sort key of a candidate: smaller is better.
type Rank = SmallVec<[u64; 6]>;

fn leader_rank(wish: Wish<'_>, one: &Candidate) -> Rank {
    SmallVec::from_slice(&[
        u64::from(one.region != wish.region),
        one.leads as u64,
        u64::from(!wish.keep.contains(&one.peer)),
        rank(wish.shard, &one.peer),
    ])
}

fn first_rank(wish: Wish<'_>, leader: &Candidate, one: &Candidate) -> Rank {
    SmallVec::from_slice(&[
        u64::from(one.region != leader.region),
        u64::from(one.failure_domain == leader.failure_domain),
        u64::from(!wish.keep.contains(&one.peer)),
        one.leads as u64,
        rank(wish.shard, &one.peer),
    ])
}

fn second_rank(wish: Wish<'_>, leader: &Candidate, first: &Candidate, one: &Candidate) -> Rank {
    SmallVec::from_slice(&[
        u64::from(one.failure_domain == leader.failure_domain),
        u64::from(one.failure_domain == first.failure_domain),
        u64::from(!wish.keep.contains(&one.peer)),
        u64::from(one.region != leader.region),
        rank(wish.shard, &one.peer),
    ])
}

fn fixed<'a>(candidates: &'a [Candidate], peer: Option<&Peer>) -> Option<&'a Candidate> {
    candidates.iter().find(|one| Some(&one.peer) == peer)
}

fn best<'a>(
    candidates: &'a [Candidate],
    taken: &[&Candidate],
    rank: impl Fn(&Candidate) -> Rank,
) -> Option<&'a Candidate> {
    candidates
        .iter()
        .filter(|one| taken.iter().all(|other| other.peer != one.peer))
        .min_by_key(|one| rank(one))
}
