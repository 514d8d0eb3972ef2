//! Placement experiments: steady load, a hot key, a slower server, and lost, joining and leaving
//! servers.

use tarragon_policy::backend::State;

use super::setup::{at, baseline, len_f64, mixed, rate, spec, speeds, to_f64};
use crate::load::HotKey;
use crate::measure;
use crate::report::Target::AtMost;
use crate::report::{figure, figure_without_target};
use crate::simulation::Simulation;
use crate::spec::{Change, Spec};

/// Second at which the load or a server changes.
const DISTURBANCE_START: u64 = 60;

/// Steady skewed load: must be balanced, without moves once it is.
pub(super) fn level(seed: u64) {
    let used = spec(seed, mixed(), 0.6, 120);
    for (policy, spec) in [("in-use", &used), ("hash", &baseline(&used))] {
        let outcome = Simulation::run(spec);
        let ratio = measure::busiest_ratio(&outcome, &spec.speeds, at(60), at(120));
        figure(
            "level",
            policy,
            seed,
            "busiest_over_fair",
            ratio,
            AtMost(1.15),
        );
        let late_moves = outcome
            .moves
            .iter()
            .filter(|(when, _)| *when >= at(60))
            .count();
        figure_without_target("level", policy, seed, "moves", len_f64(&outcome.moves));
        let late_moves = to_f64(u64::try_from(late_moves).unwrap());
        figure(
            "level",
            policy,
            seed,
            "moves_when_steady",
            late_moves,
            AtMost(0.0),
        );
    }
    let learned = Simulation::run(&used).learned;
    let error = measure::largest_speed_error(&used.speeds, &learned);
    figure_without_target("level", "in-use", seed, "largest_speed_error", error);
}

/// One key receives 12 % of the arrivals from [`DISTURBANCE_START`].
pub(super) fn hot_key(seed: u64) {
    let mut used = spec(seed, mixed(), 0.6, DISTURBANCE_START + 60);
    let from = at(DISTURBANCE_START);
    used.load.hot = Some(HotKey { from, share: 0.12 });
    for (policy, spec) in [("in-use", &used), ("hash", &baseline(&used))] {
        report_rebalance_time("hot-key", policy, spec, &spec.speeds);
    }
}

/// One server drops to half its speed.
pub(super) fn slowdown(seed: u64) {
    let mut used = spec(seed, mixed(), 0.4, DISTURBANCE_START + 60);
    let mut after = used.speeds.clone();
    after[0] /= 2.0;
    used.changes = vec![(at(DISTURBANCE_START), Change::Speed(0, after[0]))];
    for (policy, spec) in [("in-use", &used), ("hash", &baseline(&used))] {
        report_rebalance_time("slowdown", policy, spec, &after);
    }
}

/// Reports how long it took until the load was balanced after the disturbance, over windows of
/// ten seconds, and the balance 30 seconds after it.
fn report_rebalance_time(name: &str, policy: &str, spec: &Spec, speeds: &[f64]) {
    let outcome = Simulation::run(spec);
    let ratio = |from: u64, to: u64| measure::busiest_ratio(&outcome, speeds, at(from), at(to));
    let seconds = (0..50).find(|second| {
        let mut windows = (DISTURBANCE_START + second..DISTURBANCE_START + 50).step_by(10);
        windows.all(|from| ratio(from, from + 10) <= 1.15)
    });
    let seconds = seconds.map_or(f64::INFINITY, to_f64);
    figure(
        name,
        policy,
        spec.seed,
        "level_again_s",
        seconds,
        AtMost(30.0),
    );
    let settled = ratio(DISTURBANCE_START + 30, DISTURBANCE_START + 60);
    figure(
        name,
        policy,
        spec.seed,
        "busiest_over_fair",
        settled,
        AtMost(1.15),
    );
}

/// One server is lost, another joins and a third leaves.
pub(super) fn churn(seed: u64) {
    let mut used = spec(seed, mixed(), 0.4, 200);
    used.speeds = speeds(seed, 6);
    used.states = vec![State::Live; 6];
    used.states[5] = State::Lost;
    used.load.rate = rate(&used.load.classes, &used.speeds[..4], 0.4);
    used.changes = vec![
        (at(50), Change::State(0, State::Lost)),
        (at(100), Change::State(5, State::Cold)),
        (at(103), Change::State(5, State::Live)),
        (at(150), Change::State(1, State::Leaving)),
    ];
    for (policy, spec) in [("in-use", &used), ("hash", &baseline(&used))] {
        let outcome = Simulation::run(spec);
        for (what, from, to) in [("loss", 50, 100), ("join", 100, 150), ("leave", 150, 200)] {
            let figures = measure::churn(&outcome, spec, what, at(from), at(to));
            let name = format!("{what}_churn_ratio");
            figure_without_target(
                "churn",
                policy,
                seed,
                &format!("{what}_moves"),
                figures.moves,
            );
            figure_without_target(
                "churn",
                policy,
                seed,
                &format!("{what}_least"),
                figures.min_moves,
            );
            let ratio = figures.moves / figures.min_moves;
            figure("churn", policy, seed, &name, ratio, AtMost(1.3));
            figure_without_target(
                "churn",
                policy,
                seed,
                &format!("{what}_last_move_s"),
                figures.last_move_s,
            );
        }
    }
}
