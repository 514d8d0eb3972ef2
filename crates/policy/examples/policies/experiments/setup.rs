//! Shards, classes and baselines shared by the experiments.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tarragon_model::time::Instant;
use tarragon_policy::backend::State;
use tarragon_policy::{admission, choice, placement};

use crate::load::{Class, Load};
use crate::report::Target::AtMost;
use crate::report::figure;
use crate::spec::{Outcome, Retry, Spec};

pub(super) const SLOTS: u16 = 6;
pub(super) const KEYS: usize = 5_000;
pub(super) const GROUPS: u32 = 64;
pub(super) const SKEW: f64 = 0.9;

pub(super) fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

/// Draws speeds from 1 to 4.
pub(super) fn speeds(seed: u64, count: usize) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(31));
    (0..count).map(|_| rng.random_range(1.0..4.0)).collect()
}

pub(super) fn class(
    name: &'static str,
    share: f64,
    weight: u32,
    work_ms: u64,
    stragglers: f64,
) -> Class {
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

/// Returns booking, availability and browsing classes, with 2 % stragglers each.
pub(super) fn mixed() -> Vec<Class> {
    vec![
        class("booking", 0.2, 10, 20, 0.02),
        class("availability", 0.5, 3, 10, 0.02),
        class("browsing", 0.3, 1, 10, 0.02),
    ]
}

/// Returns the work per second of all slots, at speed 1.
pub(super) fn capacity(speeds: &[f64]) -> f64 {
    speeds.iter().sum::<f64>() * f64::from(SLOTS)
}

/// Returns the rate, in requests per second, at which classes use a share of the capacity.
pub(super) fn rate(classes: &[Class], speeds: &[f64], share: f64) -> f64 {
    let mean: f64 = classes.iter().map(|class| class.share * class.mean()).sum();
    capacity(speeds) * share / mean
}

/// Returns a simulation of the default policies on four servers with speeds unknown to them.
pub(super) fn spec(seed: u64, classes: Vec<Class>, share: f64, seconds: u64) -> Spec {
    let speeds = speeds(seed, 4);
    Spec {
        seed,
        states: vec![State::Live; speeds.len()],
        groups: GROUPS,
        keyed: true,
        preempts: true,
        load: Load {
            rate: rate(&classes, &speeds, share),
            classes,
            keys: KEYS,
            skew: SKEW,
            peak: None,
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

/// Replaces the policies with their baselines.
pub(super) fn baseline(spec: &Spec) -> Spec {
    Spec {
        admission: admission::BASELINE.to_owned(),
        choice: "random".to_owned(),
        planner: placement::BASELINE.to_owned(),
        ..spec.clone()
    }
}

pub(super) fn check_violations(name: &str, seed: u64, outcome: &Outcome) {
    figure(
        name,
        "in-use",
        seed,
        "violations",
        to_f64(outcome.violations),
        AtMost(0.0),
    );
}

pub(super) fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

pub(super) fn len_f64<T>(items: &[T]) -> f64 {
    to_f64(u64::try_from(items.len()).unwrap_or(u64::MAX))
}
