//! Computation of the admitted shares by the granter.

use std::collections::BTreeMap;
use std::time::Duration;

use tarragon_model::time::Instant;

use super::{Report, Share};

/// Time between two computations: every host has reported in between, at intervals of 350 ms.
const INTERVAL: Duration = Duration::from_millis(400);
/// Least number of attempts in two intervals on which a decision is based.
const MIN_ATTEMPTS: f64 = 20.0;
/// Part of refused attempts above which servers are short of capacity. Single full servers refuse
/// fewer.
const REFUSED_HIGH: f64 = 0.02;
/// Number of intervals in a row with refusals after which servers are short of capacity. A server that
/// crashes resets connections too, but only once; hosts report that in two intervals at most.
const REFUSED_INTERVALS: u32 = 3;
/// Requests waiting per slot above which servers are short of capacity if responses are late as well.
/// A request then waits for about the time of another one.
const WAITING_HIGH: f64 = 1.0;
/// Part of late responses above which the waiting counts: slow machines make some late at any load.
const LATE_HIGH: f64 = 0.08;
/// Requests waiting per slot that the shares aim at. A few keep all servers busy.
const WAITING_AIM: f64 = 0.4;
/// Requests waiting per slot above which what servers process is their capacity.
const WAITING_BUSY: f64 = 0.15;
/// Change of the admitted rate for each waiting request per slot, as a part of the capacity.
const WAITING_GAIN: f64 = 0.25;
/// Lowest and highest admitted rate, as a part of the capacity.
const RATE_BOUNDS: (f64, f64) = (0.6, 1.1);
/// Weight of the newest interval in the capacity.
const CAPACITY_GAIN: f64 = 0.3;
/// Factor of the capacity in an interval in which servers are not busy, so that it may have grown.
const CAPACITY_GROWTH: f64 = 1.02;
/// Most that a share rises in one interval, so that queues build up slowly enough to be seen.
const MAX_RISE: f64 = 0.15;
/// Number of intervals without a limited priority after which shares end.
const END_INTERVALS: u32 = 5;

/// Counts of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    received: f64,
    admitted: f64,
    served: f64,
    late: f64,
}

/// Counts of one service in one interval.
#[derive(Clone, Debug, Default)]
struct Counts {
    demand: BTreeMap<u32, Demand>,
    attempts: f64,
    refused: f64,
    waiting: f64,
    slots: f64,
}

impl Counts {
    fn add(&mut self, other: &Self) {
        for (priority, demand) in &other.demand {
            let sum = self.demand.entry(*priority).or_default();
            sum.received += demand.received;
            sum.admitted += demand.admitted;
            sum.served += demand.served;
            sum.late += demand.late;
        }
        self.attempts += other.attempts;
        self.refused += other.refused;
        self.waiting += other.waiting;
        self.slots += other.slots;
    }

    fn sum(&self, value: impl Fn(&Demand) -> f64) -> f64 {
        self.demand.values().map(value).sum()
    }
}

/// What is known of one service.
#[derive(Debug, Default)]
struct Service {
    current: Counts,
    previous: Counts,
    /// Requests per second that the servers can process; `None` while they have room for all.
    capacity: Option<f64>,
    shares: BTreeMap<u32, f64>,
    /// Number of intervals in a row in which servers refused.
    refusing: u32,
    /// Number of intervals in a row without a limited priority.
    unlimited: u32,
}

