//! What the leader of a shard and its standby spend on requests.

use std::time::Duration;

use tarragon_model::key;
use tarragon_node::input::Submission;

use super::Experiment;
use crate::capacity::fixture::{self, EPOCH_MS, Size};
use crate::capacity::mesh::{Mesh, TICK_MS};
use crate::capacity::meter::{self, float};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Requests in each tick.
const SIZES: [usize; 5] = [1, 2, 4, 8, 12];
/// Requests a second that one host leads in the planned system.
const PLANNED: f64 = 2_188.0;
/// Key groups of the shard.
const GROUPS: usize = 64;
/// Virtual time until the shard is led and its backend servers are warm.
const SETTLE_MS: u64 = 8_000;
/// Ticks in a second.
const TICKS: u64 = 1_000 / TICK_MS;
/// Bits of an identifier behind its time.
const TIME_SHIFT: u32 = 80;
/// Version and variant of a UUID of version 7.
const MARKS: u128 = 0x7000_8000_0000_0000_0000;

/// Cost against requests a second.
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
            let idempotent = second(*each, true, effort)?;
            read.add(idempotent.rate, idempotent.leader_ms);
            let remembered = second(*each, false, effort)?;
            write.add(remembered.rate, remembered.leader_ms);
            bytes.add(remembered.rate, remembered.kilobytes);
            standby.add(remembered.rate, remembered.standby_ms);
        }
        Ok(vec![read, write, bytes, standby])
    }
}

/// What a second of requests costs.
struct Second {
    rate: f64,
    leader_ms: f64,
    standby_ms: f64,
    kilobytes: f64,
}

fn second(each: usize, idempotent: bool, effort: Effort) -> Result<Second> {
    let config = fixture::config(Size {
        services: 1,
        shards: 1,
        groups: GROUPS,
        backends: fixture::BACKENDS,
    });
    let record = fixture::record([0, 1, 2].map(fixture::local));
    let mut mesh = Mesh::new(3, &config, &[record]);
    mesh.pass(SETTLE_MS)?;
    let mut next = 0;
    let mut seconds = Vec::new();
    for _ in 0..effort.repeats() {
        let before = [mesh.tally(0), mesh.tally(1)];
        for _ in 0..TICKS {
            for _ in 0..each {
                next += 1;
                let submission = submission(next, mesh.now_ms(), idempotent);
                mesh.submit(0, submission);
            }
            mesh.pass(TICK_MS)?;
        }
        let leader = mesh.tally(0).since(&before[0]);
        let standby = mesh.tally(1).since(&before[1]);
        seconds.push((leader, standby));
    }
    let median =
        |value: &dyn Fn(&(_, _)) -> f64| meter::median(seconds.iter().map(value).collect());
    Ok(Second {
        rate: median(&|(leader, _)| float(leader.dispatched)),
        leader_ms: median(&|(leader, _)| leader.cpu.as_secs_f64() * 1e3),
        standby_ms: median(&|(_, standby)| standby.cpu.as_secs_f64() * 1e3),
        kilobytes: median(&|(leader, _)| float(leader.bytes) / 1e3),
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
        identifier: (!idempotent).then_some(at | MARKS | u128::from(id)),
        fingerprint: id,
    }
}
