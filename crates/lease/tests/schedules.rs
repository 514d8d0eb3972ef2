//! Random schedules of faults, in which at most one member may act and no committed entry is lost.

mod common;

use std::thread;

use common::rng::Rng;
use common::{Counts, Fault, MS, Network, Simulation};
use tarragon_lease::seeded_fault::SeededFault;

/// Number of schedules run by default; `TARRAGON_CASES` overrides it.
const CASES: u64 = 8_000;
/// Number of schedules within which each seeded fault must be detected.
const SEEDED_FAULT_CASES: u64 = 2_000;
/// Length of a schedule in virtual time, in microseconds.
const DURATION: u64 = 9_000 * MS;

fn random_network(rng: &mut Rng) -> Network {
    let pick = |rng: &mut Rng, values: [u64; 4]| values[rng.index(4)];
    Network {
        loss_percent: pick(rng, [0, 0, 5, 20]),
        duplicate_percent: pick(rng, [0, 5, 20, 50]),
        late_percent: pick(rng, [0, 0, 2, 10]),
        store_lost_percent: pick(rng, [0, 20, 50, 80]),
        delay_max: pick(rng, [2 * MS, 10 * MS, 30 * MS, 300 * MS]),
    }
}

fn random_fault(rng: &mut Rng, hosts: usize) -> Fault {
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
        12 => Fault::KillActingHosts,
        13 => Fault::IsolateFromStandbys { micros },
        _ => Fault::Propose,
    }
}

/// Runs the schedule of one seed.
fn run(seed: u64, seeded_fault: Option<SeededFault>) -> Simulation {
    let mut rng = Rng::new(seed ^ 0x5eed);
    let hosts = 3 + rng.index(3);
    let mut simulation = Simulation::new(seed, hosts, random_network(&mut rng), seeded_fault);
    for _ in 0..rng.range(1..14) {
        let at = rng.range(100 * MS..DURATION - 1_000 * MS);
        simulation.schedule_fault(at, random_fault(&mut rng, hosts));
    }
    if rng.chance(30) {
        let at = rng.range(100 * MS..DURATION - 3_000 * MS);
        simulation.schedule_fault(at, Fault::Propose);
        let micros = rng.range(1_000 * MS..3_000 * MS);
        simulation.schedule_fault(
            at + rng.range(0..20 * MS),
            Fault::IsolateFromStandbys { micros },
        );
    }
    let every = rng.range(20 * MS..400 * MS);
    for at in (0..DURATION / every).map(|step| step * every) {
        simulation.schedule_fault(at, Fault::Append);
    }
    simulation.run_until(DURATION);
    simulation
}

fn add(total: &mut Counts, counts: &Counts) {
    total.terms += counts.terms;
    total.successions += counts.successions;
    total.incomplete += counts.incomplete;
    total.committed += counts.committed;
}

/// Runs the schedules of every `step`th seed and panics at the first violation.
fn run_all(first: u64, step: u64, cases: u64) -> Counts {
    let mut total = Counts::default();
    for seed in (first..cases).step_by(usize::try_from(step).unwrap()) {
        let simulation = run(seed, None);
        if let Some(violation) = &simulation.violation {
            panic!(
                "seed {seed}: {violation}; terms {:?}",
                simulation.terms_started
            );
        }
        add(&mut total, &simulation.counts);
    }
    total
}

#[test]
fn random_schedules_preserve_invariants() {
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
    let mut total = Counts::default();
    for run in runs {
        add(&mut total, &run.join().unwrap());
    }
    println!("schedules={cases} {total:?}");
    assert!(
        total.successions > cases / 10,
        "too few successions to exercise the protocol"
    );
    assert!(
        total.incomplete < total.terms / 5,
        "too many terms started with an incomplete replica"
    );
}

/// Defines tests that each seeded fault is detected.
macro_rules! detected {
    ($($name:ident: $seeded_fault:ident;)*) => {$(
        #[test]
        fn $name() {
            let detected = (0..SEEDED_FAULT_CASES).find(|&seed| {
                run(seed, Some(SeededFault::$seeded_fault)).violation.is_some()
            });
            println!("seeded_fault={:?} seed={detected:?}", SeededFault::$seeded_fault);
            assert!(detected.is_some(), "no schedule detects {:?}", SeededFault::$seeded_fault);
        }
    )*};
}

detected! {
    a_broken_promise_is_detected: IgnorePromise;
    acting_without_renewal_is_detected: ActWithoutRenewal;
    a_forgotten_seal_is_detected: ForgetSeal;
    a_vote_without_newer_state_is_detected: OmitNewerState;
}
