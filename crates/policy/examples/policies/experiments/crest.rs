//! A crest of three times the load.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_policy::admission;

use super::setup::{at, baseline, capacity, check_violations, count, length, mixed, spec};
use crate::drive::Drive;
use crate::load::Crest;
use crate::measure;
use crate::report::Target::{AtLeast, AtMost};
use crate::report::{figure, plain};
use crate::spec::Spec;

/// Second at which the crest starts.
const CREST_START: u64 = 40;
/// Second at which the crest ends.
const CREST_END: u64 = 50;

/// Three times the usual load for ten seconds, from 60 % of the capacity.
pub(super) fn crest(seed: u64) {
    let mut plain = mixed();
    for class in &mut plain {
        class.stragglers = 0.0;
    }
    for (kind, classes) in [("stragglers", mixed()), ("plain", plain)] {
        let mut used = spec(seed, classes, 0.6, CREST_END + 10);
        used.load.crest = Some(Crest {
            from: at(CREST_START),
            to: at(CREST_END),
            factor: 3.0,
        });
        for keyed in [true, false] {
            used.keyed = keyed;
            let kind_of_keys = if keyed { "keyed" } else { "any" };
            compare_crest(&format!("crest-{kind}-{kind_of_keys}"), &used);
        }
    }
}

fn compare_crest(name: &str, used: &Spec) {
    let fifo = Spec {
        admission: admission::BASELINE.to_owned(),
        ..used.clone()
    };
    let patient = Spec {
        preempts: false,
        ..used.clone()
    };
    for (policy, spec) in [
        ("in-use", used),
        ("no-preemption", &patient),
        ("fifo", &fifo),
        ("baseline", &baseline(used)),
    ] {
        crest_figures(name, policy, spec, at(CREST_START), at(CREST_END));
    }
}

fn crest_figures(name: &str, policy: &str, spec: &Spec, from: Instant, to: Instant) {
    let outcome = Drive::run(spec);
    let seed = spec.seed;
    let classes = &spec.load.classes;
    let records: Vec<_> = measure::arrived(&outcome, from, to).collect();
    let capacity = capacity(&spec.speeds) * to.since(from).as_secs_f64();
    let had = measure::weight_in_time(&outcome, classes, from, to);
    let allowed = measure::weight_allowed(&records, classes, capacity, |record| {
        classes[usize::from(record.class)].mean()
    });
    let foreseen = measure::weight_allowed(&records, classes, capacity, |record| {
        record.work.as_secs_f64()
    });
    figure(
        name,
        policy,
        seed,
        "weight_in_time_percent",
        had / allowed * 100.0,
        AtLeast(95.0),
    );
    plain(
        name,
        policy,
        seed,
        "weight_of_foresight_percent",
        had / foreseen * 100.0,
    );
    plain(name, policy, seed, "arrived", length(&records));
    let work: f64 = outcome
        .done
        .iter()
        .filter(|done| done.at >= from && done.at < to)
        .map(|done| done.work)
        .sum();
    plain(
        name,
        policy,
        seed,
        "work_done_percent",
        work / capacity * 100.0,
    );
    let offered: f64 = records.iter().map(|record| record.work.as_secs_f64()).sum();
    plain(
        name,
        policy,
        seed,
        "work_offered_percent",
        offered / capacity * 100.0,
    );
    plain(name, policy, seed, "preempted", count(outcome.preempted));
    let waits = measure::refusal_times(&outcome, from, to);
    let late = waits
        .iter()
        .filter(|wait| **wait > Duration::from_millis(5))
        .count();
    plain(name, policy, seed, "refusals", length(&waits));
    plain(
        name,
        policy,
        seed,
        "late_refusals",
        count(u64::try_from(late).unwrap()),
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
