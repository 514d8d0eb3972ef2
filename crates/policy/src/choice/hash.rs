//! Baseline policy: the hash of the key selects the server.

use tarragon_model::key;

use super::{Candidate, Plugin, Policy};

inventory::submit! {
    Plugin { name: "hash", create: |_| Box::new(Hash) }
}

#[derive(Debug)]
struct Hash;

impl Policy for Hash {
    fn bind(&mut self, key: key::Hash, candidates: &[Candidate]) -> Option<u16> {
        Some(self.choose(key, candidates))
    }

    fn choose(&mut self, key: key::Hash, candidates: &[Candidate]) -> u16 {
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        candidates[key.group(count).0 as usize].backend
    }
}
