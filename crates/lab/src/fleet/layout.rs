//! Where each process of a run stands, and the files that tell it so.

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
use crate::faults::Field;

/// Length of the fleet's key, in bytes.
const KEY_BYTES: usize = 64;
/// Slowest and fastest speed of a backend server, in percent of the nominal speed.
const SPEED_PERCENT: std::ops::RangeInclusive<u32> = 100..=400;

/// Host and its addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Name.
    pub id: String,
    /// Place.
    pub place: Place,
    /// Address of the callers' port.
    pub caller_addr: SocketAddr,
    /// Address of the port for other routers.
    pub peer_addr: SocketAddr,
    /// Address of the port for forwarded requests.
    pub forward_addr: SocketAddr,
    /// Address of the operators' port.
    pub admin_addr: SocketAddr,
}

/// Backend server as the run starts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Service.
    pub service: String,
    /// What operators declare.
    pub declared: Backend,
    /// Place.
    pub place: Place,
    /// Whether it checks fences.
    pub checks_fences: bool,
    /// Connections that it takes.
    pub connections: u16,
    /// Speed in percent of the nominal speed; nobody tells the routers.
    pub speed_percent: u32,
}

/// What a link leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Another host's peer port.
    Peer,
    /// Another host's forward port.
    Forward,
    /// A backend server.
    Backend,
    /// The store.
    Store,
}

/// Path from one host to one address, which the fault proxy provides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// Host that dials.
    pub from: String,
    /// Host, backend server or `store` that is dialled.
    pub to: String,
    /// What the link leads to.
    pub end: End,
    /// Address that the host dials.
    pub listen: SocketAddr,
    /// Address that the link leads to.
    pub target: SocketAddr,
    /// Place of the host.
    pub from_place: Place,
    /// Place of the target.
    pub to_place: Place,
    /// Round trip, in microseconds.
    pub round_trip_us: u64,
}

impl Link {
    /// Returns the name of the link, unique within the run.
    #[must_use]
    pub fn name(&self) -> String {
        let kind = match self.end {
            End::Peer => "peer",
            End::Forward => "forward",
            End::Backend => "backend",
            End::Store => "store",
        };
        format!("{}>{}:{kind}", self.from, self.to)
    }
}

/// All processes of a run.
#[derive(Debug)]
pub struct Layout {
    /// Directory of the run's files.
    pub dir: PathBuf,
    /// Configuration that operators create.
    pub config: Config,
    /// Hosts.
    pub hosts: Vec<Host>,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Links.
    pub links: Vec<Link>,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Address on which the fault proxy takes orders.
    pub links_addr: SocketAddr,
    ports: Block,
}

impl Layout {
    /// Plans a run in a directory.
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
                let to = |end, addr| (peer.id.as_str(), end, addr, &peer.place);
                [
                    to(End::Peer, peer.peer_addr),
                    to(End::Forward, peer.forward_addr),
                ]
            });
            let servers = self.servers.iter().map(|server| {
                let declared = &server.declared;
                (
                    declared.id.as_str(),
                    End::Backend,
                    declared.addr,
                    &server.place,
                )
            });
            let store = std::iter::once(("store", End::Store, self.store_addr, &store_place));
            for (to, end, target, place) in peers.chain(servers).chain(store) {
                self.links.push(Link {
                    from: host.id.clone(),
                    to: to.to_owned(),
                    end,
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

    /// Writes the fleet's key and each host's settings.
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

    /// Returns the names that faults may strike.
    #[must_use]
    pub fn field(&self) -> Field {
        let mut regions: Vec<String> = self.places().map(|place| place.region.clone()).collect();
        regions.dedup();
        Field {
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
    /// Returns the host's entry in the platform's list.
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

/// Spreads the hosts over the regions first, then over their failure domains.
fn plan_hosts(places: &[Place], count: usize, ports: &mut Block) -> Result<Vec<Host>> {
    let firsts = places.iter().step_by(2);
    let seconds = places.iter().skip(1).step_by(2);
    let order: Vec<&Place> = firsts.chain(seconds).collect();
    let host = |at: usize, ports: &mut Block| {
        Ok(Host {
            id: format!("h{}", at + 1),
            place: order[at % order.len()].clone(),
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
        orphan_ms: 60_000,
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
