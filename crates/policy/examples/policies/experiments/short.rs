//! Experiments on short requests among long ones and on the choice of a server.

use std::time::Duration;

use tarragon_policy::choice;

use super::setup::{at, baseline, class, mixed, spec, to_f64};
use crate::load::Class;
use crate::measure;
use crate::report::Target::AtMost;
use crate::report::{figure, figure_without_target};
use crate::simulation::Simulation;
use crate::spec::Spec;

/// Short requests with and without stragglers, and beside a class of long requests.
pub(super) fn short_behind_long(seed: u64) {
    for share in [0.15, 0.25, 0.35] {
        stragglers(seed, share);
    }
    downloads(seed);
}

/// Adds stragglers to short requests that use a share of the capacity.
fn stragglers(seed: u64, share: f64) {
    for keyed in [true, false] {
        let mut short_only = spec(seed, vec![class("balance", 1.0, 1, 20, 0.0)], share, 90);
        short_only.keyed = keyed;
        let mut used = short_only.clone();
        used.load.classes[0].stragglers = 0.02;
        let kind = if keyed { "keyed" } else { "any" };
        let name = format!("stragglers-{share}-{kind}");
        let no_preemption = Spec {
            preempts: false,
            ..used.clone()
        };
        compare_short(&name, "in-use", &short_only, &used);
        compare_short(&name, "no-preemption", &short_only, &no_preemption);
        compare_short(&name, "baseline", &baseline(&short_only), &baseline(&used));
    }
}

/// Compares the p99 response time of short requests with and without long ones, also at the same
/// utilization.
fn compare_short(name: &str, policy: &str, short_only: &Spec, mixed: &Spec) {
    let seed = short_only.seed;
    let p99 = |spec: &Spec| {
        let outcome = Simulation::run(spec);
        let times = measure::short_times(&outcome, 0, at(30), at(90));
        (measure::quantile(times, 0.99), outcome)
    };
    let mut at_same_use = short_only.clone();
    let mean: f64 = mixed
        .load
        .classes
        .iter()
        .map(|class| class.share * class.mean())
        .sum();
    at_same_use.load.rate = mixed.load.rate * mean / short_only.load.classes[0].mean();
    let (without_long, _) = p99(short_only);
    let (at_same_use, _) = p99(&at_same_use);
    let (with_long, outcome) = p99(mixed);
    figure_without_target(name, policy, seed, "p99_without_ms", without_long);
    figure_without_target(
        name,
        policy,
        seed,
        "p99_without_at_same_use_ms",
        at_same_use,
    );
    figure_without_target(name, policy, seed, "p99_with_ms", with_long);
    figure(
        name,
        policy,
        seed,
        "p99_ratio",
        with_long / without_long,
        AtMost(2.0),
    );
    figure_without_target(
        name,
        policy,
        seed,
        "p99_ratio_at_same_use",
        with_long / at_same_use,
    );
    figure_without_target(name, policy, seed, "preempted", to_f64(outcome.preempted));
    let share = measure::weight_share(&outcome, &mixed.load.classes, at(30), at(80));
    figure_without_target(name, policy, seed, "weight_in_time_percent", share * 100.0);
}

/// Adds a class of long requests, recognizable only by their durations.
fn downloads(seed: u64) {
    let short_only = spec(seed, vec![class("balance", 1.0, 1, 20, 0.0)], 0.25, 90);
    let mut used = short_only.clone();
    used.load.rate /= 0.97;
    used.load.classes[0].share = 0.97;
    used.load.classes.push(Class {
        deadline: Duration::from_secs(10),
        ..class("download", 0.03, 1, 600, 0.0)
    });
    compare_short("downloads", "in-use", &short_only, &used);
    compare_short(
        "downloads",
        "baseline",
        &baseline(&short_only),
        &baseline(&used),
    );
}

/// Compares the choice policies for requests without owners, at 60 % of the capacity.
pub(super) fn any_server(seed: u64) {
    let mut used = spec(seed, mixed(), 0.6, 60);
    used.keyed = false;
    for name in choice::names() {
        let spec = Spec {
            choice: name.to_owned(),
            ..used.clone()
        };
        let outcome = Simulation::run(&spec);
        let times = measure::short_times(&outcome, 0, at(20), at(60));
        figure_without_target(
            "choice",
            name,
            seed,
            "p50_ms",
            measure::quantile(times.clone(), 0.5),
        );
        figure_without_target(
            "choice",
            name,
            seed,
            "p99_ms",
            measure::quantile(times, 0.99),
        );
        let share = measure::weight_share(&outcome, &spec.load.classes, at(20), at(60));
        figure_without_target(
            "choice",
            name,
            seed,
            "weight_in_time_percent",
            share * 100.0,
        );
    }
}
