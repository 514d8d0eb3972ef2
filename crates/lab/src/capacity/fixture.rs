//! Synthetic hosts, configurations, records and messages for the experiments.

use std::net::{Ipv4Addr, SocketAddr};

use tarragon_model::config::{Backend, Config, Place, Presets, Service, Shard};
use tarragon_model::fence::Fence;
use tarragon_model::host::{self, Peer};
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::time::Instant;
use tarragon_model::{config, shard};
use tarragon_node::input::Now;
use tarragon_node::message::Heartbeat;
use tarragon_node::node::{Node, Settings};
use tarragon_router::wire;
use tarragon_timeline::stamp::Stamp;

use crate::error::{Error, Result};

/// Failure domains of the planned system.
pub const FAILURE_DOMAINS: usize = 11;
/// Regions of the planned system.
pub const REGIONS: usize = 3;
/// Backend servers of one shard.
pub const BACKENDS: usize = 6;
/// Wall-clock time at the start of an experiment, in milliseconds since the Unix epoch.
pub const EPOCH_MS: u64 = 1_790_000_000_000;
/// First octet of the IPv4 addresses of hosts.
const HOST_NET: u8 = 10;
/// First octet of the IPv4 addresses of backend servers.
const BACKEND_NET: u8 = 11;

/// Returns the virtual time `ms` milliseconds after the start of an experiment.
#[must_use]
pub fn now(ms: u64) -> Now {
    Now {
        at: Instant::from_millis(1 + ms),
        unix_ms: EPOCH_MS + ms,
    }
}

/// Returns the address of the host or backend server with the index; `net` is the first octet.
fn addr(net: u8, index: usize, port: u16) -> SocketAddr {
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    let [_, a, b, c] = index.to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(net, a, b, c).into(), port)
}

fn failure_domain(index: usize) -> String {
    format!("domain-{}", index % FAILURE_DOMAINS)
}

fn region(index: usize) -> String {
    format!("region-{}", index % FAILURE_DOMAINS % REGIONS)
}

/// Returns the router process on a host.
#[must_use]
pub fn peer(index: usize) -> Peer {
    Peer::new(host::Id::new(&format!("host-{index:05}")), EPOCH_MS)
}

/// Returns the index of the n-th host in the region of host 0.
#[must_use]
pub fn same_region(n: usize) -> usize {
    let indices = (0..).filter(|index| (index % FAILURE_DOMAINS).is_multiple_of(REGIONS));
    indices.take(n + 1).last().unwrap_or_default()
}

/// Returns the host-list entry of a host.
#[must_use]
pub fn entry(index: usize) -> host::Entry {
    host::Entry {
        id: peer(index).host,
        region: region(index),
        failure_domain: failure_domain(index),
        peer_addr: addr(HOST_NET, index, 7101),
        forward_addr: addr(HOST_NET, index, 7201),
        admin_addr: addr(HOST_NET, index, 7301),
        state: host::State::Live,
    }
}

/// Returns the host-list entries of the first `count` hosts.
#[must_use]
pub fn entries(count: usize) -> Vec<host::Entry> {
    (0..count).map(entry).collect()
}

/// Returns a node that has received no input.
#[must_use]
pub fn node(index: usize) -> Node {
    let settings = Settings {
        policies: tarragon_node::policies::Policies::default(),
        me: peer(index),
        entry: entry(index),
        no_regrant_wait: false,
        resend_after_first_byte: false,
    };
    Node::new(settings, now(0))
}

/// Returns a heartbeat of a host that leads no shard.
#[must_use]
pub fn heartbeat(index: usize) -> Heartbeat {
    Heartbeat {
        entry: entry(index),
        config_version: 1,
        leads: Vec::new(),
        draining: false,
    }
}

/// Dimensions of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of services.
    pub services: usize,
    /// Number of shards of each service.
    pub shards: usize,
    /// Number of key groups of each shard.
    pub groups: usize,
    /// Number of backend servers of each shard.
    pub backends: usize,
}

/// Returns a configuration of the given dimensions, with all backend servers in the failure
/// domain of host 0.
#[must_use]
pub fn config(size: Size) -> Config {
    Config {
        token: String::new(),
        places: (0..FAILURE_DOMAINS).map(place).collect(),
        services: (0..size.services)
            .map(|index| service(index, size))
            .collect(),
        presets: Presets::default(),
        preset: config::PresetName::Ordinary,
    }
}

fn place(index: usize) -> Place {
    Place {
        name: failure_domain(index),
        region: region(index),
    }
}

fn service(index: usize, size: Size) -> Service {
    let shards = (0..size.shards).map(|_| Shard { weight: 1 });
    let first = index * size.shards * size.backends;
    let backends = (0..size.shards * size.backends).map(|backend| Backend {
        id: format!("backend-{:06}", first + backend).as_str().into(),
        addr: addr(BACKEND_NET, first + backend, 80),
        place: failure_domain(0),
        shard: to_u16(backend / size.backends),
        draining: false,
        lost: false,
    });
    Service {
        name: format!("service-{index:04}").as_str().into(),
        keyed: true,
        checks_fences: false,
        groups: u32::try_from(size.groups * size.shards).unwrap_or(u32::MAX),
        shards: shards.collect(),
        backends: backends.collect(),
        slots: 6,
        connections: 110,
        deadline_ms: 1_000,
        orphan_ms: 60_000,
        classes: Vec::new(),
    }
}

/// Returns the first record of a shard; the host indices are the leader and the first and second
/// standby.
#[must_use]
pub fn record(replicas: [usize; 3]) -> Record {
    let [leader, first, second] = replicas.map(peer);
    Record {
        epoch: 1,
        fence: Fence::new(1, 0),
        index: 0,
        token: String::new(),
        replica_set: ReplicaSet {
            leader,
            first,
            second,
        },
        owners: Vec::new(),
        overrides: Vec::new(),
    }
}

/// Returns the identifier of a shard of the first service.
#[must_use]
pub fn shard(index: usize) -> shard::Id {
    shard::Id::new("service-0000".into(), to_u16(index))
}

/// Converts an index to `u16`, saturating.
#[must_use]
pub fn to_u16(index: usize) -> u16 {
    u16::try_from(index).unwrap_or(u16::MAX)
}

/// Encodes a message in the router's wire format.
///
/// # Errors
///
/// Fails when the message cannot be encoded as CBOR.
pub fn encode(message: tarragon_node::message::Message) -> Result<Vec<u8>> {
    let frame = wire::Frame {
        stamp: Stamp::new(EPOCH_MS * 1_000, 0),
        message,
    };
    wire::encode(&frame).map_err(codec_error)
}

/// Decodes a message from the router's wire format.
///
/// # Errors
///
/// Fails when the bytes are not a valid frame.
pub fn decode(bytes: &[u8]) -> Result<tarragon_node::message::Message> {
    let frame: wire::Frame = wire::decode(bytes).map_err(codec_error)?;
    Ok(frame.message)
}

/// Wraps an encoding or decoding error.
pub fn codec_error(error: impl std::error::Error + Send + Sync + 'static) -> Error {
    Error::Io {
        step: "code",
        peer: "frame".to_owned(),
        source: std::io::Error::other(error),
    }
}
