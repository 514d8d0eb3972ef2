//! Order, refusals, limits and preemption of the scheduler.

use std::time::Duration;

use tarragon_model::config::Class;
use tarragon_model::key::Hash;
use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;
use tarragon_policy::admission;
use tarragon_policy::backend::State;
use tarragon_policy::scheduler::{Action, Completion, Request, Scheduler, Settings, Target};

const GROUPS: u32 = 8;
const DEADLINE: Duration = Duration::from_millis(200);

fn class(name: &str, max_slots: u16) -> Class {
    Class {
        name: name.to_owned(),
        prefix: String::new(),
        weight: 1,
        max_slots,
    }
}

fn request(id: u64, now: Instant, weight: u32) -> Request {
    let key = Hash(id << 40);
    Request {
        id,
        target: Target::Owner(0),
        key,
        group: key.group(GROUPS),
        class: 0,
        weight,
        deadline: now + DEADLINE,
        exclusive: false,
        retry: false,
    }
}

/// Overloads one server and returns the numbers of refusals on arrival and after a wait.
fn overload_refusals(admission: &str) -> (usize, usize) {
    let mut settings = Settings::new(1, 110);
    admission.clone_into(&mut settings.admission);
    let mut scheduler = Scheduler::new(&settings);
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    let (mut early, mut late) = (0, 0);
    let mut running: Option<(Instant, u64)> = None;
    let mut actions = Vec::new();
    for step in 1..4_000_u64 {
        let now = Instant::from_millis(step);
        if let Some((_, id)) = running.filter(|(at, _)| *at <= now) {
            scheduler.complete(now, id, Completion::Served);
            running = None;
        }
        scheduler.submit(now, request(step, now, 1));
        actions.clear();
        scheduler.poll(now, &mut actions);
        for action in &actions {
            match action {
                Action::Start { id, .. } => running = Some((now + Duration::from_millis(10), *id)),
                Action::Refuse { id, .. } if *id == step => early += 1,
                Action::Refuse { .. } => late += 1,
            }
        }
    }
    (early, late)
}

#[test]
fn overload_is_refused_on_arrival() {
    let (early, late) = overload_refusals(admission::DEFAULT);
    assert!(early > 3_000, "{early}");
    assert!(late * 20 < early, "{late} late, {early} early");
    let (early, late) = overload_refusals(admission::BASELINE);
    assert_eq!(early, 0);
    assert!(late > 3_000, "{late}");
}

#[test]
fn low_weight_is_decided_under_steady_high_weight() {
    let mut scheduler = Scheduler::new(&Settings::new(1, 110));
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    let start = Instant::from_millis(1);
    scheduler.submit(start, request(1, start, 9));
    scheduler.submit(start, request(2, start, 1));
    let mut actions = Vec::new();
    let mut running = None;
    for step in 1..300_u64 {
        let now = Instant::from_millis(step);
        if let Some(id) = running.take() {
            scheduler.complete(now, id, Completion::Served);
        }
        scheduler.submit(now, request(100 + step, now, 9));
        scheduler.poll(now, &mut actions);
        running = actions.iter().rev().find_map(|action| match action {
            Action::Start { id, .. } => Some(*id),
            Action::Refuse { .. } => None,
        });
    }
    let decided = actions.iter().any(|action| match action {
        Action::Start { id, .. } | Action::Refuse { id, .. } => *id == 2,
    });
    assert!(decided);
}

#[test]
fn preset_refuses_low_weight() {
    let mut settings = Settings::new(6, 110);
    settings.preset.min_weight = 5;
    let mut scheduler = Scheduler::new(&settings);
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    scheduler.submit(Instant::ZERO, request(1, Instant::ZERO, 4));
    let mut actions = Vec::new();
    scheduler.poll(Instant::ZERO, &mut actions);
    assert_eq!(
        actions,
        [Action::Refuse {
            id: 1,
            reason: Reason::Preset
        }]
    );
}

#[test]
fn cold_server_ramps_up() {
    let mut scheduler = Scheduler::new(&Settings::new(6, 110));
    scheduler.set_backend(Instant::ZERO, 0, State::Cold);
    let mut limits: Vec<usize> = Vec::new();
    let mut now = Instant::ZERO;
    scheduler.submit(now, request(1, now + Duration::from_mins(1), 1));
    for id in 2..20 {
        scheduler.submit(now, request(id, now + Duration::from_mins(1), 1));
    }
    let mut actions = Vec::new();
    while limits.last() != Some(&6) {
        scheduler.poll(now, &mut actions);
        limits.push(scheduler.running(0));
        now = scheduler.next_wakeup(now).unwrap();
    }
    assert_eq!(limits, [1, 2, 3, 4, 5, 6]);
}

