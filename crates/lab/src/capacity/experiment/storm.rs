//! Costs of the surviving hosts when a host that leads many shards is lost.

use super::Experiment;
use crate::capacity::cluster::{Cluster, TICK_MS, Usage};
use crate::capacity::fixture::{self, Size};
use crate::capacity::meter::{self, as_f64};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Numbers of shards that each host leads.
const SIZES: [usize; 5] = [1, 2, 4, 8, 16];
/// Hosts of the cluster; enough to complete the replica sets after the loss of one.
const HOSTS: usize = 5;
/// Key groups of each shard.
const GROUPS: usize = 64;
/// Virtual time until every shard has a leader.
const SETTLE_MS: u64 = 4_000;
/// Virtual time until the replica sets are complete again.
const REPAIR_MS: u64 = 8_000;
/// Shards led by the hosts of one failure domain of the planned system.
const PLANNED: f64 = 1_455.0;

/// Cost by number of shards that lose their leader; twice as many lose a standby.
pub struct Storm;

impl Experiment for Storm {
    fn name(&self) -> &'static str {
        "storm"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "shards that the lost host led";
        let new = |name, y| Series::new(name, x, y, PLANNED);
        let mut writes = new("storm-writes", "store updates wanted");
        let mut outage = new("storm-outage", "ms until all are led");
        let mut frames = new("storm-frames", "frames above ordinary");
        let mut cpu = new("storm-cpu", "CPU ms above ordinary, survivors");
        for shards in effort.sizes(&SIZES) {
            let losses = (0..effort.repeats()).map(|_| lose_host(*shards));
            let losses = losses.collect::<Result<Vec<_>>>()?;
            let median =
                |value: fn(&Loss) -> f64| meter::median(losses.iter().map(value).collect());
            let size = as_f64(*shards);
            writes.add(size, median(|loss| loss.writes));
            outage.add(size, median(|loss| loss.outage_ms));
            frames.add(size, median(|loss| loss.frames));
            cpu.add(size, median(|loss| loss.cpu_ms));
        }
        Ok(vec![writes, outage, frames, cpu])
    }
}

/// Cost of the loss of a host; all but the outage exclude the cost of an equal time without loss.
struct Loss {
    writes: f64,
    outage_ms: f64,
    frames: f64,
    cpu_ms: f64,
}

/// Measures the loss of one host.
fn lose_host(shards: usize) -> Result<Loss> {
    let mut cluster = cluster(shards);
    cluster.advance(SETTLE_MS)?;
    let ordinary = survivors_during(&mut cluster, REPAIR_MS)?;
    cluster.kill(0);
    let before = survivors(&cluster);
    let lost_at = cluster.now_ms();
    while cluster.acting_shards() < shards * HOSTS && cluster.now_ms() < lost_at + REPAIR_MS {
        cluster.advance(TICK_MS)?;
    }
    let outage_ms = cluster.now_ms() - lost_at;
    cluster.advance(REPAIR_MS - outage_ms)?;
    let during_loss = survivors(&cluster).since(&before);
    let cpu = during_loss.cpu.as_secs_f64() - ordinary.cpu.as_secs_f64();
    Ok(Loss {
        writes: as_f64(during_loss.writes) - as_f64(ordinary.writes),
        outage_ms: std::time::Duration::from_millis(outage_ms).as_secs_f64() * 1e3,
        frames: as_f64(during_loss.frames) - as_f64(ordinary.frames),
        cpu_ms: cpu * 1e3,
    })
}

/// Returns a cluster whose hosts each lead `led` shards and are standbys of twice as many.
fn cluster(led: usize) -> Cluster {
    let shards = led * HOSTS;
    let config = fixture::config(Size {
        services: 1,
        shards,
        groups: GROUPS,
        backends: fixture::BACKENDS,
    });
    let records = (0..shards).map(|index| {
        let replicas = [0, 1, 2].map(|shift| fixture::same_region((index + shift) % HOSTS));
        fixture::record(replicas)
    });
    Cluster::new(HOSTS, &config, &records.collect::<Vec<_>>())
}

/// Advances the cluster and returns the resource use of the survivors meanwhile.
fn survivors_during(cluster: &mut Cluster, ms: u64) -> Result<Usage> {
    let before = survivors(cluster);
    cluster.advance(ms)?;
    Ok(survivors(cluster).since(&before))
}

/// Returns the total resource use of all hosts but the first.
fn survivors(cluster: &Cluster) -> Usage {
    let usages = (1..HOSTS).map(|index| cluster.usage(index));
    usages.fold(Usage::default(), |sum, usage| sum.plus(&usage))
}
