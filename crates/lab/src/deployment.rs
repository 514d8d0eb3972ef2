//! The two deployments: places, delays, services and backend servers.

use tarragon_model::config::{Class, Place, Preset, Presets, Shard};

/// Sizes of one deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Regions, each with its failure domains; the store stands in the first.
    pub regions: Vec<Region>,
    /// Round trip between failure domains, in microseconds.
    pub domain_us: u64,
    /// Round trip between regions, in microseconds.
    pub region_us: u64,
    /// Round trip between callers and hosts, in microseconds.
    pub caller_us: u64,
    /// Rate of the link between two regions each way, in bits per second.
    pub link_bits: u64,
    /// Cost of a new connection to a backend server, in microseconds.
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

/// Use that callers make of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Short idempotent reads by key.
    Read,
    /// Short non-idempotent requests, each with an identifier.
    Write,
    /// Downloads of up to some ten megabytes.
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
    /// Use that callers make of it.
    pub workload: Workload,
    /// Backend servers of each shard; shard `i` stands in region `i`.
    pub shards: Vec<u16>,
    /// Number of key groups.
    pub groups: u32,
    /// Connections that one backend server takes.
    pub connections: u16,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u32,
}

/// Requests that one backend server runs at a time.
pub const SLOTS: u16 = 6;
/// Slots that downloads may use, so that some stay free for short work.
const DOWNLOAD_SLOTS: u16 = 5;
/// Weight of requests that callers wait for at once.
pub const URGENT_WEIGHT: u32 = 4;
/// Weight of all other requests.
pub const PLAIN_WEIGHT: u32 = 1;
/// Segment of the path behind the key of an urgent request.
pub const URGENT_PREFIX: &str = "urgent";
const GIGABIT: u64 = 1_000_000_000;

impl Deployment {
    /// Returns the deployment of that name.
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
            link_bits: 4 * GIGABIT,
            connect_us: 1_000,
            services: vec![
                read("balance", &[6, 5, 5], connections),
                write("purchase", false, &[4, 4, 4], connections),
                download("packages", connections),
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
            link_bits: 4 * GIGABIT,
            connect_us: 1_000,
            services: vec![
                read("availability", &[7, 7, 6], connections),
                write("booking", true, &[5, 4, 4], connections),
                download("media", connections),
            ],
        }
    }

    /// Returns the failure domains as the configuration lists them.
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

    /// Returns the service that callers use in that way.
    #[must_use]
    pub fn service(&self, workload: Workload) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.workload == workload)
    }

    /// Returns the round trip between two failure domains, in microseconds.
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
    /// Returns the shards' weights, which follow their numbers of backend servers.
    #[must_use]
    pub fn weights(&self) -> Vec<Shard> {
        let weigh = |count: &u16| Shard {
            weight: u32::from(*count),
        };
        self.shards.iter().map(weigh).collect()
    }

    /// Returns the classes of work.
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

/// Returns the presets of both deployments.
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

fn read(name: &'static str, shards: &[u16], connections: u16) -> Service {
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

fn write(name: &'static str, keyed: bool, shards: &[u16], connections: u16) -> Service {
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

fn download(name: &'static str, connections: u16) -> Service {
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
