//! The latest known leader of each shard.

use std::collections::BTreeMap;

use tarragon_model::host::Peer;
use tarragon_model::shard;

use crate::message::Leadership;

/// The latest known leadership of each shard.
///
/// An entry is a hint: the process that it names checks its own lease before it acts.
#[derive(Debug, Default)]
pub struct Directory {
    leaderships: BTreeMap<shard::Id, Leadership>,
}

impl Directory {
    /// Records a leadership if its fence is later than the known one; returns whether it was.
    pub fn update(&mut self, leadership: &Leadership) -> bool {
        let known = self.leaderships.get(&leadership.shard);
        let later = known.is_none_or(|known| known.fence < leadership.fence);
        if later {
            self.leaderships
                .insert(leadership.shard.clone(), leadership.clone());
        }
        later
    }

    /// Returns the latest known leadership of a shard.
    #[must_use]
    pub fn leadership(&self, shard: &shard::Id) -> Option<&Leadership> {
        self.leaderships.get(shard)
    }

    /// Returns the latest known leadership of every known shard.
    pub fn all(&self) -> impl Iterator<Item = &Leadership> {
        self.leaderships.values()
    }

    /// Counts the shards that a process is known to lead.
    #[must_use]
    pub fn led_by(&self, peer: &Peer) -> usize {
        self.all()
            .filter(|leadership| leadership.leader == *peer)
            .count()
    }
}
