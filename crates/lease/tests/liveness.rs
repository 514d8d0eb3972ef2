//! How soon a shard is served again after one fault, on a calm network.

mod common;

use common::{Fault, MS, Network, World};
use tarragon_lease::Role;
use tarragon_model::fence::Fence;

const SECOND: u64 = 1_000 * MS;
/// When the fault strikes.
const STRIKE: u64 = 2 * SECOND;
/// End of each case.
const END: u64 = 12 * SECOND;
/// Seeds, and so clock rates and delays, that each case runs with.
const SEEDS: u64 = 50;
/// Greatest delay of a message.
const DELAY: u64 = 2 * MS;

fn calm(seed: u64, hosts: usize) -> World {
    let network = Network {
        delay_max: DELAY,
        ..Network::default()
    };
    let mut world = World::new(seed, hosts, network, None);
    world.foresight = true;
    world.encode = true;
    for at in 1..END / (100 * MS) {
        world.fault(at * 100 * MS, Fault::Append);
    }
    world.run_until(STRIKE - 500 * MS);
    assert_eq!(world.actors(), [0], "the leader acts before the fault");
    world
}

fn without_store(world: &mut World) {
    world.fault(
        world.now,
        Fault::StoreDown {
            micros: 60 * SECOND,
        },
    );
}

fn latest(world: &World) -> (u64, Fence) {
    world
        .began
        .last()
        .map(|&(at, fence, _)| (at, fence))
        .unwrap()
}

/// Names a case that runs with every seed and checks that nothing was broken.
macro_rules! cases {
    ($($name:ident($world:ident, $hosts:expr) $body:block)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..SEEDS {
                let mut $world = calm(seed, $hosts);
                $body
                assert_eq!($world.broken, None, "seed {seed}");
            }
        }
    )*};
}

