//! Configuration that operators create: services, places and presets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{backend, key, service, shard};

mod check;

pub use self::check::{MAX_GROUPS, check, check_change, check_service};
pub use crate::problem::Problem;

/// Name of the store object, of the kind [`KIND`], that holds the [`Config`].
pub const OBJECT: &str = "main";
/// Kind of the store objects that hold configuration.
pub const KIND: &str = "config";

/// Everything that operators decide, as one versioned object in the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Unique text of the write attempt that produced this version.
    #[serde(default)]
    pub token: String,
    /// Where callers and backend servers stand.
    pub places: Vec<Place>,
    /// Services that callers address.
    pub services: Vec<Service>,
    /// The three presets.
    #[serde(default)]
    pub presets: Presets,
    /// The one preset in force.
    #[serde(default)]
    pub preset: PresetName,
}

impl Config {
    /// Returns the service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }

    /// Returns the preset in force.
    #[must_use]
    pub fn active_preset(&self) -> &Preset {
        match self.preset {
            PresetName::Ordinary => &self.presets.ordinary,
            PresetName::Peak => &self.presets.peak,
            PresetName::Maintenance => &self.presets.maintenance,
        }
    }
}

/// Failure domain in which callers, hosts or backend servers stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name of the failure domain.
    pub name: String,
    /// Region that holds the failure domain.
    pub region: String,
}

/// Service and the backend servers that run its work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, the first segment of a request's path.
    pub name: service::Id,
    /// Whether each key has one owner among the backend servers.
    pub keyed: bool,
    /// Whether the backend servers check the fence of each order.
    pub checks_fences: bool,
    /// Number of key groups, fixed when the service is created.
    pub groups: u32,
    /// Shards of the service, fixed when the service is created.
    pub shards: Vec<Shard>,
    /// Backend servers that run the work.
    pub backends: Vec<Backend>,
    /// Requests that one backend server runs at a time.
    pub slots: u16,
    /// Connections that one backend server takes over all hosts.
    pub connections: u16,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u32,
    /// Longest time that a backend server may go on with work whose connection is gone, in
    /// milliseconds; it bounds how long the keys of such work wait for a new owner.
    #[serde(default = "default_orphan_ms")]
    pub orphan_ms: u32,
    /// Classes of work, matched in order; the last matches everything.
    #[serde(default)]
    pub classes: Vec<Class>,
}

/// Default of [`Service::orphan_ms`].
fn default_orphan_ms() -> u32 {
    60_000
}

impl Service {
    /// Returns the shard that a key group belongs to.
    ///
    /// Groups are dealt to shards in runs whose lengths follow the shards' weights.
    #[must_use]
    pub fn shard_of(&self, group: key::Group) -> shard::Id {
        let total: u64 = self
            .shards
            .iter()
            .map(|shard| u64::from(shard.weight))
            .sum();
        let point = u64::from(group.0) * total / u64::from(self.groups.max(1));
        let mut end = 0;
        let index = self.shards.iter().position(|shard| {
            end += u64::from(shard.weight);
            point < end
        });
        let index = index.unwrap_or_default();
        shard::Id::new(self.name.clone(), u16::try_from(index).unwrap_or(u16::MAX))
    }

    /// Returns the groups of one shard, in order.
    pub fn groups_of(&self, index: u16) -> impl Iterator<Item = key::Group> + '_ {
        (0..self.groups)
            .map(key::Group)
            .filter(move |group| self.shard_of(*group).index == index)
    }

    /// Returns the backend servers of one shard.
    pub fn backends_of(&self, index: u16) -> impl Iterator<Item = &Backend> {
        self.backends
            .iter()
            .filter(move |backend| backend.shard == index)
    }

    /// Returns the identifiers of the service's shards.
    pub fn shard_ids(&self) -> impl Iterator<Item = shard::Id> + '_ {
        let count = u16::try_from(self.shards.len()).unwrap_or(u16::MAX);
        (0..count).map(|index| shard::Id::new(self.name.clone(), index))
    }
}

/// Share of a service's key groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// Share of the groups, relative to the other shards of the service.
    pub weight: u32,
}

/// Backend server as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the backend server.
    pub id: backend::Id,
    /// Address on which it takes work.
    pub addr: SocketAddr,
    /// Failure domain in which it stands.
    pub place: String,
    /// Shard that it serves.
    pub shard: u16,
    /// Set by operators to take the backend server out of service.
    #[serde(default)]
    pub draining: bool,
    /// Set by operators who know that the process is gone for good.
    #[serde(default)]
    pub lost: bool,
}

/// Class of work within a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Prefix of the path behind the key that puts a request in this class.
    #[serde(default)]
    pub prefix: String,
    /// Worth of one request answered in time, relative to other classes.
    pub weight: u32,
    /// Slots of a backend server that this class may use, at most.
    pub max_slots: u16,
}

/// Names one of the three presets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PresetName {
    /// Ordinary days.
    #[default]
    Ordinary,
    /// Peaks of demand.
    Peak,
    /// Maintenance.
    Maintenance,
}

/// The three presets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Presets {
    /// Ordinary days.
    pub ordinary: Preset,
    /// Peaks of demand.
    pub peak: Preset,
    /// Maintenance.
    pub maintenance: Preset,
}

/// Limits and shares that a preset sets; the promises hold under each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Preset {
    /// Share of each backend server's slots that may be used, in percent.
    pub slots_percent: u8,
    /// Longest time that a request may wait for a slot, in percent of its deadline.
    pub wait_percent: u8,
    /// Retries for each hundred requests that succeed.
    pub retry_percent: u8,
    /// Whether ownership may move to level the load.
    pub rebalance: bool,
    /// Lowest class weight that is admitted.
    pub min_weight: u32,
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            slots_percent: 100,
            wait_percent: 50,
            retry_percent: 10,
            rebalance: true,
            min_weight: 0,
        }
    }
}
