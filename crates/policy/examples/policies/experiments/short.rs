//! Short work among long work, and the choice of a server.

use std::time::Duration;

use tarragon_policy::choice;

use super::setup::{at, baseline, class, count, mixed, spec};
use crate::drive::Drive;
use crate::load::Class;
use crate::measure;
use crate::report::Target::AtMost;
use crate::report::{figure, plain};
use crate::spec::Spec;

/// Short work with and without stragglers, and behind a class of long work.
pub(super) fn short_behind_long(seed: u64) {
    for part in [0.15, 0.25, 0.35] {
        stragglers(seed, part);
    }
    downloads(seed);
}

/// Adds stragglers to short work that uses a part of the capacity.
fn stragglers(seed: u64, part: f64) {
    for keyed in [true, false] {
        let mut calm = spec(seed, vec![class("balance", 1.0, 1, 20, 0.0)], part, 90);
        calm.keyed = keyed;
        let mut used = calm.clone();
        used.load.classes[0].stragglers = 0.02;
        let kind = if keyed { "keyed" } else { "any" };
        let name = format!("stragglers-{part}-{kind}");
        let patient = Spec {
            preempts: false,
            ..used.clone()
        };
        compare_short(&name, "in-use", &calm, &used);
        compare_short(&name, "no-preemption", &calm, &patient);
        compare_short(&name, "baseline", &baseline(&calm), &baseline(&used));
    }
}

/// Compares short work alone with short work among long work.
fn compare_short(name: &str, policy: &str, calm: &Spec, mixed: &Spec) {
    let seed = calm.seed;
    let p99 = |spec: &Spec| {
        let outcome = Drive::run(spec);
        let times = measure::short_times(&outcome, 0, at(30), at(90));
        (measure::quantile(times, 0.99), outcome)
    };
    let mut busy = calm.clone();
    let mean: f64 = mixed
        .load
        .classes
        .iter()
        .map(|class| class.share * class.mean())
        .sum();
    busy.load.rate = mixed.load.rate * mean / calm.load.classes[0].mean();
    let (alone, _) = p99(calm);
    let (busy, _) = p99(&busy);
    let (among, outcome) = p99(mixed);
    plain(name, policy, seed, "p99_without_ms", alone);
    plain(name, policy, seed, "p99_without_at_same_use_ms", busy);
    plain(name, policy, seed, "p99_with_ms", among);
    figure(name, policy, seed, "p99_ratio", among / alone, AtMost(2.0));
    plain(name, policy, seed, "p99_ratio_at_same_use", among / busy);
    plain(name, policy, seed, "preempted", count(outcome.preempted));
    let part = measure::weight_part(&outcome, &mixed.load.classes, at(30), at(80));
    plain(name, policy, seed, "weight_in_time_percent", part * 100.0);
}

/// Adds a class of long work, which nothing but its own durations gives away.
fn downloads(seed: u64) {
    let calm = spec(seed, vec![class("balance", 1.0, 1, 20, 0.0)], 0.25, 90);
    let mut used = calm.clone();
    used.load.rate /= 0.97;
    used.load.classes[0].share = 0.97;
    used.load.classes.push(Class {
        deadline: Duration::from_secs(10),
        ..class("download", 0.03, 1, 600, 0.0)
    });
    compare_short("downloads", "in-use", &calm, &used);
    compare_short("downloads", "baseline", &baseline(&calm), &baseline(&used));
}

/// Choice among servers without owners, at 60 % of the capacity.
pub(super) fn any_server(seed: u64) {
    let mut used = spec(seed, mixed(), 0.6, 60);
    used.keyed = false;
    for name in choice::names() {
        let spec = Spec {
            choice: name.to_owned(),
            ..used.clone()
        };
        let outcome = Drive::run(&spec);
        let times = measure::short_times(&outcome, 0, at(20), at(60));
        plain(
            "choice",
            name,
            seed,
            "p50_ms",
            measure::quantile(times.clone(), 0.5),
        );
        plain(
            "choice",
            name,
            seed,
            "p99_ms",
            measure::quantile(times, 0.99),
        );
        let part = measure::weight_part(&outcome, &spec.load.classes, at(20), at(60));
        plain("choice", name, seed, "weight_in_time_percent", part * 100.0);
    }
}
