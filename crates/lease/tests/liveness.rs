//! Time until a shard has an acting leader again after a fault, on a network without message loss.

mod common;

use common::{Fault, MS, Network, Simulation};
use tarragon_lease::Role;
use tarragon_model::fence::Fence;

const SECOND: u64 = 1_000 * MS;
/// When the fault occurs.
const FAULT_AT: u64 = 2 * SECOND;
/// When each case ends.
const END: u64 = 12 * SECOND;
/// Number of seeds per case; the seed determines clock rates and delays.
const SEEDS: u64 = 50;
/// Maximum delay of a message.
const MAX_DELAY: u64 = 2 * MS;

fn healthy_simulation(seed: u64, hosts: usize) -> Simulation {
    let network = Network {
        delay_max: MAX_DELAY,
        ..Network::default()
    };
    let mut simulation = Simulation::new(seed, hosts, network, None);
    simulation.only_live_candidates = true;
    simulation.encode_messages = true;
    for at in 1..END / (100 * MS) {
        simulation.schedule_fault(at * 100 * MS, Fault::Append);
    }
    simulation.run_until(FAULT_AT - 500 * MS);
    assert_eq!(
        simulation.acting_hosts(),
        [0],
        "the leader acts before the fault"
    );
    simulation
}

fn stop_store(simulation: &mut Simulation) {
    simulation.schedule_fault(
        simulation.now,
        Fault::StoreDown {
            micros: 60 * SECOND,
        },
    );
}

fn latest_term(simulation: &Simulation) -> (u64, Fence) {
    simulation
        .terms_started
        .last()
        .map(|&(at, fence, _)| (at, fence))
        .unwrap()
}

/// Defines tests that run with every seed and check that no invariant was violated.
macro_rules! cases {
    ($($name:ident($simulation:ident, $hosts:expr) $body:block)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..SEEDS {
                let mut $simulation = healthy_simulation(seed, $hosts);
                $body
                assert_eq!($simulation.violation, None, "seed {seed}");
            }
        }
    )*};
}

