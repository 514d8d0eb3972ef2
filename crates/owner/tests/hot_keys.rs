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

/// Guards against hot keys that stay with few servers, and against moves of many other keys.
fn check_hot_keys(count: u16, seed: u64) {
    let mut service = Service::new(seed);
    service.run(20_000);
    let before = service.expected_imbalance();
    let (mut received, mut keys_moved, mut segments, mut commands) = (vec![0.0; 152], 0, 0, 0);
    let (mut served, mut late, mut refused, mut slowest, mut highest) = (0, 0, 0, 0, 0.0_f64);
    let mut mean_of_late_ratios = 0.0;
    for hot_ms in HOT_MS {
        service.set_hot(count);
        let (mut spread_ms, mut steps) = (0, 0.0);
        let mut sum = 0.0;
        for at in (0..hot_ms).step_by(STEP_MS as usize) {
            let period = service.run(STEP_MS);
            for (all, new) in received.iter_mut().zip(&period.received) {
                *all += new;
            }
            (served, late, refused) = (
                served + period.served,
                late + period.late,
                refused + period.refused,
            );
            (keys_moved, commands) = (keys_moved + period.keys_moved, commands + period.commands);
            segments = segments.max(period.max_segments);
            let imbalance = service.expected_imbalance();
            if imbalance >= MAX_IMBALANCE {
                spread_ms = at + STEP_MS;
            }
            if at >= SPREAD_MS {
                highest = highest.max(imbalance);
                sum += imbalance;
                steps += 1.0;
            }
        }
        slowest = slowest.max(spread_ms);
        mean_of_late_ratios += sum / steps / HOT_MS.len() as f64;
    }
    let hot_s = HOT_MS.iter().sum::<u64>() / 1_000;
    let all = f64::from(served + late + refused);
    let imbalance =
        received.iter().copied().fold(0.0, f64::max) * 152.0 / received.iter().sum::<f64>();
    println!(
        "hot={count} seed={seed} steady={before:.2} received_ratio={imbalance:.2} assigned_ratio={mean_of_late_ratios:.2} assigned_max={highest:.2} spread_ms={slowest} keys_moved_per_s={:.4} served={:.3} late={:.3} refused={:.3} segments={segments} commands_per_s={}",
        keys_moved as f64 / 65_536.0 / hot_s as f64,
        f64::from(served) / all,
        f64::from(late) / all,
        f64::from(refused) / all,
        commands / hot_s,
    );
    assert!(slowest <= SPREAD_MS, "spread after {slowest} ms");
    assert!(imbalance < MAX_IMBALANCE, "busiest to mean {imbalance:.2}");
}

macro_rules! hot_keys {
    ($($name:ident: $count:expr, $seed:expr;)*) => {
        $(#[test]
        fn $name() {
            check_hot_keys($count, $seed);
        })*
    };
}

hot_keys! {
    sixty_hot_keys_are_spread: 60, 1;
    sixty_other_hot_keys_are_spread: 60, 2;
    two_hundred_hot_keys_are_spread: 200, 3;
    two_hundred_other_hot_keys_are_spread: 200, 4;
}
