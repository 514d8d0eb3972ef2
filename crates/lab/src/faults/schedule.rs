//! Random fault schedules, determined by their seed.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use super::{Fault, Kind, Names, Scope, Targets};

/// Fault-free time at the start of a run, in milliseconds.
const QUIET_START_MS: u64 = 3_000;
/// Fault-free time at the end of a run, in milliseconds, so that every gap can close.
const QUIET_END_MS: u64 = 8_000;
/// Range of the pause between two faults that do not overlap, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1_000..5_000;
/// Range of the duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 1_500..8_000;
/// Probability that the next fault starts while a fault is active.
const OVERLAP_CHANCE: f64 = 0.3;

/// Generates a schedule for a run of `seconds`.
///
/// Some faults start halfway through the one before.
#[must_use]
pub fn random(seed: u64, seconds: u64, targets: &Targets) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end_ms = (seconds * 1_000).saturating_sub(QUIET_END_MS);
    let mut at_ms = QUIET_START_MS;
    let mut faults = Vec::new();
    while at_ms < end_ms {
        let fault = random_fault(&mut rng, at_ms, end_ms, targets);
        let overlaps = rng.random_bool(OVERLAP_CHANCE);
        at_ms += if overlaps {
            fault.for_ms / 2
        } else {
            fault.for_ms + rng.random_range(PAUSE_MS)
        };
        faults.push(fault);
    }
    faults
}

fn random_fault(rng: &mut StdRng, at_ms: u64, end_ms: u64, targets: &Targets) -> Fault {
    let (kind, _, scope) = Kind::ALL.choose(rng).copied().unwrap_or(Kind::ALL[0]);
    let duration_ms = rng.random_range(DURATION_MS);
    Fault {
        at_ms,
        kind,
        target: random_target(rng, scope, targets),
        for_ms: duration_ms
            .min(end_ms.saturating_sub(at_ms))
            .max(DURATION_MS.start),
    }
}

fn random_target(rng: &mut StdRng, scope: Scope, targets: &Targets) -> Names {
    match scope {
        Scope::Nothing | Scope::AnyHost | Scope::Preset | Scope::Service => Names::new(),
        Scope::Host => pick(rng, &targets.hosts, 1),
        Scope::Region => pick(rng, &targets.regions, 1),
        Scope::Domain | Scope::Group => pick(rng, &targets.domains, 1),
        Scope::Backend => pick(rng, &targets.backends, 1),
        Scope::Link if rng.random_bool(0.5) => pick(rng, &targets.hosts, 2),
        Scope::Link => {
            let mut endpoints = pick(rng, &targets.hosts, 1);
            endpoints.extend(pick(rng, &targets.backends, 1));
            endpoints
        }
    }
}

fn pick(rng: &mut StdRng, names: &[String], count: usize) -> Names {
    names.sample(rng, count).cloned().collect()
}