cases! {
    leader_killed_then_first_acts_without_the_store(simulation, 3) {
        stop_store(&mut simulation);
        simulation.schedule_fault(FAULT_AT, Fault::Kill(0));
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [1]);
        assert_eq!(latest_term(&simulation).1, Fence::new(1, 1));
        assert!(latest_term(&simulation).0 < FAULT_AT + 1_500 * MS);
        assert!(gap < 1_500 * MS, "gap {gap} us");
    }

    leader_isolated_then_first_acts_without_the_store(simulation, 3) {
        stop_store(&mut simulation);
        simulation.schedule_fault(FAULT_AT, Fault::Isolate { host: 0, micros: 5 * SECOND });
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [1]);
        assert!(gap < 1_500 * MS, "gap {gap} us");
        assert_eq!(simulation.role(0), Role::Outside);
    }

    leader_frozen_for_ten_leases_finds_its_lease_expired(simulation, 3) {
        stop_store(&mut simulation);
        simulation.schedule_fault(FAULT_AT, Fault::Freeze { host: 0, micros: 10 * SECOND });
        simulation.run_until(END + 2 * SECOND);
        assert_eq!(simulation.acting_hosts(), [1]);
    }

    second_killed_then_leader_keeps_acting(simulation, 3) {
        stop_store(&mut simulation);
        simulation.schedule_fault(FAULT_AT, Fault::Kill(2));
        assert!(simulation.longest_gap(END) == 0);
        assert_eq!(simulation.acting_hosts(), [0]);
    }

    first_killed_then_leader_keeps_acting(simulation, 3) {
        stop_store(&mut simulation);
        simulation.schedule_fault(FAULT_AT, Fault::Kill(1));
        assert!(simulation.longest_gap(END) == 0);
        assert_eq!(simulation.acting_hosts(), [0]);
    }

    first_killed_then_replica_set_is_repaired_through_the_store(simulation, 5) {
        simulation.schedule_fault(FAULT_AT, Fault::Kill(1));
        let gap = simulation.longest_gap(END);
        assert!(simulation.record.epoch > 1);
        assert_eq!(simulation.acting_hosts(), [0]);
        assert!(gap == 0, "gap {gap} us");
    }

    resigned_then_first_acts_after_a_round_trip(simulation, 3) {
        stop_store(&mut simulation);
        simulation.schedule_fault(FAULT_AT, Fault::Resign);
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [1]);
        assert!(gap <= 4 * MAX_DELAY, "gap {gap} us");
    }

    leader_and_first_killed_then_second_acts_through_the_store(simulation, 5) {
        simulation.schedule_fault(FAULT_AT, Fault::Kill(0));
        simulation.schedule_fault(FAULT_AT, Fault::Kill(1));
        simulation.schedule_fault(FAULT_AT + SECOND, Fault::Restart(1));
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [2]);
        assert!(gap < 3_500 * MS, "gap {gap} us");
    }

    leader_and_second_killed_then_first_acts_through_the_store(simulation, 5) {
        simulation.schedule_fault(FAULT_AT, Fault::Kill(0));
        simulation.schedule_fault(FAULT_AT, Fault::Kill(2));
        simulation.schedule_fault(FAULT_AT + SECOND, Fault::DeclareLost(2));
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [1]);
        assert!(gap < 3_500 * MS, "gap {gap} us");
    }

    leader_replaced_while_second_is_lost_then_first_acts_through_the_store(simulation, 5) {
        simulation.schedule_fault(FAULT_AT, Fault::Kill(0));
        simulation.schedule_fault(FAULT_AT, Fault::Kill(2));
        simulation.schedule_fault(FAULT_AT + SECOND, Fault::Restart(0));
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [1]);
        assert!(gap < 3_500 * MS, "gap {gap} us");
    }

    leader_replaced_while_first_is_lost_then_second_acts_through_the_store(simulation, 5) {
        simulation.schedule_fault(FAULT_AT, Fault::Kill(0));
        simulation.schedule_fault(FAULT_AT, Fault::Kill(1));
        simulation.schedule_fault(FAULT_AT + SECOND, Fault::Restart(0));
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [2]);
        assert!(gap < 3_500 * MS, "gap {gap} us");
    }

    resigned_while_first_is_lost_then_second_acts_through_the_store(simulation, 5) {
        simulation.repair = false;
        simulation.schedule_fault(FAULT_AT, Fault::Kill(1));
        simulation.run_until(FAULT_AT + MS);
        simulation.repair = true;
        simulation.schedule_fault(FAULT_AT + 100 * MS, Fault::Resign);
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [2]);
        assert!(gap < 1_500 * MS, "gap {gap} us");
    }

    both_standbys_killed_then_leader_acts_through_the_store(simulation, 5) {
        simulation.schedule_fault(FAULT_AT, Fault::Kill(1));
        simulation.schedule_fault(FAULT_AT, Fault::Kill(2));
        simulation.schedule_fault(FAULT_AT + SECOND, Fault::Restart(1));
        simulation.schedule_fault(FAULT_AT + SECOND, Fault::DeclareLost(2));
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [0]);
        assert!(gap < 2_000 * MS, "gap {gap} us");
    }

    second_killed_after_a_succession_then_successor_keeps_acting(simulation, 5) {
        simulation.repair = false;
        simulation.schedule_fault(FAULT_AT, Fault::Kill(0));
        simulation.run_until(FAULT_AT + 1_500 * MS);
        assert_eq!(simulation.acting_hosts(), [1]);
        simulation.repair = true;
        simulation.schedule_fault(simulation.now, Fault::Kill(2));
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [1]);
        assert!(gap < 2_000 * MS, "gap {gap} us");
    }

    successor_killed_then_second_acts_through_the_store(simulation, 5) {
        simulation.repair = false;
        simulation.schedule_fault(FAULT_AT, Fault::Kill(0));
        simulation.run_until(FAULT_AT + 1_500 * MS);
        assert_eq!(simulation.acting_hosts(), [1]);
        simulation.repair = true;
        simulation.schedule_fault(simulation.now, Fault::Kill(1));
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts(), [2]);
        assert!(gap < 1_500 * MS, "gap {gap} us");
    }

    store_responses_lost_then_leader_recognizes_its_write(simulation, 5) {
        simulation.store_responses_to_lose = 3;
        simulation.schedule_fault(FAULT_AT, Fault::Propose);
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.record.epoch, 2);
        assert_eq!(simulation.acting_hosts(), [0]);
        assert!(gap == 0, "gap {gap} us");
    }

    leader_killed_after_its_write_then_a_standby_acts(simulation, 5) {
        simulation.schedule_fault(FAULT_AT, Fault::Propose);
        simulation.schedule_fault(FAULT_AT + 5 * MS, Fault::Kill(0));
        let gap = simulation.longest_gap(END);
        assert_eq!(simulation.acting_hosts().len(), 1);
        assert!(gap < 5_000 * MS, "gap {gap} us");
    }
}
