//! Queue of waiting requests, split into lanes of one [`Kind`] each.
//!
//! Eligibility depends only on the kind, so a lane is eligible or not as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::time::Instant;

use crate::admission::Rank;

/// Time constant for the arrival rate of a level.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(200);
/// Time constant for the arrival rate of short requests.
const SHORT_ARRIVAL_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of levels whose arrival rates are tracked; the one with the lowest rate is
/// evicted.
const MAX_ARRIVAL_LEVELS: usize = 32;

/// Properties of a waiting request that determine whether it is eligible to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Kind {
    /// Index of the class.
    pub(super) class: u8,
    /// Whether the request is expected to be long.
    pub(super) long: bool,
    /// Whether no other exclusive request may run in the shard at the same time.
    pub(super) exclusive: bool,
}

/// Position of a request in the order; smaller positions start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// Rank from the admission policy.
    pub(super) rank: Rank,
    /// Arrival number; breaks ties.
    pub(super) sequence: u64,
    /// Identifier of the request.
    pub(super) id: u64,
}

/// Waiting request in a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    /// Kind, which determines whether the request is eligible to start.
    pub(super) kind: Kind,
    /// Position in the order.
    pub(super) position: Position,
    /// Expected work at speed 1.
    pub(super) work: Duration,
    /// Time of arrival.
    pub(super) since: Instant,
    /// Time from which the request starts before all that are not urgent.
    pub(super) urgent_at: Instant,
}

/// Priority of a request for the next slot; the smallest value wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    /// The request has waited until [`Entry::urgent_at`]: that time and the arrival number.
    Urgent(Instant, u64),
    /// The request is not urgent.
    Ranked(Position),
}

/// First request of a lane or queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Head {
    /// Kind, which determines whether the request is eligible to start.
    pub(super) kind: Kind,
    /// Priority for the next slot.
    pub(super) priority: Priority,
    /// Identifier of the request.
    pub(super) id: u64,
}

/// Waiting requests for one backend server, or those that any server may take.
#[derive(Debug, Default)]
pub(super) struct Queue {
    lanes: SmallVec<[Lane; 4]>,
    arrivals: SmallVec<[LevelArrivals; 8]>,
    short_arrivals: ArrivalRate,
    len: usize,
    last_refusal: Option<Refusal>,
}

/// Latest request that the admission policy refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    /// Time of the refusal.
    pub(super) at: Instant,
    /// Level of the refused request.
    pub(super) level: i32,
}

/// Waiting requests of one kind.
#[derive(Debug)]
struct Lane {
    kind: Kind,
    positions: BTreeMap<Position, Instant>,
    urgent: BTreeSet<Urgency>,
    work: SmallVec<[Work; 4]>,
}

/// Time at which a waiting request becomes urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    at: Instant,
    sequence: u64,
    id: u64,
}

/// Waiting work of one level.
#[derive(Clone, Copy, Debug)]
struct Work {
    level: i32,
    total: Duration,
}

/// Arrival rate of one level.
#[derive(Clone, Copy, Debug)]
struct LevelArrivals {
    level: i32,
    rate: ArrivalRate,
}

/// Arrival rate of work, kept as a decaying sum.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    seconds: f64,
    updated: Instant,
}

