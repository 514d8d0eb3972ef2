//! Experiment: a load peak.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_policy::admission;

use super::setup::{at, baseline, capacity, check_violations, len_f64, mixed, spec, to_f64};
use crate::load::Peak;
use crate::measure;
use crate::report::Target::{AtLeast, AtMost};
use crate::report::{figure, figure_without_target};
use crate::simulation::Simulation;
use crate::spec::Spec;

/// Second at which the peak starts.
const PEAK_START: u64 = 40;
/// Second at which the peak ends.
const PEAK_END: u64 = 50;

/// Triples the load for ten seconds, from 60 % of the capacity, with and without stragglers.
pub(super) fn peak(seed: u64) {
    let mut without_stragglers = mixed();
    for class in &mut without_stragglers {
        class.stragglers = 0.0;
    }
    for (kind, classes) in [("stragglers", mixed()), ("plain", without_stragglers)] {
        let mut used = spec(seed, classes, 0.6, PEAK_END + 10);
        used.load.peak = Some(Peak {
            from: at(PEAK_START),
            to: at(PEAK_END),
            factor: 3.0,
        });
        for keyed in [true, false] {
            used.keyed = keyed;
            let kind_of_keys = if keyed { "keyed" } else { "any" };
            compare_peak(&format!("crest-{kind}-{kind_of_keys}"), &used);
        }
    }
}

fn compare_peak(name: &str, used: &Spec) {
    let fifo = Spec {
        admission: admission::BASELINE.to_owned(),
        ..used.clone()
    };
    let no_preemption = Spec {
        preempts: false,
        ..used.clone()
    };
    for (policy, spec) in [
        ("in-use", used),
        ("no-preemption", &no_preemption),
        ("fifo", &fifo),
        ("baseline", &baseline(used)),
    ] {
        peak_figures(name, policy, spec, at(PEAK_START), at(PEAK_END));
    }
}

fn peak_figures(name: &str, policy: &str, spec: &Spec, from: Instant, to: Instant) {
    let outcome = Simulation::run(spec);
    let seed = spec.seed;
    let classes = &spec.load.classes;
    let records: Vec<_> = measure::arrived(&outcome, from, to).collect();
    let capacity = capacity(&spec.speeds) * to.since(from).as_secs_f64();
    let achieved = measure::weight_in_time(&outcome, classes, from, to);
    let achievable = measure::weight_allowed(&records, classes, capacity, |record| {
        classes[usize::from(record.class)].mean()
    });
    let achievable_with_known_work =
        measure::weight_allowed(&records, classes, capacity, |record| {
            record.work.as_secs_f64()
        });
    figure(
        name,
        policy,
        seed,
        "weight_in_time_percent",
        achieved / achievable * 100.0,
        AtLeast(95.0),
    );
    figure_without_target(
        name,
        policy,
        seed,
        "weight_of_foresight_percent",
        achieved / achievable_with_known_work * 100.0,
    );
    figure_without_target(name, policy, seed, "arrived", len_f64(&records));
    let work: f64 = outcome
        .done
        .iter()
        .filter(|done| done.at >= from && done.at < to)
        .map(|done| done.work)
        .sum();
    figure_without_target(
        name,
        policy,
        seed,
        "work_done_percent",
        work / capacity * 100.0,
    );
    let offered: f64 = records.iter().map(|record| record.work.as_secs_f64()).sum();
    figure_without_target(
        name,
        policy,
        seed,
        "work_offered_percent",
        offered / capacity * 100.0,
    );
    figure_without_target(name, policy, seed, "preempted", to_f64(outcome.preempted));
    let waits = measure::refusal_times(&outcome, from, to);
    let late = waits
        .iter()
        .filter(|wait| **wait > Duration::from_millis(5))
        .count();
    figure_without_target(name, policy, seed, "refusals", len_f64(&waits));
    figure_without_target(
        name,
        policy,
        seed,
        "late_refusals",
        to_f64(u64::try_from(late).unwrap()),
    );
    figure(
        name,
        policy,
        seed,
        "refusal_p99_ms",
        measure::quantile(waits, 0.99),
        AtMost(5.0),
    );
    let recovery = measure::recovery(&outcome, classes, from, to);
    figure(name, policy, seed, "recovery_s", recovery, AtMost(1.0));
    figure(
        name,
        policy,
        seed,
        "idle_percent",
        outcome.idle * 100.0,
        AtMost(5.0),
    );
    if policy == "in-use" {
        check_violations(name, seed, &outcome);
    }
}