cases! {
    leader_killed_then_first_acts_without_the_store(world, 3) {
        without_store(&mut world);
        world.fault(STRIKE, Fault::Kill(0));
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [1]);
        assert_eq!(latest(&world).1, Fence::new(1, 1));
        assert!(latest(&world).0 < STRIKE + 1_500 * MS);
        assert!(gap < 1_500 * MS, "gap {gap} us");
    }

    leader_isolated_then_first_acts_without_the_store(world, 3) {
        without_store(&mut world);
        world.fault(STRIKE, Fault::Isolate { host: 0, micros: 5 * SECOND });
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [1]);
        assert!(gap < 1_500 * MS, "gap {gap} us");
        assert_eq!(world.role(0), Role::Outside);
    }

    leader_frozen_for_ten_leases_finds_its_lease_lapsed(world, 3) {
        without_store(&mut world);
        world.fault(STRIKE, Fault::Freeze { host: 0, micros: 10 * SECOND });
        world.run_until(END + 2 * SECOND);
        assert_eq!(world.actors(), [1]);
    }

    second_killed_then_leader_keeps_acting(world, 3) {
        without_store(&mut world);
        world.fault(STRIKE, Fault::Kill(2));
        assert!(world.longest_gap(END) == 0);
        assert_eq!(world.actors(), [0]);
    }

    first_killed_then_leader_keeps_acting(world, 3) {
        without_store(&mut world);
        world.fault(STRIKE, Fault::Kill(1));
        assert!(world.longest_gap(END) == 0);
        assert_eq!(world.actors(), [0]);
    }

    first_killed_then_trio_is_repaired_through_the_store(world, 5) {
        world.fault(STRIKE, Fault::Kill(1));
        let gap = world.longest_gap(END);
        assert!(world.record.epoch > 1);
        assert_eq!(world.actors(), [0]);
        assert!(gap == 0, "gap {gap} us");
    }

    resigned_then_first_acts_after_a_round_trip(world, 3) {
        without_store(&mut world);
        world.fault(STRIKE, Fault::Resign);
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [1]);
        assert!(gap <= 4 * DELAY, "gap {gap} us");
    }

    leader_and_first_killed_then_second_acts_through_the_store(world, 5) {
        world.fault(STRIKE, Fault::Kill(0));
        world.fault(STRIKE, Fault::Kill(1));
        world.fault(STRIKE + SECOND, Fault::Restart(1));
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [2]);
        assert!(gap < 3_500 * MS, "gap {gap} us");
    }

    leader_and_second_killed_then_first_acts_through_the_store(world, 5) {
        world.fault(STRIKE, Fault::Kill(0));
        world.fault(STRIKE, Fault::Kill(2));
        world.fault(STRIKE + SECOND, Fault::DeclareLost(2));
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [1]);
        assert!(gap < 3_500 * MS, "gap {gap} us");
    }

    leader_replaced_while_second_is_lost_then_first_acts_through_the_store(world, 5) {
        world.fault(STRIKE, Fault::Kill(0));
        world.fault(STRIKE, Fault::Kill(2));
        world.fault(STRIKE + SECOND, Fault::Restart(0));
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [1]);
        assert!(gap < 3_500 * MS, "gap {gap} us");
    }

    leader_replaced_while_first_is_lost_then_second_acts_through_the_store(world, 5) {
        world.fault(STRIKE, Fault::Kill(0));
        world.fault(STRIKE, Fault::Kill(1));
        world.fault(STRIKE + SECOND, Fault::Restart(0));
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [2]);
        assert!(gap < 3_500 * MS, "gap {gap} us");
    }

    resigned_while_first_is_lost_then_second_acts_through_the_store(world, 5) {
        world.repair = false;
        world.fault(STRIKE, Fault::Kill(1));
        world.run_until(STRIKE + MS);
        world.repair = true;
        world.fault(STRIKE + 100 * MS, Fault::Resign);
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [2]);
        assert!(gap < 1_500 * MS, "gap {gap} us");
    }

    both_standbys_killed_then_leader_acts_through_the_store(world, 5) {
        world.fault(STRIKE, Fault::Kill(1));
        world.fault(STRIKE, Fault::Kill(2));
        world.fault(STRIKE + SECOND, Fault::Restart(1));
        world.fault(STRIKE + SECOND, Fault::DeclareLost(2));
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [0]);
        assert!(gap < 2_000 * MS, "gap {gap} us");
    }

    second_killed_after_a_succession_then_successor_goes_on(world, 5) {
        world.repair = false;
        world.fault(STRIKE, Fault::Kill(0));
        world.run_until(STRIKE + 1_500 * MS);
        assert_eq!(world.actors(), [1]);
        world.repair = true;
        world.fault(world.now, Fault::Kill(2));
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [1]);
        assert!(gap < 2_000 * MS, "gap {gap} us");
    }

    successor_killed_then_second_acts_through_the_store(world, 5) {
        world.repair = false;
        world.fault(STRIKE, Fault::Kill(0));
        world.run_until(STRIKE + 1_500 * MS);
        assert_eq!(world.actors(), [1]);
        world.repair = true;
        world.fault(world.now, Fault::Kill(1));
        let gap = world.longest_gap(END);
        assert_eq!(world.actors(), [2]);
        assert!(gap < 1_500 * MS, "gap {gap} us");
    }

    store_answers_lost_then_leader_recognises_its_write(world, 5) {
        world.store_lose_next = 3;
        world.fault(STRIKE, Fault::Propose);
        let gap = world.longest_gap(END);
        assert_eq!(world.record.epoch, 2);
        assert_eq!(world.actors(), [0]);
        assert!(gap == 0, "gap {gap} us");
    }

    leader_killed_after_its_write_then_a_standby_acts(world, 5) {
        world.fault(STRIKE, Fault::Propose);
        world.fault(STRIKE + 5 * MS, Fault::Kill(0));
        let gap = world.longest_gap(END);
        assert_eq!(world.actors().len(), 1);
        assert!(gap < 5_000 * MS, "gap {gap} us");
    }
}
