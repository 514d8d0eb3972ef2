//! What a host spends on the shards that it has no part in.

use tarragon_model::record::Record;
use tarragon_node::input::{Input, ReadRecord};
use tarragon_node::node::Node;

use super::{Experiment, SHARDS};
use crate::capacity::fixture;
use crate::capacity::meter::{self, float};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

const SIZES: [usize; 5] = [64, 256, 1_024, 4_096, 16_000];
/// Time between two ticks of the router, in milliseconds.
const TICK_MS: u64 = 5;
/// Ticks in a second.
const TICKS: u64 = 200;

/// Cost against known shards.
pub struct Known;

impl Experiment for Known {
    fn name(&self) -> &'static str {
        "known"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "known shards";
        let y = "CPU ms a second";
        let mut tick = Series::new("known-shards-tick", x, y, SHARDS).power();
        let y = "CPU ms a change of any record";
        let mut change = Series::new("known-shards-change", x, y, SHARDS);
        for shards in effort.sizes(&SIZES) {
            let records = records(*shards)?;
            let mut node = fixture::node(0);
            take(&mut node, &records, 1);
            tick.add(float(*shards), second(&mut node, effort));
            let mut version = 1;
            let cost = meter::repeat(effort.repeats(), || {
                version += 1;
                meter::cost_ms(|| take(&mut node, &records, version))
            });
            change.add(float(*shards), cost);
        }
        Ok(vec![tick, change])
    }
}

/// Returns the records of shards that other hosts lead, as the store holds them.
fn records(shards: usize) -> Result<Vec<Vec<u8>>> {
    let records = (1..=shards).map(|leader| {
        let record = fixture::record([leader, leader + 1, leader + 2]);
        serde_json::to_vec(&record).map_err(fixture::coding)
    });
    records.collect()
}

/// Does what the keeper and the node do with all records when one has changed.
fn take(node: &mut Node, records: &[Vec<u8>], version: u64) {
    let decoded = records.iter().enumerate().filter_map(|(index, bytes)| {
        let record: Record = serde_json::from_slice(bytes).ok()?;
        let version = if index == 0 { version } else { 1 };
        Some(ReadRecord {
            shard: fixture::shard(index),
            version,
            record,
        })
    });
    let input = Input::Records(decoded.collect());
    node.handle(fixture::now(0), input, &mut Vec::new());
}

/// Measures a second of ticks.
fn second(node: &mut Node, effort: Effort) -> f64 {
    let mut at = 0;
    let mut out = Vec::new();
    meter::repeat(effort.repeats(), || {
        meter::cost_ms(|| {
            for _ in 0..TICKS {
                at += TICK_MS;
                node.handle(fixture::now(at), Input::Tick, &mut out);
                out.clear();
            }
        })
    })
}
