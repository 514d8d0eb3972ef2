//! Placement under the load of a keyed service of 152 servers (2 slots, a queue of 8, speeds 0.7, 0.7
//! and 1.7) with 670 reads of 140 ms and 240 orders of 180 ms per second, of which up to 44% of the
//! reads go to 60 or 200 neighboring keys that change every 4 to 5 s.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "times and rates of a simulation"
)]

mod keyed;

use keyed::Service;

/// Largest allowed load of the busiest server, relative to the mean.
const MAX_IMBALANCE: f64 = 2.5;
/// Time until the load is spread after a change, in milliseconds.
const SPREAD_MS: u64 = 2_000;
const STEP_MS: u64 = 50;
/// Duration of hot keys at one place, in milliseconds.
const HOT_MS: [u64; 8] = [4_000, 4_400, 4_800, 5_000, 4_200, 4_600, 4_000, 5_000];

/// What was seen while keys were hot.
struct Outcome {
    spread_ms: u64,
    /// Requests that the busiest server received, relative to the mean.
    imbalance: f64,
    served: f64,
    refused: f64,
    /// Share of all keys that moved per second.
    moved: f64,
    segments: usize,
    commands_per_s: u64,
}

fn play(count: u16, seed: u64) -> Outcome {
    let mut service = Service::new(seed);
    service.run(20_000);
    let steady = service.run(10_000);
    let steady_moved = steady.keys_moved as f64 / 655_360.0;
    let mut received = vec![0.0; 152];
    let (mut served, mut late, mut refused, mut spread_ms) = (0, 0, 0, 0);
    let (mut keys_moved, mut commands, mut segments) = (0, 0, 0);
    for hot_ms in HOT_MS {
        service.set_hot(count);
        for at in (0..hot_ms).step_by(STEP_MS as usize) {
            let period = service.run(STEP_MS);
            for (all, new) in received.iter_mut().zip(&period.received) {
                *all += new;
            }
            served += period.served;
            late += period.late;
            refused += period.refused;
            keys_moved += period.keys_moved;
            commands += period.commands;
            segments = segments.max(period.max_segments);
            if service.expected_imbalance() >= MAX_IMBALANCE {
                spread_ms = spread_ms.max(at + STEP_MS);
            }
        }
    }
    let hot_ms = HOT_MS.iter().sum::<u64>();
    let all = f64::from(served + late + refused);
    let busiest = received.iter().copied().fold(0.0, f64::max);
    let outcome = Outcome {
        spread_ms,
        imbalance: busiest * 152.0 / received.iter().sum::<f64>(),
        served: f64::from(served) / all,
        refused: f64::from(refused) / all,
        moved: keys_moved as f64 / 65.536 / hot_ms as f64,
        segments,
        commands_per_s: commands * 1_000 / hot_ms,
    };
    println!(
        "hot={count} seed={seed} spread_ms={spread_ms} imbalance={:.2} served={:.3} refused={:.3} moved={:.4} steady_moved={steady_moved:.4} segments={segments} commands_per_s={}",
        outcome.imbalance, outcome.served, outcome.refused, outcome.moved, outcome.commands_per_s,
    );
    outcome
}

/// Guards against hot keys that stay with few servers.
fn check_spread(count: u16, seed: u64) {
    let outcome = play(count, seed);
    let spread_ms = outcome.spread_ms;
    assert!(spread_ms <= SPREAD_MS, "spread after {spread_ms} ms");
    let imbalance = outcome.imbalance;
    assert!(imbalance < MAX_IMBALANCE, "busiest to mean {imbalance:.2}");
}

/// Guards against requests that fail while keys are hot, against moves of many other keys, and
/// against a number of segments and commands that grows with the changes.
fn check_callers(count: u16, seed: u64) {
    let outcome = play(count, seed);
    assert!(outcome.served > 0.95, "served {:.3}", outcome.served);
    assert!(outcome.refused < 0.03, "refused {:.3}", outcome.refused);
    assert!(
        outcome.imbalance < 4.0,
        "busiest to mean {:.2}",
        outcome.imbalance
    );
    assert!(
        outcome.moved < 0.01,
        "moved per second {:.4}",
        outcome.moved
    );
    assert!(
        outcome.segments <= 152 * 3 + 32,
        "{} segments",
        outcome.segments
    );
    let commands = outcome.commands_per_s;
    assert!(commands < 700, "{commands} commands per second");
}

macro_rules! hot_keys {
    ($($name:ident: $check:ident, $count:expr, $seed:expr;)*) => {
        $(#[test]
        fn $name() {
            $check($count, $seed);
        })*
    };
}

hot_keys! {
    sixty_hot_keys_are_spread: check_spread, 60, 1;
    sixty_other_hot_keys_are_spread: check_spread, 60, 2;
    two_hundred_hot_keys_are_spread: check_spread, 200, 3;
    two_hundred_other_hot_keys_are_spread: check_spread, 200, 4;
    callers_are_served_while_sixty_keys_are_hot: check_callers, 60, 5;
    callers_are_served_while_two_hundred_keys_are_hot: check_callers, 200, 6;
}
