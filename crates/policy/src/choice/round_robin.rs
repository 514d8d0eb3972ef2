//! Baseline policy: round robin over the candidates.

use tarragon_model::key;

use super::{Candidate, Plugin, Policy};

inventory::submit! {
    Plugin { name: "round-robin", create: |_| Box::new(RoundRobin::default()) }
}

#[derive(Debug, Default)]
struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn bind(&mut self, key: key::Hash, candidates: &[Candidate]) -> Option<u16> {
        Some(self.choose(key, candidates))
    }

    fn choose(&mut self, _key: key::Hash, candidates: &[Candidate]) -> u16 {
        let index = self.next % candidates.len();
        self.next = self.next.wrapping_add(1);
        candidates[index].backend
    }
}
