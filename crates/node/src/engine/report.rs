//! Status that operators are shown of a shard that this process leads.

use serde_json::{Value, json};
use tarragon_model::key;

use super::Engine;
use super::backends::index;
use crate::health::Availability;

impl Engine {
    /// Returns the version of the configuration that is applied to the shard.
    #[must_use]
    pub fn applied_config_version(&self) -> u64 {
        self.applied_config_version
    }

    /// Returns the backend servers with their availability and load.
    #[must_use]
    pub fn backends(&self) -> Vec<Value> {
        let describe = |(position, health): (usize, &crate::health::Health)| {
            let backend = index(position);
            json!({
                "id": health.id,
                "state": availability_name(health.availability()),
                "running": self.scheduler.running(backend),
                "queued": self.scheduler.queued(backend),
                "speed": self.scheduler.speed(backend),
                "granted": health.is_granted(),
                "orphaned_keys": self.occupancy.orphaned_keys(backend),
            })
        };
        self.health.iter().enumerate().map(describe).collect()
    }

    /// Returns the owner of a key and the reasons for it.
    #[must_use]
    pub fn explain(&self, key: key::Hash) -> Value {
        let group = key.group(self.service.groups);
        let owner = self.owner_of(group, key);
        let mut why = vec![format!(
            "the key is in group {} of shard {}",
            group.0, self.shard
        )];
        if !self.service.keyed {
            why.push("the service has no owners: any backend server may run the request".into());
        } else if self.overrides.contains_key(&key) {
            why.push("the key is busy enough to have an owner of its own".into());
        } else {
            why.push("the key follows the owner of its group".into());
        }
        if let Some(health) = self.health.get(usize::from(owner)) {
            why.push(format!(
                "{} is {}",
                health.id,
                availability_name(health.availability())
            ));
        }
        if self.occupancy.is_elsewhere(key, owner) {
            why.push("requests wait: work of the key may still run on its former owner".into());
        }
        json!({ "group": group.0, "owner": self.backend_name(owner), "why": why })
    }

    /// Returns the names of the broken invariants and how often each was broken.
    pub fn broken_invariants(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let slots = self.scheduler.violations().total();
        let own = self
            .broken_invariants
            .iter()
            .map(|(name, count)| (*name, *count));
        own.chain((slots > 0).then_some(("slots", slots)))
    }
}

/// Returns the name of an availability as operators see it.
fn availability_name(availability: Availability) -> &'static str {
    match availability {
        Availability::Live => "live",
        Availability::Leaving => "leaving",
        Availability::Lost => "lost",
    }
}
