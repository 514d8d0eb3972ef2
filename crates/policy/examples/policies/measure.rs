//! Figures computed from the result of a simulation.

use std::time::Duration;

use tarragon_model::time::Instant;

use crate::load::Class;
use crate::spec::{Outcome, Record, Spec};

/// Returns a quantile, given from 0 to 1, in milliseconds; zero without samples.
pub fn quantile(mut samples: Vec<Duration>, fraction: f64) -> f64 {
    samples.sort_unstable();
    let last = u32::try_from(samples.len().saturating_sub(1)).unwrap();
    let index = (f64::from(last) * fraction).round();
    samples
        .into_iter()
        .enumerate()
        .find(|(at, _)| f64::from(u32::try_from(*at).unwrap()) >= index)
        .map_or(0.0, |(_, sample)| sample.as_secs_f64() * 1e3)
}

/// Returns the highest ratio of load to fair share over the servers in a time span.
///
/// Fair shares follow from the true speeds.
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

/// Returns whether a request was served before its deadline.
pub fn in_time(record: &Record, classes: &[Class]) -> bool {
    let deadline = record.arrived + classes[usize::from(record.class)].deadline;
    record.responded.is_some_and(|at| at <= deadline)
}

/// Returns the records of arrivals in a time span.
pub fn arrived(outcome: &Outcome, from: Instant, to: Instant) -> impl Iterator<Item = &Record> {
    outcome
        .records
        .iter()
        .filter(move |record| record.arrived >= from && record.arrived < to)
}

/// Returns the total weight of the arrivals in a time span that were served in time.
pub fn weight_in_time(outcome: &Outcome, classes: &[Class], from: Instant, to: Instant) -> f64 {
    arrived(outcome, from, to)
        .filter(|record| in_time(record, classes))
        .map(|record| f64::from(classes[usize::from(record.class)].weight))
        .sum()
}

/// Returns the share of the weight of arrivals in a time span that was served in time.
pub fn weight_share(outcome: &Outcome, classes: &[Class], from: Instant, to: Instant) -> f64 {
    let offered: f64 = arrived(outcome, from, to)
        .map(|record| f64::from(classes[usize::from(record.class)].weight))
        .sum();
    weight_in_time(outcome, classes, from, to) / offered
}

/// Returns the maximum weight of the given arrivals that a capacity allows to serve.
///
/// `cost` returns the work of a request at speed 1 in seconds. Requests are taken by weight per
/// work, the last one in part, until the capacity in seconds of work is used up.
pub fn weight_allowed(
    records: &[&Record],
    classes: &[Class],
    capacity: f64,
    cost: impl Fn(&Record) -> f64,
) -> f64 {
    let mut requests: Vec<(f64, f64)> = records
        .iter()
        .map(|record| {
            let weight = f64::from(classes[usize::from(record.class)].weight);
            (weight, cost(record))
        })
        .collect();
    requests.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
    let mut left = capacity;
    let mut sum = 0.0;
    for (weight, cost) in requests {
        let share = (left / cost).clamp(0.0, 1.0);
        sum += weight * share;
        left -= cost * share;
    }
    sum
}

/// Returns the times from arrival to refusal of refused requests that never started.
pub fn refusal_times(outcome: &Outcome, from: Instant, to: Instant) -> Vec<Duration> {
    arrived(outcome, from, to)
        .filter(|record| record.refused && record.attempts == 0)
        .map(|record| record.decided.since(record.arrived))
        .collect()
}

/// Returns the response times of the served requests of a class that are not stragglers.
pub fn short_times(outcome: &Outcome, class: u8, from: Instant, to: Instant) -> Vec<Duration> {
    arrived(outcome, from, to)
        .filter(|record| record.class == class && !record.straggler)
        .filter_map(|record| Some(record.responded?.since(record.arrived)))
        .collect()
}

/// Returns the share of the arrivals in a time span that were served in time.
///
/// Stragglers are excluded, because some cannot finish in time on a slow server even if it is
/// idle.
pub fn share_in_time(outcome: &Outcome, classes: &[Class], from: Instant, to: Instant) -> f64 {
    let (mut all, mut met) = (0_u32, 0_u32);
    for record in arrived(outcome, from, to).filter(|record| !record.straggler) {
        all += 1;
        met += u32::from(in_time(record, classes));
    }
    f64::from(met) / f64::from(all.max(1))
}

/// Returns the seconds from the end of a peak to the first full second whose arrivals are served
/// in time as often as those of the ten seconds before the peak, within one percentage point.
pub fn recovery(outcome: &Outcome, classes: &[Class], from: Instant, to: Instant) -> f64 {
    const STEP: Duration = Duration::from_millis(100);
    const STEPS: u32 = 90;
    let usual = share_in_time(outcome, classes, from - STEP * 100, from);
    let recovered = (0..STEPS).find(|step| {
        let start = to + STEP * *step;
        share_in_time(outcome, classes, start, start + STEP * 10) >= usual - 0.01
    });
    recovered.map_or(f64::INFINITY, |step| (STEP * step).as_secs_f64())
}

/// Returns the largest relative error of the estimated speeds.
///
/// The estimates are scaled by the geometric mean of the true speeds, because they are relative.
pub fn largest_speed_error(speeds: &[f64], learned: &[f64]) -> f64 {
    let count = f64::from(u32::try_from(speeds.len()).unwrap());
    let centre = (speeds.iter().map(|speed| speed.ln()).sum::<f64>() / count).exp();
    speeds
        .iter()
        .zip(learned)
        .map(|(speed, learned)| (learned * centre / speed - 1.0).abs())
        .fold(0.0, f64::max)
}

/// Number of moves after a change and the minimum possible number.
pub struct Churn {
    pub moves: f64,
    pub min_moves: f64,
    /// Seconds from the change to the last move.
    pub last_move_s: f64,
}

/// Counts the moved groups and keys after a change.
///
/// The minimum after a loss or a leave is the number of groups and keys that the server owned.
/// After a join it is the new server's share of the groups by speed, assuming groups of equal
/// load.
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
        min_moves: if what == "join" { share } else { forced },
        last_move_s: moves
            .last()
            .map_or(0.0, |(at, _)| at.since(from).as_secs_f64()),
    }
}
