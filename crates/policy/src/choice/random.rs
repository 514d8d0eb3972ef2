//! Baseline policy: a uniformly random server.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tarragon_model::key;

use super::{Candidate, Plugin, Policy};

inventory::submit! {
    Plugin { name: "random", create: |seed| Box::new(Random(SmallRng::seed_from_u64(seed))) }
}

#[derive(Debug)]
struct Random(SmallRng);

impl Policy for Random {
    fn bind(&mut self, key: key::Hash, candidates: &[Candidate]) -> Option<u16> {
        Some(self.choose(key, candidates))
    }

    fn choose(&mut self, _key: key::Hash, candidates: &[Candidate]) -> u16 {
        candidates[self.0.random_range(0..candidates.len())].backend
    }
}
