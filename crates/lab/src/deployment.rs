//! The built-in deployments: places, delays, services and backend servers.

use tarragon_model::config::{Class, Place, Preset, Presets, Shard};

/// Topology and services of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Regions with their failure domains; the store runs in the first failure domain.
    pub regions: Vec<Region>,
    /// Round-trip time between failure domains of a region, in microseconds.
    pub domain_us: u64,
    /// Round-trip time between regions, in microseconds.
    pub region_us: u64,
    /// Round-trip time between callers and hosts, in microseconds.
    pub caller_us: u64,
    /// Bandwidth between two regions in each direction, in bits per second.
    pub link_bits: u64,
    /// Time that a new connection costs a backend server, in microseconds.
    pub connect_us: u64,
    /// Services.
    pub services: Vec<Service>,
}

/// Region and its failure domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    /// Name of the region.
    pub name: &'static str,
    /// Names of its failure domains.
    pub domains: Vec<&'static str>,
}

/// Kind of requests that callers send to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Short idempotent reads by key.
    Read,
    /// Short non-idempotent requests, each with an identifier.
    Write,
    /// Idempotent reads with responses of up to tens of megabytes.
    Download,
}

/// Service of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: &'static str,
    /// Whether each key has one owner.
    pub keyed: bool,
    /// Whether the backend servers check fences.
    pub checks_fences: bool,
    /// Kind of requests that callers send to it.
    pub workload: Workload,
    /// Number of backend servers of each shard; shard `i` is placed in region `i`.
    pub shards: Vec<u16>,
    /// Number of key groups.
    pub groups: u32,
    /// Connection limit of one backend server.
    pub connections: u16,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: u32,
}

/// Requests that one backend server runs concurrently.
pub const SLOTS: u16 = 6;
/// Slots that plain downloads may use; the rest stays free for short requests.
const DOWNLOAD_SLOTS: u16 = 5;
/// Weight of urgent requests, for which a caller is waiting.
pub const URGENT_WEIGHT: u32 = 4;
/// Weight of all other requests.
pub const PLAIN_WEIGHT: u32 = 1;
/// Path segment after the key that marks a request as urgent.
pub const URGENT_PREFIX: &str = "urgent";
const BITS_PER_GBIT: u64 = 1_000_000_000;

impl Deployment {
    /// Returns the deployment called `name`.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "indus" => Some(Self::indus()),
            "atlas" => Some(Self::atlas()),
            _ => None,
        }
    }

    /// Returns the deployment of Indus Meridian.
    #[must_use]
    pub fn indus() -> Self {
        let connections = 110;
        Self {
            name: "indus",
            regions: vec![
                region("sindh", &["karachi-1", "karachi-2"]),
                region("balochistan", &["gwadar-1", "gwadar-2"]),
                region("punjab", &["lahore-1", "lahore-2"]),
            ],
            domain_us: 1_000,
            region_us: 12_000,
            caller_us: 1_000,
            link_bits: 4 * BITS_PER_GBIT,
            connect_us: 1_000,
            services: vec![
                read_service("balance", &[6, 5, 5], connections),
                write_service("purchase", false, &[4, 4, 4], connections),
                download_service("packages", connections),
            ],
        }
    }

    /// Returns the deployment of Atlas Marmotte.
    #[must_use]
    pub fn atlas() -> Self {
        let connections = 65;
        Self {
            name: "atlas",
            regions: vec![
                region("tunis", &["tunis-1", "tunis-2"]),
                region("kef", &["kef-1", "kef-2"]),
                region("sfax", &["sfax-1", "sfax-2"]),
            ],
            domain_us: 1_500,
            region_us: 12_000,
            caller_us: 3_000,
            link_bits: 4 * BITS_PER_GBIT,
            connect_us: 1_000,
            services: vec![
                read_service("availability", &[7, 7, 6], connections),
                write_service("booking", true, &[5, 4, 4], connections),
                download_service("media", connections),
            ],
        }
    }

    /// Returns the failure domains in the form used by the configuration.
    #[must_use]
    pub fn places(&self) -> Vec<Place> {
        let place = |region: &Region, domain: &str| Place {
            name: domain.to_owned(),
            region: region.name.to_owned(),
        };
        self.regions
            .iter()
            .flat_map(|region| {
                region
                    .domains
                    .iter()
                    .map(move |domain| place(region, domain))
            })
            .collect()
    }

    /// Returns the service with that workload.
    #[must_use]
    pub fn service(&self, workload: Workload) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.workload == workload)
    }

    /// Returns the round-trip time between two failure domains, in microseconds.
    #[must_use]
    pub fn round_trip_us(&self, from: &Place, to: &Place) -> u64 {
        if from.region != to.region {
            self.region_us
        } else if from.name != to.name {
            self.domain_us
        } else {
            0
        }
    }
}

impl Service {
    /// Returns the shards, each weighted by its number of backend servers.
    #[must_use]
    pub fn weights(&self) -> Vec<Shard> {
        let weighted = |count: &u16| Shard {
            weight: u32::from(*count),
        };
        self.shards.iter().map(weighted).collect()
    }

    /// Returns the service's request classes.
    #[must_use]
    pub fn classes(&self) -> Vec<Class> {
        let plain_slots = match self.workload {
            Workload::Download => DOWNLOAD_SLOTS,
            Workload::Read | Workload::Write => SLOTS,
        };
        vec![
            class("urgent", URGENT_PREFIX, URGENT_WEIGHT, SLOTS),
            class("plain", "", PLAIN_WEIGHT, plain_slots),
        ]
    }
}

/// Returns the presets, which both deployments share.
#[must_use]
pub fn presets() -> Presets {
    Presets {
        ordinary: Preset::default(),
        peak: Preset {
            wait_percent: 30,
            retry_percent: 5,
            ..Preset::default()
        },
        maintenance: Preset {
            rebalance: false,
            ..Preset::default()
        },
    }
}

fn region(name: &'static str, domains: &[&'static str]) -> Region {
    Region {
        name,
        domains: domains.to_vec(),
    }
}

fn class(name: &str, prefix: &str, weight: u32, max_slots: u16) -> Class {
    Class {
        name: name.to_owned(),
        prefix: prefix.to_owned(),
        weight,
        max_slots,
    }
}

fn read_service(name: &'static str, shards: &[u16], connections: u16) -> Service {
    Service {
        name,
        keyed: true,
        checks_fences: true,
        workload: Workload::Read,
        shards: shards.to_vec(),
        groups: 256,
        connections,
        deadline_ms: 1_000,
    }
}

fn write_service(name: &'static str, keyed: bool, shards: &[u16], connections: u16) -> Service {
    Service {
        name,
        keyed,
        checks_fences: false,
        workload: Workload::Write,
        shards: shards.to_vec(),
        groups: 96,
        connections,
        deadline_ms: 2_000,
    }
}

fn download_service(name: &'static str, connections: u16) -> Service {
    Service {
        name,
        keyed: false,
        checks_fences: false,
        workload: Workload::Download,
        shards: vec![4, 4, 4],
        groups: 96,
        connections,
        deadline_ms: 60_000,
    }
}