impl Queue {
    /// Adds a request.
    pub(super) fn insert(&mut self, entry: &Entry) {
        let kind = entry.kind;
        let index = self.lanes.iter().position(|lane| lane.kind == kind);
        let index = index.unwrap_or_else(|| {
            self.lanes.push(Lane::new(kind));
            self.lanes.len() - 1
        });
        self.lanes[index].insert(entry);
        self.len += 1;
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, entry: &Entry) {
        let lane = self.lanes.iter_mut().find(|lane| lane.kind == entry.kind);
        if lane.is_some_and(|lane| lane.remove(entry)) {
            self.len -= 1;
        }
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of waiting requests of eligible kinds.
    pub(super) fn len_where(&self, eligible: impl Fn(Kind) -> bool) -> usize {
        self.lanes
            .iter()
            .filter(|lane| eligible(lane.kind))
            .map(|lane| lane.positions.len())
            .sum()
    }

    /// Returns the request of an eligible kind with the highest priority.
    pub(super) fn first(&self, now: Instant, eligible: impl Fn(Kind) -> bool) -> Option<Head> {
        self.lanes
            .iter()
            .filter(|lane| !lane.positions.is_empty() && eligible(lane.kind))
            .filter_map(|lane| lane.head(now))
            .min_by_key(|head| head.priority)
    }

    /// Returns the position and arrival time of the first request by rank, of the matching kinds.
    pub(super) fn first_ranked(
        &self,
        matches: impl Fn(Kind) -> bool,
    ) -> Option<(Position, Instant)> {
        self.lanes
            .iter()
            .filter(|lane| matches(lane.kind))
            .filter_map(|lane| lane.positions.first_key_value())
            .map(|(position, since)| (*position, *since))
            .min()
    }

    /// Returns the waiting work of the matching kinds at this level and all smaller ones.
    pub(super) fn work_ahead(&self, level: i32, matches: impl Fn(Kind) -> bool) -> Duration {
        self.lanes
            .iter()
            .filter(|lane| matches(lane.kind))
            .flat_map(|lane| &lane.work)
            .filter(|work| work.level <= level)
            .map(|work| work.total)
            .sum()
    }

    /// Records the work of an admitted request.
    pub(super) fn record_arrival(&mut self, now: Instant, level: i32, work: Duration) {
        let index = self
            .arrivals
            .iter()
            .position(|arrivals| arrivals.level == level);
        let index = index.unwrap_or_else(|| {
            self.evict_least_arrivals(now);
            let rate = ArrivalRate::default();
            self.arrivals.push(LevelArrivals { level, rate });
            self.arrivals.len() - 1
        });
        self.arrivals[index].rate.add(now, work, ARRIVAL_WINDOW);
    }

    /// Records the typical work of an admitted request that is expected to be short.
    pub(super) fn record_short_arrival(&mut self, now: Instant, work: Duration) {
        self.short_arrivals.add(now, work, SHORT_ARRIVAL_WINDOW);
    }

    /// Returns the arrival rate of short requests, in seconds of typical work per second.
    pub(super) fn short_arrival_rate(&self, now: Instant) -> f64 {
        self.short_arrivals.rate(now, SHORT_ARRIVAL_WINDOW)
    }

    /// Returns the arrival rate of all smaller levels, in seconds of work per second.
    pub(super) fn arrival_rate_below(&self, now: Instant, level: i32) -> f64 {
        self.arrivals
            .iter()
            .filter(|arrivals| arrivals.level < level)
            .map(|arrivals| arrivals.rate.rate(now, ARRIVAL_WINDOW))
            .sum()
    }

    /// Records that the admission policy refused a request of a level.
    pub(super) fn record_refusal(&mut self, at: Instant, level: i32) {
        self.last_refusal = Some(Refusal { at, level });
    }

    /// Returns the latest refusal.
    pub(super) fn last_refusal(&self) -> Option<Refusal> {
        self.last_refusal
    }

    /// Evicts the level with the lowest arrival rate if the maximum number of levels is tracked.
    fn evict_least_arrivals(&mut self, now: Instant) {
        if self.arrivals.len() < MAX_ARRIVAL_LEVELS {
            return;
        }
        let rates = self.arrivals.iter().map(|arrivals| arrivals.rate);
        let rates = rates.map(|rate| rate.rate(now, ARRIVAL_WINDOW));
        let least = rates.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((index, _)) = least {
            self.arrivals.swap_remove(index);
        }
    }
}

impl Lane {
    fn new(kind: Kind) -> Self {
        Self {
            kind,
            positions: BTreeMap::new(),
            urgent: BTreeSet::new(),
            work: SmallVec::new(),
        }
    }

    /// Returns the request with the highest priority: the earliest urgent one, or else the first by
    /// position.
    fn head(&self, now: Instant) -> Option<Head> {
        let urgent = self.urgent.first().filter(|urgency| urgency.at <= now);
        if let Some(urgency) = urgent {
            return Some(Head {
                kind: self.kind,
                priority: Priority::Urgent(urgency.at, urgency.sequence),
                id: urgency.id,
            });
        }
        let (position, _) = self.positions.first_key_value()?;
        Some(Head {
            kind: self.kind,
            priority: Priority::Ranked(*position),
            id: position.id,
        })
    }

    fn insert(&mut self, entry: &Entry) {
        self.positions.insert(entry.position, entry.since);
        self.urgent.insert(Urgency::of(entry));
        let (level, work) = (entry.position.rank.level, entry.work);
        match self.work.iter_mut().find(|work| work.level == level) {
            Some(work_entry) => work_entry.total += work,
            None => self.work.push(Work { level, total: work }),
        }
    }

    fn remove(&mut self, entry: &Entry) -> bool {
        if self.positions.remove(&entry.position).is_none() {
            return false;
        }
        self.urgent.remove(&Urgency::of(entry));
        let (level, work) = (entry.position.rank.level, entry.work);
        if let Some(work_entry) = self.work.iter_mut().find(|work| work.level == level) {
            work_entry.total = work_entry.total.saturating_sub(work);
        }
        self.work.retain(|work| !work.total.is_zero());
        true
    }
}

impl Urgency {
    fn of(entry: &Entry) -> Self {
        Self {
            at: entry.urgent_at,
            sequence: entry.position.sequence,
            id: entry.position.id,
        }
    }
}

impl ArrivalRate {
    fn add(&mut self, now: Instant, work: Duration, window: Duration) {
        self.seconds = self.decayed(now, window) + work.as_secs_f64();
        self.updated = now;
    }

    /// Returns the rate in seconds of work per second.
    fn rate(&self, now: Instant, window: Duration) -> f64 {
        self.decayed(now, window) / window.as_secs_f64()
    }

    fn decayed(&self, now: Instant, window: Duration) -> f64 {
        let age = now.since(self.updated).div_duration_f64(window);
        self.seconds * (-age).exp()
    }
}
