//! Experiment: retries in brownouts.

use super::setup::{at, mixed, spec, to_f64};
use crate::measure;
use crate::report::Target::AtMost;
use crate::report::{figure, figure_without_target};
use crate::simulation::Simulation;
use crate::spec::{Change, Retry, Spec};

/// Brownouts of twenty seconds in which servers shed or fail a share of their requests.
pub(super) fn retries(seed: u64) {
    type Make = fn(u16, f64) -> Change;
    let brownouts: [(&str, Make, u16, f64, f64); 4] = [
        ("shed-half", Change::Shed, 2, 0.8, 0.5),
        ("fail-half", Change::Fail, 2, 0.8, 0.5),
        ("fail-all", Change::Fail, 4, 0.4, 0.5),
        ("fail-all-busy", Change::Fail, 4, 0.4, 0.8),
    ];
    for (brownout, change, servers, share, load) in brownouts {
        for keyed in [true, false] {
            let mut used = spec(seed, mixed(), load, 60);
            used.keyed = keyed;
            for server in 0..servers {
                used.changes.push((at(20), change(server, share)));
                used.changes.push((at(40), change(server, 0.0)));
            }
            let kind = if keyed { "keyed" } else { "any" };
            compare_retries(&format!("retries-{brownout}-{kind}"), &used);
        }
    }
}

fn compare_retries(name: &str, used: &Spec) {
    for (policy, retry) in [
        ("budget", Retry::Budget(10)),
        ("per-call", Retry::Cap(3)),
        ("none", Retry::Never),
    ] {
        let spec = Spec {
            retry,
            ..used.clone()
        };
        let outcome = Simulation::run(&spec);
        let (mut started, mut sent) = (0, 0);
        for record in measure::arrived(&outcome, at(20), at(40)) {
            started += u64::from(record.attempts > 0);
            sent += u64::from(record.attempts);
        }
        let sent = to_f64(sent) / to_f64(started);
        figure(
            name,
            policy,
            spec.seed,
            "sent_over_asked",
            sent,
            AtMost(1.1),
        );
        let share = measure::weight_share(&outcome, &spec.load.classes, at(20), at(40));
        figure_without_target(
            name,
            policy,
            spec.seed,
            "weight_in_time_percent",
            share * 100.0,
        );
        let after = measure::weight_share(&outcome, &spec.load.classes, at(41), at(51));
        figure_without_target(
            name,
            policy,
            spec.seed,
            "weight_afterwards_percent",
            after * 100.0,
        );
    }
}
