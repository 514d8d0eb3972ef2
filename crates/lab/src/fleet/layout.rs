//! Names, places and addresses of the processes of a run, and their configuration files.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use rand::distr::{Alphanumeric, SampleString};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tarragon_model::config::{Backend, Config, Place, Service};
use tarragon_model::host;

use super::port::Block;
use crate::deployment::{self, Deployment, SLOTS};
use crate::error::{Result, io};
use crate::faults::Targets;

/// Length of the fleet key, in bytes.
const KEY_BYTES: usize = 64;
/// Range of the speed of a backend server, in percent of the nominal speed.
const SPEED_PERCENT: std::ops::RangeInclusive<u32> = 100..=400;

/// Longest time that a backend server keeps running a request whose connection is lost, in
/// milliseconds; longer than any fault freezes a backend server.
const ORPHAN_MS: u32 = 60_000;
const BITS_PER_MBIT: u64 = 1_000_000;

/// Host with its place and addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Name of the host.
    pub id: String,
    /// Place.
    pub place: Place,
    /// Address for requests from callers.
    pub caller_addr: SocketAddr,
    /// Address for control connections from other routers.
    pub peer_addr: SocketAddr,
    /// Address for requests that other routers forward.
    pub forward_addr: SocketAddr,
    /// Address for operators.
    pub admin_addr: SocketAddr,
}

/// Backend server as the run starts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Service that it belongs to.
    pub service: String,
    /// Entry in the configuration.
    pub declared: Backend,
    /// Place.
    pub place: Place,
    /// Whether it checks fences.
    pub checks_fences: bool,
    /// Connection limit in the configuration.
    pub connections: u16,
    /// Speed in percent of the nominal speed, unknown to the routers.
    pub speed_percent: u32,
}

/// Kind of target of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Another host's peer port.
    Peer,
    /// Another host's forward port.
    Forward,
    /// A backend server.
    Backend,
    /// The store.
    Store,
}

/// Connection from one host to one address through the fault proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// Host that dials.
    pub from: String,
    /// Host, backend server or `store` that is dialled.
    pub to: String,
    /// Kind of the target.
    pub endpoint: Endpoint,
    /// Address that the host dials.
    pub listen: SocketAddr,
    /// Address to which the fault proxy forwards.
    pub target: SocketAddr,
    /// Place of the host.
    pub from_place: Place,
    /// Place of the target.
    pub to_place: Place,
    /// Round-trip time, in microseconds.
    pub round_trip_us: u64,
}

impl Link {
    /// Returns the name of the link, unique within the run.
    #[must_use]
    pub fn name(&self) -> String {
        let kind = match self.endpoint {
            Endpoint::Peer => "peer",
            Endpoint::Forward => "forward",
            Endpoint::Backend => "backend",
            Endpoint::Store => "store",
        };
        format!("{}>{}:{kind}", self.from, self.to)
    }

    /// Returns the entry for the fault proxy; links between the same two regions share `bits` per
    /// second.
    fn proxy_entry(&self, bits: u64) -> serde_json::Value {
        let mut link = json!({
            "name": self.name(),
            "listen": self.listen,
            "target": self.target,
            "delay_us": self.round_trip_us / 2,
        });
        let (from, to) = (&self.from_place.region, &self.to_place.region);
        if from != to {
            link["mbit_per_s"] = json!(bits / BITS_PER_MBIT);
            link["group"] = json!(format!("{from}>{to}"));
        }
        link
    }
}

/// Layout of all processes of a run.
#[derive(Debug)]
pub struct Layout {
    /// Directory of the run's files.
    pub dir: PathBuf,
    /// Initial configuration.
    pub config: Config,
    /// Hosts.
    pub hosts: Vec<Host>,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Links from the hosts.
    pub links: Vec<Link>,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Address on which the fault proxy accepts commands.
    pub links_addr: SocketAddr,
    /// Time that a new connection costs a backend server, in microseconds.
    pub connect_us: u64,
    /// Bandwidth between two regions in each direction, in bits per second.
    pub link_bits: u64,
    ports: Block,
}