#[test]
fn shedding_server_backs_off_and_recovers() {
    let mut scheduler = Scheduler::new(&Settings::new(6, 110));
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    let mut actions = Vec::new();
    let now = Instant::ZERO;
    for id in 1..=6 {
        scheduler.submit(now, request(id, now, 1));
    }
    scheduler.poll(now, &mut actions);
    for id in 1..=6 {
        scheduler.complete(now, id, Completion::Shed);
    }
    assert_eq!(scheduler.limit(now, 0), 0);
    let mut now = now + Duration::from_secs(1);
    assert_eq!(scheduler.limit(now, 0), 1);
    for id in 10..40 {
        now = now + Duration::from_millis(10);
        scheduler.submit(now, request(id, now, 1));
        scheduler.poll(now, &mut actions);
        scheduler.complete(now + Duration::from_millis(1), id, Completion::Served);
    }
    assert_eq!(scheduler.limit(now, 0), 6);
}

#[test]
fn failing_server_is_only_probed() {
    let mut scheduler = Scheduler::new(&Settings::new(6, 110));
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    let mut starts = 0;
    let mut actions = Vec::new();
    for step in 1..2_000 {
        let now = Instant::from_millis(step);
        scheduler.submit(now, request(step, now, 1));
        actions.clear();
        scheduler.poll(now, &mut actions);
        for action in &actions {
            if let Action::Start { id, .. } = action {
                starts += 1;
                scheduler.complete(now, *id, Completion::Failed);
            }
        }
    }
    assert!((3..20).contains(&starts), "{starts}");
}

/// Fills a server's slots, the first `long` of them with requests that do not finish, lets a short
/// request wait and returns the preempted requests.
fn preempted(long: u64, may_cancel: bool) -> Vec<u64> {
    let mut settings = Settings::new(6, 110);
    settings.classes = vec![class("short", 6)];
    let mut scheduler = Scheduler::new(&settings);
    let mut actions = Vec::new();
    let mut now = Instant::from_millis(1);
    scheduler.set_backend(now, 0, State::Live);
    let mut submit = |scheduler: &mut Scheduler, now: Instant, id: u64| {
        let mut request = request(id, now, 1);
        request.deadline = now + Duration::from_secs(5);
        scheduler.submit(now, request);
        scheduler.poll(now, &mut actions);
    };
    for id in 100..150 {
        submit(&mut scheduler, now, id);
        now = now + Duration::from_millis(10);
        scheduler.complete(now, id, Completion::Served);
    }
    for id in 0..long {
        submit(&mut scheduler, now, id);
    }
    now = now + Duration::from_millis(100);
    for id in long..7 {
        submit(&mut scheduler, now, id);
    }
    now = now + Duration::from_millis(20);
    let preempted = scheduler.preempt(now, |_| may_cancel);
    assert!(scheduler.preempt(now, |_| false).is_empty());
    preempted.to_vec()
}

#[test]
fn long_runs_are_preempted_for_waiting_short_requests() {
    assert_eq!(preempted(2, true), []);
    assert_eq!(preempted(6, true).len(), 1);
    assert_eq!(preempted(6, false), []);
}

#[test]
fn known_long_requests_leave_reserved_slots_free() {
    let mut settings = Settings::new(6, 110);
    settings.classes = vec![class("short", 6), class("long", 6)];
    let mut scheduler = Scheduler::new(&settings);
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    let mut actions = Vec::new();
    let mut now = Instant::ZERO;
    for id in 1..100 {
        let mut learned = request(id, now, 1);
        learned.class = u8::from(id % 2 == 0);
        let time = if learned.class == 0 { 2 } else { 100 };
        scheduler.submit(now, learned);
        scheduler.poll(now, &mut actions);
        now = now + Duration::from_millis(time);
        scheduler.complete(now, id, Completion::Served);
    }
    for id in 100..110 {
        let mut long = request(id, now, 1);
        long.class = 1;
        long.deadline = now + Duration::from_secs(9);
        scheduler.submit(now, long);
    }
    scheduler.poll(now, &mut actions);
    assert_eq!(scheduler.running(0), 4);
    scheduler.submit(now, request(200, now, 1));
    scheduler.poll(now, &mut actions);
    assert_eq!(scheduler.running(0), 5);
}

#[test]
fn preset_without_waiting_still_uses_free_slots() {
    let mut settings = Settings::new(1, 110);
    settings.preset.wait_percent = 0;
    let mut scheduler = Scheduler::new(&settings);
    let now = Instant::from_millis(1);
    scheduler.set_backend(now, 0, State::Live);
    scheduler.submit(now, request(1, now, 1));
    scheduler.submit(now, request(2, now, 1));
    let mut actions = Vec::new();
    scheduler.poll(now, &mut actions);
    scheduler.poll(now + Duration::from_millis(1), &mut actions);
    let started = Action::Start { id: 1, backend: 0 };
    let refused = |action: &Action| matches!(action, Action::Refuse { id: 2, .. });
    assert!(actions.contains(&started));
    assert!(actions.iter().any(refused));
    assert_eq!(actions.len(), 2);
}
