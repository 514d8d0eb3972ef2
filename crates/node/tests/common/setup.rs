//! Hosts, failure domains and services of every schedule.

use tarragon_model::config::{Backend, Config, Place, Service, Shard};
use tarragon_model::host::{Entry, State};

/// Number of hosts.
pub const HOSTS: usize = 5;
/// Slots of each backend server.
pub const SLOTS: u16 = 3;
/// Number of backend servers of each shard.
const BACKENDS_PER_SHARD: u16 = 3;
/// Number of failure domains.
const FAILURE_DOMAINS: usize = 3;
/// Names of the services: keyed with fence checks, keyed without fence checks, not keyed.
pub const SERVICES: [&str; 3] = ["checked", "plain", "free"];

pub fn entry(host: usize) -> Entry {
    let port = |base: usize| format!("10.0.0.1:{}", base + host).parse().unwrap();
    Entry {
        id: format!("h{host}").into(),
        region: "sindh".into(),
        failure_domain: format!("d{}", host % FAILURE_DOMAINS),
        peer_addr: port(7_000),
        forward_addr: port(8_000),
        admin_addr: port(9_000),
        state: State::Live,
    }
}

pub fn config() -> Config {
    let places = (0..FAILURE_DOMAINS).map(|domain| Place {
        name: format!("d{domain}"),
        region: "sindh".into(),
    });
    let services = (0..SERVICES.len()).map(service);
    Config {
        places: places.collect(),
        services: services.collect(),
        ..Config::default()
    }
}

fn service(index: usize) -> Service {
    let per_service = usize::from(BACKENDS_PER_SHARD) * 2;
    let backends = (0..per_service).map(|number| {
        let position = index * per_service + number;
        Backend {
            id: format!("b{position}").into(),
            addr: format!("10.0.0.2:{}", 10_000 + position).parse().unwrap(),
            place: format!("d{}", number % FAILURE_DOMAINS),
            shard: u16::from(number >= usize::from(BACKENDS_PER_SHARD)),
            draining: false,
            lost: false,
        }
    });
    Service {
        name: SERVICES[index].into(),
        keyed: index < 2,
        checks_fences: index == 0,
        groups: 16,
        shards: vec![Shard { weight: 1 }, Shard { weight: 1 }],
        backends: backends.collect(),
        slots: SLOTS,
        connections: 16,
        deadline_ms: 1_500,
        orphan_ms: if index == 0 { 2_000 } else { 15_000 },
        classes: Vec::new(),
    }
}

/// Access to a backend server of a configuration by its position over all services.
pub trait BackendAccess {
    fn backend_mut(&mut self, backend: usize) -> &mut Backend;
}

impl BackendAccess for Config {
    fn backend_mut(&mut self, backend: usize) -> &mut Backend {
        let mut all = self.services.iter_mut().flat_map(|one| &mut one.backends);
        all.nth(backend).unwrap()
    }
}
