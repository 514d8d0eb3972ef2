//! What a host spends on the shards that it leads and stands by for.

use super::Experiment;
use crate::capacity::fixture::{self, Size};
use crate::capacity::mesh::{Mesh, Tally};
use crate::capacity::meter::{self, float};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

const SIZES: [usize; 6] = [1, 2, 4, 8, 16, 32];
/// Hosts of a trio.
const TRIO: usize = 3;
/// Key groups of each shard.
const GROUPS: usize = 64;
/// Virtual time until every shard is led.
const SETTLE_MS: u64 = 4_000;
/// Shards that one host leads in the planned system.
const PLANNED: f64 = 1.0;

/// Cost against shards led, with twice as many stood by for.
pub struct Shards;

impl Experiment for Shards {
    fn name(&self) -> &'static str {
        "shards"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "shards led";
        let mut cpu = Series::new("shards-cpu", x, "CPU ms a second", PLANNED).power();
        let mut bytes = Series::new("shards-bytes", x, "KB a second", PLANNED);
        let mut frames = Series::new("shards-frames", x, "frames a second", PLANNED);
        let mut probes = Series::new("shards-probes", x, "probes a second", PLANNED);
        for led in effort.sizes(&SIZES) {
            let mut mesh = mesh(*led);
            mesh.pass(SETTLE_MS)?;
            let seconds = seconds(&mut mesh, effort)?;
            let size = float(*led);
            let median =
                |value: fn(&Tally) -> f64| meter::median(seconds.iter().map(value).collect());
            cpu.add(size, median(|tally| tally.cpu.as_secs_f64() * 1e3));
            bytes.add(size, median(|tally| float(tally.bytes) / 1e3));
            frames.add(size, median(|tally| float(tally.frames)));
            probes.add(size, median(|tally| float(tally.probes)));
        }
        Ok(vec![cpu, bytes, frames, probes])
    }
}

/// Returns three hosts that each lead as many shards.
fn mesh(led: usize) -> Mesh {
    let shards = led * TRIO;
    let config = fixture::config(Size {
        services: 1,
        shards,
        groups: GROUPS,
        backends: fixture::BACKENDS,
    });
    let records = (0..shards).map(|index| {
        let trio = [0, 1, 2].map(|shift| fixture::local((index + shift) % TRIO));
        fixture::record(trio)
    });
    Mesh::new(TRIO, &config, &records.collect::<Vec<_>>())
}

/// Measures what one process does in each of a few seconds.
fn seconds(mesh: &mut Mesh, effort: Effort) -> Result<Vec<Tally>> {
    let mut seconds = Vec::new();
    for _ in 0..effort.repeats() {
        let before = mesh.tally(0);
        mesh.pass(1_000)?;
        seconds.push(mesh.tally(0).since(&before));
    }
    Ok(seconds)
}
