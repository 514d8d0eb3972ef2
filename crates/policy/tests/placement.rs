//! Placement of many groups: fair shares, churn, hot keys and no moves under steady load.

use std::collections::HashMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tarragon_model::key::{Group, Hash};
use tarragon_model::time::Instant;
use tarragon_policy::backend::State;
use tarragon_policy::placement::{self, Backend, Move, Override, Planner, Subject, View};

const GROUPS: u32 = 64;
const STEP: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(10);

/// Shard whose moves take effect immediately.
struct Shard {
    planner: Box<dyn Planner>,
    backends: Vec<Backend>,
    owners: Vec<u16>,
    overrides: HashMap<Hash, Override>,
    now: Instant,
    rng: SmallRng,
    rebalance: bool,
}

impl Shard {
    fn new(name: &str, speeds: &[f64], seed: u64) -> Self {
        let planner = placement::create(name).unwrap();
        let backends: Vec<Backend> = speeds
            .iter()
            .map(|speed| Backend {
                speed: *speed,
                state: State::Live,
            })
            .collect();
        let groups: Vec<Group> = (0..GROUPS).map(Group).collect();
        let owners = planner.initial(&groups, &backends);
        Self {
            planner,
            backends,
            owners,
            overrides: HashMap::new(),
            now: Instant::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            rebalance: true,
        }
    }

    /// Runs a load for a number of seconds and returns the moves; `hot` is the share of requests
    /// for one key.
    fn run(&mut self, seconds: u32, hot: f64) -> Vec<Move> {
        let mut moves = Vec::new();
        for _ in 0..seconds * 10 {
            self.now = self.now + STEP;
            for _ in 0..100 {
                self.request(hot);
            }
            moves.extend(self.plan());
        }
        moves
    }

    fn request(&mut self, hot: f64) {
        let is_hot = self.rng.random::<f64>() < hot;
        let key = if is_hot {
            Hash::of("hot")
        } else {
            Hash(self.rng.random())
        };
        let group = key.group(GROUPS);
        let owner = self.owner(key);
        let is_straggler = self.rng.random::<f64>() < 0.02;
        let work = WORK * if is_straggler { 50 } else { 1 };
        let time = work.div_f64(self.backends[usize::from(owner)].speed);
        self.planner.record(self.now, group, key, time, owner);
    }

    fn owner(&self, key: Hash) -> u16 {
        let own = self.overrides.get(&key).map(|entry| entry.owner);
        own.unwrap_or(self.owners[key.group(GROUPS).0 as usize])
    }

    fn plan(&mut self) -> Vec<Move> {
        let overrides: Vec<Override> = self.overrides.values().copied().collect();
        let moves = self.planner.plan(
            self.now,
            &View {
                first_group: Group(0),
                owners: &self.owners,
                overrides: &overrides,
                backends: &self.backends,
                rebalance: self.rebalance,
            },
        );
        for change in &moves {
            self.apply(change);
        }
        moves.into_vec()
    }

    fn apply(&mut self, change: &Move) {
        match change.subject {
            Subject::Group(group) => {
                let owner = &mut self.owners[group.0 as usize];
                assert_eq!(*owner, change.from);
                *owner = change.to;
            }
            Subject::Key(key) => {
                assert_eq!(self.owner(key), change.from);
                let group = key.group(GROUPS);
                let owner = change.to;
                self.overrides.insert(key, Override { key, group, owner });
                if self.owners[group.0 as usize] == owner {
                    self.overrides.remove(&key);
                }
            }
        }
        assert!(self.backends[usize::from(change.to)].state.takes_keys());
    }

    fn owned(&self, backend: u16) -> usize {
        self.owners
            .iter()
            .filter(|owner| **owner == backend)
            .count()
    }

    /// Returns the highest expected ratio of load to fair share over the servers.
    fn busiest_ratio(&self, hot: f64) -> f64 {
        let group = (1.0 - hot) / f64::from(GROUPS);
        let total: f64 = self.backends.iter().map(|server| server.speed).sum();
        (0_u16..)
            .zip(&self.backends)
            .map(|(index, server)| {
                let owned = f64::from(u32::try_from(self.owned(index)).unwrap());
                let has_hot = hot > 0.0 && self.owner(Hash::of("hot")) == index;
                let load = owned * group + if has_hot { hot } else { 0.0 };
                load * total / server.speed
            })
            .fold(0.0, f64::max)
    }
}

