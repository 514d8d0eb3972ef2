//! Queue of waiting requests, ordered within lanes that are eligible or not as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::time::Instant;

use crate::admission::Rank;

/// Time over which arrivals are averaged.
const INFLOW_WINDOW: Duration = Duration::from_millis(200);
/// Time over which the load of short work is averaged.
const SHORT_WINDOW: Duration = Duration::from_secs(2);
/// Levels of arrivals that are kept apart; the busiest stay.
const MAX_LEVELS: usize = 32;

/// What decides whether a waiting request may start, apart from its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Kind {
    /// Index of the class.
    pub(super) class: u8,
    /// Whether the work is likely to be long.
    pub(super) long: bool,
    /// Whether no other such request may run in the shard.
    pub(super) exclusive: bool,
}

/// Place of a request in the order; smaller starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// Order that the policy gave.
    pub(super) rank: Rank,
    /// Number of the arrival, which breaks ties.
    pub(super) sequence: u64,
    /// Identifier of the request.
    pub(super) id: u64,
}

/// Waiting request, as a queue keeps it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
    /// What decides whether the request may start.
    pub(super) kind: Kind,
    /// Place in the order.
    pub(super) position: Position,
    /// Expected work at speed 1.
    pub(super) work: Duration,
    /// Time of arrival.
    pub(super) since: Instant,
    /// Time from which on the request goes before those that are not urgent.
    pub(super) urgent_at: Instant,
}

/// Claim of a request to the next slot; the smaller claim wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Claim {
    /// The request was admitted and must start soon; since when and its number.
    Urgent(Instant, u64),
    /// The request has time.
    Ranked(Position),
}

/// Request that is first in a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Head {
    /// What decides whether the request may start.
    pub(super) kind: Kind,
    /// Claim to the next slot.
    pub(super) claim: Claim,
    /// Identifier of the request.
    pub(super) id: u64,
}

/// Waiting requests of one backend server or of all.
#[derive(Debug, Default)]
pub(super) struct Queue {
    lanes: SmallVec<[Lane; 4]>,
    inflow: SmallVec<[Inflow; 8]>,
    short: Flow,
    len: usize,
    refused: Option<Refused>,
}

/// Latest refusal of work by the admission policy.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    /// Time of the refusal.
    pub(super) at: Instant,
    /// Level that the work had.
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

/// When a waiting request becomes urgent.
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

/// Arriving work of one level.
#[derive(Clone, Copy, Debug)]
struct Inflow {
    level: i32,
    flow: Flow,
}

/// Arriving work as a sum that decays over a window.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    seconds: f64,
    updated: Instant,
}

