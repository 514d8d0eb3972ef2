//! Which process leads which shard, as far as this process has heard.

use std::collections::BTreeMap;

use tarragon_model::host::Peer;
use tarragon_model::shard;

use crate::message::Leadership;

/// The latest known reign over each shard.
///
/// An entry is a hint: the process that it names checks its own lease before it acts.
#[derive(Debug, Default)]
pub struct Directory {
    leads: BTreeMap<shard::Id, Leadership>,
}

impl Directory {
    /// Takes in a reign and tells whether it is later than the one known.
    pub fn learn(&mut self, lead: &Leadership) -> bool {
        let known = self.leads.get(&lead.shard);
        let later = known.is_none_or(|known| known.fence < lead.fence);
        if later {
            self.leads.insert(lead.shard.clone(), lead.clone());
        }
        later
    }

    /// Returns the latest known reign over a shard.
    #[must_use]
    pub fn lead(&self, shard: &shard::Id) -> Option<&Leadership> {
        self.leads.get(shard)
    }

    /// Returns all known reigns.
    pub fn all(&self) -> impl Iterator<Item = &Leadership> {
        self.leads.values()
    }

    /// Counts the shards that a process is known to lead.
    #[must_use]
    pub fn count(&self, peer: &Peer) -> usize {
        self.all().filter(|lead| lead.leader == *peer).count()
    }
}
