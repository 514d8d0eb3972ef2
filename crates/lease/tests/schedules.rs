//! Random schedules of faults: at most one member acts, and no committed entry is lost.

mod common;

use std::thread;

use common::rng::Rng;
use common::{Fault, MS, Network, Tally, World};
use tarragon_lease::seeded_fault::SeededFault;

/// Schedules run by default; `TARRAGON_CASES` overrides it.
const CASES: u64 = 8_000;
/// Schedules within which each flaw must show.
const SEEDED_FAULT_CASES: u64 = 2_000;
/// True time that a schedule lasts, in microseconds.
const SPAN: u64 = 9_000 * MS;

fn network(rng: &mut Rng) -> Network {
    let pick = |rng: &mut Rng, values: [u64; 4]| values[rng.index(4)];
    Network {
        loss_percent: pick(rng, [0, 0, 5, 20]),
        duplicate_percent: pick(rng, [0, 5, 20, 50]),
        late_percent: pick(rng, [0, 0, 2, 10]),
        store_lost_percent: pick(rng, [0, 20, 50, 80]),
        delay_max: pick(rng, [2 * MS, 10 * MS, 30 * MS, 300 * MS]),
    }
}

fn fault(rng: &mut Rng, hosts: usize) -> Fault {
    let host = rng.index(hosts);
    let micros = rng.range(50 * MS..3_000 * MS);
    match rng.range(0..16) {
        0 => Fault::Kill(host),
        1 | 2 => Fault::Restart(host),
        3 => Fault::DeclareLost(host),
        4 => Fault::Freeze {
            host,
            micros: rng.range(500 * MS..10_000 * MS),
        },
        5 => Fault::Freeze { host, micros },
        6 | 7 => Fault::Cut {
            from: host,
            to: rng.index(hosts),
            micros,
        },
        8 | 9 => Fault::Isolate { host, micros },
        10 => Fault::StoreDown { micros },
        11 => Fault::Resign,
        12 => Fault::KillActor,
        13 => Fault::Shun { micros },
        _ => Fault::Propose,
    }
}

/// Runs one schedule.
fn run(seed: u64, seeded_fault: Option<SeededFault>) -> World {
    let mut rng = Rng::new(seed ^ 0x5eed);
    let hosts = 3 + rng.index(3);
    let mut world = World::new(seed, hosts, network(&mut rng), seeded_fault);
    for _ in 0..rng.range(1..14) {
        let at = rng.range(100 * MS..SPAN - 1_000 * MS);
        world.fault(at, fault(&mut rng, hosts));
    }
    if rng.chance(30) {
        let at = rng.range(100 * MS..SPAN - 3_000 * MS);
        world.fault(at, Fault::Propose);
        let micros = rng.range(1_000 * MS..3_000 * MS);
        world.fault(at + rng.range(0..20 * MS), Fault::Shun { micros });
    }
    let every = rng.range(20 * MS..400 * MS);
    for at in (0..SPAN / every).map(|step| step * every) {
        world.fault(at, Fault::Append);
    }
    world.run_until(SPAN);
    world
}

fn add(total: &mut Tally, tally: &Tally) {
    total.terms += tally.terms;
    total.successions += tally.successions;
    total.incomplete += tally.incomplete;
    total.committed += tally.committed;
}

/// Runs the schedules of every `step`th seed and panics at the first violation.
fn run_all(first: u64, step: u64, cases: u64) -> Tally {
    let mut total = Tally::default();
    for seed in (first..cases).step_by(usize::try_from(step).unwrap()) {
        let world = run(seed, None);
        if let Some(broken) = &world.broken {
            panic!("seed {seed}: {broken}; terms {:?}", world.began);
        }
        add(&mut total, &world.tally);
    }
    total
}

#[test]
fn random_schedules_keep_the_promises() {
    let cases = std::env::var("TARRAGON_CASES").map_or(CASES, |text| text.parse().unwrap());
    let only = std::env::var("TARRAGON_SEED")
        .ok()
        .map(|text| text.parse().unwrap());
    if let Some(seed) = only {
        run_all(seed, 1, seed + 1);
        return;
    }
    let threads = thread::available_parallelism().map_or(1, |count| count.get() as u64);
    let runs: Vec<_> = (0..threads)
        .map(|first| thread::spawn(move || run_all(first, threads, cases)))
        .collect();
    let mut total = Tally::default();
    for run in runs {
        add(&mut total, &run.join().unwrap());
    }
    println!("schedules={cases} {total:?}");
    assert!(
        total.successions > cases / 10,
        "too few successions to mean anything"
    );
    assert!(
        total.incomplete < total.terms / 5,
        "too many terms without a proof of their state"
    );
}

/// Names a test that a broken rule is noticed.
macro_rules! caught {
    ($($name:ident: $seeded_fault:ident;)*) => {$(
        #[test]
        fn $name() {
            let caught = (0..SEEDED_FAULT_CASES).find(|&seed| run(seed, Some(SeededFault::$seeded_fault)).broken.is_some());
            println!("seeded_fault={:?} seed={caught:?}", SeededFault::$seeded_fault);
            assert!(caught.is_some(), "no schedule shows {:?}", SeededFault::$seeded_fault);
        }
    )*};
}

caught! {
    a_broken_promise_is_caught: NoPromise;
    acting_without_renewal_is_caught: ActWithoutRenewal;
    a_forgotten_seal_is_caught: ForgetSeal;
    a_yield_without_state_is_caught: SkipYieldState;
}
