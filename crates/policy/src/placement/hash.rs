//! Baseline planner: unweighted rendezvous hashing, without moves that balance the load.

use std::time::Duration;

use tarragon_model::key;
use tarragon_model::time::Instant;

use super::{Backend, Move, Moves, Planner, Plugin, Subject, View};

/// Name by which the planner is selected.
pub(super) const NAME: &str = "hash";

/// Odd multiplier, 2^64 divided by the golden ratio, that mixes group numbers into 64 bits.
const GOLDEN_RATIO_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

inventory::submit! {
    Plugin { name: NAME, create: || Box::new(Hash) }
}

#[derive(Debug)]
struct Hash;

impl Planner for Hash {
    fn initial(&self, groups: &[key::Group], backends: &[Backend]) -> Vec<u16> {
        groups
            .iter()
            .map(|group| highest_score(u64::from(group.0), backends).unwrap_or_default())
            .collect()
    }

    fn record(&mut self, _: Instant, _: key::Group, _: key::Hash, _: Duration, _: u16) {}

    fn plan(&mut self, _now: Instant, view: &View<'_>) -> Moves {
        let groups = (view.first_group.0..)
            .zip(view.owners)
            .map(|(group, owner)| (Subject::Group(key::Group(group)), u64::from(group), *owner));
        let keys = view
            .overrides
            .iter()
            .map(|entry| (Subject::Key(entry.key), entry.key.0, entry.owner));
        groups
            .chain(keys)
            .filter(|(_, _, owner)| must_evacuate(*owner, view.backends))
            .filter_map(|(subject, seed, from)| {
                let to = highest_score(seed, view.backends)?;
                Some(Move { subject, from, to })
            })
            .collect()
    }
}

/// Returns whether the groups and keys of a server must move: it takes no requests or is unknown.
fn must_evacuate(owner: u16, backends: &[Backend]) -> bool {
    let state = backends.get(usize::from(owner)).map(|server| server.state);
    state.is_none_or(|state| !state.takes_work())
}

/// Returns the server that takes keys and has the highest score for a seed.
fn highest_score(seed: u64, backends: &[Backend]) -> Option<u16> {
    (0_u16..)
        .zip(backends)
        .filter(|(_, server)| server.state.takes_keys())
        .map(|(index, _)| index)
        .max_by_key(|index| score(seed, *index))
}

/// Hashes a seed and a server index into a score.
fn score(seed: u64, backend: u16) -> u64 {
    let mut mixed = seed
        .wrapping_mul(GOLDEN_RATIO_MULTIPLIER)
        .wrapping_add(u64::from(backend) + 1);
    for _ in 0..3 {
        mixed ^= mixed >> 29;
        mixed = mixed.wrapping_mul(GOLDEN_RATIO_MULTIPLIER);
    }
    mixed ^ (mixed >> 32)
}
