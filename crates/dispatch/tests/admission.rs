//! Admission under overload: what callers of several priorities get, with hosts, a granter and
//! servers in simulated time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use tarragon_dispatch::admission::{self, Controller, Demand, Pressure, Report, Share, Shares};
use tarragon_model::time::Instant;

const PRIORITIES: usize = 3;
/// Requests per second of each priority; the servers process 400 in all.
const RATES: [f64; PRIORITIES] = [250.0, 150.0, 150.0];
const SLOTS: u32 = 100;
const WORK_MS: u64 = 250;
const QUEUE: usize = 400;
const TIMEOUT: Duration = Duration::from_millis(1_500);
const OBJECTIVE_MS: u64 = 1_000;
/// Time for which a caller waits in all.
const PATIENCE_MS: u64 = 2_500;

#[derive(Clone, Copy, Default)]
struct Total {
    callers: f64,
    in_time: f64,
    returned: f64,
    rejected_again: f64,
}

#[derive(Default)]
struct Run {
    totals: [Total; PRIORITIES],
    attempts: f64,
    refused: f64,
    /// Requests refused by servers in the last second.
    last_refused: f64,
}

/// Plays 20 s of overload; the granter computes shares until `granter_ends_ms`.
fn run(granter_ends_ms: u64) -> Run {
    let mut result = Run::default();
    let (mut controller, mut shares) = (Controller::default(), Shares::default());
    let mut report = empty_report();
    let mut queue: VecDeque<(usize, u64)> = VecDeque::new();
    let mut ends: BinaryHeap<Reverse<(u64, usize, u64)>> = BinaryHeap::new();
    let mut returns: BinaryHeap<Reverse<(u64, usize, u64, u64)>> = BinaryHeap::new();
    let (mut due, mut number) = ([0.0_f64; PRIORITIES], 0_u64);
    for now_ms in 0..20_000_u64 {
        let now = Instant::from_millis(now_ms);
        while let Some(Reverse((at, priority, started))) = ends.peek().copied()
            && at <= now_ms
        {
            ends.pop();
            let in_time = now_ms - started <= OBJECTIVE_MS;
            result.totals[priority].in_time += f64::from(u8::from(in_time));
            let demand = &mut report.demand[priority];
            demand.served += 1;
            demand.late += u32::from(now_ms - started > OBJECTIVE_MS / 2);
            let pressure = &mut report.pressure[0];
            pressure.attempts += 1;
            pressure.waiting += u32::try_from(queue.len()).unwrap();
            pressure.slots += SLOTS;
            if let Some((priority, started)) = queue.pop_front() {
                ends.push(Reverse((now_ms + WORK_MS, priority, started)));
            }
        }
        if now_ms % 350 == 0 {
            controller.record(&report);
            report = empty_report();
        }
        if now_ms % 200 == 0 && now_ms < granter_ends_ms {
            controller.update(now);
            shares.update(1, now, controller.shares(now), now);
        }
        let mut arrivals = Vec::new();
        while let Some(Reverse((at, priority, hash, started))) = returns.peek().copied()
            && at <= now_ms
        {
            returns.pop();
            arrivals.push((priority, hash, started));
        }
        for priority in 0..PRIORITIES {
            due[priority] += RATES[priority] / 1_000.0;
            if due[priority] >= 1.0 {
                due[priority] -= 1.0;
                number += 1;
                let hash = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                result.totals[priority].callers += 1.0;
                arrivals.push((priority, hash, now_ms));
            }
        }
        for (priority, hash, started) in arrivals {
            let is_return = started < now_ms;
            result.totals[priority].returned += f64::from(u8::from(is_return));
            report.demand[priority].received += 1;
            let period = admission::period(TIMEOUT);
            let position = admission::position(hash, shares.time(now), period);
            let share = shares.get("s", u32::try_from(priority).unwrap(), now);
            let random = f64::from(u32::try_from(hash >> 40).unwrap()) / f64::from(1 << 24);
            let admitted = share.map_or(Ok(()), |share| {
                admission::admit(share, position, period, random)
            });
            let Err(wait) = admitted else {
                report.demand[priority].admitted += 1;
                if ends.len() < SLOTS as usize {
                    ends.push(Reverse((now_ms + WORK_MS, priority, started)));
                } else if queue.len() < QUEUE {
                    queue.push_back((priority, started));
                } else {
                    report.pressure[0].attempts += 1;
                    report.pressure[0].refused += 1;
                    result.refused += 1.0;
                    result.last_refused += f64::from(u8::from(now_ms >= 19_000));
                }
                result.attempts += 1.0;
                continue;
            };
            let wait_ms = u64::try_from(wait.as_millis()).unwrap() + 1;
            result.totals[priority].rejected_again += f64::from(u8::from(is_return));
            if !is_return && wait_ms <= PATIENCE_MS / 3 {
                returns.push(Reverse((now_ms + wait_ms, priority, hash, started)));
            }
        }
    }
    result
}