macro_rules! seeds {
    ($($name:ident: $check:ident($seed:expr);)*) => {
        $(
            #[test]
            fn $name() {
                $check($seed);
            }
        )*
    };
}

seeds! {
    steady_load_causes_no_moves_seed_1: steady(1);
    steady_load_causes_no_moves_seed_2: steady(2);
    unequal_speeds_are_balanced_seed_1: unequal(1);
    unequal_speeds_are_balanced_seed_2: unequal(2);
    loss_moves_only_lost_groups_seed_1: loss(1);
    loss_moves_only_lost_groups_seed_2: loss(2);
    joining_server_takes_its_share_seed_1: join(1);
    joining_server_takes_its_share_seed_2: join(2);
    hot_key_is_balanced_seed_1: hot_key(1);
    hot_key_is_balanced_seed_2: hot_key(2);
}

fn steady(seed: u64) {
    let mut shard = Shard::new(placement::DEFAULT, &[1.0; 4], seed);
    assert_eq!(shard.run(60, 0.0), []);
}

fn unequal(seed: u64) {
    let speeds = [1.0, 2.0, 3.0, 4.0];
    let mut shard = Shard::new(placement::DEFAULT, &[1.0; 4], seed);
    for (server, speed) in shard.backends.iter_mut().zip(speeds) {
        server.speed = speed;
    }
    shard.run(60, 0.0);
    assert!(
        shard.busiest_ratio(0.0) <= 1.15,
        "{}",
        shard.busiest_ratio(0.0)
    );
    assert_eq!(shard.run(30, 0.0), []);
    let mut baseline = Shard::new(placement::BASELINE, &speeds, seed);
    assert_eq!(baseline.run(5, 0.0), []);
    assert!(baseline.busiest_ratio(0.0) > 1.15);
}

fn loss(seed: u64) {
    let mut shard = Shard::new(placement::DEFAULT, &[1.0; 5], seed);
    shard.run(10, 0.0);
    let owned = shard.owned(2);
    shard.backends[2].state = State::Lost;
    let first = shard.plan();
    assert_eq!(first.len(), owned);
    assert!(first.iter().all(|change| change.from == 2));
    let later_moves = shard.run(30, 0.0);
    assert!(later_moves.len() * 10 <= owned * 3, "{later_moves:?}");
}

fn join(seed: u64) {
    let mut shard = Shard::new(placement::DEFAULT, &[1.0; 4], seed);
    shard.run(10, 0.0);
    let state = State::Live;
    shard.backends.push(Backend { speed: 1.0, state });
    let moves = shard.run(30, 0.0);
    assert!(moves.iter().all(|change| change.to == 4), "{moves:?}");
    let fair_share = usize::try_from(GROUPS).unwrap() / 5;
    assert!(moves.len() * 10 <= fair_share * 13, "{}", moves.len());
    assert!(
        shard.busiest_ratio(0.0) <= 1.15,
        "{}",
        shard.busiest_ratio(0.0)
    );
}

fn hot_key(seed: u64) {
    let mut shard = Shard::new(placement::DEFAULT, &[1.0; 4], seed);
    shard.run(10, 0.0);
    shard.run(30, 0.15);
    assert!(
        shard.busiest_ratio(0.15) <= 1.15,
        "{}",
        shard.busiest_ratio(0.15)
    );
    assert_eq!(shard.run(30, 0.15), []);
}

#[test]
fn leaving_server_is_drained() {
    let mut shard = Shard::new(placement::DEFAULT, &[1.0; 4], 1);
    shard.run(5, 0.0);
    shard.backends[0].state = State::Leaving;
    shard.run(2, 0.0);
    assert_eq!(shard.owned(0), 0);
}

#[test]
fn without_rebalance_only_forced_moves_are_made() {
    let mut shard = Shard::new(placement::DEFAULT, &[1.0; 3], 1);
    shard.rebalance = false;
    shard.owners.fill(0);
    assert_eq!(shard.run(20, 0.0), []);
    shard.backends[0].state = State::Lost;
    assert_eq!(shard.run(5, 0.0).len(), shard.owners.len());
}
