//! The experiments, one for each target.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tarragon_model::time::Instant;
use tarragon_policy::standing::State;
use tarragon_policy::{admission, choice, placement};

use crate::drive::{Change, Drive, Outcome, Retry, Spec};
use crate::load::{Class, Crest, Hot, Load};
use crate::measure;
use crate::report::Target::{AtLeast, AtMost};
use crate::report::{figure, plain};

/// Experiment by name.
pub type Experiment = (&'static str, fn(u64));

pub const ALL: &[Experiment] = &[
    ("crest", crest),
    ("level", level),
    ("hot-key", hot_key),
    ("slowdown", slowdown),
    ("churn", churn),
    ("short-behind-long", short_behind_long),
    ("choice", any_server),
    ("retries", retries),
];

const SLOTS: u16 = 6;
const KEYS: usize = 5_000;
const GROUPS: u32 = 64;
const SKEW: f64 = 0.9;
/// Second at which the crest starts.
const CREST_START: u64 = 40;
/// Second at which the crest ends.
const CREST_END: u64 = 50;
/// Second at which a steady load is disturbed.
const DISTURBED: u64 = 60;

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

/// Draws speeds from 1 to 4.
fn speeds(seed: u64, count: usize) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(31));
    (0..count).map(|_| rng.random_range(1.0..4.0)).collect()
}

fn class(name: &'static str, share: f64, weight: u32, work_ms: u64, stragglers: f64) -> Class {
    Class {
        name,
        share,
        weight,
        max_slots: SLOTS,
        work: Duration::from_millis(work_ms),
        stragglers,
        deadline: Duration::from_secs(2),
    }
}

/// Availability, booking-like and browsing work, 2 % of it stragglers.
fn mixed() -> Vec<Class> {
    vec![
        class("booking", 0.2, 10, 20, 0.02),
        class("availability", 0.5, 3, 10, 0.02),
        class("browsing", 0.3, 1, 10, 0.02),
    ]
}

/// Returns the work that all slots do in a second, at speed 1.
fn capacity(speeds: &[f64]) -> f64 {
    speeds.iter().sum::<f64>() * f64::from(SLOTS)
}

/// Returns the rate at which classes use a part of the capacity.
fn rate(classes: &[Class], speeds: &[f64], part: f64) -> f64 {
    let mean: f64 = classes.iter().map(|class| class.share * class.mean()).sum();
    capacity(speeds) * part / mean
}

/// Run of the policies in use on four servers of unknown speed.
fn spec(seed: u64, classes: Vec<Class>, part: f64, seconds: u64) -> Spec {
    let speeds = speeds(seed, 4);
    Spec {
        seed,
        states: vec![State::Live; speeds.len()],
        groups: GROUPS,
        keyed: true,
        preempts: true,
        load: Load {
            rate: rate(&classes, &speeds, part),
            classes,
            keys: KEYS,
            skew: SKEW,
            crest: None,
            hot: None,
        },
        speeds,
        slots: SLOTS,
        admission: admission::DEFAULT.to_owned(),
        choice: choice::DEFAULT.to_owned(),
        planner: placement::DEFAULT.to_owned(),
        changes: Vec::new(),
        retry: Retry::Never,
        end: at(seconds),
    }
}

/// Replaces the policies by their baselines.
fn baseline(spec: &Spec) -> Spec {
    Spec {
        admission: admission::BASELINE.to_owned(),
        choice: "random".to_owned(),
        planner: placement::BASELINE.to_owned(),
        ..spec.clone()
    }
}

fn check_violations(name: &str, seed: u64, outcome: &Outcome) {
    figure(
        name,
        "in-use",
        seed,
        "violations",
        count(outcome.violations),
        AtMost(0.0),
    );
}

fn count(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn length<T>(items: &[T]) -> f64 {
    count(u64::try_from(items.len()).unwrap_or(u64::MAX))
}

/// Three times the usual load for ten seconds, from 60 % of the capacity.
fn crest(seed: u64) {
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

/// Steady skewed load: level, and without moves once level.
fn level(seed: u64) {
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
fn hot_key(seed: u64) {
    let mut used = spec(seed, mixed(), 0.6, DISTURBED + 60);
    let from = at(DISTURBED);
    used.load.hot = Some(Hot { from, share: 0.12 });
    for (policy, spec) in [("in-use", &used), ("hash", &baseline(&used))] {
        level_again("hot-key", policy, spec, &spec.speeds);
    }
}

/// One server falls to half its speed.
fn slowdown(seed: u64) {
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
fn churn(seed: u64) {
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

/// Short work with and without stragglers, and behind a class of long work.
fn short_behind_long(seed: u64) {
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
        compare_short(&name, "in-use", &calm, &used);
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
fn any_server(seed: u64) {
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

/// Brownouts of twenty seconds: servers shed or fail part of what they get.
fn retries(seed: u64) {
    type Make = fn(u16, f64) -> Change;
    let brownouts: [(&str, Make, u16, f64, f64); 4] = [
        ("shed-half", Change::Shed, 2, 0.8, 0.5),
        ("fail-half", Change::Fail, 2, 0.8, 0.5),
        ("fail-all", Change::Fail, 4, 0.4, 0.5),
        ("fail-all-busy", Change::Fail, 4, 0.4, 0.8),
    ];
    for (brownout, change, servers, part, load) in brownouts {
        for keyed in [true, false] {
            let mut used = spec(seed, mixed(), load, 60);
            used.keyed = keyed;
            for server in 0..servers {
                used.changes.push((at(20), change(server, part)));
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
        let outcome = Drive::run(&spec);
        let (mut asked, mut sent) = (0, 0);
        for record in measure::arrived(&outcome, at(20), at(40)) {
            asked += u64::from(record.attempts > 0);
            sent += u64::from(record.attempts);
        }
        let sent = count(sent) / count(asked);
        figure(
            name,
            policy,
            spec.seed,
            "sent_over_asked",
            sent,
            AtMost(1.1),
        );
        let part = measure::weight_part(&outcome, &spec.load.classes, at(20), at(40));
        plain(
            name,
            policy,
            spec.seed,
            "weight_in_time_percent",
            part * 100.0,
        );
        let after = measure::weight_part(&outcome, &spec.load.classes, at(41), at(51));
        plain(
            name,
            policy,
            spec.seed,
            "weight_afterwards_percent",
            after * 100.0,
        );
    }
}
