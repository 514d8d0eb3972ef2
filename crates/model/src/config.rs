//! Configuration that operators write: services, failure domains and presets.

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

/// Operator configuration, stored as one versioned object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Unique token of the write attempt that produced this version.
    #[serde(default)]
    pub token: String,
    /// Failure domains of callers, hosts and backend servers.
    pub places: Vec<Place>,
    /// Services that callers send requests to.
    pub services: Vec<Service>,
    /// Limits of the three presets.
    #[serde(default)]
    pub presets: Presets,
    /// Name of the active preset.
    #[serde(default)]
    pub preset: PresetName,
}

impl Config {
    /// Returns the service named `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }

    /// Returns the active preset.
    #[must_use]
    pub fn active_preset(&self) -> &Preset {
        match self.preset {
            PresetName::Ordinary => &self.presets.ordinary,
            PresetName::Peak => &self.presets.peak,
            PresetName::Maintenance => &self.presets.maintenance,
        }
    }
}

/// Failure domain of callers, hosts or backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name of the failure domain.
    pub name: String,
    /// Region that the failure domain belongs to.
    pub region: String,
}

/// Service and the backend servers that run its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, the first segment of a request's path.
    pub name: service::Id,
    /// Whether each key has one owner among the backend servers.
    pub keyed: bool,
    /// Whether the backend servers check the fence of each request.
    pub checks_fences: bool,
    /// Number of key groups, fixed when the service is created.
    pub groups: u32,
    /// Shards of the service, fixed when the service is created.
    pub shards: Vec<Shard>,
    /// Backend servers that run the requests.
    pub backends: Vec<Backend>,
    /// Maximum number of requests that one backend server runs at a time.
    pub slots: u16,
    /// Maximum number of connections to one backend server, summed over all hosts.
    pub connections: u16,
    /// Default deadline of a request that sets none, in milliseconds.
    pub deadline_ms: u32,
    /// Longest time for which a backend server may keep running a request after the request's
    /// connection is lost, in milliseconds. It bounds how long the keys of such requests wait for
    /// a new owner.
    #[serde(default = "default_orphan_ms")]
    pub orphan_ms: u32,
    /// Request classes, matched in order; the last one matches every request.
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
    /// Each shard gets a contiguous range of groups whose length is proportional to its weight.
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

    /// Returns the groups of the shard `index`, in ascending order.
    pub fn groups_of(&self, index: u16) -> impl Iterator<Item = key::Group> + '_ {
        (0..self.groups)
            .map(key::Group)
            .filter(move |group| self.shard_of(*group).index == index)
    }

    /// Returns the backend servers of the shard `index`.
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

/// Shard of a service, which holds a share of the key groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// Weight of the shard's share of the groups, relative to the other shards of the service.
    pub weight: u32,
}

/// Backend server as declared by operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the backend server.
    pub id: backend::Id,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// Name of its failure domain, one of [`Config::places`].
    pub place: String,
    /// Index of the shard that it serves.
    pub shard: u16,
    /// Set by operators to drain the backend server and take it out of service.
    #[serde(default)]
    pub draining: bool,
    /// Set by operators who know that the process has ended and will not come back.
    #[serde(default)]
    pub lost: bool,
}

/// Class of requests within a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Prefix, after the key in the request's path, that selects this class.
    #[serde(default)]
    pub prefix: String,
    /// Value of one request answered before its deadline, relative to other classes.
    pub weight: u32,
    /// Maximum number of slots of one backend server that this class may use.
    pub max_slots: u16,
}

/// Name of one of the three presets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PresetName {
    /// Normal operation.
    #[default]
    Ordinary,
    /// Peak demand.
    Peak,
    /// Maintenance work on the deployment.
    Maintenance,
}

/// Limits of the three presets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Presets {
    /// Limits in normal operation.
    pub ordinary: Preset,
    /// Limits during peak demand.
    pub peak: Preset,
    /// Limits during maintenance.
    pub maintenance: Preset,
}

/// Limits that a preset sets. The router's guarantees hold under every preset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Preset {
    /// Share of each backend server's slots that may be used, in percent.
    pub slots_percent: u8,
    /// Longest time that a request may wait for a slot, in percent of its deadline.
    pub wait_percent: u8,
    /// Number of retries allowed for every 100 successful requests.
    pub retry_percent: u8,
    /// Whether ownership may move to balance the load.
    pub rebalance: bool,
    /// Lowest class weight whose requests are admitted.
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
