//! What the other hosts spend when a host that leads many shards is lost.

use super::Experiment;
use crate::capacity::fixture::{self, Size};
use crate::capacity::mesh::{Mesh, TICK_MS, Tally};
use crate::capacity::meter::{self, float};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

const SIZES: [usize; 5] = [1, 2, 4, 8, 16];
/// Hosts, so that new trios can be had after the loss.
const HOSTS: usize = 5;
/// Key groups of each shard.
const GROUPS: usize = 64;
/// Virtual time until every shard is led.
const SETTLE_MS: u64 = 4_000;
/// Virtual time until the shards have whole trios again.
const REPAIR_MS: u64 = 8_000;
/// Shards that the hosts lead of one failure domain of the planned system.
const PLANNED: f64 = 1_455.0;

/// Cost against shards that lose their leader, with twice as many that lose a standby.
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
            let losses = (0..effort.repeats()).map(|_| lose(*shards));
            let losses = losses.collect::<Result<Vec<_>>>()?;
            let median =
                |value: fn(&Loss) -> f64| meter::median(losses.iter().map(value).collect());
            let size = float(*shards);
            writes.add(size, median(|loss| loss.writes));
            outage.add(size, median(|loss| loss.outage_ms));
            frames.add(size, median(|loss| loss.frames));
            cpu.add(size, median(|loss| loss.cpu_ms));
        }
        Ok(vec![writes, outage, frames, cpu])
    }
}

/// What the loss of a host costs.
struct Loss {
    writes: f64,
    outage_ms: f64,
    frames: f64,
    cpu_ms: f64,
}

fn lose(shards: usize) -> Result<Loss> {
    let mut mesh = mesh(shards);
    mesh.pass(SETTLE_MS)?;
    let ordinary = phase(&mut mesh, REPAIR_MS)?;
    mesh.kill(0);
    let before = survivors(&mesh);
    let lost_at = mesh.now_ms();
    while mesh.acting() < shards * HOSTS && mesh.now_ms() < lost_at + REPAIR_MS {
        mesh.pass(TICK_MS)?;
    }
    let outage_ms = mesh.now_ms() - lost_at;
    mesh.pass(REPAIR_MS - outage_ms)?;
    let storm = survivors(&mesh).since(&before);
    let cpu = storm.cpu.as_secs_f64() - ordinary.cpu.as_secs_f64();
    Ok(Loss {
        writes: float(storm.writes) - float(ordinary.writes),
        outage_ms: std::time::Duration::from_millis(outage_ms).as_secs_f64() * 1e3,
        frames: float(storm.frames) - float(ordinary.frames),
        cpu_ms: cpu * 1e3,
    })
}

/// Returns hosts that each lead as many shards and stand by for twice as many.
fn mesh(led: usize) -> Mesh {
    let shards = led * HOSTS;
    let config = fixture::config(Size {
        services: 1,
        shards,
        groups: GROUPS,
        backends: fixture::BACKENDS,
    });
    let records = (0..shards).map(|index| {
        let trio = [0, 1, 2].map(|shift| fixture::local((index + shift) % HOSTS));
        fixture::record(trio)
    });
    Mesh::new(HOSTS, &config, &records.collect::<Vec<_>>())
}

fn phase(mesh: &mut Mesh, ms: u64) -> Result<Tally> {
    let before = survivors(mesh);
    mesh.pass(ms)?;
    Ok(survivors(mesh).since(&before))
}

/// Returns what all hosts but the first have done.
fn survivors(mesh: &Mesh) -> Tally {
    let tallies = (1..HOSTS).map(|index| mesh.tally(index));
    tallies.fold(Tally::default(), |sum, tally| sum.plus(&tally))
}