impl Layout {
    /// Plans a run whose files are kept in `dir`.
    ///
    /// # Errors
    ///
    /// Fails when ports run out.
    pub fn plan(deployment: &Deployment, hosts: usize, seed: u64, dir: &Path) -> Result<Self> {
        let mut ports = Block::claim()?;
        let places = deployment.places();
        let hosts = plan_hosts(&places, hosts, &mut ports)?;
        let servers = plan_servers(deployment, seed, &mut ports)?;
        let store_addr = ports.addr()?;
        let links_addr = ports.addr()?;
        let mut layout = Self {
            dir: dir.to_owned(),
            config: plan_config(deployment, &servers),
            hosts,
            servers,
            links: Vec::new(),
            store_addr,
            links_addr,
            connect_us: deployment.connect_us,
            link_bits: deployment.link_bits,
            ports,
        };
        layout.plan_links(deployment)?;
        Ok(layout)
    }

    fn plan_links(&mut self, deployment: &Deployment) -> Result<()> {
        let store_place = deployment.places().swap_remove(0);
        for host in &self.hosts {
            let peers = self.hosts.iter().filter(|peer| peer.id != host.id);
            let peers = peers.flat_map(|peer| {
                let to = |endpoint, addr| (peer.id.as_str(), endpoint, addr, &peer.place);
                [
                    to(Endpoint::Peer, peer.peer_addr),
                    to(Endpoint::Forward, peer.forward_addr),
                ]
            });
            let servers = self.servers.iter().map(|server| {
                let declared = &server.declared;
                (
                    declared.id.as_str(),
                    Endpoint::Backend,
                    declared.addr,
                    &server.place,
                )
            });
            let store = std::iter::once(("store", Endpoint::Store, self.store_addr, &store_place));
            for (to, endpoint, target, place) in peers.chain(servers).chain(store) {
                self.links.push(Link {
                    from: host.id.clone(),
                    to: to.to_owned(),
                    endpoint,
                    listen: self.ports.addr()?,
                    target,
                    from_place: host.place.clone(),
                    to_place: place.clone(),
                    round_trip_us: deployment.round_trip_us(&host.place, place),
                });
            }
        }
        Ok(())
    }

    /// Returns the path of a file of the run.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    /// Returns the path of a backend server's record file.
    #[must_use]
    pub fn record_path(&self, server: &Server) -> PathBuf {
        self.path(&format!("record-{}.jsonl", server.declared.id))
    }

    /// Returns the path of a host's settings.
    #[must_use]
    pub fn settings_path(&self, host: &Host) -> PathBuf {
        self.path(&format!("settings-{}.json", host.id))
    }

    /// Returns the path of the fault proxy's list of links.
    #[must_use]
    pub fn links_path(&self) -> PathBuf {
        self.path("links.json")
    }

    /// Writes the fleet key, the settings of each host, the links and the configuration.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be written.
    pub fn write(&self, seed: u64) -> Result<()> {
        std::fs::create_dir_all(&self.dir).map_err(io("create", self.dir.display().to_string()))?;
        let mut rng = StdRng::seed_from_u64(seed);
        let key = Alphanumeric.sample_string(&mut rng, KEY_BYTES);
        write(&self.path("fleet.key"), key.as_bytes())?;
        for host in &self.hosts {
            let text = format!("{:#}\n", self.settings(host));
            write(&self.settings_path(host), text.as_bytes())?;
        }
        let links: Vec<_> = self
            .links
            .iter()
            .map(|link| link.proxy_entry(self.link_bits))
            .collect();
        let links = json!({ "links": links }).to_string();
        write(&self.links_path(), links.as_bytes())?;
        let config = serde_json::to_vec_pretty(&self.config).unwrap_or_default();
        write(&self.path("config.json"), &config)
    }

    fn settings(&self, host: &Host) -> serde_json::Value {
        let own = self.links.iter().filter(|link| link.from == host.id);
        let dial: BTreeMap<String, String> = own
            .map(|link| (link.target.to_string(), link.listen.to_string()))
            .collect();
        json!({
            "host": host.id,
            "region": host.place.region,
            "failure_domain": host.place.name,
            "caller_addr": host.caller_addr,
            "peer_addr": host.peer_addr,
            "forward_addr": host.forward_addr,
            "admin_addr": host.admin_addr,
            "store_addr": self.store_addr,
            "fleet_key_file": self.path("fleet.key"),
            "dial": dial,
        })
    }