fn empty_report() -> Report {
    let demand = (0..3).map(|priority| Demand {
        service: "s".to_owned(),
        priority,
        ..Demand::default()
    });
    let pressure = Pressure {
        service: "s".to_owned(),
        ..Pressure::default()
    };
    Report {
        demand: demand.collect(),
        pressure: vec![pressure],
    }
}

/// Guards against queues that delay all priorities alike: without shares, a tenth of the callers of
/// each priority is served in time.
#[test]
fn the_highest_priorities_are_served_first() {
    let run = run(u64::MAX);
    let in_time = run.totals.map(|total| total.in_time / total.callers);
    let refused = run.refused / run.attempts;
    println!("in_time={in_time:.3?} refused={refused:.4}");
    assert!(in_time[0] > 0.95 && in_time[1] > 0.7 && in_time[2] < in_time[1]);
    assert!(refused < 0.01);
}

/// Guards against a `Retry-After` that leads to another rejection.
#[test]
fn most_callers_that_return_are_admitted() {
    let run = run(u64::MAX);
    let totals = run.totals.iter();
    let returned: f64 = totals.clone().map(|total| total.returned).sum();
    let again: f64 = totals.map(|total| total.rejected_again).sum();
    println!("returned={returned} rejected_again={again}");
    assert!(returned > 100.0 && again < returned / 3.0);
}

/// Guards against shares that outlive the granter that computed them.
#[test]
fn hosts_admit_all_requests_two_seconds_after_the_last_shares() {
    let mut shares = Shares::default();
    let at = Instant::from_millis;
    let share = |age_ms| Share {
        service: "s".to_owned(),
        priority: 1,
        admitted: 0.5,
        age_ms,
    };
    shares.update(1, at(50), vec![share(0)], at(10_000));
    let get = |shares: &Shares, at_ms| shares.get("s", 1, at(at_ms));
    assert_eq!(get(&shares, 11_900), Some(0.5));
    assert_eq!(shares.get("s", 0, at(11_900)), None, "another priority");
    assert_eq!(get(&shares, 12_100), None);
    shares.update(1, at(3_050), vec![share(500)], at(13_700));
    assert_eq!(get(&shares, 14_400), Some(0.5));
    assert_eq!(get(&shares, 14_600), None, "0.5 s old and 0.7 s late");
    shares.update(1, at(4_000), Vec::new(), at(13_950));
    shares.update(1, at(3_900), vec![share(0)], at(13_960));
    assert_eq!(get(&shares, 13_960), None, "sent before the latest");
    shares.update(2, at(10), vec![share(0)], at(14_000));
    assert_eq!(get(&shares, 15_000), Some(0.5), "another granter");
    let lost = run(10_000);
    assert!(lost.last_refused > 0.0, "all are admitted again");
}

/// Guards against admission control at servers that have room, also when one of them crashes and
/// resets its connections.
#[test]
fn no_shares_are_computed_while_servers_have_room() {
    let mut controller = Controller::default();
    for step in 0..20 {
        let mut report = empty_report();
        let demand = &mut report.demand[0];
        (demand.received, demand.admitted) = (100, 100);
        (demand.served, demand.late) = (100, 30);
        let pressure = &mut report.pressure[0];
        let crashed = step == 8 || step == 9;
        (pressure.attempts, pressure.refused) = (100, if crashed { 10 } else { 1 });
        (pressure.waiting, pressure.slots) = (50, 600);
        controller.record(&report);
        let now = Instant::from_millis(step * 400);
        controller.update(now);
        assert_eq!(controller.shares(now), []);
    }
}

/// Guards against admission control at servers in trouble that refuse requests without being full:
/// the fewer requests were admitted, the fewer were served, and the shares fell to zero.
#[test]
fn no_shares_are_computed_while_servers_refuse_without_a_queue() {
    let mut controller = Controller::default();
    for step in 0..20 {
        let mut report = empty_report();
        let demand = &mut report.demand[0];
        (demand.received, demand.admitted) = (100, 100);
        (demand.served, demand.late) = (70, 20);
        let pressure = &mut report.pressure[0];
        (pressure.attempts, pressure.refused) = (160, 88);
        (pressure.waiting, pressure.slots) = (50, 600);
        controller.record(&report);
        let now = Instant::from_millis(step * 400);
        controller.update(now);
        assert_eq!(controller.shares(now), []);
    }
}
