//! Costs of a host for communication with all other hosts.

use tarragon_model::fence::Fence;
use tarragon_node::input::{Input, ReadRecord};
use tarragon_node::message::{Envelope, Leadership, Message};
use tarragon_node::node::Node;
use tarragon_node::output::Output;

use super::{Experiment, HOSTS};
use crate::capacity::fixture;
use crate::capacity::meter::{self, as_f64};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Numbers of known hosts.
const SIZES: [usize; 6] = [64, 256, 1_024, 2_048, 4_096, 16_000];
/// Numbers of known hosts for measurements whose cost grows with the square of that number.
const QUADRATIC_SIZES: [usize; 5] = [64, 256, 1_024, 2_048, 4_096];
/// Heartbeats per second from each host to every other.
const HEARTBEATS: u64 = 4;
/// Interval between heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 250;
/// Lease renewals per measurement.
const RENEWALS: u64 = 256;

/// Cost by number of known hosts.
pub struct Hosts;

impl Experiment for Hosts {
    fn name(&self) -> &'static str {
        "hosts"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "known hosts";
        let cpu = "CPU ms a second";
        let mut send = Series::new("hosts-heartbeat-send", x, cpu, HOSTS);
        let mut bytes = Series::new("hosts-heartbeat-bytes", x, "KB a second", HOSTS);
        let mut receive = Series::new("hosts-heartbeat-receive", x, cpu, HOSTS);
        let mut renew = Series::new("hosts-lease-answer", x, "CPU us a message", HOSTS);
        let mut list = Series::new("hosts-list", x, "CPU ms a reading", HOSTS).with_power_growth();
        let mut routes = Series::new("hosts-routes", x, "CPU ms a view", HOSTS).with_power_growth();
        for hosts in effort.sizes(&SIZES) {
            let size = as_f64(*hosts);
            let (ms, kilobytes) = send_heartbeats(*hosts, effort)?;
            send.add(size, ms);
            bytes.add(size, kilobytes);
            receive.add(size, receive_heartbeats(*hosts, effort)?);
            renew.add(size, respond_to_renewals(*hosts, effort));
        }
        for hosts in effort.sizes(&QUADRATIC_SIZES) {
            list.add(as_f64(*hosts), apply_list(*hosts, effort));
            routes.add(as_f64(*hosts), list_routes(*hosts, effort));
        }
        Ok(vec![send, bytes, receive, renew, list, routes])
    }
}

/// Returns a node that has the first hosts in its host list.
fn node_with_hosts(hosts: usize) -> Node {
    let mut node = fixture::node(0);
    let input = Input::Hosts(fixture::entries(hosts));
    node.handle(fixture::now(0), input, &mut Vec::new());
    node
}

/// Measures sending heartbeats for one second; returns CPU milliseconds and kilobytes.
fn send_heartbeats(hosts: usize, effort: Effort) -> Result<(f64, f64)> {
    let mut node = node_with_hosts(hosts);
    let mut at = 0;
    let mut costs = Vec::new();
    let mut bytes = 0;
    for _ in 0..effort.repeats() {
        let before = meter::thread_cpu_time();
        bytes = 0;
        for _ in 0..HEARTBEATS {
            at += HEARTBEAT_MS;
            let mut out = Vec::new();
            node.handle(fixture::now(at), Input::Tick, &mut out);
            bytes += encoded_len(out)?;
        }
        let spent = meter::thread_cpu_time().saturating_sub(before);
        costs.push(spent.as_secs_f64() * 1e3);
    }
    Ok((meter::median(costs), as_f64(bytes) / 1e3))
}

/// Encodes the messages to send and returns their total size in bytes.
fn encoded_len(out: Vec<Output>) -> Result<usize> {
    let mut bytes = 0;
    for output in out {
        if let Output::Send { message, .. } = output {
            bytes += fixture::encode(message)?.len();
        }
    }
    Ok(bytes)
}

/// Measures receiving one second's heartbeats; returns CPU milliseconds.
fn receive_heartbeats(hosts: usize, effort: Effort) -> Result<f64> {
    let mut node = node_with_hosts(hosts);
    let mut frames = Vec::new();
    for index in 1..hosts {
        let message = Message::Heartbeat(fixture::heartbeat(index));
        frames.push((fixture::peer(index), fixture::encode(message)?));
    }
    let mut out = Vec::new();
    let mut costs = Vec::new();
    for _ in 0..effort.repeats() {
        let before = meter::thread_cpu_time();
        for round in 0..HEARTBEATS {
            for (from, bytes) in &frames {
                let input = Input::Message {
                    from: from.clone(),
                    message: fixture::decode(bytes)?,
                };
                node.handle(fixture::now(round * HEARTBEAT_MS), input, &mut out);
                out.clear();
            }
        }
        let spent = meter::thread_cpu_time().saturating_sub(before);
        costs.push(spent.as_secs_f64() * 1e3);
    }
    Ok(meter::median(costs))
}

/// Measures the response of a standby to one lease renewal, in CPU microseconds.
fn respond_to_renewals(hosts: usize, effort: Effort) -> f64 {
    let mut node = node_with_hosts(hosts);
    let leader = hosts - 1;
    let record = ReadRecord {
        shard: fixture::shard(0),
        version: 1,
        record: fixture::record([leader, 0, 1]),
    };
    let mut out = Vec::new();
    node.handle(fixture::now(0), Input::Records(vec![record]), &mut out);
    let mut seq = 0;
    let cost = meter::median_of(effort.repeats(), || {
        meter::cpu_ms(|| {
            for _ in 0..RENEWALS {
                seq += 1;
                let input = renewal(leader, seq);
                node.handle(fixture::now(0), input, &mut out);
                out.clear();
            }
        })
    });
    cost * 1e3 / as_f64(usize::try_from(RENEWALS).unwrap_or(usize::MAX))
}

fn renewal(leader: usize, seq: u64) -> Input {
    let lease = Envelope {
        shard: fixture::shard(0),
        message: tarragon_lease::Message::Renew {
            fence: Fence::new(1, 0),
            seq,
        },
    };
    Input::Message {
        from: fixture::peer(leader),
        message: Message::Lease(lease),
    }
}

/// Measures applying the host list once, in CPU milliseconds.
fn apply_list(hosts: usize, effort: Effort) -> f64 {
    let mut node = node_with_hosts(hosts);
    meter::median_of(effort.repeats(), || {
        let input = Input::Hosts(fixture::entries(hosts));
        meter::cpu_ms(|| node.handle(fixture::now(0), input, &mut Vec::new()))
    })
}

/// Measures listing all routes once when each host leads one shard, in CPU milliseconds.
fn list_routes(hosts: usize, effort: Effort) -> f64 {
    let mut node = node_with_hosts(hosts);
    let mut out = Vec::new();
    for index in 1..hosts {
        let mut heartbeat = fixture::heartbeat(index);
        heartbeat.leads.push(Leadership {
            shard: fixture::shard(index),
            fence: Fence::new(1, 0),
            leader: fixture::peer(index),
        });
        let input = Input::Message {
            from: fixture::peer(index),
            message: Message::Heartbeat(heartbeat),
        };
        node.handle(fixture::now(0), input, &mut out);
        out.clear();
    }
    meter::median_of(effort.repeats(), || meter::cpu_ms(|| node.routes().count()))
}
