//! Costs of a host for shards in which it has no role.

use tarragon_model::record::Record;
use tarragon_node::input::{Input, ReadRecord};
use tarragon_node::node::Node;

use super::{Experiment, SHARDS};
use crate::capacity::fixture;
use crate::capacity::meter::{self, as_f64};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Numbers of known shards.
const SIZES: [usize; 5] = [64, 256, 1_024, 4_096, 16_000];
/// Interval between ticks of the router, in milliseconds.
const TICK_MS: u64 = 5;
/// Ticks per second.
const TICKS: u64 = 200;

/// Cost by number of known shards.
pub struct KnownShards;

impl Experiment for KnownShards {
    fn name(&self) -> &'static str {
        "known"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "known shards";
        let y = "CPU ms a second";
        let mut tick = Series::new("known-shards-tick", x, y, SHARDS).with_power_growth();
        let y = "CPU ms a change of any record";
        let mut change = Series::new("known-shards-change", x, y, SHARDS);
        for shards in effort.sizes(&SIZES) {
            let records = records(*shards)?;
            let mut node = fixture::node(0);
            apply_records(&mut node, &records, 1);
            tick.add(as_f64(*shards), tick_second(&mut node, effort));
            let mut version = 1;
            let cost = meter::median_of(effort.repeats(), || {
                version += 1;
                meter::cpu_ms(|| apply_records(&mut node, &records, version))
            });
            change.add(as_f64(*shards), cost);
        }
        Ok(vec![tick, change])
    }
}

/// Returns the records of shards without host 0, encoded as in the store.
fn records(shards: usize) -> Result<Vec<Vec<u8>>> {
    let records = (1..=shards).map(|leader| {
        let record = fixture::record([leader, leader + 1, leader + 2]);
        serde_json::to_vec(&record).map_err(fixture::codec_error)
    });
    records.collect()
}

/// Decodes and applies all records, as the router does when one has changed; `version` is that of
/// the first record.
fn apply_records(node: &mut Node, records: &[Vec<u8>], version: u64) {
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

/// Measures one second of ticks, in CPU milliseconds.
fn tick_second(node: &mut Node, effort: Effort) -> f64 {
    let mut at = 0;
    let mut out = Vec::new();
    meter::median_of(effort.repeats(), || {
        meter::cpu_ms(|| {
            for _ in 0..TICKS {
                at += TICK_MS;
                node.handle(fixture::now(at), Input::Tick, &mut out);
                out.clear();
            }
        })
    })
}
