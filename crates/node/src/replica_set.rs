//! Selection of the three processes that replicate a shard.
//!
//! The leader and the first standby are in the region of the shard's backend servers, so that a
//! region that is cut off from the others keeps its shards. All three are in different failure
//! domains where possible, so that the loss of one failure domain takes at most one of them.

use smallvec::SmallVec;
use tarragon_model::host::Peer;
use tarragon_model::record::ReplicaSet;
use tarragon_model::shard;
use xxhash_rust::xxh3::xxh3_64;

/// A process that may be selected.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The process.
    pub peer: Peer,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Number of shards that it leads.
    pub led_shards: usize,
}

/// Requirements and preferences for a replica set.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The shard.
    pub shard: &'a shard::Id,
    /// Region of the shard's backend servers.
    pub region: &'a str,
    /// Process that must lead, if any.
    pub leader: Option<&'a Peer>,
    /// Process that must be the first standby, if any.
    pub first: Option<&'a Peer>,
    /// Processes that already hold the shard's state; they are preferred.
    pub keep: &'a [Peer],
}

/// Selects a replica set, or returns `None` if there are fewer than three candidates.
///
/// ```
/// use tarragon_model::{host::Peer, shard};
/// use tarragon_node::replica_set::{Candidate, Request, choose};
///
/// let candidate = |name: &str, domain: &str| Candidate {
///     peer: Peer::new(name.into(), 1),
///     region: "r".into(),
///     failure_domain: domain.into(),
///     led_shards: 0,
/// };
/// let shard = shard::Id::new("balance".into(), 0);
/// let request = Request { shard: &shard, region: "r", leader: None, first: None, keep: &[] };
/// let candidates = [candidate("a", "1"), candidate("b", "2"), candidate("c", "3")];
/// assert!(choose(request, &candidates).is_some());
/// ```
#[must_use]
pub fn choose(request: Request<'_>, candidates: &[Candidate]) -> Option<ReplicaSet> {
    let leader = required(candidates, request.leader)
        .or_else(|| best(candidates, &[], |candidate| leader_rank(request, candidate)))?;
    let first = required(candidates, request.first).or_else(|| {
        best(candidates, &[leader], |candidate| {
            first_rank(request, leader, candidate)
        })
    })?;
    let second = best(candidates, &[leader, first], |candidate| {
        second_rank(request, leader, first, candidate)
    })?;
    Some(ReplicaSet {
        leader: leader.peer.clone(),
        first: first.peer.clone(),
        second: second.peer.clone(),
    })
}

/// Returns a rank of a process for a shard that every process computes alike; lower comes first.
#[must_use]
pub fn rank(shard: &shard::Id, peer: &Peer) -> u64 {
    xxh3_64(format!("{shard} {}", peer.host).as_bytes())
}

/// Sort key of a candidate; smaller is better, earlier elements take precedence.
type Rank = SmallVec<[u64; 6]>;

/// Ranks a candidate for the leader.
fn leader_rank(request: Request<'_>, candidate: &Candidate) -> Rank {
    SmallVec::from_slice(&[
        u64::from(candidate.region != request.region),
        candidate.led_shards as u64,
        u64::from(!request.keep.contains(&candidate.peer)),
        rank(request.shard, &candidate.peer),
    ])
}

/// Ranks a candidate for the first standby.
fn first_rank(request: Request<'_>, leader: &Candidate, candidate: &Candidate) -> Rank {
    SmallVec::from_slice(&[
        u64::from(candidate.region != leader.region),
        u64::from(candidate.failure_domain == leader.failure_domain),
        u64::from(!request.keep.contains(&candidate.peer)),
        candidate.led_shards as u64,
        rank(request.shard, &candidate.peer),
    ])
}

/// Ranks a candidate for the second standby.
fn second_rank(
    request: Request<'_>,
    leader: &Candidate,
    first: &Candidate,
    candidate: &Candidate,
) -> Rank {
    SmallVec::from_slice(&[
        u64::from(candidate.failure_domain == leader.failure_domain),
        u64::from(candidate.failure_domain == first.failure_domain),
        u64::from(!request.keep.contains(&candidate.peer)),
        u64::from(candidate.region != leader.region),
        rank(request.shard, &candidate.peer),
    ])
}

/// Returns the candidate that the request requires, if any.
fn required<'a>(candidates: &'a [Candidate], peer: Option<&Peer>) -> Option<&'a Candidate> {
    candidates
        .iter()
        .find(|candidate| Some(&candidate.peer) == peer)
}

/// Returns the best candidate that is not selected yet.
fn best<'a>(
    candidates: &'a [Candidate],
    selected: &[&Candidate],
    rank: impl Fn(&Candidate) -> Rank,
) -> Option<&'a Candidate> {
    candidates
        .iter()
        .filter(|candidate| selected.iter().all(|other| other.peer != candidate.peer))
        .min_by_key(|candidate| rank(candidate))
}