    /// Returns the names that faults may target.
    #[must_use]
    pub fn fault_targets(&self) -> Targets {
        let mut regions: Vec<String> = self.places().map(|place| place.region.clone()).collect();
        regions.dedup();
        Targets {
            hosts: self.hosts.iter().map(|host| host.id.clone()).collect(),
            backends: self
                .servers
                .iter()
                .map(|server| server.declared.id.to_string())
                .collect(),
            regions,
            domains: self.places().map(|place| place.name.clone()).collect(),
            services: self
                .config
                .services
                .iter()
                .map(|service| service.name.to_string())
                .collect(),
        }
    }

    fn places(&self) -> impl Iterator<Item = &Place> {
        self.config.places.iter()
    }
}

impl Host {
    /// Returns the host's entry in the platform's host list.
    #[must_use]
    pub fn entry(&self, state: host::State) -> host::Entry {
        host::Entry {
            id: self.id.as_str().into(),
            region: self.place.region.clone(),
            failure_domain: self.place.name.clone(),
            peer_addr: self.peer_addr,
            forward_addr: self.forward_addr,
            admin_addr: self.admin_addr,
            state,
        }
    }
}

fn write(path: &Path, bytes: &[u8]) -> Result<()> {
    std::fs::write(path, bytes).map_err(io("write", path.display().to_string()))
}

/// Places the hosts round-robin over the first failure domain of each region, then over the second
/// ones.
fn plan_hosts(places: &[Place], count: usize, ports: &mut Block) -> Result<Vec<Host>> {
    let first_domains = places.iter().step_by(2);
    let second_domains = places.iter().skip(1).step_by(2);
    let placement: Vec<&Place> = first_domains.chain(second_domains).collect();
    let host = |at: usize, ports: &mut Block| {
        Ok(Host {
            id: format!("h{}", at + 1),
            place: placement[at % placement.len()].clone(),
            caller_addr: ports.addr()?,
            peer_addr: ports.addr()?,
            forward_addr: ports.addr()?,
            admin_addr: ports.addr()?,
        })
    };
    (0..count).map(|at| host(at, ports)).collect()
}

fn plan_servers(deployment: &Deployment, seed: u64, ports: &mut Block) -> Result<Vec<Server>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut servers = Vec::new();
    for service in &deployment.services {
        for (shard, count) in (0_u16..).zip(&service.shards) {
            let region = &deployment.regions[usize::from(shard) % deployment.regions.len()];
            for number in 0..usize::from(*count) {
                let domain = region.domains[number % region.domains.len()];
                servers.push(Server {
                    service: service.name.to_owned(),
                    declared: Backend {
                        id: format!("{}-{}", service.name, servers.len())
                            .as_str()
                            .into(),
                        addr: ports.addr()?,
                        place: domain.to_owned(),
                        shard,
                        draining: false,
                        lost: false,
                    },
                    place: Place {
                        name: domain.to_owned(),
                        region: region.name.to_owned(),
                    },
                    checks_fences: service.checks_fences,
                    connections: service.connections,
                    speed_percent: rng.random_range(SPEED_PERCENT),
                });
            }
        }
    }
    Ok(servers)
}

fn plan_config(deployment: &Deployment, servers: &[Server]) -> Config {
    let declared = |service: &deployment::Service| {
        let own = servers
            .iter()
            .filter(|server| server.service == service.name);
        own.map(|server| server.declared.clone()).collect()
    };
    let service = |service: &deployment::Service| Service {
        name: service.name.into(),
        keyed: service.keyed,
        checks_fences: service.checks_fences,
        groups: service.groups,
        shards: service.weights(),
        backends: declared(service),
        slots: SLOTS,
        connections: service.connections,
        deadline_ms: service.deadline_ms,
        orphan_ms: ORPHAN_MS,
        classes: service.classes(),
    };
    Config {
        token: "first".to_owned(),
        places: deployment.places(),
        services: deployment.services.iter().map(service).collect(),
        presets: deployment::presets(),
        preset: tarragon_model::config::PresetName::Ordinary,
    }
}
