//! What a host spends on all other hosts.

use tarragon_model::fence::Fence;
use tarragon_node::input::{Input, ReadRecord};
use tarragon_node::message::{Envelope, Leadership, Message};
use tarragon_node::node::Node;
use tarragon_node::output::Output;

use super::{Experiment, HOSTS};
use crate::capacity::fixture;
use crate::capacity::meter::{self, float};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

const SIZES: [usize; 6] = [64, 256, 1_024, 2_048, 4_096, 16_000];
/// Sizes of what grows with the square of the hosts.
const SMALL_SIZES: [usize; 5] = [64, 256, 1_024, 2_048, 4_096];
/// Signs of life that a host sends to each other one in a second.
const HEARTBEATS: u64 = 4;
/// Time between two signs of life, in milliseconds.
const HEARTBEAT_MS: u64 = 250;
/// Lease messages of one measurement.
const RENEWALS: u64 = 256;

/// Cost against known hosts.
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
        let mut list = Series::new("hosts-list", x, "CPU ms a reading", HOSTS).power();
        let mut routes = Series::new("hosts-routes", x, "CPU ms a view", HOSTS).power();
        for hosts in effort.sizes(&SIZES) {
            let size = float(*hosts);
            let (ms, kilobytes) = send_heartbeats(*hosts, effort)?;
            send.add(size, ms);
            bytes.add(size, kilobytes);
            receive.add(size, receive_heartbeats(*hosts, effort)?);
            renew.add(size, answer_renewals(*hosts, effort));
        }
        for hosts in effort.sizes(&SMALL_SIZES) {
            list.add(float(*hosts), take_list(*hosts, effort));
            routes.add(float(*hosts), list_routes(*hosts, effort));
        }
        Ok(vec![send, bytes, receive, renew, list, routes])
    }
}

/// Returns a node that knows the first hosts from the list.
fn listed(hosts: usize) -> Node {
    let mut node = fixture::node(0);
    let input = Input::Hosts(fixture::entries(hosts));
    node.handle(fixture::now(0), input, &mut Vec::new());
    node
}

/// Measures a second of signs of life: processor time and kilobytes.
fn send_heartbeats(hosts: usize, effort: Effort) -> Result<(f64, f64)> {
    let mut node = listed(hosts);
    let mut at = 0;
    let mut costs = Vec::new();
    let mut bytes = 0;
    for _ in 0..effort.repeats() {
        let before = meter::cpu();
        bytes = 0;
        for _ in 0..HEARTBEATS {
            at += HEARTBEAT_MS;
            let mut out = Vec::new();
            node.handle(fixture::now(at), Input::Tick, &mut out);
            bytes += encoded(out)?;
        }
        let spent = meter::cpu().saturating_sub(before);
        costs.push(spent.as_secs_f64() * 1e3);
    }
    Ok((meter::median(costs), float(bytes) / 1e3))
}

fn encoded(out: Vec<Output>) -> Result<usize> {
    let mut bytes = 0;
    for output in out {
        if let Output::Send { message, .. } = output {
            bytes += fixture::encode(message)?.len();
        }
    }
    Ok(bytes)
}

/// Measures a second of signs of life that arrive.
fn receive_heartbeats(hosts: usize, effort: Effort) -> Result<f64> {
    let mut node = listed(hosts);
    let mut frames = Vec::new();
    for index in 1..hosts {
        let message = Message::Heartbeat(fixture::heartbeat(index));
        frames.push((fixture::peer(index), fixture::encode(message)?));
    }
    let mut out = Vec::new();
    let mut costs = Vec::new();
    for _ in 0..effort.repeats() {
        let before = meter::cpu();
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
        let spent = meter::cpu().saturating_sub(before);
        costs.push(spent.as_secs_f64() * 1e3);
    }
    Ok(meter::median(costs))
}

/// Measures one lease message at a standby, in microseconds.
fn answer_renewals(hosts: usize, effort: Effort) -> f64 {
    let mut node = listed(hosts);
    let leader = hosts - 1;
    let record = ReadRecord {
        shard: fixture::shard(0),
        version: 1,
        record: fixture::record([leader, 0, 1]),
    };
    let mut out = Vec::new();
    node.handle(fixture::now(0), Input::Records(vec![record]), &mut out);
    let mut seq = 0;
    let cost = meter::repeat(effort.repeats(), || {
        meter::cost_ms(|| {
            for _ in 0..RENEWALS {
                seq += 1;
                let input = renewal(leader, seq);
                node.handle(fixture::now(0), input, &mut out);
                out.clear();
            }
        })
    });
    cost * 1e3 / float(usize::try_from(RENEWALS).unwrap_or(usize::MAX))
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

/// Measures one reading of the host list.
fn take_list(hosts: usize, effort: Effort) -> f64 {
    let mut node = listed(hosts);
    meter::repeat(effort.repeats(), || {
        let input = Input::Hosts(fixture::entries(hosts));
        meter::cost_ms(|| node.handle(fixture::now(0), input, &mut Vec::new()))
    })
}

/// Measures one view of all routes when each host leads one shard.
fn list_routes(hosts: usize, effort: Effort) -> f64 {
    let mut node = listed(hosts);
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
    meter::repeat(effort.repeats(), || {
        meter::cost_ms(|| node.routes().count())
    })
}
