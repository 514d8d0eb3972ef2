//! Costs of a host for the shards that it leads and for which it is a standby.

use super::Experiment;
use crate::capacity::cluster::{Cluster, Usage};
use crate::capacity::fixture::{self, Size};
use crate::capacity::meter::{self, as_f64};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Numbers of shards that each host leads.
const SIZES: [usize; 6] = [1, 2, 4, 8, 16, 32];
/// Hosts of a replica set.
const REPLICAS: usize = 3;
/// Key groups of each shard.
const GROUPS: usize = 64;
/// Virtual time until every shard has a leader.
const SETTLE_MS: u64 = 4_000;
/// Shards that one host of the planned system leads.
const PLANNED: f64 = 1.0;

/// Cost by number of shards led; the host is a standby of twice as many.
pub struct Shards;

impl Experiment for Shards {
    fn name(&self) -> &'static str {
        "shards"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "shards led";
        let mut cpu = Series::new("shards-cpu", x, "CPU ms a second", PLANNED).with_power_growth();
        let mut bytes = Series::new("shards-bytes", x, "KB a second", PLANNED);
        let mut frames = Series::new("shards-frames", x, "frames a second", PLANNED);
        let mut probes = Series::new("shards-probes", x, "probes a second", PLANNED);
        for led in effort.sizes(&SIZES) {
            let mut cluster = cluster(*led);
            cluster.advance(SETTLE_MS)?;
            let seconds = seconds(&mut cluster, effort)?;
            let size = as_f64(*led);
            let median =
                |value: fn(&Usage) -> f64| meter::median(seconds.iter().map(value).collect());
            cpu.add(size, median(|usage| usage.cpu.as_secs_f64() * 1e3));
            bytes.add(size, median(|usage| as_f64(usage.bytes) / 1e3));
            frames.add(size, median(|usage| as_f64(usage.frames)));
            probes.add(size, median(|usage| as_f64(usage.probes)));
        }
        Ok(vec![cpu, bytes, frames, probes])
    }
}

/// Returns a cluster of three hosts that each lead `led` shards.
fn cluster(led: usize) -> Cluster {
    let shards = led * REPLICAS;
    let config = fixture::config(Size {
        services: 1,
        shards,
        groups: GROUPS,
        backends: fixture::BACKENDS,
    });
    let records = (0..shards).map(|index| {
        let replicas = [0, 1, 2].map(|shift| fixture::same_region((index + shift) % REPLICAS));
        fixture::record(replicas)
    });
    Cluster::new(REPLICAS, &config, &records.collect::<Vec<_>>())
}

/// Returns the resource use of the first process in each of a few seconds.
fn seconds(cluster: &mut Cluster, effort: Effort) -> Result<Vec<Usage>> {
    let mut seconds = Vec::new();
    for _ in 0..effort.repeats() {
        let before = cluster.usage(0);
        cluster.advance(1_000)?;
        seconds.push(cluster.usage(0).since(&before));
    }
    Ok(seconds)
}
