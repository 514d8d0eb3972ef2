//! Placement: steady load, hot keys, changed speeds and changed servers.

use tarragon_policy::backend::State;

use super::setup::{at, baseline, count, length, mixed, rate, spec, speeds};
use crate::drive::Drive;
use crate::load::Hot;
use crate::measure;
use crate::report::Target::AtMost;
use crate::report::{figure, plain};
use crate::spec::{Change, Spec};

/// Second at which a steady load is disturbed.
const DISTURBED: u64 = 60;

/// Steady skewed load: level, and without moves once level.
pub(super) fn level(seed: u64) {
    let used = spec(seed, mixed(), 0.6, 120);
    for (policy, spec) in [("in-use", &used), ("hash", &baseline(&used))] {
        let outcome = Drive::run(spec);
        let ratio = measure::busiest_ratio(&outcome, &spec.speeds, at(60), at(120));
        figure(
            "level",
            policy,
            seed,
            "busiest_over_fair",
            ratio,
            AtMost(1.15),
        );
        let late = outcome
            .moves
            .iter()
            .filter(|(when, _)| *when >= at(60))
            .count();
        plain("level", policy, seed, "moves", length(&outcome.moves));
        let late = count(u64::try_from(late).unwrap());
        figure(
            "level",
            policy,
            seed,
            "moves_when_steady",
            late,
            AtMost(0.0),
        );
    }
    let learned = Drive::run(&used).learned;
    let error = measure::largest_speed_error(&used.speeds, &learned);
    plain("level", "in-use", seed, "largest_speed_error", error);
}

/// One key takes 12 % of the arrivals from one moment on.
pub(super) fn hot_key(seed: u64) {
    let mut used = spec(seed, mixed(), 0.6, DISTURBED + 60);
    let from = at(DISTURBED);
    used.load.hot = Some(Hot { from, share: 0.12 });
    for (policy, spec) in [("in-use", &used), ("hash", &baseline(&used))] {
        level_again("hot-key", policy, spec, &spec.speeds);
    }
}

/// One server falls to half its speed.
pub(super) fn slowdown(seed: u64) {
    let mut used = spec(seed, mixed(), 0.4, DISTURBED + 60);
    let mut after = used.speeds.clone();
    after[0] /= 2.0;
    used.changes = vec![(at(DISTURBED), Change::Speed(0, after[0]))];
    for (policy, spec) in [("in-use", &used), ("hash", &baseline(&used))] {
        level_again("slowdown", policy, spec, &after);
    }
}

/// Reports how long the load took to be level after a disturbance, in windows of ten seconds.
fn level_again(name: &str, policy: &str, spec: &Spec, speeds: &[f64]) {
    let outcome = Drive::run(spec);
    let ratio = |from: u64, to: u64| measure::busiest_ratio(&outcome, speeds, at(from), at(to));
    let seconds = (0..50).find(|second| {
        let mut windows = (DISTURBED + second..DISTURBED + 50).step_by(10);
        windows.all(|from| ratio(from, from + 10) <= 1.15)
    });
    let seconds = seconds.map_or(f64::INFINITY, count);
    figure(
        name,
        policy,
        spec.seed,
        "level_again_s",
        seconds,
        AtMost(30.0),
    );
    let settled = ratio(DISTURBED + 30, DISTURBED + 60);
    figure(
        name,
        policy,
        spec.seed,
        "busiest_over_fair",
        settled,
        AtMost(1.15),
    );
}

/// A server is lost, another joins, a third leaves.
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
        let outcome = Drive::run(spec);
        for (what, from, to) in [("loss", 50, 100), ("join", 100, 150), ("leave", 150, 200)] {
            let figures = measure::churn(&outcome, spec, what, at(from), at(to));
            let name = format!("{what}_churn_ratio");
            plain(
                "churn",
                policy,
                seed,
                &format!("{what}_moves"),
                figures.moves,
            );
            plain(
                "churn",
                policy,
                seed,
                &format!("{what}_least"),
                figures.least,
            );
            let ratio = figures.moves / figures.least;
            figure("churn", policy, seed, &name, ratio, AtMost(1.3));
            plain(
                "churn",
                policy,
                seed,
                &format!("{what}_last_move_s"),
                figures.last,
            );
        }
    }
}