impl Queue {
    /// Adds a request.
    pub(super) fn insert(&mut self, ticket: &Ticket) {
        let kind = ticket.kind;
        let index = self.lanes.iter().position(|lane| lane.kind == kind);
        let index = index.unwrap_or_else(|| {
            self.lanes.push(Lane::new(kind));
            self.lanes.len() - 1
        });
        self.lanes[index].insert(ticket);
        self.len += 1;
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, ticket: &Ticket) {
        let lane = self.lanes.iter_mut().find(|lane| lane.kind == ticket.kind);
        if lane.is_some_and(|lane| lane.remove(ticket)) {
            self.len -= 1;
        }
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of waiting requests of the kinds that may start.
    pub(super) fn len_of(&self, eligible: impl Fn(Kind) -> bool) -> usize {
        self.lanes
            .iter()
            .filter(|lane| eligible(lane.kind))
            .map(|lane| lane.positions.len())
            .sum()
    }

    /// Returns the first request, in order, of the kinds that may start.
    pub(super) fn first(&self, now: Instant, eligible: impl Fn(Kind) -> bool) -> Option<Head> {
        self.lanes
            .iter()
            .filter(|lane| !lane.positions.is_empty() && eligible(lane.kind))
            .filter_map(|lane| lane.head(now))
            .min_by_key(|head| head.claim)
    }

    /// Returns the request that is first by rank, of the kinds given, and its time of arrival.
    pub(super) fn first_ranked(
        &self,
        counts: impl Fn(Kind) -> bool,
    ) -> Option<(Position, Instant)> {
        self.lanes
            .iter()
            .filter(|lane| counts(lane.kind))
            .filter_map(|lane| lane.positions.first_key_value())
            .map(|(position, since)| (*position, *since))
            .min()
    }

    /// Returns the waiting work of the kinds given, up to a level and with it.
    pub(super) fn ahead(&self, level: i32, counts: impl Fn(Kind) -> bool) -> Duration {
        self.lanes
            .iter()
            .filter(|lane| counts(lane.kind))
            .flat_map(|lane| &lane.work)
            .filter(|work| work.level <= level)
            .map(|work| work.total)
            .sum()
    }

    /// Records work that was admitted.
    pub(super) fn record_inflow(&mut self, now: Instant, level: i32, work: Duration) {
        let index = self.inflow.iter().position(|inflow| inflow.level == level);
        let index = index.unwrap_or_else(|| {
            self.drop_least_inflow(now);
            let flow = Flow::default();
            self.inflow.push(Inflow { level, flow });
            self.inflow.len() - 1
        });
        self.inflow[index].flow.add(now, work, INFLOW_WINDOW);
    }

    /// Records typical work of a request that is not likely to be long.
    pub(super) fn record_short(&mut self, now: Instant, work: Duration) {
        self.short.add(now, work, SHORT_WINDOW);
    }

    /// Returns the typical work of short requests that arrives, in seconds of work a second.
    pub(super) fn short_inflow(&self, now: Instant) -> f64 {
        self.short.rate(now, SHORT_WINDOW)
    }

    /// Returns the work of smaller levels that arrives, in seconds of work a second.
    pub(super) fn inflow_before(&self, now: Instant, level: i32) -> f64 {
        self.inflow
            .iter()
            .filter(|inflow| inflow.level < level)
            .map(|inflow| inflow.flow.rate(now, INFLOW_WINDOW))
            .sum()
    }

    /// Records that work was refused.
    pub(super) fn record_refusal(&mut self, at: Instant, level: i32) {
        self.refused = Some(Refused { at, level });
    }

    /// Returns the latest refusal.
    pub(super) fn refused(&self) -> Option<Refused> {
        self.refused
    }

    /// Makes room for one more level of arrivals.
    fn drop_least_inflow(&mut self, now: Instant) {
        if self.inflow.len() < MAX_LEVELS {
            return;
        }
        let flows = self.inflow.iter().map(|inflow| inflow.flow);
        let rates = flows.map(|flow| flow.rate(now, INFLOW_WINDOW));
        let least = rates.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((index, _)) = least {
            self.inflow.swap_remove(index);
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

    /// Returns the request with the best claim to a slot.
    fn head(&self, now: Instant) -> Option<Head> {
        let urgent = self.urgent.first().filter(|urgency| urgency.at <= now);
        if let Some(urgency) = urgent {
            return Some(Head {
                kind: self.kind,
                claim: Claim::Urgent(urgency.at, urgency.sequence),
                id: urgency.id,
            });
        }
        let (position, _) = self.positions.first_key_value()?;
        Some(Head {
            kind: self.kind,
            claim: Claim::Ranked(*position),
            id: position.id,
        })
    }

    fn insert(&mut self, ticket: &Ticket) {
        self.positions.insert(ticket.position, ticket.since);
        self.urgent.insert(Urgency::of(ticket));
        let (level, work) = (ticket.position.rank.level, ticket.work);
        match self.work.iter_mut().find(|entry| entry.level == level) {
            Some(entry) => entry.total += work,
            None => self.work.push(Work { level, total: work }),
        }
    }

    fn remove(&mut self, ticket: &Ticket) -> bool {
        if self.positions.remove(&ticket.position).is_none() {
            return false;
        }
        self.urgent.remove(&Urgency::of(ticket));
        let (level, work) = (ticket.position.rank.level, ticket.work);
        if let Some(entry) = self.work.iter_mut().find(|entry| entry.level == level) {
            entry.total = entry.total.saturating_sub(work);
        }
        self.work.retain(|entry| !entry.total.is_zero());
        true
    }
}

impl Urgency {
    fn of(ticket: &Ticket) -> Self {
        Self {
            at: ticket.urgent_at,
            sequence: ticket.position.sequence,
            id: ticket.position.id,
        }
    }
}

impl Flow {
    fn add(&mut self, now: Instant, work: Duration, window: Duration) {
        self.seconds = self.decayed(now, window) + work.as_secs_f64();
        self.updated = now;
    }

    /// Returns the seconds of work that arrive in a second.
    fn rate(&self, now: Instant, window: Duration) -> f64 {
        self.decayed(now, window) / window.as_secs_f64()
    }

    fn decayed(&self, now: Instant, window: Duration) -> f64 {
        let age = now.since(self.updated).div_duration_f64(window);
        self.seconds * (-age).exp()
    }
}