impl Service {
    /// Computes the shares from the counts of the last `time`.
    fn compute(&mut self, time: Duration) {
        let is_refusing = ratio(self.current.refused, self.current.attempts) > REFUSED_HIGH;
        self.refusing = if is_refusing { self.refusing + 1 } else { 0 };
        let mut counts = std::mem::take(&mut self.previous);
        counts.add(&self.current);
        self.previous = std::mem::take(&mut self.current);
        let seconds = time.as_secs_f64();
        let served = counts.sum(|demand| demand.served);
        let refused = ratio(counts.refused, counts.attempts);
        let waiting = ratio(counts.waiting, counts.slots);
        let late = ratio(counts.sum(|demand| demand.late), served);
        // Servers in trouble refuse requests at any load, and admitting fewer would not help them.
        let refused = if waiting > WAITING_AIM { refused } else { 0.0 };
        let is_refusing = refused > REFUSED_HIGH && self.refusing >= REFUSED_INTERVALS;
        let short = counts.attempts >= MIN_ATTEMPTS
            && (is_refusing || (waiting > WAITING_HIGH && late > LATE_HIGH));
        let busy = waiting > WAITING_BUSY;
        let capacity = match self.capacity {
            None if !short => return,
            None => served / seconds,
            Some(known) if busy => known + CAPACITY_GAIN * (served / seconds - known),
            Some(known) => known * CAPACITY_GROWTH,
        };
        self.capacity = Some(capacity);
        let factor = 1.0 + WAITING_GAIN * (WAITING_AIM - waiting) - refused;
        let mut left = capacity * factor.clamp(RATE_BOUNDS.0, RATE_BOUNDS.1);
        for (priority, demand) in &counts.demand {
            let known = self.shares.entry(*priority).or_insert(1.0);
            *known = share(*known, demand, left * seconds);
            let limited = *known < 1.0;
            left = if limited {
                0.0
            } else {
                (left - demand.received / seconds).max(0.0)
            };
        }
        let limited = self.shares.values().any(|share| *share < 1.0);
        self.unlimited = if limited || short {
            0
        } else {
            self.unlimited + 1
        };
        if self.unlimited >= END_INTERVALS {
            self.capacity = None;
            self.shares.clear();
            self.unlimited = 0;
        }
    }
}

/// Returns the share of a priority after `known`, if `room` requests may be admitted.
///
/// Callers that return are admitted beyond the share, so it follows from what hosts admitted under
/// the share before. The square root damps the correction, as the counts cover two intervals.
fn share(known: f64, demand: &Demand, room: f64) -> f64 {
    if room <= 0.0 {
        return 0.0;
    }
    let next = if demand.received <= room {
        1.0
    } else if demand.admitted < 1.0 {
        room / demand.received
    } else {
        known * (room / demand.admitted).sqrt()
    };
    next.min(known + MAX_RISE).clamp(0.0, 1.0)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// Computes the admitted shares of all services from the reports of the hosts.
#[derive(Debug, Default)]
pub struct Controller {
    services: BTreeMap<String, Service>,
    computed_at: Option<Instant>,
    interval: Duration,
}

impl Controller {
    /// Adds the report of one host.
    pub fn record(&mut self, report: &Report) {
        for demand in &report.demand {
            let service = self.services.entry(demand.service.clone()).or_default();
            let sum = service.current.demand.entry(demand.priority).or_default();
            sum.received += f64::from(demand.received);
            sum.admitted += f64::from(demand.admitted);
            sum.served += f64::from(demand.served);
            sum.late += f64::from(demand.late);
        }
        for pressure in &report.pressure {
            let service = self.services.entry(pressure.service.clone()).or_default();
            service.current.attempts += f64::from(pressure.attempts);
            service.current.refused += f64::from(pressure.refused);
            service.current.waiting += f64::from(pressure.waiting);
            service.current.slots += f64::from(pressure.slots);
        }
    }

    /// Computes the shares if it is time to; returns whether it did.
    pub fn update(&mut self, now: Instant) -> bool {
        let computed_at = *self.computed_at.get_or_insert(now);
        let elapsed = now.since(computed_at);
        if elapsed < INTERVAL {
            return false;
        }
        self.computed_at = Some(now);
        let time = elapsed + self.interval;
        self.interval = elapsed;
        for service in self.services.values_mut() {
            service.compute(time);
        }
        self.services
            .retain(|_, service| service.capacity.is_some() || !service.previous.demand.is_empty());
        true
    }

    /// Returns the shares of all services that are short of capacity.
    #[must_use]
    pub fn shares(&self, now: Instant) -> Vec<Share> {
        let age = self.computed_at.map_or(Duration::ZERO, |at| now.since(at));
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let limited = self.services.iter().filter(|(_, s)| s.capacity.is_some());
        let all = limited.flat_map(|(name, service)| {
            service
                .shares
                .iter()
                .map(move |(priority, admitted)| Share {
                    service: name.clone(),
                    priority: *priority,
                    admitted: *admitted,
                    age_ms,
                })
        });
        all.collect()
    }
}
