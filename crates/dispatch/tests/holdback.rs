//! Requests of 63 hosts for the keys of one server of 2 slots and a queue of 8, at 1.5 times what it
//! can process: 21 requests per second of 140 ms, with an objective of 800 ms and a deadline of 5 s.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragon_dispatch::holdback::{Holdback, Limits, Ticket, Verdict};
use tarragon_model::time::Instant;

const HOSTS: usize = 63;
const WORK_MS: u64 = 140;
const PLACES: usize = 10;
const SECONDS: u64 = 30;
const HOST_RETRIES: u32 = 3;

#[derive(Clone, Copy)]
struct Request {
    host: usize,
    ticket: Ticket,
    next_ms: u64,
    sends: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    served: u32,
    late: u32,
    rejected: u32,
    refused_sends: u32,
}

/// Plays the load in steps of 10 ms, with the hosts holding requests back or sending again after
/// 60 ms.
fn play(held_back: bool, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut holdbacks: Vec<Holdback> = (0..HOSTS).map(|_| Holdback::default()).collect();
    let (mut outcome, mut open) = (Outcome::default(), Vec::<Request>::new());
    let mut queue: Vec<Request> = Vec::new();
    let mut running: Vec<(u64, Request)> = Vec::new();
    for ms in (1_000..1_000 + SECONDS * 1_000).step_by(10) {
        let now = Instant::from_millis(ms);
        if rng.random_bool(0.21) {
            let (host, priority) = (rng.random_range(0..HOSTS), 2);
            let ticket = Ticket {
                priority,
                started: now,
                number: ms,
            };
            open.push(Request {
                host,
                ticket,
                next_ms: ms,
                sends: 0,
            });
        }
        running.retain(|(end, request)| {
            if *end <= ms {
                let in_time = now.since(request.ticket.started) <= Duration::from_millis(800);
                outcome.served += u32::from(in_time);
                outcome.late += u32::from(!in_time);
                holdbacks[request.host].record_served("s");
            }
            *end > ms
        });
        open.retain_mut(|request| {
            if ms < request.next_ms {
                return true;
            }
            let started = request.ticket.started;
            let limits = Limits {
                objective: started + Duration::from_millis(800),
                deadline: started + Duration::from_secs(5),
            };
            let holdback = &mut holdbacks[request.host];
            if held_back {
                match holdback.admit("s", request.ticket, limits, now) {
                    Verdict::Send => {}
                    Verdict::Wait(_) => return true,
                    Verdict::Reject(_) => {
                        outcome.rejected += 1;
                        return false;
                    }
                }
            }
            if running.len() + queue.len() < PLACES {
                queue.push(*request);
                return false;
            }
            outcome.refused_sends += 1;
            request.sends += 1;
            holdback.record_refused("s", 2, Duration::from_millis(WORK_MS), now);
            request.next_ms = ms + if held_back { 10 } else { 60 };
            outcome.rejected += u32::from(request.sends > HOST_RETRIES);
            request.sends <= HOST_RETRIES
        });
        while running.len() < 2 && !queue.is_empty() {
            running.push((ms + WORK_MS, queue.remove(0)));
        }
    }
    outcome
}

/// Guards against sends that are known to be refused, at the same number of requests served in time.
#[test]
fn a_full_holder_refuses_fewer_sends_and_serves_as_many() {
    for seed in 1..4 {
        let (before, after) = (play(false, seed), play(true, seed));
        println!("seed={seed} before={before:?} after={after:?}");
        assert!(after.refused_sends * 2 < before.refused_sends);
        assert!(after.served * 20 >= before.served * 19);
    }
}

/// Guards against a lower priority that goes first, and against waits that cannot succeed.
#[test]
fn priority_goes_before_age_and_hopeless_requests_are_rejected() {
    let mut holdback = Holdback::default();
    let now = Instant::from_millis(10_000);
    let limits = Limits {
        objective: now + Duration::from_millis(800),
        deadline: now + Duration::from_secs(5),
    };
    let ticket = |priority, number| Ticket {
        priority,
        started: now,
        number,
    };
    holdback.record_refused("s", 2, Duration::from_millis(140), now);
    let later = now + Duration::from_millis(140);
    let waits = |verdict| matches!(verdict, Verdict::Wait(_));
    assert!(waits(holdback.admit("s", ticket(2, 1), limits, now)));
    assert!(waits(holdback.admit("s", ticket(1, 2), limits, now)));
    assert!(waits(holdback.admit("s", ticket(2, 1), limits, later)));
    assert_eq!(
        holdback.admit("s", ticket(1, 2), limits, later),
        Verdict::Send
    );
    for number in 3..20 {
        holdback.admit("s", ticket(2, number), limits, later);
    }
    let last = holdback.admit("s", ticket(3, 20), limits, later);
    assert!(matches!(last, Verdict::Reject(after) if after > Duration::from_millis(500)));
}
