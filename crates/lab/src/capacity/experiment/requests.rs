//! Costs of requests for the leader of a shard and its standby.

use std::time::Duration;

use tarragon_model::key;
use tarragon_node::input::Submission;

use super::Experiment;
use crate::capacity::cluster::{Cluster, TICK_MS};
use crate::capacity::fixture::{self, EPOCH_MS, Size};
use crate::capacity::meter::{self, as_f64};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Numbers of requests per tick.
const SIZES: [usize; 5] = [1, 2, 4, 8, 12];
/// Requests per second to the shards that one host of the planned system leads.
const PLANNED: f64 = 2_188.0;
/// Key groups of the shard.
const GROUPS: usize = 64;
/// Virtual time until the shard has a leader and its backend servers are warmed up.
const SETTLE_MS: u64 = 8_000;
/// Ticks per second.
const TICKS: u64 = 1_000 / TICK_MS;
/// Number of bits of an identifier below its timestamp.
const TIME_SHIFT: u32 = 80;
/// Version and variant bits of a version 7 UUID.
const UUID_V7_BITS: u128 = 0x7000_8000_0000_0000_0000;

/// Cost by requests per second.
pub struct Requests;

impl Experiment for Requests {
    fn name(&self) -> &'static str {
        "requests"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "requests a second";
        let cpu = "CPU ms a second";
        let kilobytes = "KB a second";
        let new = |name, y| Series::new(name, x, y, PLANNED);
        let mut read = new("requests-idempotent-cpu", cpu);
        let mut write = new("requests-remembered-cpu", cpu);
        let mut bytes = new("requests-remembered-bytes", kilobytes);
        let mut standby = new("requests-remembered-standby-cpu", cpu);
        for each in effort.sizes(&SIZES) {
            let idempotent = measure(*each, true, effort)?;
            read.add(idempotent.rate, idempotent.leader_ms);
            let remembered = measure(*each, false, effort)?;
            write.add(remembered.rate, remembered.leader_ms);
            bytes.add(remembered.rate, remembered.kilobytes);
            standby.add(remembered.rate, remembered.standby_ms);
        }
        Ok(vec![read, write, bytes, standby])
    }
}

/// Cost of requests during one second.
struct Cost {
    rate: f64,
    leader_ms: f64,
    standby_ms: f64,
    kilobytes: f64,
}

/// Measures one second with `each` requests per tick; the fields are medians over the repetitions.
fn measure(each: usize, idempotent: bool, effort: Effort) -> Result<Cost> {
    let config = fixture::config(Size {
        services: 1,
        shards: 1,
        groups: GROUPS,
        backends: fixture::BACKENDS,
    });
    let record = fixture::record([0, 1, 2].map(fixture::same_region));
    let mut cluster = Cluster::new(3, &config, &[record]);
    cluster.advance(SETTLE_MS)?;
    let mut next = 0;
    let mut seconds = Vec::new();
    for _ in 0..effort.repeats() {
        let before = [cluster.usage(0), cluster.usage(1)];
        for _ in 0..TICKS {
            for _ in 0..each {
                next += 1;
                let submission = submission(next, cluster.now_ms(), idempotent);
                cluster.submit(0, submission);
            }
            cluster.advance(TICK_MS)?;
        }
        let leader = cluster.usage(0).since(&before[0]);
        let standby = cluster.usage(1).since(&before[1]);
        seconds.push((leader, standby));
    }
    let median =
        |value: &dyn Fn(&(_, _)) -> f64| meter::median(seconds.iter().map(value).collect());
    Ok(Cost {
        rate: median(&|(leader, _)| as_f64(leader.dispatched)),
        leader_ms: median(&|(leader, _)| leader.cpu.as_secs_f64() * 1e3),
        standby_ms: median(&|(_, standby)| standby.cpu.as_secs_f64() * 1e3),
        kilobytes: median(&|(leader, _)| as_f64(leader.bytes) / 1e3),
    })
}

fn submission(id: u64, now_ms: u64, idempotent: bool) -> Submission {
    let key = key::Hash::of(&format!("key-{id}"));
    let at = u128::from(EPOCH_MS + now_ms) << TIME_SHIFT;
    let shard = fixture::shard(0);
    Submission {
        id,
        service: shard.service.clone(),
        shard,
        key,
        group: key.group(u32::try_from(GROUPS).unwrap_or(u32::MAX)),
        class: 0,
        deadline: fixture::now(now_ms).at + Duration::from_secs(1),
        idempotent,
        identifier: (!idempotent).then_some(at | UUID_V7_BITS | u128::from(id)),
        fingerprint: id,
    }
}
