//! CPU time of placement and scheduling.

use std::time::Duration;

use tarragon_model::key::{self, Group};
use tarragon_model::time::Instant;
use tarragon_policy::backend::State;
use tarragon_policy::placement::{self, Backend, Planner, View};
use tarragon_policy::scheduler::{Completion, Request, Scheduler, Settings, Target};

use super::Experiment;
use crate::capacity::fixture::{self, BACKENDS};
use crate::capacity::meter::{self, as_f64};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Numbers of key groups.
const GROUPS: [usize; 5] = [64, 256, 1_024, 4_096, 16_384];
/// Numbers of backend servers.
const SERVERS: [usize; 5] = [4, 8, 16, 32, 64];
/// Key groups of one shard when 2^20 groups are spread over 16,000 shards.
const PLANNED_GROUPS: f64 = 64.0;
/// Maximum number of backend servers of a shard by design.
const PLANNED_SERVERS: f64 = 8.0;
/// Requests per measurement.
const REQUESTS: u64 = 4_096;
/// Processing time of one request.
const PROCESSING_TIME: Duration = Duration::from_millis(5);
/// Interval between plans.
const PLAN_PERIOD: Duration = Duration::from_millis(250);

/// Cost of a plan by number of key groups, and of a request by number of backend servers.
pub struct Policy;

impl Experiment for Policy {
    fn name(&self) -> &'static str {
        "policy"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let y = "CPU us a plan";
        let mut plan =
            Series::new("policy-plan", "key groups", y, PLANNED_GROUPS).with_power_growth();
        for groups in effort.sizes(&GROUPS) {
            plan.add(as_f64(*groups), plan_us(*groups, effort));
        }
        let y = "CPU us a request";
        let mut schedule = Series::new("policy-schedule", "backend servers", y, PLANNED_SERVERS);
        for servers in effort.sizes(&SERVERS) {
            schedule.add(as_f64(*servers), schedule_us(*servers, effort));
        }
        Ok(vec![plan, schedule])
    }
}

/// Measures one plan, in CPU microseconds.
fn plan_us(groups: usize, effort: Effort) -> f64 {
    let Some(mut planner) = placement::create(placement::DEFAULT) else {
        return f64::NAN;
    };
    let backend = Backend {
        speed: 1.0,
        state: State::Live,
    };
    let backends = [backend; BACKENDS];
    let all: Vec<Group> = (0..).map(Group).take(groups).collect();
    let owners = planner.initial(&all, &backends);
    let mut now = Instant::from_millis(1);
    record_load(planner.as_mut(), &owners, &mut now);
    let view = View {
        first_group: Group(0),
        owners: &owners,
        overrides: &[],
        backends: &backends,
        rebalance: true,
    };
    let cost = meter::median_of(effort.repeats(), || {
        now = now + PLAN_PERIOD;
        meter::cpu_ms(|| planner.plan(now, &view))
    });
    cost * 1e3
}

/// Records one processed request of every group with a planner.
fn record_load(planner: &mut dyn Planner, owners: &[u16], now: &mut Instant) {
    for (group, owner) in (0..).map(Group).zip(owners) {
        let key = key::Hash(u64::from(group.0));
        *now = *now + Duration::from_micros(100);
        planner.record(*now, group, key, PROCESSING_TIME, *owner);
    }
}

/// Measures the scheduling of one request, in CPU microseconds.
fn schedule_us(servers: usize, effort: Effort) -> f64 {
    let mut scheduler = Scheduler::new(&Settings::new(6, 110));
    let mut now = Instant::from_millis(1);
    for index in 0..servers {
        scheduler.set_backend(now, fixture::to_u16(index), State::Live);
    }
    let mut next = 0;
    let mut actions = Vec::new();
    let cost = meter::median_of(effort.repeats(), || {
        meter::cpu_ms(|| {
            for _ in 0..REQUESTS {
                next += 1;
                scheduler.submit(now, request(next, servers, now));
                scheduler.poll(now, &mut actions);
                now = now + PROCESSING_TIME;
                scheduler.complete(now, next, Completion::Served);
                actions.clear();
            }
        })
    });
    cost * 1e3 / as_f64(usize::try_from(REQUESTS).unwrap_or(usize::MAX))
}

fn request(id: u64, servers: usize, now: Instant) -> Request {
    let key = key::Hash::of(&format!("key-{id}"));
    let owner = key.group(u32::try_from(servers).unwrap_or(1)).0;
    Request {
        id,
        target: Target::Owner(u16::try_from(owner).unwrap_or_default()),
        key,
        group: key.group(64),
        class: 0,
        weight: 1,
        deadline: now + Duration::from_secs(1),
        exclusive: false,
        retry: false,
    }
}
