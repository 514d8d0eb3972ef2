//! Random schedules of faults, fixed by their seed.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use super::{Fault, Field, Kind, Names, Scope};

/// Time without faults at the start of a run, in milliseconds.
const CALM_START_MS: u64 = 3_000;
/// Time without faults at the end of a run, in milliseconds, so that every gap can close.
const CALM_END_MS: u64 = 8_000;
/// Shortest and longest time between the starts of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1_000..5_000;
/// Shortest and longest time that a fault lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 1_500..8_000;
/// Chance that a fault starts while the one before lasts.
const OVERLAP_CHANCE: f64 = 0.3;

/// Draws a schedule for a run of that length.
///
/// At times a second fault starts while the first lasts.
#[must_use]
pub fn draw(seed: u64, seconds: u64, field: &Field) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end_ms = (seconds * 1_000).saturating_sub(CALM_END_MS);
    let mut at_ms = CALM_START_MS;
    let mut faults = Vec::new();
    while at_ms < end_ms {
        let fault = one(&mut rng, at_ms, end_ms, field);
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

fn one(rng: &mut StdRng, at_ms: u64, end_ms: u64, field: &Field) -> Fault {
    let (kind, _, scope) = Kind::ALL.choose(rng).copied().unwrap_or(Kind::ALL[0]);
    let length = rng.random_range(LENGTH_MS);
    Fault {
        at_ms,
        kind,
        target: target(rng, scope, field),
        for_ms: length
            .min(end_ms.saturating_sub(at_ms))
            .max(LENGTH_MS.start),
    }
}

fn target(rng: &mut StdRng, scope: Scope, field: &Field) -> Names {
    match scope {
        Scope::Nothing | Scope::AnyHost | Scope::Preset | Scope::Service => Names::new(),
        Scope::Host => pick(rng, &field.hosts, 1),
        Scope::Region => pick(rng, &field.regions, 1),
        Scope::Domain | Scope::Group => pick(rng, &field.domains, 1),
        Scope::Backend => pick(rng, &field.backends, 1),
        Scope::Link if rng.random_bool(0.5) => pick(rng, &field.hosts, 2),
        Scope::Link => {
            let mut ends = pick(rng, &field.hosts, 1);
            ends.extend(pick(rng, &field.backends, 1));
            ends
        }
    }
}

fn pick(rng: &mut StdRng, names: &[String], count: usize) -> Names {
    names.sample(rng, count).cloned().collect()
}
