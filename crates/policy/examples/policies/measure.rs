//! Figures taken from the outcome of a run.

use std::time::Duration;

use tarragon_model::time::Instant;

use crate::load::Class;
use crate::spec::{Outcome, Record, Spec};

/// Returns a quantile, from 0 to 1, in milliseconds; zero without samples.
pub fn quantile(mut samples: Vec<Duration>, part: f64) -> f64 {
    samples.sort_unstable();
    let last = u32::try_from(samples.len().saturating_sub(1)).unwrap();
    let index = (f64::from(last) * part).round();
    samples
        .into_iter()
        .enumerate()
        .find(|(at, _)| f64::from(u32::try_from(*at).unwrap()) >= index)
        .map_or(0.0, |(_, sample)| sample.as_secs_f64() * 1e3)
}

/// Returns the highest load over fair share in a span, given the true speeds.
pub fn busiest_ratio(outcome: &Outcome, speeds: &[f64], from: Instant, to: Instant) -> f64 {
    let mut work = vec![0.0; speeds.len()];
    for done in &outcome.done {
        if done.at >= from && done.at < to {
            work[usize::from(done.backend)] += done.work;
        }
    }
    let total: f64 = work.iter().sum();
    let speed: f64 = speeds.iter().sum();
    work.iter()
        .zip(speeds)
        .map(|(work, own)| work / (total * own / speed))
        .fold(0.0, f64::max)
}

/// Tells whether a request was answered before its deadline.
pub fn in_time(record: &Record, classes: &[Class]) -> bool {
    let deadline = record.arrived + classes[usize::from(record.class)].deadline;
    record.answered.is_some_and(|at| at <= deadline)
}

/// Returns the records of arrivals in a span.
pub fn arrived(outcome: &Outcome, from: Instant, to: Instant) -> impl Iterator<Item = &Record> {
    outcome
        .records
        .iter()
        .filter(move |record| record.arrived >= from && record.arrived < to)
}

/// Returns the weight answered in time among arrivals in a span.
pub fn weight_in_time(outcome: &Outcome, classes: &[Class], from: Instant, to: Instant) -> f64 {
    arrived(outcome, from, to)
        .filter(|record| in_time(record, classes))
        .map(|record| f64::from(classes[usize::from(record.class)].weight))
        .sum()
}

/// Returns the part of the weight that was answered in time among arrivals in a span.
pub fn weight_part(outcome: &Outcome, classes: &[Class], from: Instant, to: Instant) -> f64 {
    let offered: f64 = arrived(outcome, from, to)
        .map(|record| f64::from(classes[usize::from(record.class)].weight))
        .sum();
    weight_in_time(outcome, classes, from, to) / offered
}

/// Returns the most weight that a capacity allows among arrivals in a span.
///
/// `cost` gives the work of a request at speed 1 in seconds. Requests are taken by worth for
/// work until the capacity, in seconds of work, is used up.
pub fn weight_allowed(
    records: &[&Record],
    classes: &[Class],
    capacity: f64,
    cost: impl Fn(&Record) -> f64,
) -> f64 {
    let mut offers: Vec<(f64, f64)> = records
        .iter()
        .map(|record| {
            let weight = f64::from(classes[usize::from(record.class)].weight);
            (weight, cost(record))
        })
        .collect();
    offers.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
    let mut left = capacity;
    let mut sum = 0.0;
    for (weight, cost) in offers {
        let part = (left / cost).clamp(0.0, 1.0);
        sum += weight * part;
        left -= cost * part;
    }
    sum
}

/// Returns how long refused requests, of those that never started, waited for their refusal.
pub fn refusal_times(outcome: &Outcome, from: Instant, to: Instant) -> Vec<Duration> {
    arrived(outcome, from, to)
        .filter(|record| record.refused && record.attempts == 0)
        .map(|record| record.decided.since(record.arrived))
        .collect()
}

/// Returns the response times of the answered requests of a class that are no stragglers.
pub fn short_times(outcome: &Outcome, class: u8, from: Instant, to: Instant) -> Vec<Duration> {
    arrived(outcome, from, to)
        .filter(|record| record.class == class && !record.straggler)
        .filter_map(|record| Some(record.answered?.since(record.arrived)))
        .collect()
}

/// Returns the part of the arrivals in a span that were answered in time.
///
/// Stragglers do not count: some cannot end in time on a slow server even when it is idle.
pub fn part_in_time(outcome: &Outcome, classes: &[Class], from: Instant, to: Instant) -> f64 {
    let (mut all, mut met) = (0_u32, 0_u32);
    for record in arrived(outcome, from, to).filter(|record| !record.straggler) {
        all += 1;
        met += u32::from(in_time(record, classes));
    }
    f64::from(met) / f64::from(all.max(1))
}

/// Returns the seconds after a crest until a whole second of arrivals fares as well as before.
///
/// That is as well as the ten seconds before the crest, within one percent.
pub fn recovery(outcome: &Outcome, classes: &[Class], from: Instant, to: Instant) -> f64 {
    const STEP: Duration = Duration::from_millis(100);
    const STEPS: u32 = 90;
    let usual = part_in_time(outcome, classes, from - STEP * 100, from);
    let recovered = (0..STEPS).find(|step| {
        let start = to + STEP * *step;
        part_in_time(outcome, classes, start, start + STEP * 10) >= usual - 0.01
    });
    recovered.map_or(f64::INFINITY, |step| (STEP * step).as_secs_f64())
}

/// Returns the largest error of a learned speed, relative to the geometric mean of the true ones.
pub fn largest_speed_error(speeds: &[f64], learned: &[f64]) -> f64 {
    let count = f64::from(u32::try_from(speeds.len()).unwrap());
    let centre = (speeds.iter().map(|speed| speed.ln()).sum::<f64>() / count).exp();
    speeds
        .iter()
        .zip(learned)
        .map(|(speed, learned)| (learned * centre / speed - 1.0).abs())
        .fold(0.0, f64::max)
}

/// Moves after a change, against the least that there can be.
pub struct Churn {
    pub moves: f64,
    pub least: f64,
    /// Seconds from the change to the last move.
    pub last: f64,
}

/// Counts moved groups and keys after a change.
///
/// The least after a loss or a leave is what the server owned. The least after a join is its
/// share by speed of what there is, taken as groups of equal load.
pub fn churn(outcome: &Outcome, spec: &Spec, what: &str, from: Instant, to: Instant) -> Churn {
    let moves: Vec<_> = outcome
        .moves
        .iter()
        .filter(|(at, _)| *at >= from && *at < to)
        .collect();
    let forced = moves.iter().filter(|(_, change)| match what {
        "loss" => change.from == 0,
        "leave" => change.from == 1,
        _ => false,
    });
    let live: f64 = spec.speeds[1..].iter().sum();
    let share = f64::from(spec.groups) * spec.speeds[5] / live;
    let forced = f64::from(u32::try_from(forced.count()).unwrap());
    Churn {
        moves: f64::from(u32::try_from(moves.len()).unwrap()),
        least: if what == "join" { share } else { forced },
        last: moves
            .last()
            .map_or(0.0, |(at, _)| at.since(from).as_secs_f64()),
    }
}
